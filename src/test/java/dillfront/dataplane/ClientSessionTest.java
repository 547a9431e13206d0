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
 * Client sessions of a data plane with stubbed clients and database servers: which statements are
 * sent to which server, and how often.
 */
class ClientSessionTest {

    private static final int TIMEOUT_MS = 1_000;

    /**
     * A stub of a database server. It follows the protocol, unless a test makes it withhold
     * responses, close connections or send other ones.
     */
    private final class DatabaseServerStub {
        final String id;
        final String address;
        long term = 1;
        long logIndex = 5;
        boolean isPrimary;

        /** Statements that are never answered. */
        Predicate<String> unanswered = text -> false;

        /** Statements that close their connection on arrival. */
        Predicate<String> closesConnection = text -> false;

        final Map<String, String> responses = new HashMap<>();

        /** All received statements without their ids, each with the number of its connection. */
        final List<String> received = new ArrayList<>();

        final List<ServerConnectionStub> openConnections = new ArrayList<>();
        int connectionCount;

        DatabaseServerStub(String id, String address) {
            this.id = id;
            this.address = address;
            servers.put(address, this);
        }

        long countReceived(String text) {
            return received.stream().filter(statement -> statement.endsWith(text)).count();
        }
    }

    /** The data plane's end of a connection to a server. */
    private final class ServerConnectionStub implements Environment.Connection {
        final Environment.ConnectionListener listener;
        final DatabaseServerStub server;
        final int number;
        char transactionStatus = 'I';
        boolean closed;

        ServerConnectionStub(Environment.ConnectionListener listener, DatabaseServerStub server) {
            this.listener = listener;
            this.server = server;
            number = ++server.connectionCount;
            server.openConnections.add(this);
        }

        @Override
        public void send(byte[] message) {
            for (String line : new String(message, StandardCharsets.ISO_8859_1).split("\r\n")) {
                environment.runAfter(1, () -> handle(line));
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
                environment.runAfter(1, () -> listener.onClose("broken"));
                return;
            }
            String verb = text.startsWith("AFTER ") ? text.split(" ")[2] : text.split(" ")[0];
            String cannedResponse = server.responses.get(text);
            if (cannedResponse != null) {
                respond(cannedResponse.split("\n"));
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
            String ready = "READY " + transactionStatus + " " + server.term + "." + server.logIndex;
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
                        ready);
            } else if (verb.equals("READ")) {
                respond("ROW x", "COMPLETE " + server.id + text.hashCode(), ready);
            } else {
                respond("COMPLETE -", ready);
            }
        }

