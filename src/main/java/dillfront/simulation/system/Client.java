package dillfront.simulation.system;

import dillfront.common.environment.Environment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One client session that asks one operation after the other, each again where the page lets it.
 */
final class Client implements Environment.ConnectionListener {

    private static final List<String> PROMISES =
            List.of("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY");
    private static final int TRIES = 3;

    private final Day day;
    private final int number;
    final String kind;
    final String database;
    private final String host;
    final long stale;
    final Map<String, String> values = new TreeMap<>();
    final Map<String, String> prepared = new HashMap<>();
    long token;
    private Environment.Connection link;
    private boolean ready;
    private boolean open;
    private long life;
    // The operation.
    private List<String> plan = new ArrayList<>();
    private int step;
    private int tries;
    private int asked;
    private boolean transaction;
    private boolean wrote;
    private boolean sentLast;
    private Audit.Try first;
    private String out;
    private String code;
    private String stamp;
    private long began;
    private boolean busy;

    Client(Day day, int number, String kind, String database, String host, long stale) {
        this.day = day;
        this.number = number;
        this.kind = kind;
        this.database = database;
        this.host = host;
        this.stale = stale;
    }

    void start() {
        day.sim.after(day.sim.random.nextDouble() * 1_000, this::operation);
    }

    private void connect() {
        values.clear();
        prepared.clear();
        ready = false;
        open = true;
        // Each connection is a session; what another knew of its writes is not this one's.
        token = 0;
        long mine = ++life;
        Sim.Machine to = day.front(number);
        if (to == null) {
            day.sim.after(100, this::retryConnect);
            return;
        }
        link = day.clients.connect(to.ip + ":" + Day.FRONT, Environment.Framing.LINES, 1_000, this);
        day.sim.after(
                2_000,
                () -> {
                    if (life == mine && !ready) {
                        gone(true);
                    }
                });
    }

    private void retryConnect() {
        open = false;
        failed(true);
    }

    private void operation() {
        if (day.over() || busy) {
            return;
        }
        began = day.sim.millis();
        busy = true;
        tries = 0;
        plan = plan();
        day.owed++;
        again();
    }

    private List<String> plan() {
        var random = day.sim.random;
        List<String> steps = new ArrayList<>();
        transaction = random.nextDouble() < 0.35;
        boolean writes = !kind.equals("bounded") && random.nextDouble() < 0.35;
        if (random.nextDouble() < 0.1) {
            steps.add("SET v" + random.nextInt(2) + " x" + random.nextInt(3));
        }
        String shape = (writes ? "WRITE q" : "READ q") + random.nextInt(3);
        boolean names = random.nextDouble() < 0.2;
        if (names) {
            steps.add("PREPARE p" + random.nextInt(2) + " " + shape);
        }
        if (transaction) {
            steps.add(writes ? "BEGIN" : "BEGIN READ");
        }
        int many = transaction ? 1 + random.nextInt(4) : 1;
        for (int i = 0; i < many; i++) {
            String thing = "k" + random.nextInt(50);
            steps.add(
                    names
                            ? "EXECUTE "
                                    + steps.stream()
                                            .filter(x -> x.startsWith("PREPARE"))
                                            .findFirst()
                                            .orElseThrow()
                                            .split(" ")[1]
                                    + " "
                                    + thing
                                    + (writes ? " d" : "")
                            : writes ? "WRITE " + thing + " d" : "READ " + thing);
        }
        if (transaction) {
            steps.add(random.nextDouble() < 0.1 ? "ROLLBACK" : "COMMIT");
        }
        return steps;
    }

    private void again() {
        step = 0;
        wrote = false;
        sentLast = false;
        first = null;
        tries++;
        if (!open) {
            connect();
        } else if (ready) {
            next();
        }
    }

