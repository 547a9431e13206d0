package dillfront.routing.api;

import java.time.Duration;
import java.util.List;

/** What every decision counts with. */
public final class Durations {

    private Durations() {}

    /** A part of a span, or a multiple of it. */
    public static Duration multiply(Duration duration, double factor) {
        return Duration.ofNanos((long) (duration.toNanos() * factor));
    }

    public static double toSeconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }

    public static double ratio(Duration a, Duration b) {
        return (double) a.toNanos() / (b.toNanos() + 1);
    }

    public static Duration min(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    public static Duration max(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    /** Sorts what it is given. */
    public static double median(List<Double> values) {
        values.sort(null);
        return values.isEmpty() ? 0 : values.get(values.size() / 2);
    }
}
