package dillfront.simulation;

import java.time.Duration;
import java.util.PriorityQueue;

/**
 * Scheduler in virtual time. Tasks run in the order of their due time; tasks due at the same time
 * run in the order in which they were scheduled.
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

    /** Runs all tasks due at or before the end and advances the clock to the end. */
    public void until(Duration end) {
        while (!due.isEmpty() && due.peek().nanos <= end.toNanos()) {
            Due next = due.poll();
            now = next.nanos;
            next.work.run();
        }
        now = end.toNanos();
    }
}
