package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.common.environment.ScriptedEnvironment;
import dillfront.common.protocol.PrimaryRecord;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Random sessions through one data plane to a primary and a replica whose answers are lost, late,
 * cut or refused: each client gets the answers to what it asked, no write takes effect twice, none
 * that was promised not to, and no connection is left behind.
 */
class ConcurrentClientsTest {

    private static final int DAYS = 150;
    private static final int STEPS = 1_500;
    private static final int CLIENTS = 6;
    private static final Set<String> PROMISES =
            Set.of("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY");

    /** One of the database servers' connections. */
    private static final class Conn {
        final ScriptedEnvironment.ScriptedConnection line;
        final boolean primary;
        int done;
        boolean stuck;
        char state = 'I';
        final Map<String, String> values = new TreeMap<>();
        final List<String> writes = new ArrayList<>();

        Conn(ScriptedEnvironment.ScriptedConnection line) {
            this.line = line;
            primary = line.address.equals("10.0.0.8:1");
        }
    }

    /** One client, and what it was told. */
    private static final class Client {
        ScriptedEnvironment.ScriptedConnection line;
        boolean ready;
        char state = 'I';
        String out;
        String text = "";
        int heard;
        final Map<String, String> values = new TreeMap<>();
        final List<String> rows = new ArrayList<>();
        String stamp;
        String code;

        /** The writes of the transaction that is open. */
        List<String> writes = new ArrayList<>();
    }

    private final class Day {
        final long seed;
        final SplittableRandom random;
        final ScriptedEnvironment host = new ScriptedEnvironment();
        final DataPlaneNode front;
        final DatabaseService service;
        final Map<ScriptedEnvironment.ScriptedConnection, Conn> conns = new LinkedHashMap<>();
        final List<Client> clients = new ArrayList<>();
        final Map<String, Client> asked = new HashMap<>();
        final Map<String, Integer> effects = new HashMap<>();
        final Set<String> promised = new HashSet<>();
        final List<String> story = new ArrayList<>();
        int ids;
        int served;
        int cut;
        boolean calm;