        private void respond(String... lines) {
            for (String line : lines) {
                environment.runAfter(
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
     * A stub of a control process: it answers a request at once, or after a delay if there is no
     * update.
     */
    private final class ControlProcessStub implements Environment.Connection {
        private final Environment.ConnectionListener listener;
        private boolean closed;

        ControlProcessStub(Environment.ConnectionListener listener) {
            this.listener = listener;
        }

        @Override
        public void send(byte[] message) {
            Map<String, Object> response = new HashMap<>();
            boolean delayed = respondsLate;
            try {
                response.put("q", MessageCodec.decode(message).number("q", 0));
                incarnations.add(MessageCodec.decode(message).string("b"));
            } catch (MessageCodec.MalformedMessageException malformed) {
                throw new IllegalStateException(malformed);
            }
            environment.runAfter(
                    delayed ? 2_000 : sentRegistryVersion < registryVersion ? 1 : 300,
                    () -> {
                        if (sentRegistryVersion < registryVersion || delayed) {
                            sentRegistryVersion = registryVersion;
                            response.put("b", delayed ? "left" : "boot");
                            response.put("r", registryVersion);
                            response.put("m", new ArrayList<>(registryRows));
                        }
                        response.put(
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
                            response.put("su", 3_000L);
                        }
                        if (!closed || delayed) {
                            listener.onMessage(MessageCodec.encode(response));
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
                        String address,
                        Framing framing,
                        int timeoutMs,
                        ConnectionListener listener) {
                    DatabaseServerStub server = servers.get(address);
                    Connection connection =
                            server != null
                                    ? new ServerConnectionStub(listener, server)
                                    : new ControlProcessStub(listener);
                    runAfter(1, () -> listener.onOpen(connection));
                    return connection;
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
     * Whether the control process answers only after the data plane has abandoned it; the answer is
     * delivered although the connection was closed.
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

    private static String route(String hostName, String kind, long maxStalenessMillis) {
        return "{\"name\":\""
                + hostName
                + "\",\"host_name\":\""
                + hostName
                + "\",\"path_prefix\":\"/\",\"route_kind\":\""
                + kind
                + "\",\"timeout_ms\":"
                + TIMEOUT_MS
                + ",\"target_latency_ms\":300,\"priority\":1,\"service\":\"db\",\"max_attempts\":2,\"max_staleness_ms\":"
                + maxStalenessMillis
                + "}";
    }

    private void register(DatabaseServerStub server, String state) {
        registryRows.add(
                Map.of(
                        "i",
                        server.id,
                        "v",
                        "db",
                        "a",
                        server.address,
                        "z",
                        "a",
                        "st",
                        state,
                        "ro",
                        server.isPrimary ? "primary" : "replica",
                        "q",
                        1L));
        registryVersion++;
    }

    private void advance(long ms) {
        environment.advanceTo(environment.nowMillis() + ms);
    }

    /** A client and the lines that it received. */
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

        /** Sends a statement; returns the first keyword of the reply, or the error code. */
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

    private void assertReceived(String expected, ClientStub client) {
        assertTrue(
                client.received.stream().anyMatch(l -> l.startsWith(expected)),
                expected + " among " + client.received);
    }

    // ---- retries

    @Test
    void writeWhoseConnectionEndsIsSentOnce() {
        serverP.closesConnection = text -> text.startsWith("WRITE");
        ClientStub client = new ClientStub("new");
        assertEquals("UNCERTAIN", client.queryAndWait("WRITE k d"));
        advance(3_000);
        assertEquals(1, serverP.countReceived("WRITE k d") + serverR.countReceived("WRITE k d"));
    }

    @Test
    void writeWithoutResponseIsSentOnce() {
        serverP.unanswered = text -> text.startsWith("WRITE");
        ClientStub client = new ClientStub("new");
        client.query("WRITE k d");
        advance(4_000);
        assertReceived("ERROR TIMEOUT", client);
        assertEquals(1, serverP.countReceived("WRITE k d") + serverR.countReceived("WRITE k d"));
    }

    @Test
    void preparedWriteWhoseConnectionEndsIsSentOnce() {
        serverP.closesConnection = text -> text.startsWith("EXECUTE");
        ClientStub client = new ClientStub("new");
        client.queryAndWait("PREPARE a WRITE q");
        assertEquals("UNCERTAIN", client.queryAndWait("EXECUTE a k d"));
        advance(3_000);
        assertEquals(
                1,
                serverP.countReceived("EXECUTE Wq k d") + serverR.countReceived("EXECUTE Wq k d"));
    }

    @Test
    void commitWhoseConnectionEndsIsUncertainOrAborted() {
        serverP.closesConnection = text -> text.equals("COMMIT");
        ClientStub client = new ClientStub("new");
        client.queryAndWait("BEGIN");
        client.queryAndWait("WRITE k d");
        assertEquals("UNCERTAIN", client.queryAndWait("COMMIT"));
        ClientStub otherClient = new ClientStub("new");
        otherClient.queryAndWait("BEGIN");
        otherClient.queryAndWait("READ k");
        assertEquals("ABORTED", otherClient.queryAndWait("COMMIT"));
        advance(3_000);
        assertEquals(2, serverP.countReceived("COMMIT"));
    }

    @Test
    void writeIsRetriedOnlyWhenItDidNotRun() {
        serverP.responses.put("WRITE k d", "ERROR BUSY p\nREADY I 1.5");
        ClientStub client = new ClientStub("new");
        client.query("WRITE k d");
        advance(200);
        serverP.responses.clear();
        advance(200);
        assertReceived("COMPLETE", client);
        assertTrue(serverP.countReceived("WRITE k d") > 1);
    }

    @Test
    void transactionWhoseConnectionEndsLaterIsAborted() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("BEGIN");
        client.queryAndWait("WRITE a d");
        serverP.closesConnection = text -> text.startsWith("WRITE b");
        assertEquals("ABORTED", client.queryAndWait("WRITE b d"));
        advance(3_000);
        assertEquals(1, serverP.countReceived("WRITE a d"));
        assertEquals(1, serverP.countReceived("WRITE b d"));
    }

    // ---- responses

    /**
     * Guards against reuse of a connection after a partial response, as the next response on it
     * could belong to any request.
     */
    @Test
    void closesConnectionOnPartialResponse() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("WRITE first d");
        int connectionsBefore = serverP.connectionCount;
        serverP.responses.put("WRITE k d", "READY I 1.9");
        assertEquals("UNCERTAIN", client.queryAndWait("WRITE k d"));
        assertEquals(0, serverP.openConnections.size());
        assertEquals("COMPLETE", client.queryAndWait("WRITE next d"));
        assertEquals(connectionsBefore + 1, serverP.connectionCount);
    }

    /**
     * Guards against a connection whose client is gone and whose response never arrives: it must be
     * closed, and the server must not count as unresponsive forever.
     */
    @Test
    void closesConnectionWithoutResponse() {
        for (String unansweredStatement : List.of("READ k", "BEGIN", "ROLLBACK")) {
            serverP.unanswered = text -> text.equals(unansweredStatement);
            ClientStub client = new ClientStub("new");
            if (!unansweredStatement.startsWith("READ")) {
                client.query("BEGIN");
                advance(20);
            }
            if (!unansweredStatement.equals("BEGIN")) {
                client.query("READ " + (unansweredStatement.equals("READ k") ? "k" : "other"));
                advance(20);
            }
            client.session.onClose("gone");
            advance(3_000);
            serverP.unanswered = text -> false;
            assertTrue(
                    serverP.openConnections.stream()
                            .noneMatch(connection -> connection.transactionStatus != 'I'),
                    unansweredStatement
                            + ": "
                            + serverP.openConnections.size()
                            + " connections stay open");
            assertEquals(
                    0, node.service("db").servers.get("p").busyConnections, unansweredStatement);
            ClientStub nextClient = new ClientStub("new");
            assertEquals("ROW", nextClient.queryAndWait("READ k"), unansweredStatement);
            nextClient.session.onClose("gone");
        }
    }

    // ---- staleness of reads

    /**
     * A former primary still acknowledges a COMMIT that wrote nothing. Its position says nothing
     * about the newest commit.
     */
    @Test
    void commitWithoutWriteRecordsNoPrimaryPosition() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("BEGIN");
        client.queryAndWait("READ k");
        advance(200);
        serverP.isPrimary = false;
        serverP.logIndex = 2;
        long commitMillis = environment.nowMillis();
        assertEquals("COMPLETE", client.queryAndWait("COMMIT"));
        assertEquals(null, node.service("db").primaryPositions.lowestPositionSince(commitMillis));
    }

    /**
     * Guards against a read of the newest data at a former primary while the control plane is
     * unreachable.
     */
    @Test
    void readIsNotSentToUnconfirmedPrimary() {
        ClientStub client = new ClientStub("new");
        primaryConfirmed = false;
        advance(4_000);
        serverP.isPrimary = false;
        client.query("READ k");
        advance(1_000);
        assertReceived("ERROR BUSY", client);
        client.queryAndWait("BEGIN READ");
        client.query("READ k");
        advance(1_000);
        assertReceived("ERROR BUSY", client);
        client.queryAndWait("ROLLBACK");
        assertEquals(0, serverP.countReceived("READ k"));
        assertEquals(0, serverP.countReceived("BEGIN READ"));
        serverP.isPrimary = true;
        assertEquals("ROW", client.queryAndWait("READ k"));
        int receivedCount = serverP.received.size();
        assertTrue(
                serverP.received.get(receivedCount - 1).endsWith("READ k")
                        && serverP.received.get(receivedCount - 2).endsWith("STATUS"),
                serverP.received.toString());
    }

    @Test
    void ignoresMessagesOfFormerSource() {
        respondsLate = true;
        advance(400);
        respondsLate = false;
        advance(4_000);
        assertTrue(
                environment.events.stream().anyMatch(l -> l.contains("silent")),
                environment.events.toString());
        assertFalse(incarnations.contains("left"), incarnations.toString());
    }

    // ---- draining servers

    private void startDraining(DatabaseServerStub server) {
        registryRows.removeIf(row -> ((Map<?, ?>) row).get("i").equals(server.id));
        register(server, "draining");
        advance(400);
    }

    /** The transaction was opened before the drain; the time of its first statement counts. */
    @Test
    void firstStatementDoesNotGoToDrainedServer() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("BEGIN");
        assertEquals(1, serverP.countReceived("BEGIN"));
        startDraining(serverP);
        recordedPrimary = "r";
        serverR.isPrimary = true;
        serverR.term = 2;
        serverP.isPrimary = false;
        recordNumber++;
        advance(7_000);
        assertEquals("COMPLETE", client.queryAndWait("WRITE k d"));
        assertEquals(0, serverP.countReceived("WRITE k d"));
        assertEquals(1, serverR.countReceived("WRITE k d"));
        assertEquals("COMPLETE", client.queryAndWait("COMMIT"));
    }

    @Test
    void startedTransactionStaysOnDrainingServer() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("BEGIN");
        client.queryAndWait("WRITE k d");
        startDraining(serverP);
        advance(7_000);
        assertEquals("COMPLETE", client.queryAndWait("WRITE l d"));
        assertEquals("COMPLETE", client.queryAndWait("COMMIT"));
        assertEquals(1, serverP.countReceived("WRITE l d"));
    }

    /**
     * A data plane that was last updated 4 s ago must not send a statement that arrives after the
     * drain time of the server.
     */
    @Test
    void stopsUsingDrainingPrimaryInTime() {
        startDraining(serverP);
        advance(3_600);
        ClientStub client = new ClientStub("new");
        client.query("WRITE k d");
        advance(3_000);
        assertEquals(0, serverP.countReceived("WRITE k d"));
        assertReceived("ERROR BUSY", client);
    }

    /**
     * Guards against idle connections that keep a draining server running after another server has
     * become primary.
     */
    @Test
    void closesConnectionsToDrainingFormerPrimary() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("WRITE k d");
        startDraining(serverP);
        assertNotEquals(0, serverP.openConnections.size());
        recordedPrimary = "r";
        serverR.isPrimary = true;
        recordNumber++;
        advance(600);
        assertEquals(0, serverP.openConnections.size());
    }

    // ---- acknowledged commits

    @Test
    void tracksBoundsOfAcknowledgedCommits() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("READ k");
        // By then, the log also has commits of another data plane.
        serverP.responses.put("WRITE k d", "COMPLETE s\nREADY I 1.9");
        client.queryAndWait("WRITE k d");
        assertEquals(
                new AcknowledgedCommits(new LogPosition(1, 6), new LogPosition(1, 9)),
                node.service("db").acknowledged());
        serverP.closesConnection = text -> text.startsWith("WRITE other");
        client.queryAndWait("WRITE other d");
        assertEquals(new LogPosition(1, 9), node.service("db").acknowledged().upperBound());
    }

    // ---- shutdown

    /** A running statement is completed; then the client learns that its transaction is aborted. */
    @Test
    void abortsOpenTransactionAtShutdown() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("BEGIN");
        serverP.unanswered = text -> text.startsWith("READ slow");
        node.shutDown(() -> {});
        advance(2_900);
        client.received.clear();
        client.query("READ slow");
        advance(200);
        assertEquals(List.of(), client.received);
        ServerConnectionStub connection =
                serverP.openConnections.stream()
                        .filter(candidate -> candidate.transactionStatus == 'T')
                        .findFirst()
                        .orElseThrow();
        connection.respond("ROW x", "COMPLETE s", "READY T 1.5");
        advance(20);
        assertReceived("ROW x", client);
        assertReceived("ERROR ABORTED", client);
        assertEquals("closed", client.received.get(client.received.size() - 1));
    }

