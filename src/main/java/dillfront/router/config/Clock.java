package dillfront.router.config;

import java.time.Duration;
import java.time.Instant;

/** Spans since the start: the wall clock is read once, then only the monotonic one. */
public final class Clock {

    private final Instant start = Instant.now();
    private final long startNanos = System.nanoTime();

    public Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    /** A Unix time as a span since the start; negative where it was before. */
    public Duration since(long unixMillis) {
        return Duration.between(start, Instant.ofEpochMilli(unixMillis));
    }

    public long unixMillis() {
        return start.plus(now()).toEpochMilli();
    }
}
