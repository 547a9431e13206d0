package dillfront.router.config;

import java.time.Duration;
import java.time.Instant;

/**
 * Time since the start of the process. The wall clock is read once; later times are derived from
 * the monotonic clock.
 */
public final class MonotonicClock {

    private final Instant startInstant = Instant.now();
    private final long startNanos = System.nanoTime();

    public Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    /** Converts a Unix time to the time since the start; negative if it is earlier. */
    public Duration sinceStart(long unixMillis) {
        return Duration.between(startInstant, Instant.ofEpochMilli(unixMillis));
    }

    public long unixMillis() {
        return startInstant.plus(now()).toEpochMilli();
    }
}
