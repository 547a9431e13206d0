package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.common.environment.ManualEnvironment;
import dillfront.common.message.MessageCodec;
import dillfront.common.protocol.ServerRow;
import dillfront.common.protocol.ServerState;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;

/**
 * A data plane with stubbed clients, database servers and a control process. Time passes only when
 * a test advances it.
 */
abstract class DataPlaneHarness {

    static final int TIMEOUT_MS = 1_000;

    /**
     * A stub of a database server. It follows the protocol, unless a test makes it withhold
     * responses, close connections or send other ones.
     */
    final class DatabaseServerStub {
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
    final class ServerConnectionStub implements Environment.Connection {
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

        void handle(String line) {
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

        void respond(String... lines) {
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
    final class ControlProcessStub implements Environment.Connection {
        private final Environment.ConnectionListener listener;
        private boolean closed;

        ControlProcessStub(Environment.ConnectionListener listener) {
            this.listener = listener;
        }

        @Override
        public void send(byte[] message) {
            if (controlSilent) {
                return;
            }
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
                            response.put(
                                    "m", registryRows.stream().map(ServerRow::toFields).toList());
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
                                                moving,
                                                "dt",
                                                drainsTransactions)));
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

    final ManualEnvironment environment =
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
    final Map<String, DatabaseServerStub> servers = new TreeMap<>();
    final List<ServerRow> registryRows = new ArrayList<>();
    long registryVersion = 1;
    long sentRegistryVersion;
    long recordNumber = 1;
    String recordedPrimary = "p";
    boolean moving;
    boolean drainsTransactions;
    boolean primaryConfirmed = true;

    /**
     * Whether the control process answers only after the data plane has abandoned it; the answer is
     * delivered although the connection was closed.
     */
    boolean respondsLate;

    /** Whether the control process answers nothing. */
    boolean controlSilent;

    final List<String> incarnations = new ArrayList<>();
    final DatabaseServerStub serverP = new DatabaseServerStub("p", "10.0.1.1:1");
    final DatabaseServerStub serverR = new DatabaseServerStub("r", "10.0.1.2:1");
    DataPlaneNode node;
    NodeSettings settings;

    @BeforeEach
    void setUp() throws Exception {
        serverP.isPrimary = true;
        register(serverP, "ready");
        register(serverR, "ready");
        NodeSettings nodeSettings =
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
        startNode(nodeSettings);
        advance(50);
    }

    /** Starts the data plane; one that was started before is no longer used. */
    void startNode(NodeSettings nodeSettings) throws Exception {
        startNode(nodeSettings, MemoryBudget.ofHeap());
    }

    void startNode(NodeSettings nodeSettings, MemoryBudget memory) throws Exception {
        settings = nodeSettings;
        sentRegistryVersion = 0;
        node = new DataPlaneNode(environment, nodeSettings, memory);
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
    }

    static String route(String hostName, String kind, long maxStalenessMillis) {
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

    void register(DatabaseServerStub server, String state) {
        register(server, state, ServerRow.UNKNOWN_AGE);
    }

    void register(DatabaseServerStub server, String state, long drainAgeMillis) {
        registryRows.removeIf(row -> row.id().equals(server.id));
        registryRows.add(
                new ServerRow(
                        server.id,
                        "db",
                        server.address,
                        "a",
                        ServerState.parse(state),
                        server.isPrimary ? "primary" : "replica",
                        1,
                        drainAgeMillis,
                        false));
        registryVersion++;
    }

    void advance(long ms) {
        environment.advanceTo(environment.nowMillis() + ms);
    }

    /** A client and the lines that it received. */
    final class ClientStub implements Environment.Connection {
        final ClientSession session = (ClientSession) node.accept();
        final List<String> received = new ArrayList<>();
        final List<String> connectReply;
        boolean isReading = true;
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
        public void setReading(boolean reading) {
            isReading = reading;
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

    void assertReceived(String expected, ClientStub client) {
        assertTrue(
                client.received.stream().anyMatch(l -> l.startsWith(expected)),
                expected + " among " + client.received);
    }
}
