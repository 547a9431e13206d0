package dillfront.simulation;

import java.time.Duration;
import java.util.PriorityQueue;

/**
 * Virtual time: what is due runs in the order of its time, and of its asking where times are equal.
 */
public final class VirtualTimeScheduler implements TaskScheduler {

    private record ScheduledTask(long dueNanos, long order, Runnable task) {}

    private final PriorityQueue<ScheduledTask> queue =
            new PriorityQueue<>(
                    (a, b) ->
                            a.dueNanos != b.dueNanos
                                    ? Long.compare(a.dueNanos, b.dueNanos)
                                    : Long.compare(a.order, b.order));
    private long now;
    private long nextOrder;

    @Override
    public Duration now() {
        return Duration.ofNanos(now);
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        queue.add(new ScheduledTask(now + Math.max(0, delay.toNanos()), nextOrder++, task));
    }

    /** Runs all that is due by then. */
    public void runUntil(Duration end) {
        while (!queue.isEmpty() && queue.peek().dueNanos <= end.toNanos()) {
            ScheduledTask next = queue.poll();
            now = next.dueNanos;
            next.task.run();
        }
        now = end.toNanos();
    }
}
