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
 * Simulated time, and a network of machines in it: everything from one seed, so that a day plays
 * the same each time. A machine that is killed resets its connections; one without power, or behind
 * a cut, says nothing more.
 */
final class Sim {

    private record Event(long at, long order, Runnable run) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() != b.at()
                                    ? Long.compare(a.at(), b.at())
                                    : Long.compare(a.order(), b.order()));
    private long now;
    private long order;
    final SplittableRandom random;
    private final Map<String, Machine> listeners = new HashMap<>();

    /** How many cuts lie on the way from one to the other. */
    private final Map<String, Integer> cuts = new HashMap<>();

    /** Ends of connections on which something is held up. */
    private final List<Line> stuck = new ArrayList<>();

    final List<Machine> machines = new ArrayList<>();

    /** What processes noted. */
    final List<String> told = new ArrayList<>();

    /** Sees each message as it is sent. */
    Tap tap = (from, to, kind, message) -> {};

    /** Sees each message before the network has it. */
    interface Tap {

        /**
         * @param kind FRAMES or LINES for a message on a connection; for HTTP the method and path
         *     of a call, or the status of an answer
         */
        void sent(String from, String to, String kind, byte[] message);
    }

    Sim(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Microseconds. */
    long micros() {
        return now;
    }

    long millis() {
        return now / 1_000;
    }

    void at(long micros, Runnable run) {
        events.add(new Event(Math.max(now, micros), order++, run));
    }

    void after(double ms, Runnable run) {
        at(now + Math.round(ms * 1_000), run);
    }

    void until(long ms) {
        while (!events.isEmpty() && events.peek().at() <= ms * 1_000) {
            Event e = events.poll();
            now = e.at();
            e.run().run();
        }
        now = ms * 1_000;
    }

    /** Both ways. */
    void cut(Machine a, Machine b, boolean is) {
        cutWay(a, b, is);
        cutWay(b, a, is);
    }

    /**
     * What the one sends does not reach the other; what waited on open connections arrives once the
     * last cut has ended.
     */
    void cutWay(Machine from, Machine to, boolean is) {
        String way = from.name + " " + to.name;
        if (is) {
            cuts.merge(way, 1, Integer::sum);
        } else if (cuts.merge(way, -1, Integer::sum) <= 0) {
            cuts.remove(way);
            for (Line line : List.copyOf(stuck)) {
                if (line.at == from && line.other.at == to) {
                    stuck.remove(line);
                    after(20 + random.nextDouble() * 300, line::release);
                }
            }
        }
    }

    /** Whether what the one sends does not reach the other. */
    boolean cutWay(Machine from, Machine to) {
        return !cuts.isEmpty() && cuts.containsKey(from.name + " " + to.name);
    }

    /** Whether the way there or back is cut. */
    boolean cut(Machine a, Machine b) {
        return cutWay(a, b) || cutWay(b, a);
    }

    /** One way, in milliseconds. */
    double way(Machine a, Machine b) {
        double base = a == b ? 0.05 : a.zone.equals(b.zone) ? 0.2 : 8;
        return base * (1 + random.nextDouble() * 0.2);
    }

    /** What a machine offers on one of its ports. */
    interface Http {
        CompletableFuture<Environment.HttpResponse> call(
                String method, String path, byte[] body, Map<String, String> headers);
    }

    /** A machine with one process. */
    final class Machine implements Environment {
        final String name;
        final String zone;
        final String ip;
        boolean up = true;

        /** Without power it says nothing, and hears nothing. */
        boolean dark;

        int life;
        private final Map<Integer, Function<Environment, ConnectionListener>> doors =
                new HashMap<>();
        private final Map<Integer, Http> calls = new HashMap<>();
        private final List<Line> lines = new ArrayList<>();
        private final RandomGenerator chance;

        /** The process is paused: what comes to it, and its timers, wait until it goes on. */
        private boolean frozen;

        private final List<Runnable> waiting = new ArrayList<>();

        /** What its steady clock showed when the day began. */
        private long zero;

        Machine(String name, String zone, String ip) {
            this.name = name;
            this.zone = zone;
            this.ip = ip;
            chance = random.split();
            zero = chance.nextInt(1 << 24);
            listeners.put(ip, this);
            machines.add(this);
        }

        void listen(int port, Function<Environment, ConnectionListener> each) {
            doors.put(port, each);
        }

        void serve(int port, Http http) {
            calls.put(port, http);
        }

        /** The process ends; with the power, nobody is told. */
        void down(boolean power) {
            up = false;
            dark = power;
            life++;
            frozen = false;
            waiting.clear();
            doors.clear();
            calls.clear();
            List<Line> open = new ArrayList<>(lines);
            lines.clear();
            for (Line line : open) {
                line.over = true;
                if (power) {
                    line.held.clear();
                } else {
                    line.hangUp();
                }
            }
        }

        void up() {
            if (dark) {
                zero = chance.nextInt(1 << 24) - millis();
            }
            up = true;
            dark = false;
        }

        /** Something for its process: now, or once it goes on. */
        void enter(Runnable run) {
            if (frozen) {
                waiting.add(run);
            } else {
                run.run();
            }
        }

        boolean frozen() {
            return frozen;
        }

        /** Paused for so long; the clock goes on. */
        void freeze(double ms) {
            if (!up || frozen) {
                return;
            }
            frozen = true;
            int mine = life;
            Sim.this.after(
                    ms,
                    () -> {
                        if (life != mine) {
                            return;
                        }
                        frozen = false;
                        List<Runnable> all = new ArrayList<>(waiting);
                        waiting.clear();
                        for (Runnable one : all) {
                            if (life == mine) {
                                enter(one);
                            }
                        }
                    });
        }

        /** All its connections are reset. */
        void reset() {
            for (Line line : List.copyOf(lines)) {
                line.held.clear();
                Line far = line.other;
                line.end("reset");
                if (far != null) {
                    far.held.clear();
                    Sim.this.after(way(this, far.at), () -> far.end("reset"));
                }
            }
        }

        @Override
        public long nowMillis() {
            return zero + millis();
        }

        @Override
        public Timer schedule(long ms, Runnable run) {
            int mine = life;
            boolean[] off = new boolean[1];
            Sim.this.after(
                    ms,
                    () -> {
                        if (life == mine && up) {
                            enter(
                                    () -> {
                                        if (!off[0]) {
                                            run.run();
                                        }
                                    });
                        }
                    });
            return () -> off[0] = true;
        }

        @Override
        public RandomGenerator random() {
            return chance;
        }

        @Override
        public void trace(String event) {
            told.add(millis() + " " + name + " " + event);
        }

        @Override
        public void warn(String event) {
            trace(event);
        }

        boolean reaches(Machine to) {
            return up && !to.dark && !dark && !cutWay(this, to);
        }

        @Override
        public Connection connect(
                String address, Framing form, int timeoutMs, ConnectionListener ear) {
            Line near = new Line(this, form, ear);
            int colon = address.lastIndexOf(':');
            Machine to = listeners.get(address.substring(0, colon));
            int port = Integer.parseInt(address.substring(colon + 1));
            lines.add(near);
            schedule(
                    timeoutMs,
                    () -> {
                        if (near.other == null && !near.over) {
                            near.end("unreachable");
                        }
                    });
            if (to == null) {
                return near;
            }
            Sim.this.after(
                    way(this, to),
                    () -> {
                        if (!reaches(to) || cutWay(to, this) || near.over) {
                            return;
                        }
                        Function<Environment, ConnectionListener> door =
                                to.up ? to.doors.get(port) : null;
                        if (door == null) {
                            Sim.this.after(way(this, to), () -> near.end("refused"));
                            return;
                        }
                        Line far = new Line(to, form, null);
                        far.other = near;
                        to.lines.add(far);
                        to.enter(
                                () -> {
                                    far.ear = door.apply(to);
                                    far.ear.onOpen(far);
                                });
                        int mine = life;
                        Sim.this.after(
                                way(this, to),
                                () -> {
                                    if (life == mine && !near.over) {
                                        near.other = far;
                                        enter(
                                                () -> {
                                                    if (!near.over) {
                                                        near.ear.onOpen(near);
                                                    }
                                                });
                                    } else {
                                        far.end("broken");
                                    }
                                });
                    });
            return near;
        }

        @Override
        public CompletableFuture<HttpResponse> post(
                String address,
                String path,
                String json,
                Map<String, String> headers,
                int timeoutMs) {
            return call(
                    "POST",
                    address,
                    path,
                    json.getBytes(StandardCharsets.UTF_8),
                    headers,
                    timeoutMs);
        }

        CompletableFuture<HttpResponse> call(
                String method,
                String address,
                String path,
                byte[] body,
                Map<String, String> headers,
                int timeoutMs) {
            CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
            int colon = address.lastIndexOf(':');
            Machine to = listeners.get(address.substring(0, colon));
            int port = Integer.parseInt(address.substring(colon + 1));
            int mine = life;
            tap.sent(name, address, method + " " + path + " " + new TreeMap<>(headers), body);
            schedule(
                    timeoutMs,
                    () ->
                            answer.completeExceptionally(
                                    new IllegalStateException("no answer in time")));
            if (to != null) {
                Sim.this.after(
                        2 * way(this, to),
                        () -> {
                            Http http = to.up && reaches(to) ? to.calls.get(port) : null;
                            if (http == null) {
                                if (reaches(to) && !cutWay(to, this)) {
                                    answer.completeExceptionally(
                                            new IllegalStateException("refused"));
                                }
                                return;
                            }
                            int its = to.life;
                            to.enter(
                                    () ->
                                            http.call(method, path, body, headers)
                                                    .whenComplete(
                                                            (is, fault) -> {
                                                                if (fault == null) {
                                                                    tap.sent(
                                                                            to.name,
                                                                            name,
                                                                            is.status()
                                                                                    + " "
                                                                                    + path
                                                                                    + " "
                                                                                    + is.location(),
                                                                            is.body());
                                                                }
                                                                Sim.this.after(
                                                                        way(this, to),
                                                                        () -> {
                                                                            if (its == to.life
                                                                                    && to.reaches(
                                                                                            this)
                                                                                    && life
                                                                                            == mine) {
                                                                                enter(
                                                                                        () ->
                                                                                                answer
                                                                                                        .complete(
                                                                                                                fault
                                                                                                                                == null
                                                                                                                        ? is
                                                                                                                        : new HttpResponse(
                                                                                                                                503,
                                                                                                                                new byte
                                                                                                                                        [0])));
                                                                            }
                                                                        });
                                                            }));
                        });
            }
            return answer;
        }
    }

    /** One end of a connection. Messages come in the order they were sent. */
    final class Line implements Environment.Connection {
        final Machine at;
        final Environment.Framing form;
        private Environment.ConnectionListener ear;
        Line other;
        boolean over;
        private long lastAt;

        /** What a cut holds up, in order. */
        private final ArrayDeque<Runnable> held = new ArrayDeque<>();

        Line(Machine at, Environment.Framing form, Environment.ConnectionListener ear) {
            this.at = at;
            this.form = form;
            this.ear = ear;
        }

        void end(String why) {
            at.enter(
                    () -> {
                        if (!over) {
                            over = true;
                            at.lines.remove(this);
                            ear.onClose(why);
                        }
                    });
        }

        private void pass(Runnable run) {
            Line far = other;
            if (far == null) {
                return;
            }
            lastAt = Math.max(lastAt, now + Math.round(way(at, far.at) * 1_000));
            Sim.this.at(
                    lastAt,
                    () -> {
                        if (far.at.dark) {
                            return;
                        }
                        if (cutWay(at, far.at) || !held.isEmpty()) {
                            if (!at.dark) {
                                held.add(run);
                                if (!stuck.contains(this)) {
                                    stuck.add(this);
                                }
                            }
                        } else {
                            arrive(far, run);
                        }
                    });
        }

        /** Who has no such connection any more says so. */
        private void arrive(Line far, Runnable run) {
            if (!far.over) {
                far.at.enter(run);
            } else if (far.at.up && !over && !cutWay(far.at, at)) {
                Sim.this.after(way(far.at, at), () -> end("reset"));
            }
        }

        private void release() {
            Line far = other;
            while (!held.isEmpty() && !cutWay(at, far.at)) {
                Runnable run = held.poll();
                if (!far.at.dark) {
                    arrive(far, run);
                }
            }
            if (!held.isEmpty() && !stuck.contains(this)) {
                stuck.add(this);
            }
        }

        @Override
        public void send(byte[] message) {
            if (over || other == null) {
                return;
            }
            Line far = other;
            tap.sent(at.name, far.at.name, form.name(), message);
            if (form == Environment.Framing.FRAMES) {
                pass(
                        () -> {
                            if (!far.over) {
                                far.ear.onMessage(message);
                            }
                        });
                return;
            }
            for (String line : new String(message, StandardCharsets.ISO_8859_1).split("\r\n", -1)) {
                byte[] one = line.getBytes(StandardCharsets.ISO_8859_1);
                pass(
                        () -> {
                            if (!far.over) {
                                far.ear.onMessage(one);
                            }
                        });
            }
        }

        private void hangUp() {
            Line far = other;
            pass(() -> far.end("broken"));
        }

        @Override
        public void close() {
            if (!over) {
                over = true;
                at.lines.remove(this);
                hangUp();
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

    static String[] words(String line, int most) {
        return Arrays.copyOf(line.split(" ", most), most);
    }
}
