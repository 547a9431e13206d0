package dillfront.simulation.system;

import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A service's database servers, by the page of what is spoken: one leads, the others get its log
 * over the network.
 */
final class Database {

    /** One commit: its place, which try wrote it, and when it was acknowledged; -1 for not. */
    static final class Commit {
        final LogPosition at;
        final String write;
        long acknowledged = -1;

        Commit(LogPosition at, String write) {
            this.at = at;
            this.write = write;
        }
    }

    /** Who watches what servers run. */
    interface Watch {
        /** A read, write or commit runs, by this connection. */
        void runs(Server at, Connection by, String id, String text, boolean begins);

        void promoted(Server to);

        /** A write that is in this log already is committed there again. */
        void again(Server at, String id);
    }

    final Sim sim;
    final String name;
    final int slots;
    final int limit;
    final double workMs;
    double promoteMs;
    final boolean sync;
    double lagMs = 8;
    final List<Server> servers = new ArrayList<>();
    final Watch watch;
    long term = 1;
    private long stamp;
    final Map<String, String> stamps = new HashMap<>();

    Database(
            Sim sim,
            String name,
            int slots,
            int limit,
            double workMs,
            double promoteMs,
            boolean sync,
            Watch watch) {
        this.sim = sim;
        this.name = name;
        this.slots = slots;
        this.limit = limit;
        this.workMs = workMs;
        this.promoteMs = promoteMs;
        this.sync = sync;
        this.watch = watch;
    }

    Server leader() {
        for (Server s : servers) {
            if (s.leads && s.machine.up) {
                return s;
            }
        }
        return null;
    }

    Server of(String id) {
        return servers.stream().filter(s -> s.id.equals(id)).findFirst().orElse(null);
    }

    /**
     * The named one leads the next term with what it has received and nothing more; others are cut
     * back to it.
     */
    boolean promote(String id) {
        Server to = of(id);
        if (to == null || !to.machine.up || to.machine.dark) {
            return false;
        }
        if (to.leads) {
            return true;
        }
        sim.after(
                promoteMs,
                () -> {
                    if (to.leads || !to.machine.up) {
                        return;
                    }
                    watch.promoted(to);
                    term++;
                    for (Server s : servers) {
                        if (s != to) {
                            s.leads = false;
                            s.cutBack(to.log.size());
                        }
                        s.held = 0;
                    }
                    to.leads = true;
                    to.term = term;
                    to.applied = to.log.size();
                    to.role();
                });
        return true;
    }

    final class Server {
        final Sim.Machine machine;
        final String id;
        final String address;
        boolean leads;
        boolean draining;

        /** It says no more of itself. */
        boolean quiet;

        long term = 1;
        long held;

        /** What was received, and how much of it is applied. */
        final List<Commit> log = new ArrayList<>();

        int applied;

        /** Each answer is lost with this chance. */
        double lost;

        /** It receives nothing, and does not know. */
        boolean deaf;

        /** A new one has nothing before it has copied all of it. */
        long copiedAt;

        private int busy;
        private final List<Runnable> queue = new ArrayList<>();
        int connections;
        Runnable roleTold = () -> {};

        Server(Sim.Machine machine, String id, int port) {
            this.machine = machine;
            this.id = id;
            address = machine.ip + ":" + port;
            servers.add(this);
            open(port);
        }

        void open(int port) {
            machine.listen(port, host -> new Connection(this));
        }

        void role() {
            roleTold.run();
        }

        LogPosition position() {
            return log.isEmpty() ? new LogPosition(1, 0) : log.get(log.size() - 1).at;
        }

        LogPosition appliedPosition() {
            return applied == 0 ? new LogPosition(1, 0) : log.get(applied - 1).at;
        }

        void cutBack(int to) {
            while (log.size() > to) {
                log.remove(log.size() - 1);
            }
            applied = Math.min(applied, log.size());
        }

        /** Gets what the leader has, over the network, and applies it later. */
        void follow(Server leader) {
            if (held != 0
                    || !machine.up
                    || machine.dark
                    || deaf
                    || sim.millis() < copiedAt
                    || leads
                    || !leader.leads
                    || sim.cut(machine, leader.machine)) {
                return;
            }
            boolean got = false;
            while (log.size() < leader.log.size()) {
                log.add(leader.log.get(log.size()));
                got = true;
            }
            if (got) {
                term = leader.term;
                int size = log.size();
                sim.after(
                        lagMs * (0.5 + sim.random.nextDouble()),
                        () -> {
                            if (!leads) {
                                applied = Math.max(applied, Math.min(size, log.size()));
                            }
                        });
            }
        }

