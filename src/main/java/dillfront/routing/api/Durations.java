package dillfront.routing.api;

import java.time.Duration;
import java.util.List;

/** Arithmetic on durations. */
public final class Durations {

    private Durations() {}

    /** Returns the duration multiplied by a factor. */
    public static Duration times(Duration span, double by) {
        return Duration.ofNanos((long) (span.toNanos() * by));
    }

    public static double seconds(Duration span) {
        return span.toNanos() / 1e9;
    }

    /** Returns a / b; the extra nanosecond in the divisor avoids a division by zero. */
    public static double ratio(Duration a, Duration b) {
        return (double) a.toNanos() / (b.toNanos() + 1);
    }

    public static Duration earlier(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    public static Duration later(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    /** Returns the upper median, or zero for an empty list. Sorts the list. */
    public static double median(List<Double> of) {
        of.sort(null);
        return of.isEmpty() ? 0 : of.get(of.size() / 2);
    }
}
