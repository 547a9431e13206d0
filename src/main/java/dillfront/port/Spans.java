package dillfront.port;

import java.time.Duration;

/** What every decision counts with. */
public final class Spans {

    private Spans() {}

    /** A part of a span, or a multiple of it. */
    public static Duration times(Duration span, double by) {
        return Duration.ofNanos((long) (span.toNanos() * by));
    }
}