    /**
     * The platform may need more than two failed readiness checks to notice that the process is not
     * ready. A client that it routes here before is served once.
     */
    @Test
    void servesClientOnceDuringShutdown() {
        new ClientStub("new");
        node.shutDown(() -> {});
        assertFalse(node.isReady());
        advance(2_500);
        ClientStub client = new ClientStub("new");
        assertEquals(List.of("READY I -"), client.connectReply);
        assertEquals(
                "COMPLETE", client.queryAndWait("SET a b"), "SET does not count as the operation");
        client.queryAndWait("READ k");
        assertReceived("ROW x", client);
        assertEquals("closed", client.received.get(client.received.size() - 1));
    }

    /** The statement of this client could still be running when the process exits. */
    @Test
    void rejectsClientAtEndOfShutdown() {
        ClientStub firstClient = new ClientStub("new");
        serverP.unanswered = text -> text.startsWith("READ slow");
        node.shutDown(() -> {});
        advance(2_900);
        firstClient.query("READ slow");
        advance(300);
        ClientStub client = new ClientStub("new");
        assertTrue(
                client.connectReply.get(0).startsWith("ERROR BUSY"),
                client.connectReply.toString());
        assertEquals("closed", client.connectReply.get(1));
    }

    @Test
    void exitsOnlyAfterPlatformNoticedShutdown() {
        boolean[] exited = new boolean[1];
        node.shutDown(() -> exited[0] = true);
        advance(2_900);
        assertFalse(exited[0], "a client may still be routed here");
        advance(400);
        assertTrue(exited[0]);
    }

    /**
     * Guards against all data planes becoming unready at once during a move, although none of them
     * knows more and replicas still serve reads.
     */
    @Test
    void staysReadyDuringAMove() {
        assertTrue(node.isReady());
        moving = true;
        recordNumber++;
        advance(400);
        assertEquals(
                "nothing", new ClientStub("new").queryAndWait("READ k"), "the primary is moving");
        assertTrue(node.isReady());
    }
}
