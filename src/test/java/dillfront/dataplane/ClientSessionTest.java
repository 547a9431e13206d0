package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import dillfront.common.environment.ManualEnvironment;
import dillfront.common.message.MessageCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Sessions of one front between clients and database servers that are played by hand: what is sent
 * where, and how often.
 */
class ClientSessionTest {

    private static final int TIMEOUT = 1_000;

    /**
     * A database server: it answers by the page, unless the test has it be silent, cut or say
     * something else.
     */
    private final class Node {
        final String id;
        final String address;
        long term = 1;
        long number = 5;
        boolean leads;

        /** What is out for ever. */
        Predicate<String> mute = text -> false;

        /** What has its connection end, once the statement has come. */
        Predicate<String> cuts = text -> false;

        final Map<String, String> says = new HashMap<>();

        /** All statements, without their ids, each with the number of its connection. */
        final List<String> heard = new ArrayList<>();

        final List<Wire> open = new ArrayList<>();
        int connections;

        Node(String id, String address) {
            this.id = id;
            this.address = address;
            nodes.put(address, this);
        }

        long count(String text) {
            return heard.stream().filter(h -> h.endsWith(text)).count();
        }
    }

    /** The front's end of a connection to a server. */
    private final class Wire implements Environment.Connection {
        final Environment.ConnectionListener ear;
        final Node to;
        final int number;
        char state = 'I';
        boolean over;

        Wire(Environment.ConnectionListener ear, Node to) {
            this.ear = ear;
            this.to = to;
            number = ++to.connections;
            to.open.add(this);
        }

        @Override
        public void send(byte[] message) {
            for (String line : new String(message, StandardCharsets.ISO_8859_1).split("\r\n")) {
                host.runAfter(1, () -> heard(line));
            }
        }

        private void heard(String line) {
            if (over || line.equals("GOODBYE")) {
                return;
            }
            if (line.startsWith("CONNECT ")) {
                answer("READY I " + to.term + "." + to.number);
                return;
            }
            String text = line.split(" ", 3)[2];
            to.heard.add(number + ": " + text);
            if (to.mute.test(text)) {
                return;
            }
            if (to.cuts.test(text)) {
                over = true;
                to.open.remove(this);
                host.runAfter(1, () -> ear.onClose("broken"));
                return;
            }
            String verb = text.startsWith("AFTER ") ? text.split(" ")[2] : text.split(" ")[0];
            String own = to.says.get(text);
            if (own != null) {
                answer(own.split("\n"));
                return;
            }
            switch (verb) {
                case "BEGIN" -> state = 'T';
                case "COMMIT", "ROLLBACK" -> state = 'I';
                default -> {}
            }
            to.number +=
                    verb.equals("WRITE") || verb.equals("COMMIT") || text.startsWith("EXECUTE W")
                            ? 1
                            : 0;
            String at = "READY " + state + " " + to.term + "." + to.number;
            if (verb.equals("STATUS")) {
                answer(
                        "ROW "
                                + (to.leads ? "primary " : "replica ")
                                + to.term
                                + " "
                                + to.term
                                + "."
                                + to.number
                                + " 0 0 0 1",
                        "COMPLETE -",
                        at);
            } else if (verb.equals("READ")) {
                answer("ROW x", "COMPLETE " + to.id + text.hashCode(), at);
            } else {
                answer("COMPLETE -", at);
            }
        }

        private void answer(String... lines) {
            for (String line : lines) {
                host.runAfter(
                        1,
                        () -> {
                            if (!over) {
                                ear.onMessage(line.getBytes(StandardCharsets.ISO_8859_1));
                            }
                        });
            }
        }

        @Override
        public void close() {
            over = true;
            to.open.remove(this);
        }

        @Override
        public long pendingBytes() {
            return 0;
        }
    }

    /**
     * A control process that answers each question at once, or after a while where nothing is new.
     */
    private final class Control implements Environment.Connection {
        private final Environment.ConnectionListener ear;
        private boolean over;

        Control(Environment.ConnectionListener ear) {
            this.ear = ear;
        }