    private void next() {
        if (step >= plan.size()) {
            day.served++;
            rest();
            return;
        }
        String text = plan.get(step);
        String id = "c" + number + "-" + ++asked;
        out = id;
        code = null;
        stamp = null;
        boolean control = text.startsWith("SET") || text.startsWith("PREPARE");
        Audit.Try is = new Audit.Try(id, day.sim.micros(), this, control ? null : first);
        if (!control && first == null) {
            first = is;
        }
        day.audit.tries.put(id, is);
        boolean write =
                text.startsWith("WRITE") || text.startsWith("EXECUTE") && text.endsWith(" d");
        wrote |= write;
        sentLast = text.equals("COMMIT") || write && !transaction;
        link.send(Sim.bytes("QUERY " + id + " " + text));
        long mine = life;
        day.sim.after(
                3_000,
                () -> {
                    if (life == mine && id.equals(out)) {
                        gone(true);
                    }
                });
    }

    @Override
    public void onOpen(Environment.Connection opened) {
        link = opened;
        link.send(Sim.bytes("CONNECT " + host + " c" + number));
    }

    @Override
    public void onMessage(byte[] message) {
        String line = Sim.text(message);
        if (line.startsWith("READY ")) {
            if (!ready) {
                ready = true;
                if (busy) {
                    next();
                }
            } else {
                answered(line.charAt(6));
            }
        } else if (line.startsWith("ROW ")) {
            if (!line.equals("ROW r" + out)) {
                day.audit.wrongCaller(out, line);
            }
        } else if (line.startsWith("COMPLETE ")) {
            stamp = line.substring(9);
        } else if (line.startsWith("ERROR ")) {
            code = Sim.words(line, 3)[1];
        }
    }

    private void answered(char state) {
        if (out == null) {
            return;
        }
        String id = out;
        out = null;
        String text = plan.get(step);
        if (code == null) {
            boolean runs =
                    text.startsWith("READ")
                            || text.startsWith("WRITE")
                            || text.startsWith("EXECUTE")
                            || text.equals("COMMIT");
            if (runs && !id.equals(day.stamp(database, stamp))) {
                day.audit.wrongCaller(id, stamp);
            }
            if (text.startsWith("SET")) {
                String[] part = Sim.words(text, 3);
                values.put(part[1], part[2]);
            } else if (text.startsWith("PREPARE")) {
                String[] part = Sim.words(text, 3);
                prepared.put(part[1], part[2]);
            } else if (sentLast && wrote) {
                token =
                        Math.max(
                                token,
                                day.audit.acknowledge(
                                        database, text.equals("COMMIT") ? lastWrite : id));
            }
            if (text.startsWith("WRITE") || text.startsWith("EXECUTE") && text.endsWith(" d")) {
                lastWrite = id;
            }
            step++;
            long mine = life;
            day.sim.after(
                    transaction ? 5 : 0,
                    () -> {
                        if (life == mine && ready) {
                            next();
                        }
                    });
            return;
        }
        boolean promise = PROMISES.contains(code);
        if (promise && first != null) {
            first.promised = true;
        }
        boolean mayAgain = promise || code.equals("FAILED") && !wrote || !sentLast || !wrote;
        if (state != 'I') {
            link.send(Sim.bytes("QUERY c" + number + "-end" + ++asked + " ROLLBACK"));
            // What it answers is not waited for: the connection is left.
            link.close();
            open = false;
            ready = false;
            life++;
        }
        failed(mayAgain);
    }

    private String lastWrite = "";

    /** Of what is to come next there is one at a time. */
    private long turn;

    private void gone(boolean fault) {
        if (!open) {
            return;
        }
        open = false;
        ready = false;
        life++;
        out = null;
        if (link != null) {
            link.close();
        }
        if (busy) {
            failed(!(sentLast && wrote));
        }
    }

    @Override
    public void onClose(String why) {
        gone(!why.isEmpty());
    }

    private void failed(boolean mayAgain) {
        out = null;
        long mine = ++turn;
        if (mayAgain && tries < TRIES && day.sim.millis() - began < 6_000) {
            day.sim.after(
                    80 * tries + day.sim.random.nextInt(40),
                    () -> {
                        if (turn == mine) {
                            again();
                        }
                    });
        } else {
            rest();
        }
    }

    private void rest() {
        busy = false;
        out = null;
        turn++;
        day.sim.after(200 + day.sim.random.nextInt(600), this::operation);
    }
}
