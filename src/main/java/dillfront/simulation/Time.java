package dillfront.simulation;

import java.time.Duration;
import java.util.PriorityQueue;

/**
 * Virtual time: what is due runs in the order of its time, and of its asking where times are equal.
 */
public final class Time implements Clockwork {

    private record Due(long nanos, long order, Runnable work) {}

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(
                    (a, b) ->
                            a.nanos != b.nanos
                                    ? Long.compare(a.nanos, b.nanos)
                                    : Long.compare(a.order, b.order));
    private long now;
    private long asked;

    @Override
    public Duration now() {
        return Duration.ofNanos(now);
    }

    @Override
    public void after(Duration span, Runnable work) {
        due.add(new Due(now + Math.max(0, span.toNanos()), asked++, work));
    }

    /** Runs all that is due by then. */
    public void until(Duration end) {
        while (!due.isEmpty() && due.peek().nanos <= end.toNanos()) {
            Due next = due.poll();
            now = next.nanos;
            next.work.run();
        }
        now = end.toNanos();
    }
}