        Day(long seed) throws Configuration.InvalidConfigurationException {
            this.seed = seed;
            random = new SplittableRandom(seed);
            front =
                    new DataPlaneNode(
                            host,
                            new NodeSettings(
                                    "f",
                                    "z",
                                    "r",
                                    Map.of("z", "r"),
                                    "10.0.0.1",
                                    "10.0.0.1:80",
                                    "10.0.0.1:81",
                                    null,
                                    7_440,
                                    List.of(),
                                    true,
                                    null,
                                    0,
                                    1_200,
                                    7_000,
                                    6_000,
                                    null));
            front.start();
            front.onConfiguration(
                    Configuration.parse(
                            ("{'revision_number':1,'routes':[{'name':'r','host_name':'h','route_kind':'primary',"
                                            + "'timeout_ms':800,'target_latency_ms':300,'service':'s','max_attempts':2},{'name':'b','host_name':'b',"
                                            + "'route_kind':'bounded_staleness','max_staleness_ms':1000,'timeout_ms':800,'target_latency_ms':300,'service':'s',"
                                            + "'max_attempts':3}],'services':[{'name':'s','connection_limit':24}]}")
                                    .replace('\'', '"')
                                    .getBytes(StandardCharsets.UTF_8)));
            service = front.service("s");
            service.servers.put("i-1", new ServerPool(front, service, "i-1", "10.0.0.8:1", "z"));
            service.servers.put("i-2", new ServerPool(front, service, "i-2", "10.0.0.9:1", "z"));
            service.onRecord(new PrimaryRecord("s", 1, "i-1", false, false));
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new Client());
            }
        }

        void check(boolean is, String what) {
            assertTrue(
                    is,
                    () ->
                            "seed "
                                    + seed
                                    + ": "
                                    + what
                                    + "\n"
                                    + String.join(
                                            "\n",
                                            story.subList(
                                                    Math.max(0, story.size() - 60), story.size())));
        }

        // ---- the servers

        void serve(Conn c) {
            ScriptedEnvironment.ScriptedConnection line = c.line;
            if (c.stuck || c.done >= line.sent.size()) {
                return;
            }
            String next = line.sent.get(c.done++);
            if (next.startsWith("CONNECT")) {
                if (chance(0.03)) {
                    line.reset();
                } else {
                    line.receive(chance(0.02) ? "ERROR TOOMANY" : "READY I 1.1");
                }
                return;
            }
            if (!next.startsWith("QUERY ")) {
                return;
            }
            String[] part = next.split(" ", 3);
            String text = part[2].replaceFirst("^AFTER \\S+ ", "");
            double fault = calm ? 1 : random.nextDouble();
            boolean runs = fault >= 0.12;
            if (fault < 0.04
                    && !text.startsWith("SET")
                    && !text.equals("RESET")
                    && !text.equals("ROLLBACK")) {
                line.receive("ERROR BUSY later", "READY " + c.state + " -");
                return;
            }
            if (fault < 0.07 || !runs && text.equals("ROLLBACK")) {
                story.add("reset before " + part[1] + " " + text);
                cut++;
                c.stuck = true;
                line.reset();
                return;
            }
            if (!runs && !text.startsWith("SET") && text.startsWith("READ")) {
                line.receive("ERROR FAILED it broke", "READY " + c.state + " -");
                return;
            }
            List<String> answer = run(c, part[1], text);
            if (fault < 0.16) {
                story.add("reset after " + part[1] + " " + text);
                cut++;
                c.stuck = true;
                line.reset();
            } else if (fault < 0.18) {
                story.add("lost answer to " + part[1] + " " + text);
                c.stuck = chance(0.5);
            } else {
                line.receive(answer.toArray(new String[0]));
            }
        }

        private boolean chance(double of) {
            return !calm && random.nextDouble() < of;
        }

        private List<String> run(Conn c, String id, String text) {
            String stamp = id.equals("-") ? "-" : "s:" + id;
            List<String> rows = new ArrayList<>();
            if (text.startsWith("SET ")) {
                c.values.put(text.split(" ")[1], text.split(" ")[2]);
            } else if (text.equals("RESET")) {
                c.values.clear();
            } else if (text.equals("STATUS")) {
                rows.add("ROW " + (c.primary ? "primary" : "replica") + " 1 1.5 0 0 0 1");
            } else if (text.startsWith("BEGIN")) {
                check(c.state == 'I', "a transaction begins within another: " + id);
                c.state = 'T';
                c.writes.clear();
            } else if (text.equals("ROLLBACK")) {
                c.state = 'I';
                c.writes.clear();
            } else if (text.equals("COMMIT")) {
                check(c.state == 'T', "a commit outside a transaction: " + id);
                c.writes.forEach(w -> effects.merge(w, 1, Integer::sum));
                c.writes.clear();
                c.state = 'I';
            } else {
                Client by = asked.get(id);
                if (by != null && id.equals(by.out)) {
                    check(
                            c.values.equals(by.values),
                            "PINNED: " + id + " runs with " + c.values + " for " + by.values);
                }
                if (text.startsWith("WRITE ")) {
                    check(c.primary, "a write at a replica: " + id);
                    if (c.state == 'T') {
                        c.writes.add(id);
                    } else {
                        effects.merge(id, 1, Integer::sum);
                    }
                } else {
                    rows.add("ROW r:" + id);
                }
            }
            rows.add("COMPLETE " + stamp);
            rows.add("READY " + c.state + " 1.5");
            return rows;
        }

        /**
         * What had been sent before it was closed may run all the same, and is heard by nobody;
         * what was open rolls back.
         */
        private void ended(Conn c) {
            while (c.done < c.line.sent.size() && random.nextBoolean()) {
                String next = c.line.sent.get(c.done++);
                if (next.startsWith("QUERY ") && !c.stuck) {
                    String[] part = next.split(" ", 3);
                    run(c, part[1], part[2].replaceFirst("^AFTER \\S+ ", ""));
                }
            }
        }

        // ---- the clients

        void ask(Client c) {
            if (c.line == null || c.line.closed) {
                c.line =
                        new ScriptedEnvironment.ScriptedConnection(
                                "client", Environment.Framing.LINES, front.accept());
                c.line.open();
                c.heard = 0;
                c.out = null;
                c.state = 'I';
                c.values.clear();
                c.writes = new ArrayList<>();
                c.ready = false;
                c.line.receive("CONNECT " + (random.nextBoolean() ? "h" : "b") + " me");
                return;
            }
            if (c.out != null || !c.ready) {
                return;
            }
            int kind = random.nextInt(10);
            String text;
            if (c.state == 'E') {
                text = "ROLLBACK";
            } else if (c.state == 'T') {
                text =
                        kind < 3
                                ? "READ k"
                                : kind < 7 ? "WRITE k d" : kind < 9 ? "COMMIT" : "ROLLBACK";
            } else {
                text =
                        kind < 3
                                ? "READ k"
                                : kind < 6
                                        ? "WRITE k d"
                                        : kind < 7
                                                ? "SET v"
                                                        + random.nextInt(2)
                                                        + " x"
                                                        + random.nextInt(3)
                                                : "BEGIN";
            }
            String id = "q" + ++ids;
            c.out = id;
            c.text = text;
            c.rows.clear();
            c.stamp = null;
            c.code = null;
            asked.put(id, c);
            story.add(host.nowMillis() + " client " + clients.indexOf(c) + " " + id + " " + text);
            if (text.startsWith("SET ")) {
                c.values.put(text.split(" ")[1], text.split(" ")[2]);
            }
            if (text.startsWith("WRITE") && c.state == 'T') {
                c.writes.add(id);
            }
            c.line.receive("QUERY " + id + " " + text);
        }

        void hear(Client c) {
            while (c.line != null && c.heard < c.line.sent.size()) {
                String line = c.line.sent.get(c.heard++);
                String[] part = line.split(" ", 3);
                if (part[0].equals("ROW")) {
                    c.rows.add(line.substring(4));
                } else if (part[0].equals("COMPLETE")) {
                    c.stamp = line.substring(9);
                } else if (part[0].equals("ERROR")) {
                    c.code = part[1];
                } else if (!c.ready) {
                    c.ready = true;
                } else {
                    check(c.out != null, "an answer to nothing: " + line);
                    answered(c, part[1].charAt(0));
                }
            }
        }

        private void answered(Client c, char state) {
            String id = c.out;
            c.out = null;
            story.add(
                    host.nowMillis()
                            + " client "
                            + clients.indexOf(c)
                            + " "
                            + id
                            + " has "
                            + (c.code == null ? c.stamp : c.code)
                            + " "
                            + state);
            boolean own =
                    c.text.startsWith("SET") || c.text.equals("BEGIN") || c.text.equals("ROLLBACK");
            boolean single = c.state == 'I' && c.text.startsWith("WRITE");
            if (c.code == null) {
                served++;
                check(
                        c.stamp.equals(own ? "-" : "s:" + id),
                        "MIXED: " + id + " is answered with " + c.stamp);
                check(
                        c.rows.equals(c.text.startsWith("READ") ? List.of("r:" + id) : List.of()),
                        "MIXED: " + id + " has rows " + c.rows);
                if (single || c.text.equals("COMMIT")) {
                    for (String write : single ? List.of(id) : c.writes) {
                        check(
                                effects.getOrDefault(write, 0) == 1,
                                "LOST: " + write + " was acknowledged with " + id);
                    }
                }
            } else if (PROMISES.contains(c.code)) {
                promised.addAll(single ? List.of(id) : c.writes);
            }
            if (c.text.equals("ROLLBACK")) {
                promised.addAll(c.writes);
            }
            if (state == 'I') {
                c.writes = new ArrayList<>();
            }
            c.state = state;
        }

        void step() {
            for (ScriptedEnvironment.ScriptedConnection line : host.connections) {
                conns.computeIfAbsent(
                        line,
                        l -> {
                            if (!l.closed && !chance(0.02)) {
                                l.open();
                            }
                            return new Conn(l);
                        });
            }
            host.connections.clear();
            for (Conn c : new ArrayList<>(conns.values())) {
                if (c.line.closed) {
                    ended(c);
                    conns.remove(c.line);
                } else if (calm || random.nextInt(3) > 0) {
                    serve(c);
                }
            }
            for (Client c : clients) {
                hear(c);
                if (c.line != null && chance(0.004)) {
                    story.add("client " + clients.indexOf(c) + " goes");
                    c.line.reset();
                } else if (!calm && random.nextInt(4) == 0) {
                    ask(c);
                }
            }
            host.advance(random.nextInt(10) == 0 ? random.nextInt(200) : random.nextInt(8));
        }

        void play() {
            for (int i = 0; i < STEPS; i++) {
                step();
            }
            calm = true;
            for (int i = 0; i < 400; i++) {
                step();
                host.advance(20);
            }
            for (Client c : clients) {
                check(
                        c.line == null || c.line.closed || c.out == null,
                        "a client waits for ever: " + c.out);
            }
            effects.forEach((write, times) -> check(times == 1, "TWICE: " + write));
            promised.forEach(
                    write ->
                            check(
                                    !effects.containsKey(write),
                                    "REFUSED: "
                                            + write
                                            + " was promised to be kept nowhere, and is"));
            for (ServerPool s : service.servers.values()) {
                long held =
                        clients.stream()
                                .filter(c -> c.line != null && !c.line.closed && c.state == 'T')
                                .count();
                check(
                        s.busyConnections == 0,
                        s.id + " counts " + s.busyConnections + " that are out");
                check(
                        s.connections.stream()
                                .allMatch(c -> c.oldestSentMillis() == Long.MAX_VALUE),
                        s.id + " has a connection whose answer is awaited for ever");
                check(
                        s.connections.size() - s.idle.size() <= held,
                        s.id
                                + " has "
                                + s.connections.size()
                                + " connections, "
                                + s.idle.size()
                                + " at rest");
                check(s.connecting == 0, s.id + " counts " + s.connecting + " that are dialed");
            }
        }
    }

    @Test
    void eachClientGetsItsOwnAnswersAndNoWriteRunsTwice()
            throws Configuration.InvalidConfigurationException {
        int served = 0;
        int cut = 0;
        for (int seed = 1; seed <= DAYS; seed++) {
            Day day = new Day(seed);
            day.play();
            served += day.served;
            cut += day.cut;
        }
        assertTrue(served > 100 * DAYS, "served " + served);
        assertTrue(cut > 5 * DAYS, "cut " + cut);
    }
}