        @Override
        public void send(byte[] message) {
            Map<String, Object> out = new HashMap<>();
            boolean late = slow;
            try {
                out.put("q", MessageCodec.decode(message).number("q", 0));
                boots.add(MessageCodec.decode(message).string("b"));
            } catch (MessageCodec.MalformedMessageException bad) {
                throw new IllegalStateException(bad);
            }
            host.runAfter(
                    late ? 2_000 : answered < news ? 1 : 300,
                    () -> {
                        if (answered < news || late) {
                            answered = news;
                            out.put("b", late ? "left" : "boot");
                            out.put("r", news);
                            out.put("m", new ArrayList<>(members));
                        }
                        out.put(
                                "p",
                                List.of(Map.of("s", "db", "k", record, "p", primary, "m", moving)));
                        if (sure) {
                            out.put("su", 3_000L);
                        }
                        if (!over || late) {
                            ear.onMessage(MessageCodec.encode(out));
                        }
                    });
        }

        @Override
        public void close() {
            over = true;
        }

        @Override
        public long pendingBytes() {
            return 0;
        }
    }

    private final ManualEnvironment host =
            new ManualEnvironment() {
                @Override
                public Connection connect(
                        String address, Framing form, int timeoutMs, ConnectionListener ear) {
                    Node to = nodes.get(address);
                    Connection link = to != null ? new Wire(ear, to) : new Control(ear);
                    runAfter(1, () -> ear.onOpen(link));
                    return link;
                }
            };
    private final Map<String, Node> nodes = new TreeMap<>();
    private final List<Object> members = new ArrayList<>();
    private long news = 1;
    private long answered;
    private long record = 1;
    private String primary = "p";
    private boolean moving;
    private boolean sure = true;

    /**
     * Control answers only after the front has left it, and the answer is there though the
     * connection was closed.
     */
    private boolean slow;

    private final List<String> boots = new ArrayList<>();
    private final Node p = new Node("p", "10.0.1.1:1");
    private final Node r = new Node("r", "10.0.1.2:1");
    private DataPlaneNode front;

    @BeforeEach
    void start() throws Exception {
        p.leads = true;
        member(p, "ready");
        member(r, "ready");
        NodeSettings settings =
                new NodeSettings(
                        "front",
                        "a",
                        "ra",
                        Map.of("a", "ra"),
                        "10.0.0.9",
                        "10.0.0.9:1",
                        null,
                        null,
                        7_400,
                        List.of("10.0.0.1:2"),
                        true,
                        null,
                        1,
                        1_200,
                        3_500,
                        6_000,
                        null);
        front = new DataPlaneNode(host, settings);
        front.onConfiguration(
                Configuration.parse(
                        ("{\"revision_number\":1,\"routes\":["
                                        + route("new", "primary", 0)
                                        + ","
                                        + route("old", "bounded_staleness", 1_500)
                                        + "],\"services\":[{\"name\":\"db\","
                                        + "\"connection_limit\":60,\"synchronous_replicas\":1}],\"limits\":{\"transaction_idle_ms\":30000}}")
                                .getBytes(StandardCharsets.UTF_8)));
        front.start();
        pass(50);
    }

    private static String route(String host, String kind, long stale) {
        return "{\"name\":\""
                + host
                + "\",\"host_name\":\""
                + host
                + "\",\"path_prefix\":\"/\",\"route_kind\":\""
                + kind
                + "\",\"timeout_ms\":"
                + TIMEOUT
                + ",\"target_latency_ms\":300,\"priority\":1,\"service\":\"db\",\"max_attempts\":2,\"max_staleness_ms\":"
                + stale
                + "}";
    }

    private void member(Node n, String state) {
        members.add(
                Map.of(
                        "i",
                        n.id,
                        "v",
                        "db",
                        "a",
                        n.address,
                        "z",
                        "a",
                        "st",
                        state,
                        "ro",
                        n.leads ? "primary" : "replica",
                        "q",
                        1L));
        news++;
    }

    private void pass(long ms) {
        host.advanceTo(host.nowMillis() + ms);
    }

    /** A client, and the lines that it was sent. */
    private final class Caller implements Environment.Connection {
        final ClientSession session = (ClientSession) front.accept();
        final List<String> got = new ArrayList<>();
        final List<String> welcome;
        private int asked;

