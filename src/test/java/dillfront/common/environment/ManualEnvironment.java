package dillfront.common.environment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * A machine whose time passes when the test says so, and which reaches nobody unless the test has
 * it reach someone.
 */
public class ManualEnvironment implements Environment {

    private record Event(long at, long order, Runnable run) {}

    private final PriorityQueue<Event> queue =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() != b.at()
                                    ? Long.compare(a.at(), b.at())
                                    : Long.compare(a.order(), b.order()));
    private final SplittableRandom random = new SplittableRandom(3);
    private long now;
    private long order;

    /** What was noted, each with its time. */
    public final List<String> events = new ArrayList<>();

    public final void runAfter(long delayMillis, Runnable task) {
        queue.add(new Event(now + delayMillis, order++, task));
    }

    /** All that is to happen up to then. */
    public final void advanceTo(long millis) {
        while (!queue.isEmpty() && queue.peek().at() <= millis) {
            Event event = queue.poll();
            now = event.at();
            event.run().run();
        }
        now = millis;
    }

    @Override
    public long nowMillis() {
        return now;
    }

    @Override
    public Timer schedule(long delayMillis, Runnable task) {
        boolean[] cancelled = new boolean[1];
        runAfter(
                delayMillis,
                () -> {
                    if (!cancelled[0]) {
                        task.run();
                    }
                });
        return () -> cancelled[0] = true;
    }

    @Override
    public Connection connect(
            String address, Framing framing, int timeoutMillis, ConnectionListener listener) {
        runAfter(1, () -> listener.onClose("refused"));
        return new Connection() {
            @Override
            public void send(byte[] message) {
                // Nobody hears it.
            }

            @Override
            public void close() {
                // It never was open.
            }

            @Override
            public long pendingBytes() {
                return 0;
            }
        };
    }

    @Override
    public CompletableFuture<HttpResponse> post(
            String address,
            String path,
            String json,
            Map<String, String> headers,
            int timeoutMillis) {
        return CompletableFuture.failedFuture(new IllegalStateException("refused"));
    }

    @Override
    public RandomGenerator random() {
        return random;
    }

    @Override
    public void trace(String event) {
        events.add(now + " " + event);
    }

    @Override
    public void warn(String event) {
        events.add(now + " wrong: " + event);
    }
}