        /** A slot for this long, in turn; false where all is full. */
        boolean work(double ms, Runnable done) {
            if (busy >= slots) {
                if (queue.size() >= slots * 8) {
                    return false;
                }
                queue.add(() -> begin(ms, done));
                return true;
            }
            begin(ms, done);
            return true;
        }

        private void begin(double ms, Runnable done) {
            busy++;
            machine.schedule(
                    Math.round(ms),
                    () -> {
                        busy--;
                        if (!queue.isEmpty()) {
                            queue.remove(0).run();
                        }
                        done.run();
                    });
        }

        void stop(boolean power) {
            machine.down(power);
            busy = 0;
            queue.clear();
            connections = 0;
            held = 0;
        }

        void commit(Connection by, String id, List<String> writes, Runnable done) {
            Commit last = null;
            for (String write : writes.isEmpty() ? List.of("") : writes) {
                if (write.isEmpty()) {
                    continue;
                }
                if (log.stream().anyMatch(c -> c.write.equals(write))) {
                    watch.again(this, write);
                }
                last = new Commit(new LogPosition(term, position().index() + 1), write);
                log.add(last);
            }
            applied = log.size();
            if (last == null) {
                done.run();
                return;
            }
            Commit mine = last;
            int size = log.size();
            int life = machine.life;
            boolean[] told = new boolean[1];
            Runnable acknowledge =
                    () -> {
                        if (!told[0] && machine.life == life && machine.up) {
                            told[0] = true;
                            done.run();
                        }
                    };
            if (!sync) {
                acknowledge.run();
            }
            for (Server s : servers) {
                if (s != this) {
                    spread(s, size, acknowledge, mine);
                }
            }
        }

        private void spread(Server to, int size, Runnable acknowledge, Commit mine) {
            sim.after(
                    sim.way(machine, to.machine),
                    () -> {
                        if (!leads || log.size() < size || log.get(size - 1) != mine) {
                            return;
                        }
                        to.follow(this);
                        if (to.log.size() >= size && to.log.get(size - 1) == mine) {
                            sim.after(sim.way(machine, to.machine), acknowledge);
                        } else if (machine.up) {
                            sim.after(20, () -> spread(to, size, acknowledge, mine));
                        }
                    });
        }
    }

    /** A connection at a server. */
    final class Connection implements Environment.ConnectionListener {
        final Server server;
        private Environment.Connection link;
        private boolean started;
        private boolean over;
        final Map<String, String> values = new TreeMap<>();
        final Map<String, String> prepared = new HashMap<>();
        char state = 'I';
        boolean reads;
        final List<String> writes = new ArrayList<>();

        /** The first read, write or commit of its transaction came by this try. */
        String began;

        private final List<String> ahead = new ArrayList<>();
        private boolean running;

        Connection(Server server) {
            this.server = server;
        }

        @Override
        public void onOpen(Environment.Connection opened) {
            link = opened;
            server.connections++;
        }

        @Override
        public void onClose(String why) {
            if (!over) {
                over = true;
                server.connections--;
            }
        }

        private void say(String line) {
            link.send(Sim.bytes(line));
        }

        private void end() {
            link.close();
            onClose("ended");
        }

        @Override
        public void onMessage(byte[] message) {
            ahead.add(Sim.text(message));
            next();
        }

        private void next() {
            while (!running && !over && !ahead.isEmpty()) {
                take(ahead.remove(0));
            }
        }

        private void ready() {
            say("READY " + state + " " + server.appliedPosition());
        }

        private void done(String stamp) {
            say("COMPLETE " + stamp);
            ready();
        }

        private void fail(String code) {
            say("ERROR " + code + " " + server.id);
            if (state == 'T' && !code.equals("BUSY")) {
                state = 'E';
            }
            ready();
        }

        private void take(String line) {
            String[] part = Sim.words(line, 4);
            if (!started) {
                if (!"CONNECT".equals(part[0])
                        || !name.equals(part[1])
                        || part[3] != null && !part[3].equals(server.id)) {
                    say("ERROR WRONGNODE");
                    end();
                } else if (server.connections > limit) {
                    say("ERROR TOOMANY");
                    end();
                } else {
                    started = true;
                    running = true;
                    server.work(
                            12,
                            () -> {
                                running = false;
                                ready();
                                next();
                            });
                }
            } else if (line.equals("GOODBYE")) {
                end();
            } else {
                String[] query = Sim.words(line, 3);
                query(query[1], query[2]);
            }
        }

