package dillfront.common.environment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * An environment with simulated time, which the test advances. All connections and requests are
 * refused unless a subclass overrides them.
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

    /** Traced events and warnings, each with its time. */
    public final List<String> events = new ArrayList<>();

    public final void runAfter(long delayMillis, Runnable task) {
        queue.add(new Event(now + delayMillis, order++, task));
    }

    /** Runs all tasks that are due up to this time. */
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
                // Discarded: the connection is refused.
            }

            @Override
            public void close() {
                // The connection was never open.
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
