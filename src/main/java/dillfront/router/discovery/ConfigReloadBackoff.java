package dillfront.router.discovery;

import java.time.Duration;

/**
 * When a router that hears nothing of discovery looks whether its configuration names another place
 * by now. Guards against a word that was lost: a SIGHUP that nobody caught, or that went to a
 * process which was just starting.
 *
 * <p>At once when discovery is lost, then at gaps that double: a file that is read again and again
 * says nothing new, and a discovery that is down for an hour is down for every router. Pure: the
 * caller has the clock.
 */
public final class ConfigReloadBackoff {

    /** The first gap and the longest, in dial time-outs. */
    private static final int MIN_DELAY_CONNECT_TIMEOUTS = 1;

    private static final int MAX_DELAY_CONNECT_TIMEOUTS = 16;

    private final Duration minDelay;
    private final Duration maxDelay;
    private Duration delay;
    private Duration nextReload = Duration.ZERO;

    /**
     * @param connectTimeout how long a connection may take to come up
     */
    public ConfigReloadBackoff(Duration connectTimeout) {
        minDelay = connectTimeout.multipliedBy(MIN_DELAY_CONNECT_TIMEOUTS);
        maxDelay = connectTimeout.multipliedBy(MAX_DELAY_CONNECT_TIMEOUTS);
        delay = minDelay;
    }

    /** Discovery was lost, or was tried in vain; whether the configuration is to be read now. */
    public boolean shouldReload(Duration now) {
        if (now.compareTo(nextReload) < 0) {
            return false;
        }
        nextReload = now.plus(delay);
        delay = delay.multipliedBy(2).compareTo(maxDelay) < 0 ? delay.multipliedBy(2) : maxDelay;
        return true;
    }

    /**
     * Discovery has told something. The gap since the last reading stays: one that comes and goes
     * asks for no more.
     */
    public void reset() {
        delay = minDelay;
    }
}
