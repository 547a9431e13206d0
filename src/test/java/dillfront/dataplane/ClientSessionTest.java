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

    private static final int TIMEOUT_MS = 1_000;

    /**
     * A database server: it answers by the page, unless the test has it be silent, cut or say
     * something else.
     */
    private final class DatabaseServerStub {
        final String id;
        final String address;
        long term = 1;
        long logIndex = 5;
        boolean isPrimary;

        /** What is out for ever. */
        Predicate<String> unanswered = text -> false;

        /** What has its connection end, once the statement has come. */
        Predicate<String> closesConnection = text -> false;

        final Map<String, String> responses = new HashMap<>();

        /** All statements, without their ids, each with the number of its connection. */
        final List<String> received = new ArrayList<>();

        final List<ServerConnectionStub> openConnections = new ArrayList<>();
        int connectionCount;

        DatabaseServerStub(String id, String address) {
            this.id = id;
            this.address = address;
            servers.put(address, this);
        }

        long countReceived(String text) {
            return received.stream().filter(h -> h.endsWith(text)).count();
        }
    }

    /** The front's end of a connection to a server. */
    private final class ServerConnectionStub implements Environment.Connection {
        final Environment.ConnectionListener listener;
        final DatabaseServerStub server;
        final int number;
        char transactionStatus = 'I';
        boolean closed;

        ServerConnectionStub(Environment.ConnectionListener ear, DatabaseServerStub to) {
            this.listener = ear;
            this.server = to;
            number = ++to.connectionCount;
            to.openConnections.add(this);
        }

        @Override
        public void send(byte[] message) {
            for (String line : new String(message, StandardCharsets.ISO_8859_1).split("\r\n")) {
                environment.at(1, () -> handle(line));
            }
        }

        private void handle(String line) {
            if (closed || line.equals("GOODBYE")) {
                return;
            }
            if (line.startsWith("CONNECT ")) {
                respond("READY I " + server.term + "." + server.logIndex);
                return;
            }
            String text = line.split(" ", 3)[2];
            server.received.add(number + ": " + text);
            if (server.unanswered.test(text)) {
                return;
            }
            if (server.closesConnection.test(text)) {
                closed = true;
                server.openConnections.remove(this);
                environment.at(1, () -> listener.onClose("broken"));
                return;
            }
            String verb = text.startsWith("AFTER ") ? text.split(" ")[2] : text.split(" ")[0];
            String own = server.responses.get(text);
            if (own != null) {
                respond(own.split("\n"));
                return;
            }
            switch (verb) {
                case "BEGIN" -> transactionStatus = 'T';
                case "COMMIT", "ROLLBACK" -> transactionStatus = 'I';
                default -> {}
            }
            server.logIndex +=
                    verb.equals("WRITE") || verb.equals("COMMIT") || text.startsWith("EXECUTE W")
                            ? 1
                            : 0;
            String at = "READY " + transactionStatus + " " + server.term + "." + server.logIndex;
            if (verb.equals("STATUS")) {
                respond(
                        "ROW "
                                + (server.isPrimary ? "primary " : "replica ")
                                + server.term
                                + " "
                                + server.term
                                + "."
                                + server.logIndex
                                + " 0 0 0 1",
                        "COMPLETE -",
                        at);
            } else if (verb.equals("READ")) {
                respond("ROW x", "COMPLETE " + server.id + text.hashCode(), at);
            } else {
                respond("COMPLETE -", at);
            }
        }

        private void respond(String... lines) {
            for (String line : lines) {
                environment.at(
                        1,
                        () -> {
                            if (!closed) {
                                listener.onMessage(line.getBytes(StandardCharsets.ISO_8859_1));
                            }
                        });
            }
        }

        @Override
        public void close() {
            closed = true;
            server.openConnections.remove(this);
        }

        @Override
        public long pendingBytes() {
            return 0;
        }
    }

    /**
     * A control process that answers each question at once, or after a while where nothing is new.
     */
    private final class ControlProcessStub implements Environment.Connection {
        private final Environment.ConnectionListener listener;
        private boolean closed;

        ControlProcessStub(Environment.ConnectionListener ear) {
            this.listener = ear;
        }

        @Override
        public void send(byte[] message) {
            Map<String, Object> out = new HashMap<>();
            boolean late = respondsLate;
            try {
                out.put("q", MessageCodec.decode(message).number("q", 0));
                incarnations.add(MessageCodec.decode(message).string("b"));
            } catch (MessageCodec.MalformedMessageException bad) {
                throw new IllegalStateException(bad);
            }
            environment.at(
                    late ? 2_000 : sentRegistryVersion < registryVersion ? 1 : 300,
                    () -> {
                        if (sentRegistryVersion < registryVersion || late) {
                            sentRegistryVersion = registryVersion;
                            out.put("b", late ? "left" : "boot");
                            out.put("r", registryVersion);
                            out.put("m", new ArrayList<>(registryRows));
                        }
                        out.put(
                                "p",
                                List.of(
                                        Map.of(
                                                "s",
                                                "db",
                                                "k",
                                                recordNumber,
                                                "p",
                                                recordedPrimary,
                                                "m",
                                                moving)));
                        if (primaryConfirmed) {
                            out.put("su", 3_000L);
                        }
                        if (!closed || late) {
                            listener.onMessage(MessageCodec.encode(out));
                        }
                    });
        }

        @Override
        public void close() {
            closed = true;
        }

        @Override
        public long pendingBytes() {
            return 0;
        }
    }

    private final ManualEnvironment environment =
            new ManualEnvironment() {
                @Override
                public Connection connect(
                        String address, Framing form, int timeoutMs, ConnectionListener ear) {
                    DatabaseServerStub to = servers.get(address);
                    Connection link =
                            to != null
                                    ? new ServerConnectionStub(ear, to)
                                    : new ControlProcessStub(ear);
                    at(1, () -> ear.onOpen(link));
                    return link;
                }
            };
    private final Map<String, DatabaseServerStub> servers = new TreeMap<>();
    private final List<Object> registryRows = new ArrayList<>();
    private long registryVersion = 1;
    private long sentRegistryVersion;
    private long recordNumber = 1;
    private String recordedPrimary = "p";
    private boolean moving;
    private boolean primaryConfirmed = true;

    /**
     * Control answers only after the front has left it, and the answer is there though the
     * connection was closed.
     */
    private boolean respondsLate;

    private final List<String> incarnations = new ArrayList<>();
    private final DatabaseServerStub serverP = new DatabaseServerStub("p", "10.0.1.1:1");
    private final DatabaseServerStub serverR = new DatabaseServerStub("r", "10.0.1.2:1");
    private DataPlaneNode node;

    @BeforeEach
    void setUp() throws Exception {
        serverP.isPrimary = true;
        register(serverP, "ready");
        register(serverR, "ready");
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
        node = new DataPlaneNode(environment, settings);
        node.onConfiguration(
                Configuration.parse(
                        ("{\"revision_number\":1,\"routes\":["
                                        + route("new", "primary", 0)
                                        + ","
                                        + route("old", "bounded_staleness", 1_500)
                                        + "],\"services\":[{\"name\":\"db\","
                                        + "\"connection_limit\":60,\"synchronous_replicas\":1}],\"limits\":{\"transaction_idle_ms\":30000}}")
                                .getBytes(StandardCharsets.UTF_8)));
        node.start();
        advance(50);
    }

    private static String route(String host, String kind, long stale) {
        return "{\"name\":\""
                + host
                + "\",\"host_name\":\""
                + host
                + "\",\"path_prefix\":\"/\",\"route_kind\":\""
                + kind
                + "\",\"timeout_ms\":"
                + TIMEOUT_MS
                + ",\"target_latency_ms\":300,\"priority\":1,\"service\":\"db\",\"max_attempts\":2,\"max_staleness_ms\":"
                + stale
                + "}";
    }

    private void register(DatabaseServerStub n, String state) {
        registryRows.add(
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
                        n.isPrimary ? "primary" : "replica",
                        "q",
                        1L));
        registryVersion++;
    }

    private void advance(long ms) {
        environment.until(environment.nowMillis() + ms);
    }

    /** A client, and the lines that it was sent. */
    private final class ClientStub implements Environment.Connection {
        final ClientSession session = (ClientSession) node.accept();
        final List<String> received = new ArrayList<>();
        final List<String> connectReply;
        private int lastId;

        ClientStub(String database) {
            session.onOpen(this);
            session.onMessage(
                    ("CONNECT " + database + " me").getBytes(StandardCharsets.ISO_8859_1));
            connectReply = List.copyOf(received);
            received.clear();
        }

        void query(String text) {
            session.onMessage(
                    ("QUERY " + ++lastId + " " + text).getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Asks, and gives the answer's first word, or the error's code, once it is there. */
        String queryAndWait(String text) {
            received.clear();
            query(text);
            advance(100);
            return received.isEmpty()
                    ? "nothing"
                    : received.get(0).startsWith("ERROR")
                            ? received.get(0).split(" ")[1]
                            : received.get(0).split(" ")[0];
        }

        @Override
        public void send(byte[] message) {
            received.addAll(
                    List.of(new String(message, StandardCharsets.ISO_8859_1).split("\r\n")));
        }

        @Override
        public void close() {
            received.add("closed");
        }

        @Override
        public long pendingBytes() {
            return 0;
        }
    }

    private void assertReceived(String expected, ClientStub of) {
        assertTrue(
                of.received.stream().anyMatch(l -> l.startsWith(expected)),
                expected + " among " + of.received);
    }

    // ---- what may not be sent twice

    @Test
    void writeWhoseConnectionEndsIsSentOnce() {
        serverP.closesConnection = text -> text.startsWith("WRITE");
        ClientStub c = new ClientStub("new");
        assertEquals("UNCERTAIN", c.queryAndWait("WRITE k d"));
        advance(3_000);
        assertEquals(1, serverP.countReceived("WRITE k d") + serverR.countReceived("WRITE k d"));
    }

    @Test
    void writeWithoutResponseIsSentOnce() {
        serverP.unanswered = text -> text.startsWith("WRITE");
        ClientStub c = new ClientStub("new");
        c.query("WRITE k d");
        advance(4_000);
        assertReceived("ERROR TIMEOUT", c);
        assertEquals(1, serverP.countReceived("WRITE k d") + serverR.countReceived("WRITE k d"));
    }

    @Test
    void preparedWriteWhoseConnectionEndsIsSentOnce() {
        serverP.closesConnection = text -> text.startsWith("EXECUTE");
        ClientStub c = new ClientStub("new");
        c.queryAndWait("PREPARE a WRITE q");
        assertEquals("UNCERTAIN", c.queryAndWait("EXECUTE a k d"));
        advance(3_000);
        assertEquals(
                1,
                serverP.countReceived("EXECUTE Wq k d") + serverR.countReceived("EXECUTE Wq k d"));
    }

    @Test
    void commitWhoseConnectionEndsIsUncertainOrAborted() {
        serverP.closesConnection = text -> text.equals("COMMIT");
        ClientStub c = new ClientStub("new");
        c.queryAndWait("BEGIN");
        c.queryAndWait("WRITE k d");
        assertEquals("UNCERTAIN", c.queryAndWait("COMMIT"));
        ClientStub other = new ClientStub("new");
        other.queryAndWait("BEGIN");
        other.queryAndWait("READ k");
        assertEquals("ABORTED", other.queryAndWait("COMMIT"));
        advance(3_000);
        assertEquals(2, serverP.countReceived("COMMIT"));
    }

    @Test
    void writeIsRetriedOnlyWhenItDidNotRun() {
        serverP.responses.put("WRITE k d", "ERROR BUSY p\nREADY I 1.5");
        ClientStub c = new ClientStub("new");
        c.query("WRITE k d");
        advance(200);
        serverP.responses.clear();
        advance(200);
        assertReceived("COMPLETE", c);
        assertTrue(serverP.countReceived("WRITE k d") > 1);
    }

    @Test
    void transactionWhoseConnectionEndsLaterIsAborted() {
        ClientStub c = new ClientStub("new");
        c.queryAndWait("BEGIN");
        c.queryAndWait("WRITE a d");
        serverP.closesConnection = text -> text.startsWith("WRITE b");
        assertEquals("ABORTED", c.queryAndWait("WRITE b d"));
        advance(3_000);
        assertEquals(1, serverP.countReceived("WRITE a d"));
        assertEquals(1, serverP.countReceived("WRITE b d"));
    }

    // ---- answers

    /** Half an answer: what comes on that connection next could be anybody's. */
    @Test
    void closesConnectionOnPartialResponse() {
        ClientStub c = new ClientStub("new");
        c.queryAndWait("WRITE first d");
        int before = serverP.connectionCount;
        serverP.responses.put("WRITE k d", "READY I 1.9");
        assertEquals("UNCERTAIN", c.queryAndWait("WRITE k d"));
        assertEquals(0, serverP.openConnections.size());
        assertEquals("COMPLETE", c.queryAndWait("WRITE next d"));
        assertEquals(before + 1, serverP.connectionCount);
    }

    /**
     * The client is gone, and its answer never comes: the connection ends, and the server is not
     * taken for silent for ever.
     */
    @Test
    void closesConnectionWithoutResponse() {
        for (String muted : List.of("READ k", "BEGIN", "ROLLBACK")) {
            serverP.unanswered = text -> text.equals(muted);
            ClientStub c = new ClientStub("new");
            if (!muted.startsWith("READ")) {
                c.query("BEGIN");
                advance(20);
            }
            if (!muted.equals("BEGIN")) {
                c.query("READ " + (muted.equals("READ k") ? "k" : "other"));
                advance(20);
            }
            c.session.onClose("gone");
            advance(3_000);
            serverP.unanswered = text -> false;
            assertTrue(
                    serverP.openConnections.stream().noneMatch(w -> w.transactionStatus != 'I'),
                    muted + ": " + serverP.openConnections.size() + " stay open");
            assertEquals(0, node.service("db").servers.get("p").busyConnections, muted);
            ClientStub next = new ClientStub("new");
            assertEquals("ROW", next.queryAndWait("READ k"), muted);
            next.session.onClose("gone");
        }
    }

    // ---- how old a read may be

    /**
     * A router that lost the lead still answers a COMMIT that wrote nothing: its position says
     * nothing of the newest.
     */
    @Test
    void commitWithoutWriteRecordsNoPrimaryPosition() {
        ClientStub c = new ClientStub("new");
        c.queryAndWait("BEGIN");
        c.queryAndWait("READ k");
        advance(200);
        serverP.isPrimary = false;
        serverP.logIndex = 2;
        long from = environment.nowMillis();
        assertEquals("COMPLETE", c.queryAndWait("COMMIT"));
        assertEquals(null, node.service("db").primaryPositions.lowestPositionSince(from));
    }

    /** Out of touch with control: a former primary does not even run what must be the newest. */
    @Test
    void readIsNotSentToUnconfirmedPrimary() {
        ClientStub c = new ClientStub("new");
        primaryConfirmed = false;
        advance(4_000);
        serverP.isPrimary = false;
        c.query("READ k");
        advance(1_000);
        assertReceived("ERROR BUSY", c);
        c.queryAndWait("BEGIN READ");
        c.query("READ k");
        advance(1_000);
        assertReceived("ERROR BUSY", c);
        c.queryAndWait("ROLLBACK");
        assertEquals(0, serverP.countReceived("READ k"));
        assertEquals(0, serverP.countReceived("BEGIN READ"));
        serverP.isPrimary = true;
        assertEquals("ROW", c.queryAndWait("READ k"));
        int at = serverP.received.size();
        assertTrue(
                serverP.received.get(at - 1).endsWith("READ k")
                        && serverP.received.get(at - 2).endsWith("STATUS"),
                serverP.received.toString());
    }

    @Test
    void ignoresMessagesOfFormerSource() {
        respondsLate = true;
        advance(400);
        respondsLate = false;
        advance(4_000);
        assertTrue(
                environment.log.stream().anyMatch(l -> l.contains("silent")),
                environment.log.toString());
        assertFalse(incarnations.contains("left"), incarnations.toString());
    }

    // ---- a server that drains

    private void startDraining(DatabaseServerStub n) {
        registryRows.removeIf(m -> ((Map<?, ?>) m).get("i").equals(n.id));
        register(n, "draining");
        advance(400);
    }

    /** A transaction was opened before; its first statement is what the rule counts. */
    @Test
    void firstStatementDoesNotGoToDrainedServer() {
        ClientStub c = new ClientStub("new");
        c.queryAndWait("BEGIN");
        assertEquals(1, serverP.countReceived("BEGIN"));
        startDraining(serverP);
        recordedPrimary = "r";
        serverR.isPrimary = true;
        serverR.term = 2;
        serverP.isPrimary = false;
        recordNumber++;
        advance(7_000);
        assertEquals("COMPLETE", c.queryAndWait("WRITE k d"));
        assertEquals(0, serverP.countReceived("WRITE k d"));
        assertEquals(1, serverR.countReceived("WRITE k d"));
        assertEquals("COMPLETE", c.queryAndWait("COMMIT"));
    }

    @Test
    void startedTransactionStaysOnDrainingServer() {
        ClientStub c = new ClientStub("new");
        c.queryAndWait("BEGIN");
        c.queryAndWait("WRITE k d");
        startDraining(serverP);
        advance(7_000);
        assertEquals("COMPLETE", c.queryAndWait("WRITE l d"));
        assertEquals("COMPLETE", c.queryAndWait("COMMIT"));
        assertEquals(1, serverP.countReceived("WRITE l d"));
    }

    /**
     * A front is in touch 4 s after it was told, and what is in touch sends nothing too late: its
     * time is over by then.
     */
    @Test
    void stopsUsingDrainingPrimaryInTime() {
        startDraining(serverP);
        advance(3_600);
        ClientStub c = new ClientStub("new");
        c.query("WRITE k d");
        advance(3_000);
        assertEquals(0, serverP.countReceived("WRITE k d"));
        assertReceived("ERROR BUSY", c);
    }

    /** Once another leads, nothing of this front stays on a server that goes on for long. */
    @Test
    void closesConnectionsToDrainingFormerPrimary() {
        ClientStub c = new ClientStub("new");
        c.queryAndWait("WRITE k d");
        startDraining(serverP);
        assertNotEquals(0, serverP.openConnections.size());
        recordedPrimary = "r";
        serverR.isPrimary = true;
        recordNumber++;
        advance(600);
        assertEquals(0, serverP.openConnections.size());
    }

    // ---- what is known of acknowledged commits

    @Test
    void tracksBoundsOfAcknowledgedCommits() {
        ClientStub c = new ClientStub("new");
        c.queryAndWait("READ k");
        // Another front's commits are in the log as well by then.
        serverP.responses.put("WRITE k d", "COMPLETE s\nREADY I 1.9");
        c.queryAndWait("WRITE k d");
        assertEquals(
                new AcknowledgedCommits(new LogPosition(1, 6), new LogPosition(1, 9)),
                node.service("db").acknowledged);
        serverP.closesConnection = text -> text.startsWith("WRITE other");
        c.queryAndWait("WRITE other d");
        assertEquals(new LogPosition(1, 9), node.service("db").acknowledged.upperBound());
    }

    // ---- the front's own end

    /** What runs is heard to its end; then the transaction is told that nothing of it is kept. */
    @Test
    void abortsOpenTransactionAtShutdown() {
        ClientStub c = new ClientStub("new");
        c.queryAndWait("BEGIN");
        serverP.unanswered = text -> text.startsWith("READ slow");
        node.shutDown(() -> {});
        advance(2_900);
        c.received.clear();
        c.query("READ slow");
        advance(200);
        assertEquals(List.of(), c.received);
        ServerConnectionStub at =
                serverP.openConnections.stream()
                        .filter(w -> w.transactionStatus == 'T')
                        .findFirst()
                        .orElseThrow();
        at.respond("ROW x", "COMPLETE s", "READY T 1.5");
        advance(20);
        assertReceived("ROW x", c);
        assertReceived("ERROR ABORTED", c);
        assertEquals("closed", c.received.get(c.received.size() - 1));
    }

    /**
     * The platform takes up to two misses, and then some, to see that it is not ready: who comes
     * until then is served once.
     */
    @Test
    void servesClientOnceDuringShutdown() {
        new ClientStub("new");
        node.shutDown(() -> {});
        assertFalse(node.isReady());
        advance(2_500);
        ClientStub c = new ClientStub("new");
        assertEquals(List.of("READY I -"), c.connectReply);
        assertEquals("COMPLETE", c.queryAndWait("SET a b"), "what it sets is no operation yet");
        c.queryAndWait("READ k");
        assertReceived("ROW x", c);
        assertEquals("closed", c.received.get(c.received.size() - 1));
    }

    /** Its statement would be out when the process ends. */
    @Test
    void rejectsClientAtEndOfShutdown() {
        ClientStub held = new ClientStub("new");
        serverP.unanswered = text -> text.startsWith("READ slow");
        node.shutDown(() -> {});
        advance(2_900);
        held.query("READ slow");
        advance(300);
        ClientStub c = new ClientStub("new");
        assertTrue(c.connectReply.get(0).startsWith("ERROR BUSY"), c.connectReply.toString());
        assertEquals("closed", c.connectReply.get(1));
    }

    @Test
    void exitsOnlyAfterPlatformNoticedShutdown() {
        boolean[] ended = new boolean[1];
        node.shutDown(() -> ended[0] = true);
        advance(2_900);
        assertFalse(ended[0], "a client may still be sent here");
        advance(400);
        assertTrue(ended[0]);
    }

    /**
     * Each front would say so at once, of what none of them does better, and replicas serve
     * meanwhile.
     */
    @Test
    void staysReadyDuringAMove() {
        assertTrue(node.isReady());
        moving = true;
        recordNumber++;
        advance(400);
        assertEquals("nothing", new ClientStub("new").queryAndWait("READ k"), "it moves");
        assertTrue(node.isReady());
    }
}
