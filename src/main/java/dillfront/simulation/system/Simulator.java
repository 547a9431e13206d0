package dillfront.simulation.system;

import dillfront.common.environment.Environment;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Simulates time and a network of machines from one seed, so that a run is reproducible. A killed
 * machine resets its connections; a machine that loses power or is cut off stops communicating
 * without a reset.
 */
final class Simulator {

    private record ScheduledEvent(long atMicros, long sequence, Runnable action) {}

    private final PriorityQueue<ScheduledEvent> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.atMicros() != b.atMicros()
                                    ? Long.compare(a.atMicros(), b.atMicros())
                                    : Long.compare(a.sequence(), b.sequence()));
    private long nowMicros;
    private long nextSequence;
    final SplittableRandom random;
    private final Map<String, Machine> machinesByIp = new HashMap<>();

    /** Number of active cuts by sender and receiver. */
    private final Map<String, Integer> cutCounts = new HashMap<>();

    /** Connection ends with messages that a cut holds back. */
    private final List<ConnectionEnd> blockedEnds = new ArrayList<>();

    final List<Machine> machines = new ArrayList<>();

    /** The trace events of all processes. */
    final List<String> traceLog = new ArrayList<>();

    /** Called with each message that is sent. */
    MessageObserver messageObserver = (from, to, kind, message) -> {};

    /** Observes each message before the network delivers it. */
    interface MessageObserver {

        /**
         * @param kind FRAMES or LINES for a message on a connection; for HTTP the method and path
         *     of a request, or the status of a response
         */
        void onSent(String from, String to, String kind, byte[] message);
    }

    Simulator(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Returns the simulated time since the start in microseconds. */
    long micros() {
        return nowMicros;
    }

    long millis() {
        return nowMicros / 1_000;
    }

    void scheduleAt(long micros, Runnable action) {
        events.add(new ScheduledEvent(Math.max(nowMicros, micros), nextSequence++, action));
    }

    void scheduleAfter(double delayMillis, Runnable action) {
        scheduleAt(nowMicros + Math.round(delayMillis * 1_000), action);
    }

    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().atMicros() <= endMillis * 1_000) {
            ScheduledEvent event = events.poll();
            nowMicros = event.atMicros();
            event.action().run();
        }
        nowMicros = endMillis * 1_000;
    }

    /** Blocks or restores both directions between two machines. */
    void cut(Machine a, Machine b, boolean blocked) {
        cutOneWay(a, b, blocked);
        cutOneWay(b, a, blocked);
    }

    /**
     * Blocks or restores one direction. Messages on open connections arrive once the last cut has
     * ended.
     */
    void cutOneWay(Machine from, Machine to, boolean blocked) {
        String path = from.name + " " + to.name;
        if (blocked) {
            cutCounts.merge(path, 1, Integer::sum);
        } else if (cutCounts.merge(path, -1, Integer::sum) <= 0) {
            cutCounts.remove(path);
            for (ConnectionEnd end : List.copyOf(blockedEnds)) {
                if (end.machine == from && end.peer.machine == to) {
                    blockedEnds.remove(end);
                    scheduleAfter(20 + random.nextDouble() * 300, end::releaseBlocked);
                }
            }
        }
    }

    /** Returns whether messages in this direction are blocked. */
    boolean cutOneWay(Machine from, Machine to) {
        return !cutCounts.isEmpty() && cutCounts.containsKey(from.name + " " + to.name);
    }

    /** Returns whether at least one direction is blocked. */
    boolean cut(Machine a, Machine b) {
        return cutOneWay(a, b) || cutOneWay(b, a);
    }

    /** Returns a random one-way latency. */
    double latencyMillis(Machine a, Machine b) {
        double baseMillis = a == b ? 0.05 : a.zone.equals(b.zone) ? 0.2 : 8;
        return baseMillis * (1 + random.nextDouble() * 0.2);
    }

    /** Handles HTTP requests to one port of a machine. */
    interface HttpHandler {
        CompletableFuture<Environment.HttpResponse> handle(
                String method, String path, byte[] body, Map<String, String> headers);
    }

    /** A machine with one process. */
    final class Machine implements Environment {
        final String name;
        final String zone;
        final String ip;
        boolean up = true;

        /** A machine without power neither sends nor receives. */
        boolean poweredOff;

        int incarnation;
        private final Map<Integer, Function<Environment, ConnectionListener>> acceptors =
                new HashMap<>();
        private final Map<Integer, HttpHandler> httpHandlers = new HashMap<>();
        private final List<ConnectionEnd> connections = new ArrayList<>();
        private final RandomGenerator machineRandom;

        /** A paused process handles messages and timers only after it resumes. */
        private boolean paused;

        private final List<Runnable> deferred = new ArrayList<>();

        /** Reading of the monotonic clock at simulated time 0. */
        private long clockOffsetMillis;

        Machine(String name, String zone, String ip) {
            this.name = name;
            this.zone = zone;
            this.ip = ip;
            machineRandom = random.split();
            clockOffsetMillis = machineRandom.nextInt(1 << 24);
            machinesByIp.put(ip, this);
            machines.add(this);
        }

        void listen(int port, Function<Environment, ConnectionListener> acceptor) {
            acceptors.put(port, acceptor);
        }

        void serveHttp(int port, HttpHandler handler) {
            httpHandlers.put(port, handler);
        }

        /** Stops the process; after a power loss its peers are not notified. */
        void down(boolean powerLoss) {
            up = false;
            poweredOff = powerLoss;
            incarnation++;
            paused = false;
            deferred.clear();
            acceptors.clear();
            httpHandlers.clear();
            List<ConnectionEnd> open = new ArrayList<>(connections);
            connections.clear();
            for (ConnectionEnd end : open) {
                end.closed = true;
                if (powerLoss) {
                    end.blocked.clear();
                } else {
                    end.closePeer();
                }
            }
        }

        void up() {
            if (poweredOff) {
                clockOffsetMillis = machineRandom.nextInt(1 << 24) - millis();
            }
            up = true;
            poweredOff = false;
        }

        /** Runs the action now, or after the process resumes. */
        void runOrDefer(Runnable action) {
            if (paused) {
                deferred.add(action);
            } else {
                action.run();
            }
        }

        boolean paused() {
            return paused;
        }

        /** Pauses the process for a while; its clock goes on. */
        void pause(double durationMillis) {
            if (!up || paused) {
                return;
            }
            paused = true;
            int currentIncarnation = incarnation;
            Simulator.this.scheduleAfter(
                    durationMillis,
                    () -> {
                        if (incarnation != currentIncarnation) {
                            return;
                        }
                        paused = false;
                        List<Runnable> actions = new ArrayList<>(deferred);
                        deferred.clear();
                        for (Runnable action : actions) {
                            if (incarnation == currentIncarnation) {
                                runOrDefer(action);
                            }
                        }
                    });
        }

        /** Resets all connections of the machine. */
        void resetConnections() {
            for (ConnectionEnd end : List.copyOf(connections)) {
                end.blocked.clear();
                ConnectionEnd remote = end.peer;
                end.closeWith("reset");
                if (remote != null) {
                    remote.blocked.clear();
                    Simulator.this.scheduleAfter(
                            latencyMillis(this, remote.machine), () -> remote.closeWith("reset"));
                }
            }
        }

        @Override
        public long nowMillis() {
            return clockOffsetMillis + millis();
        }

        @Override
        public Timer schedule(long delayMillis, Runnable action) {
            int currentIncarnation = incarnation;
            boolean[] cancelled = new boolean[1];
            Simulator.this.scheduleAfter(
                    delayMillis,
                    () -> {
                        if (incarnation == currentIncarnation && up) {
                            runOrDefer(
                                    () -> {
                                        if (!cancelled[0]) {
                                            action.run();
                                        }
                                    });
                        }
                    });
            return () -> cancelled[0] = true;
        }

        @Override
        public RandomGenerator random() {
            return machineRandom;
        }

        @Override
        public void trace(String event) {
            traceLog.add(millis() + " " + name + " " + event);
        }

        @Override
        public void warn(String event) {
            trace(event);
        }

        boolean reaches(Machine target) {
            return up && !target.poweredOff && !poweredOff && !cutOneWay(this, target);
        }

        @Override
        public Connection connect(
                String address, Framing framing, int timeoutMillis, ConnectionListener listener) {
            ConnectionEnd localEnd = new ConnectionEnd(this, framing, listener);
            int colon = address.lastIndexOf(':');
            Machine target = machinesByIp.get(address.substring(0, colon));
            int port = Integer.parseInt(address.substring(colon + 1));
            connections.add(localEnd);
            schedule(
                    timeoutMillis,
                    () -> {
                        if (localEnd.peer == null && !localEnd.closed) {
                            localEnd.closeWith("unreachable");
                        }
                    });
            if (target == null) {
                return localEnd;
            }
            Simulator.this.scheduleAfter(
                    latencyMillis(this, target),
                    () -> {
                        if (!reaches(target) || cutOneWay(target, this) || localEnd.closed) {
                            return;
                        }
                        Function<Environment, ConnectionListener> acceptor =
                                target.up ? target.acceptors.get(port) : null;
                        if (acceptor == null) {
                            Simulator.this.scheduleAfter(
                                    latencyMillis(this, target),
                                    () -> localEnd.closeWith(Environment.REFUSED));
                            return;
                        }
                        ConnectionEnd remoteEnd = new ConnectionEnd(target, framing, null);
                        remoteEnd.peer = localEnd;
                        target.connections.add(remoteEnd);
                        target.runOrDefer(
                                () -> {
                                    remoteEnd.listener = acceptor.apply(target);
                                    remoteEnd.listener.onOpen(remoteEnd);
                                });
                        int currentIncarnation = incarnation;
                        Simulator.this.scheduleAfter(
                                latencyMillis(this, target),
                                () -> {
                                    if (incarnation == currentIncarnation && !localEnd.closed) {
                                        localEnd.peer = remoteEnd;
                                        runOrDefer(
                                                () -> {
                                                    if (!localEnd.closed) {
                                                        localEnd.listener.onOpen(localEnd);
                                                    }
                                                });
                                    } else {
                                        remoteEnd.closeWith("broken");
                                    }
                                });
                    });
            return localEnd;
        }

        @Override
        public CompletableFuture<HttpResponse> post(
                String address,
                String path,
                String json,
                Map<String, String> headers,
                int timeoutMillis) {
            return call(
                    "POST",
                    address,
                    path,
                    json.getBytes(StandardCharsets.UTF_8),
                    headers,
                    timeoutMillis);
        }

        CompletableFuture<HttpResponse> call(
                String method,
                String address,
                String path,
                byte[] body,
                Map<String, String> headers,
                int timeoutMillis) {
            CompletableFuture<HttpResponse> result = new CompletableFuture<>();
            int colon = address.lastIndexOf(':');
            Machine target = machinesByIp.get(address.substring(0, colon));
            int port = Integer.parseInt(address.substring(colon + 1));
            int currentIncarnation = incarnation;
            messageObserver.onSent(
                    name, address, method + " " + path + " " + new TreeMap<>(headers), body);
            schedule(
                    timeoutMillis,
                    () ->
                            result.completeExceptionally(
                                    new IllegalStateException("no response within the time-out")));
            if (target != null) {
                Simulator.this.scheduleAfter(
                        2 * latencyMillis(this, target),
                        () -> {
                            HttpHandler handler =
                                    target.up && reaches(target)
                                            ? target.httpHandlers.get(port)
                                            : null;
                            if (handler == null) {
                                if (reaches(target) && !cutOneWay(target, this)) {
                                    result.completeExceptionally(
                                            new IllegalStateException("refused"));
                                }
                                return;
                            }
                            int targetIncarnation = target.incarnation;
                            target.runOrDefer(
                                    () ->
                                            handler.handle(method, path, body, headers)
                                                    .whenComplete(
                                                            (response, failure) -> {
                                                                if (failure == null) {
                                                                    messageObserver.onSent(
                                                                            target.name,
                                                                            name,
                                                                            response.status()
                                                                                    + " "
                                                                                    + path
                                                                                    + " "
                                                                                    + response
                                                                                            .location(),
                                                                            response.body());
                                                                }
                                                                Simulator.this.scheduleAfter(
                                                                        latencyMillis(this, target),
                                                                        () -> {
                                                                            if (targetIncarnation
                                                                                            == target.incarnation
                                                                                    && target
                                                                                            .reaches(
                                                                                                    this)
                                                                                    && incarnation
                                                                                            == currentIncarnation) {
                                                                                runOrDefer(
                                                                                        () ->
                                                                                                result
                                                                                                        .complete(
                                                                                                                failure
                                                                                                                                == null
                                                                                                                        ? response
                                                                                                                        : new HttpResponse(
                                                                                                                                503,
                                                                                                                                new byte
                                                                                                                                        [0])));
                                                                            }
                                                                        });
                                                            }));
                        });
            }
            return result;
        }
    }

    /** One end of a connection, which delivers messages in the order of sending. */
    final class ConnectionEnd implements Environment.Connection {
        final Machine machine;
        final Environment.Framing framing;
        private Environment.ConnectionListener listener;
        ConnectionEnd peer;
        boolean closed;
        private long lastDeliveryMicros;

        /** Messages that a cut holds back, in order. */
        private final ArrayDeque<Runnable> blocked = new ArrayDeque<>();

        ConnectionEnd(
                Machine machine,
                Environment.Framing framing,
                Environment.ConnectionListener listener) {
            this.machine = machine;
            this.framing = framing;
            this.listener = listener;
        }

        void closeWith(String reason) {
            machine.runOrDefer(
                    () -> {
                        if (!closed) {
                            closed = true;
                            machine.connections.remove(this);
                            listener.onClose(reason);
                        }
                    });
        }

        private void transmit(Runnable action) {
            ConnectionEnd remote = peer;
            if (remote == null) {
                return;
            }
            lastDeliveryMicros =
                    Math.max(
                            lastDeliveryMicros,
                            nowMicros + Math.round(latencyMillis(machine, remote.machine) * 1_000));
            Simulator.this.scheduleAt(
                    lastDeliveryMicros,
                    () -> {
                        if (remote.machine.poweredOff) {
                            return;
                        }
                        if (cutOneWay(machine, remote.machine) || !blocked.isEmpty()) {
                            if (!machine.poweredOff) {
                                blocked.add(action);
                                if (!blockedEnds.contains(this)) {
                                    blockedEnds.add(this);
                                }
                            }
                        } else {
                            deliver(remote, action);
                        }
                    });
        }

        /**
         * Delivers to the remote end; a remote machine that no longer has the connection responds
         * with a reset.
         */
        private void deliver(ConnectionEnd remote, Runnable action) {
            if (!remote.closed) {
                remote.machine.runOrDefer(action);
            } else if (remote.machine.up && !closed && !cutOneWay(remote.machine, machine)) {
                Simulator.this.scheduleAfter(
                        latencyMillis(remote.machine, machine), () -> closeWith("reset"));
            }
        }

        private void releaseBlocked() {
            ConnectionEnd remote = peer;
            while (!blocked.isEmpty() && !cutOneWay(machine, remote.machine)) {
                Runnable action = blocked.poll();
                if (!remote.machine.poweredOff) {
                    deliver(remote, action);
                }
            }
            if (!blocked.isEmpty() && !blockedEnds.contains(this)) {
                blockedEnds.add(this);
            }
        }

        @Override
        public void send(byte[] message) {
            if (closed || peer == null) {
                return;
            }
            ConnectionEnd remote = peer;
            messageObserver.onSent(machine.name, remote.machine.name, framing.name(), message);
            if (framing == Environment.Framing.FRAMES) {
                transmit(
                        () -> {
                            if (!remote.closed) {
                                remote.listener.onMessage(message);
                            }
                        });
                return;
            }
            for (String line : new String(message, StandardCharsets.ISO_8859_1).split("\r\n", -1)) {
                byte[] lineBytes = line.getBytes(StandardCharsets.ISO_8859_1);
                transmit(
                        () -> {
                            if (!remote.closed) {
                                remote.listener.onMessage(lineBytes);
                            }
                        });
            }
        }

        private void closePeer() {
            ConnectionEnd remote = peer;
            transmit(() -> remote.closeWith("broken"));
        }

        @Override
        public void close() {
            if (!closed) {
                closed = true;
                machine.connections.remove(this);
                closePeer();
            }
        }

        @Override
        public long pendingBytes() {
            return 0;
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String text(byte[] bytes) {
        return new String(bytes, 0, bytes.length, StandardCharsets.ISO_8859_1);
    }

    static String[] splitFields(String line, int maxParts) {
        return Arrays.copyOf(line.split(" ", maxParts), maxParts);
    }
}
