package dillfront.common.environment;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/** An environment with simulated time and connections that the test scripts. */
public final class ScriptedEnvironment implements Environment {

    private record Event(long at, long order, Runnable run) {}

    /**
     * The remote end of a connection: records what the program sends, and sends what the test says.
     */
    public static final class ScriptedConnection implements Connection {
        public final String address;
        public final List<String> sent = new ArrayList<>();
        public boolean closed;
        private final Framing framing;
        private final ConnectionListener listener;

        public ScriptedConnection(String address, Framing framing, ConnectionListener listener) {
            this.address = address;
            this.framing = framing;
            this.listener = listener;
        }

        public void open() {
            listener.onOpen(this);
        }

        /** Delivers lines to the program in order, unless the connection is closed. */
        public void receive(String... lines) {
            for (String line : lines) {
                if (!closed) {
                    listener.onMessage(line.getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        }

        /** Breaks the connection. */
        public void reset() {
            fail("broken");
        }

        /** Ends the connection, or the attempt to open it, for this reason. */
        public void fail(String reason) {
            if (!closed) {
                closed = true;
                listener.onClose(reason);
            }
        }

        @Override
        public void send(byte[] message) {
            if (!closed) {
                String text = new String(message, StandardCharsets.ISO_8859_1);
                sent.addAll(
                        framing == Framing.LINES
                                ? Arrays.asList(text.split("\r\n"))
                                : List.of(text));
            }
        }

        @Override
        public void close() {
            closed = true;
        }

        @Override
        public long pendingBytes() {
            return 0;
        }

        public String lastSent() {
            return sent.isEmpty() ? "" : sent.get(sent.size() - 1);
        }
    }

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() != b.at()
                                    ? Long.compare(a.at(), b.at())
                                    : Long.compare(a.order(), b.order()));
    private final SplittableRandom random = new SplittableRandom(1);
    private long order;
    private long now = 1_000;
    public final List<ScriptedConnection> connections = new ArrayList<>();
    public final List<String> loggedEvents = new ArrayList<>();

    /** Advances the time and runs the tasks that are due. */
    public void advance(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event next = events.poll();
            now = Math.max(now, next.at());
            next.run().run();
        }
        now = end;
    }

    /**
     * Advances the time without running tasks, as in a paused process: tasks that became due run
     * only at the next {@link #advance}.
     */
    public void pauseProcess(long millis) {
        now += millis;
    }

    public ScriptedConnection lastConnection() {
        return connections.get(connections.size() - 1);
    }

    @Override
    public long nowMillis() {
        return now;
    }

    @Override
    public Timer schedule(long delayMillis, Runnable task) {
        boolean[] cancelled = new boolean[1];
        events.add(
                new Event(
                        now + Math.max(0, delayMillis),
                        order++,
                        () -> {
                            if (!cancelled[0]) {
                                task.run();
                            }
                        }));
        return () -> cancelled[0] = true;
    }

    @Override
    public Connection connect(
            String address, Framing framing, int timeoutMillis, ConnectionListener listener) {
        connections.add(new ScriptedConnection(address, framing, listener));
        return lastConnection();
    }

    @Override
    public CompletableFuture<HttpResponse> post(
            String address,
            String path,
            String json,
            Map<String, String> headers,
            int timeoutMillis) {
        return new CompletableFuture<>();
    }

    @Override
    public RandomGenerator random() {
        return random;
    }

    @Override
    public void trace(String event) {
        loggedEvents.add(event);
    }

    @Override
    public void warn(String event) {
        loggedEvents.add(event);
    }
}
