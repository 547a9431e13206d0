package dillfront.router.discovery;

import java.time.Duration;

/**
 * Decides when a router that has lost discovery reads its configuration again, since the SIGHUP for
 * a changed discovery address may have been lost: ignored, or sent while the process was starting.
 *
 * <p>Reads at once when discovery is lost, then with exponential backoff: rereading a file gains
 * little, and an outage of discovery affects every router. The caller provides the time.
 */
public final class ConfigReloadBackoff {

    /** Minimum and maximum delay between reads, in connect timeouts. */
    private static final int MIN_DELAY_CONNECT_TIMEOUTS = 1;

    private static final int MAX_DELAY_CONNECT_TIMEOUTS = 16;

    private final Duration minDelay;
    private final Duration maxDelay;
    private Duration delay;
    private Duration nextReload = Duration.ZERO;

    /**
     * @param connectTimeout time limit for a connection attempt
     */
    public ConfigReloadBackoff(Duration connectTimeout) {
        minDelay = connectTimeout.multipliedBy(MIN_DELAY_CONNECT_TIMEOUTS);
        maxDelay = connectTimeout.multipliedBy(MAX_DELAY_CONNECT_TIMEOUTS);
        delay = minDelay;
    }

    /**
     * Records that discovery was lost or a connection attempt failed; returns whether to read the
     * configuration now.
     */
    public boolean shouldReload(Duration now) {
        if (now.compareTo(nextReload) < 0) {
            return false;
        }
        nextReload = now.plus(delay);
        delay = delay.multipliedBy(2).compareTo(maxDelay) < 0 ? delay.multipliedBy(2) : maxDelay;
        return true;
    }

    /**
     * Records a response of discovery. The time of the next read stays, so that a flapping
     * discovery does not cause more reads.
     */
    public void reset() {
        delay = minDelay;
    }
}
