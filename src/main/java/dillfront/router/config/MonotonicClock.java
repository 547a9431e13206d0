package dillfront.router.config;

import java.time.Duration;
import java.time.Instant;

/** Spans since the start: the wall clock is read once, then only the monotonic one. */
public final class MonotonicClock {

    private final Instant startInstant = Instant.now();
    private final long startNanos = System.nanoTime();

    public Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    /** A Unix time as a span since the start; negative where it was before. */
    public Duration sinceStart(long unixMillis) {
        return Duration.between(startInstant, Instant.ofEpochMilli(unixMillis));
    }

    public long unixMillis() {
        return startInstant.plus(now()).toEpochMilli();
    }
}