        Caller(String database) {
            session.onOpen(this);
            session.onMessage(
                    ("CONNECT " + database + " me").getBytes(StandardCharsets.ISO_8859_1));
            welcome = List.copyOf(got);
            got.clear();
        }

        void ask(String text) {
            session.onMessage(
                    ("QUERY " + ++asked + " " + text).getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Asks, and gives the answer's first word, or the error's code, once it is there. */
        String asks(String text) {
            got.clear();
            ask(text);
            pass(100);
            return got.isEmpty()
                    ? "nothing"
                    : got.get(0).startsWith("ERROR")
                            ? got.get(0).split(" ")[1]
                            : got.get(0).split(" ")[0];
        }

        @Override
        public void send(byte[] message) {
            got.addAll(List.of(new String(message, StandardCharsets.ISO_8859_1).split("\r\n")));
        }

        @Override
        public void close() {
            got.add("closed");
        }

        @Override
        public long pendingBytes() {
            return 0;
        }
    }

    private void answers(String expected, Caller of) {
        assertTrue(
                of.got.stream().anyMatch(l -> l.startsWith(expected)),
                expected + " among " + of.got);
    }

    // ---- what may not be sent twice

    @Test
    void writeWhoseConnectionEndsIsSentOnce() {
        p.cuts = text -> text.startsWith("WRITE");
        Caller c = new Caller("new");
        assertEquals("UNCERTAIN", c.asks("WRITE k d"));
        pass(3_000);
        assertEquals(1, p.count("WRITE k d") + r.count("WRITE k d"));
    }

    @Test
    void writeWithoutAnswerIsSentOnce() {
        p.mute = text -> text.startsWith("WRITE");
        Caller c = new Caller("new");
        c.ask("WRITE k d");
        pass(4_000);
        answers("ERROR TIMEOUT", c);
        assertEquals(1, p.count("WRITE k d") + r.count("WRITE k d"));
    }

    @Test
    void preparedWriteWhoseConnectionEndsIsSentOnce() {
        p.cuts = text -> text.startsWith("EXECUTE");
        Caller c = new Caller("new");
        c.asks("PREPARE a WRITE q");
        assertEquals("UNCERTAIN", c.asks("EXECUTE a k d"));
        pass(3_000);
        assertEquals(1, p.count("EXECUTE Wq k d") + r.count("EXECUTE Wq k d"));
    }

    @Test
    void commitWhoseConnectionEndsIsUncertainOrAborted() {
        p.cuts = text -> text.equals("COMMIT");
        Caller c = new Caller("new");
        c.asks("BEGIN");
        c.asks("WRITE k d");
        assertEquals("UNCERTAIN", c.asks("COMMIT"));
        Caller other = new Caller("new");
        other.asks("BEGIN");
        other.asks("READ k");
        assertEquals("ABORTED", other.asks("COMMIT"));
        pass(3_000);
        assertEquals(2, p.count("COMMIT"));
    }

    @Test
    void writeIsRetriedOnlyWhenItDidNotRun() {
        p.says.put("WRITE k d", "ERROR BUSY p\nREADY I 1.5");
        Caller c = new Caller("new");
        c.ask("WRITE k d");
        pass(200);
        p.says.clear();
        pass(200);
        answers("COMPLETE", c);
        assertTrue(p.count("WRITE k d") > 1);
    }

    @Test
    void transactionWhoseConnectionEndsLaterIsAborted() {
        Caller c = new Caller("new");
        c.asks("BEGIN");
        c.asks("WRITE a d");
        p.cuts = text -> text.startsWith("WRITE b");
        assertEquals("ABORTED", c.asks("WRITE b d"));
        pass(3_000);
        assertEquals(1, p.count("WRITE a d"));
        assertEquals(1, p.count("WRITE b d"));
    }

    // ---- answers

    /** Half an answer: what comes on that connection next could be anybody's. */
    @Test
    void leavesConnectionWithPartialAnswer() {
        Caller c = new Caller("new");
        c.asks("WRITE first d");
        int before = p.connections;
        p.says.put("WRITE k d", "READY I 1.9");
        assertEquals("UNCERTAIN", c.asks("WRITE k d"));
        assertEquals(0, p.open.size());
        assertEquals("COMPLETE", c.asks("WRITE next d"));
        assertEquals(before + 1, p.connections);
    }

    /**
     * The client is gone, and its answer never comes: the connection ends, and the server is not
     * taken for silent for ever.
     */
    @Test
    void abandonsConnectionWithoutAnswer() {
        for (String muted : List.of("READ k", "BEGIN", "ROLLBACK")) {
            p.mute = text -> text.equals(muted);
            Caller c = new Caller("new");
            if (!muted.startsWith("READ")) {
                c.ask("BEGIN");
                pass(20);
            }
            if (!muted.equals("BEGIN")) {
                c.ask("READ " + (muted.equals("READ k") ? "k" : "other"));
                pass(20);
            }
            c.session.onClose("gone");
            pass(3_000);
            p.mute = text -> false;
            assertTrue(
                    p.open.stream().noneMatch(w -> w.state != 'I'),
                    muted + ": " + p.open.size() + " stay open");
            assertEquals(0, front.service("db").servers.get("p").busyConnections, muted);
            Caller next = new Caller("new");
            assertEquals("ROW", next.asks("READ k"), muted);
            next.session.onClose("gone");
        }
    }

    // ---- how old a read may be

    /**
     * A router that lost the lead still answers a COMMIT that wrote nothing: its position says
     * nothing of the newest.
     */
    @Test
    void commitWithoutWriteSetsNoReadFloor() {
        Caller c = new Caller("new");
        c.asks("BEGIN");
        c.asks("READ k");
        pass(200);
        p.leads = false;
        p.number = 2;
        long from = host.nowMillis();
        assertEquals("COMPLETE", c.asks("COMMIT"));
        assertEquals(null, front.service("db").floors.positionSince(from));
    }

    /** Out of touch with control: a former primary does not even run what must be the newest. */
    @Test
    void readIsNotSentToUncertainPrimary() {
        Caller c = new Caller("new");
        sure = false;
        pass(4_000);
        p.leads = false;
        c.ask("READ k");
        pass(1_000);
        answers("ERROR BUSY", c);
        c.asks("BEGIN READ");
        c.ask("READ k");
        pass(1_000);
        answers("ERROR BUSY", c);
        c.asks("ROLLBACK");
        assertEquals(0, p.count("READ k"));
        assertEquals(0, p.count("BEGIN READ"));
        p.leads = true;
        assertEquals("ROW", c.asks("READ k"));
        int at = p.heard.size();
        assertTrue(
                p.heard.get(at - 1).endsWith("READ k") && p.heard.get(at - 2).endsWith("STATUS"),
                p.heard.toString());
    }

    @Test
    void ignoresMessagesOfFormerSource() {
        slow = true;
        pass(400);
        slow = false;
        pass(4_000);
        assertTrue(
                host.events.stream().anyMatch(l -> l.contains("silent")), host.events.toString());
        assertFalse(boots.contains("left"), boots.toString());
    }

    // ---- a server that drains

    private void drains(Node n) {
        members.removeIf(m -> ((Map<?, ?>) m).get("i").equals(n.id));
        member(n, "draining");
        pass(400);
    }

    /** A transaction was opened before; its first statement is what the rule counts. */
    @Test
    void firstStatementDoesNotGoToDrainedServer() {
        Caller c = new Caller("new");
        c.asks("BEGIN");
        assertEquals(1, p.count("BEGIN"));
        drains(p);
        primary = "r";
        r.leads = true;
        r.term = 2;
        p.leads = false;
        record++;
        pass(7_000);
        assertEquals("COMPLETE", c.asks("WRITE k d"));
        assertEquals(0, p.count("WRITE k d"));
        assertEquals(1, r.count("WRITE k d"));
        assertEquals("COMPLETE", c.asks("COMMIT"));
    }

    @Test
    void startedTransactionStaysOnDrainingServer() {
        Caller c = new Caller("new");
        c.asks("BEGIN");
        c.asks("WRITE k d");
        drains(p);
        pass(7_000);
        assertEquals("COMPLETE", c.asks("WRITE l d"));
        assertEquals("COMPLETE", c.asks("COMMIT"));
        assertEquals(1, p.count("WRITE l d"));
    }

    /**
     * A front is in touch 4 s after it was told, and what is in touch sends nothing too late: its
     * time is over by then.
     */
    @Test
    void drainingPrimaryIsLeftInTime() {
        drains(p);
        pass(3_600);
        Caller c = new Caller("new");
        c.ask("WRITE k d");
        pass(3_000);
        assertEquals(0, p.count("WRITE k d"));
        answers("ERROR BUSY", c);
    }

    /** Once another leads, nothing of this front stays on a server that goes on for long. */
    @Test
    void closesConnectionsToDrainingFormerPrimary() {
        Caller c = new Caller("new");
        c.asks("WRITE k d");
        drains(p);
        assertNotEquals(0, p.open.size());
        primary = "r";
        r.leads = true;
        record++;
        pass(600);
        assertEquals(0, p.open.size());
    }

    // ---- what is known of acknowledged commits

    @Test
    void knowsBoundsOfAcknowledgedCommits() {
        Caller c = new Caller("new");
        c.asks("READ k");
        // Another front's commits are in the log as well by then.
        p.says.put("WRITE k d", "COMPLETE s\nREADY I 1.9");
        c.asks("WRITE k d");
        assertEquals(
                new AcknowledgedCommits(new LogPosition(1, 6), new LogPosition(1, 9)),
                front.service("db").acknowledged);
        p.cuts = text -> text.startsWith("WRITE other");
        c.asks("WRITE other d");
        assertEquals(new LogPosition(1, 9), front.service("db").acknowledged.upperBound());
    }

    // ---- the front's own end

    /** What runs is heard to its end; then the transaction is told that nothing of it is kept. */
    @Test
    void tellsOpenTransactionAtShutdown() {
        Caller c = new Caller("new");
        c.asks("BEGIN");
        p.mute = text -> text.startsWith("READ slow");
        front.shutDown(() -> {});
        pass(2_900);
        c.got.clear();
        c.ask("READ slow");
        pass(200);
        assertEquals(List.of(), c.got);
        Wire at = p.open.stream().filter(w -> w.state == 'T').findFirst().orElseThrow();
        at.answer("ROW x", "COMPLETE s", "READY T 1.5");
        pass(20);
        answers("ROW x", c);
        answers("ERROR ABORTED", c);
        assertEquals("closed", c.got.get(c.got.size() - 1));
    }

    /**
     * The platform takes up to two misses, and then some, to see that it is not ready: who comes
     * until then is served once.
     */
    @Test
    void servesLateClientOnce() {
        new Caller("new");
        front.shutDown(() -> {});
        assertFalse(front.isReady());
        pass(2_500);
        Caller c = new Caller("new");
        assertEquals(List.of("READY I -"), c.welcome);
        assertEquals("COMPLETE", c.asks("SET a b"), "what it sets is no operation yet");
        c.asks("READ k");
        answers("ROW x", c);
        assertEquals("closed", c.got.get(c.got.size() - 1));
    }

    /** Its statement would be out when the process ends. */
    @Test
    void rejectsClientThatComesTooLate() {
        Caller held = new Caller("new");
        p.mute = text -> text.startsWith("READ slow");
        front.shutDown(() -> {});
        pass(2_900);
        held.ask("READ slow");
        pass(300);
        Caller c = new Caller("new");
        assertTrue(c.welcome.get(0).startsWith("ERROR BUSY"), c.welcome.toString());
        assertEquals("closed", c.welcome.get(1));
    }

    @Test
    void staysUntilThePlatformSendsNoClients() {
        boolean[] ended = new boolean[1];
        front.shutDown(() -> ended[0] = true);
        pass(2_900);
        assertFalse(ended[0], "a client may still be sent here");
        pass(400);
        assertTrue(ended[0]);
    }

    /**
     * Each front would say so at once, of what none of them does better, and replicas serve
     * meanwhile.
     */
    @Test
    void staysReadyDuringAMove() {
        assertTrue(front.isReady());
        moving = true;
        record++;
        pass(400);
        assertEquals("nothing", new Caller("new").asks("READ k"), "it moves");
        assertTrue(front.isReady());
    }
}