        private void query(String id, String all) {
            String text = all;
            LogPosition after = null;
            if (text.startsWith("AFTER ")) {
                String[] part = Sim.words(text, 3);
                after = LogPosition.parse(part[1]);
                text = part[2];
            }
            String[] part = Sim.words(text, 4);
            switch (part[0]) {
                case "SET":
                    values.put(part[1], text.substring(text.indexOf(' ', 4) + 1));
                    done("-");
                    break;
                case "RESET":
                    values.clear();
                    prepared.clear();
                    done("-");
                    break;
                case "PREPARE":
                    prepared.put(part[1], part[2] + " " + part[3]);
                    done("-");
                    break;
                case "STATUS":
                    state(server);
                    break;
                case "PAUSE":
                    if (Long.parseLong(part[1]) > Database.this.term && !server.leads) {
                        server.held = Long.parseLong(part[1]);
                    }
                    state(server);
                    break;
                case "RESUME":
                    server.held = 0;
                    state(server);
                    break;
                case "STEPDOWN":
                    if (Long.parseLong(part[1]) > server.term && server.leads) {
                        server.leads = false;
                        server.role();
                    }
                    state(server);
                    break;
                case "BEGIN":
                    reads = "READ".equals(part[1]);
                    if (!reads && !server.leads) {
                        fail("READONLY");
                    } else if (after != null && !server.appliedPosition().covers(after)) {
                        fail("LAGGING");
                    } else {
                        state = 'T';
                        writes.clear();
                        began = null;
                        done("-");
                    }
                    break;
                case "ROLLBACK":
                    state = 'I';
                    writes.clear();
                    done("-");
                    break;
                default:
                    run(id, text, part, after);
            }
        }

        private void state(Server s) {
            say(
                    "ROW "
                            + (s.leads ? "primary" : "replica")
                            + " "
                            + s.term
                            + " "
                            + s.position()
                            + " "
                            + s.held
                            + " 0 "
                            + s.busy
                            + " "
                            + s.connections);
            done("-");
        }

        private void run(String id, String text, String[] part, LogPosition after) {
            String shape = part[0].equals("EXECUTE") ? prepared.get(part[1]) : null;
            boolean commit = part[0].equals("COMMIT");
            boolean write = part[0].equals("WRITE") || shape != null && shape.startsWith("WRITE");
            if (part[0].equals("EXECUTE") && shape == null) {
                fail("UNKNOWN");
                return;
            }
            if (state == 'E') {
                state = commit ? 'I' : 'E';
                fail("MALFORMED");
                return;
            }
            boolean plain = state == 'T' && !reads;
            if ((write || plain && !(commit && writes.isEmpty())) && !server.leads) {
                if (commit) {
                    state = 'I';
                    writes.clear();
                }
                fail("READONLY");
                return;
            }
            if (after != null && !server.appliedPosition().covers(after)) {
                fail("LAGGING");
                return;
            }
            running = true;
            double ms = workMs * (0.4 + 1.2 * sim.random.nextDouble());
            boolean begins = state == 'I' || began == null;
            boolean taken =
                    server.work(
                            ms,
                            () -> {
                                if (over && (state != 'I' || !write)) {
                                    return;
                                }
                                if ((write || plain)
                                        && !server.leads
                                        && !(commit && writes.isEmpty())) {
                                    running = false;
                                    if (commit) {
                                        state = 'I';
                                    }
                                    fail("READONLY");
                                    next();
                                    return;
                                }
                                began = id;
                                watch.runs(
                                        server,
                                        this,
                                        id,
                                        shape == null ? text : shape + " " + text,
                                        begins);
                                if (write) {
                                    writes.add(id);
                                }
                                boolean commits = commit || write && state == 'I';
                                Runnable answer =
                                        () -> {
                                            running = false;
                                            if (over) {
                                                return;
                                            }
                                            if (server.lost > 0
                                                    && sim.random.nextDouble() < server.lost) {
                                                running = true;
                                                return;
                                            }
                                            String is = name + "." + ++stamp;
                                            stamps.put(is, id);
                                            if (!write && !commit) {
                                                say("ROW r" + id);
                                            }
                                            done(is);
                                            next();
                                        };
                                if (commits) {
                                    List<String> all = new ArrayList<>(writes);
                                    writes.clear();
                                    state = 'I';
                                    server.commit(this, id, all, answer);
                                } else {
                                    answer.run();
                                }
                            });
            if (!taken) {
                running = false;
                fail("BUSY");
            }
        }
    }
}
