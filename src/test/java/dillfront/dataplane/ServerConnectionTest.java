package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.common.environment.ScriptedEnvironment;
import dillfront.common.protocol.PrimaryRecord;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A client session and a connection to one database server: which client gets each response, and
 * which statements are retried.
 */
class ServerConnectionTest {

    private final ScriptedEnvironment environment = new ScriptedEnvironment();
    private DataPlaneNode node;
    private DatabaseService service;
    private ScriptedEnvironment.ScriptedConnection client;

    @BeforeEach
    void setUp() throws Configuration.InvalidConfigurationException {
        NodeSettings settings =
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
                        null);
        node = new DataPlaneNode(environment, settings);
        node.start();
        node.onConfiguration(
                Configuration.parse(
                        ("{'revision_number':1,'routes':[{'name':'r','host_name':'h','route_kind':'primary',"
                                        + "'timeout_ms':800,'target_latency_ms':300,'service':'s','max_attempts':2}],'services':[{'name':'s',"
                                        + "'connection_limit':100}]}")
                                .replace('\'', '"')
                                .getBytes(StandardCharsets.UTF_8)));
        service = node.service("s");
        service.servers.put("i-1", new ServerPool(node, service, "i-1", "10.0.0.9:1", "z"));
        service.onRecord(new PrimaryRecord("s", 1, "i-1", false, false));
        client = client();
    }

    private ScriptedEnvironment.ScriptedConnection client() {
        ScriptedEnvironment.ScriptedConnection connection =
                new ScriptedEnvironment.ScriptedConnection(
                        "client", Environment.Framing.LINES, node.accept());
        connection.open();
        connection.receive("CONNECT h me");
        assertEquals("READY I -", connection.lastSent());
        connection.sent.clear();
        return connection;
    }

    private ScriptedEnvironment.ScriptedConnection connectedServer() {
        ScriptedEnvironment.ScriptedConnection connection = environment.lastConnection();
        if (connection.sent.isEmpty()) {
            connection.open();
            assertEquals("CONNECT s f i-1", connection.lastSent());
            connection.receive("READY I 1.1");
        }
        return connection;
    }

    private List<String> takeReceived(ScriptedEnvironment.ScriptedConnection connection) {
        List<String> lines = List.copyOf(connection.sent);
        connection.sent.clear();
        return lines;
    }

    @Test
    void responseReachesItsClient() {
        client.receive("QUERY a1 WRITE k d");
        ScriptedEnvironment.ScriptedConnection connection = connectedServer();
        assertEquals("QUERY a1 WRITE k d", connection.lastSent());
        ScriptedEnvironment.ScriptedConnection otherClient = client();
        otherClient.receive("QUERY b1 WRITE k e");
        connection.receive("COMPLETE s1", "READY I 1.2");
        assertEquals(List.of("COMPLETE s1", "READY I 1.2"), takeReceived(client));
        assertTrue(otherClient.sent.isEmpty());
        assertEquals("QUERY b1 WRITE k e", connection.lastSent(), "the connection is reused");
        connection.receive("COMPLETE s2", "READY I 1.3");
        assertEquals(List.of("COMPLETE s2", "READY I 1.3"), takeReceived(otherClient));
    }

    /**
     * Guards against an unrequested response that stays unread in an idle connection and reaches
     * the next borrower.
     */
    @Test
    void closesConnectionOnUnrequestedResponse() {
        for (String unrequested :
                new String[] {
                    "ROW other", "COMPLETE other", "ERROR ABORTED it ends", "READY I 1.9"
                }) {
            client.receive("QUERY a1 WRITE k d");
            ScriptedEnvironment.ScriptedConnection connection = connectedServer();
            connection.receive("COMPLETE s1", "READY I 1.2");
            takeReceived(client);
            connection.receive(unrequested);
            client.receive("QUERY a2 WRITE k d");
            ScriptedEnvironment.ScriptedConnection nextConnection = connectedServer();
            assertTrue(
                    connection.closed && nextConnection != connection,
                    unrequested + ": the connection is closed");
            nextConnection.receive("COMPLETE s2", "READY I 1.3");
            assertEquals(List.of("COMPLETE s2", "READY I 1.3"), takeReceived(client), unrequested);
            nextConnection.reset();
        }
    }

    /** Guards against an unrequested response before the connection is established. */
    @Test
    void closesConnectionOnResponseBeforeReady() {
        client.receive("QUERY a1 READ k");
        ScriptedEnvironment.ScriptedConnection connection = environment.lastConnection();
        connection.open();
        connection.receive("ROW other", "READY I 1.1");
        assertTrue(connection.closed);
        assertFalse(connection.sent.toString().contains("QUERY"), connection.sent.toString());
    }

    /**
     * Guards against a partial or duplicate response, after which the next statement on the
     * connection would get a response to an earlier one.
     */
    @Test
    void closesConnectionOnPartialOrDuplicateResponse() {
        for (String[] lines :
                new String[][] {
                    {"ROW r", "READY I 1.2"},
                    {"READY I 1.2"},
                    {"COMPLETE s", "COMPLETE t"},
                    {"ERROR BUSY x", "COMPLETE t"},
                    {"COMPLETE s", "ROW r"},
                    {"NOTHING of the wire"}
                }) {
            client.receive("QUERY a1 WRITE k d");
            ScriptedEnvironment.ScriptedConnection connection = connectedServer();
            connection.receive(lines);
            assertTrue(connection.closed, String.join(", ", lines));
            assertEquals(
                    "ERROR UNCERTAIN the connection ended",
                    client.sent.get(0),
                    String.join(", ", lines));
            takeReceived(client);
        }
    }

    /**
     * Guards against a write that runs twice: after a reset of its connection, it is unknown
     * whether the write has run.
     */
    @Test
    void writeIsNotRetriedAfterReset() {
        client.receive("QUERY a1 WRITE k d");
        connectedServer().reset();
        environment.advance(3_000);
        assertEquals("ERROR UNCERTAIN the connection ended", takeReceived(client).get(0));
        for (ScriptedEnvironment.ScriptedConnection connection : environment.connections) {
            assertEquals(
                    connection == environment.connections.get(0) ? 1 : 0,
                    connection.sent.stream().filter(l -> l.startsWith("QUERY a1")).count());
        }
    }

    /**
     * A read may run twice. A write is retried after an error that guarantees that it has not run.
     */
    @Test
    void retriesReadAfterResetAndWriteAfterBusy() {
        client.receive("QUERY a1 READ k");
        ScriptedEnvironment.ScriptedConnection connection = connectedServer();
        confirmPrimary(connection);
        connection.reset();
        ScriptedEnvironment.ScriptedConnection nextConnection = connectedServer();
        confirmPrimary(nextConnection);
        nextConnection.receive("ROW r", "COMPLETE s1", "READY I 1.2");
        assertEquals(List.of("ROW r", "COMPLETE s1", "READY I 1.2"), takeReceived(client));
        client.receive("QUERY a2 WRITE k d");
        ScriptedEnvironment.ScriptedConnection thirdConnection = connectedServer();
        thirdConnection.receive("ERROR BUSY later", "READY I 1.2");
        environment.advance(60);
        assertEquals(
                2,
                thirdConnection.sent.stream().filter(l -> l.equals("QUERY a2 WRITE k d")).count());
        thirdConnection.receive("COMPLETE s2", "READY I 1.3");
        assertEquals(List.of("COMPLETE s2", "READY I 1.3"), takeReceived(client));
    }

    /** The primary is not confirmed: its status is queried before the read is sent. */
    private static void confirmPrimary(ScriptedEnvironment.ScriptedConnection connection) {
        assertEquals("QUERY - STATUS", connection.lastSent());
        connection.receive("ROW primary 1 1.1 0 0 0 1", "COMPLETE -", "READY I 1.1");
        assertEquals("QUERY a1 READ k", connection.lastSent());
    }

    /** Guards against a response after the time-out that reaches the next statement. */
    @Test
    void discardsResponseAfterTimeout() {
        client.receive("QUERY a1 WRITE k d");
        ScriptedEnvironment.ScriptedConnection connection = connectedServer();
        environment.advance(800);
        assertTrue(takeReceived(client).get(0).startsWith("ERROR TIMEOUT"));
        assertTrue(connection.closed);
        client.receive("QUERY a2 WRITE k d");
        ScriptedEnvironment.ScriptedConnection nextConnection = connectedServer();
        connection.receive("COMPLETE s1", "READY I 1.2");
        assertTrue(client.sent.isEmpty());
        nextConnection.receive("COMPLETE s2", "READY I 1.3");
        assertEquals(List.of("COMPLETE s2", "READY I 1.3"), takeReceived(client));
    }

    /**
     * Guards against a connection that stays borrowed forever because the response to a statement
     * of the data plane itself was lost.
     */
    @Test
    void closesConnectionWithoutResponseToInternalStatement() {
        client.receive("QUERY a1 BEGIN", "QUERY a2 WRITE k d");
        ScriptedEnvironment.ScriptedConnection connection = connectedServer();
        connection.receive("COMPLETE -", "READY T 1.1");
        assertEquals("QUERY a2 WRITE k d", connection.lastSent());
        connection.receive("COMPLETE s1", "READY T 1.1");
        client.receive("QUERY a3 ROLLBACK");
        assertEquals("QUERY - ROLLBACK", connection.lastSent());
        environment.advance(2_500);
        assertTrue(connection.closed, "the connection is closed after a lost response");
        assertTrue(
                service.servers.get("i-1").connections.stream()
                        .allMatch(
                                serverConnection ->
                                        serverConnection.oldestSentMillis() == Long.MAX_VALUE));
    }

    /**
     * Guards against the same leak when the response to BEGIN is lost: the transaction would stay
     * open at the server.
     */
    @Test
    void closesConnectionWithoutResponseToBegin() {
        client.receive("QUERY a1 BEGIN", "QUERY a2 WRITE k d");
        ScriptedEnvironment.ScriptedConnection connection = connectedServer();
        assertEquals("QUERY a1 BEGIN", connection.lastSent());
        environment.advance(2_500);
        assertTrue(client.sent.toString().contains("ERROR "), client.sent.toString());
        assertTrue(connection.closed, "the connection is closed after a lost response");
        assertEquals(0, service.servers.get("i-1").busyConnections);
    }

    /**
     * Guards against the same leak when the client is gone and the response to its statement is
     * lost.
     */
    @Test
    void closesConnectionWithoutResponseAfterClientLeft() {
        client.receive("QUERY a1 WRITE k d");
        ScriptedEnvironment.ScriptedConnection connection = connectedServer();
        assertEquals("QUERY a1 WRITE k d", connection.lastSent());
        client.reset();
        environment.advance(500);
        assertFalse(connection.closed, "a running statement is completed");
        environment.advance(1_000);
        assertTrue(connection.closed, "the connection is closed after a lost response");
        assertEquals(0, service.servers.get("i-1").busyConnections);
    }
}
