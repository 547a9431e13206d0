package dillfront.routing.api;

import java.time.Duration;
import java.util.List;

/** What every decision counts with. */
public final class Spans {

    private Spans() {}

    /** A part of a span, or a multiple of it. */
    public static Duration times(Duration span, double by) {
        return Duration.ofNanos((long) (span.toNanos() * by));
    }

    public static double seconds(Duration span) {
        return span.toNanos() / 1e9;
    }

    public static double ratio(Duration a, Duration b) {
        return (double) a.toNanos() / (b.toNanos() + 1);
    }

    public static Duration earlier(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    public static Duration later(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    /** Sorts what it is given. */
    public static double median(List<Double> of) {
        of.sort(null);
        return of.isEmpty() ? 0 : of.get(of.size() / 2);
    }
}
