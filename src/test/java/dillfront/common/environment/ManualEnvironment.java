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

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() != b.at()
                                    ? Long.compare(a.at(), b.at())
                                    : Long.compare(a.order(), b.order()));
    private final SplittableRandom random = new SplittableRandom(3);
    private long now;
    private long order;

    /** What was noted, each with its time. */
    public final List<String> log = new ArrayList<>();

    public final void at(long in, Runnable run) {
        events.add(new Event(now + in, order++, run));
    }

    /** All that is to happen up to then. */
    public final void until(long ms) {
        while (!events.isEmpty() && events.peek().at() <= ms) {
            Event e = events.poll();
            now = e.at();
            e.run().run();
        }
        now = ms;
    }

    @Override
    public long nowMillis() {
        return now;
    }

    @Override
    public Timer schedule(long ms, Runnable run) {
        boolean[] off = new boolean[1];
        at(
                ms,
                () -> {
                    if (!off[0]) {
                        run.run();
                    }
                });
        return () -> off[0] = true;
    }

    @Override
    public Connection connect(String address, Framing form, int timeoutMs, ConnectionListener ear) {
        at(1, () -> ear.onClose("refused"));
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
            String address, String path, String json, Map<String, String> headers, int timeoutMs) {
        return CompletableFuture.failedFuture(new IllegalStateException("refused"));
    }

    @Override
    public RandomGenerator random() {
        return random;
    }

    @Override
    public void trace(String event) {
        log.add(now + " " + event);
    }

    @Override
    public void warn(String event) {
        log.add(now + " wrong: " + event);
    }
}
