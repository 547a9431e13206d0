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
 * A client's session, a connection to one database server, and what that one may answer: to whom it
 * goes, and what is sent again.
 */
class ServerConnectionTest {

    private final ScriptedEnvironment environment = new ScriptedEnvironment();
    private DataPlaneNode node;
    private DatabaseService service;
    private ScriptedEnvironment.Line client;

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

    private ScriptedEnvironment.Line client() {
        ScriptedEnvironment.Line line =
                new ScriptedEnvironment.Line("client", Environment.Framing.LINES, node.accept());
        line.open();
        line.say("CONNECT h me");
        assertEquals("READY I -", line.last());
        line.sent.clear();
        return line;
    }

    private ScriptedEnvironment.Line connectedServer() {
        ScriptedEnvironment.Line line = environment.lastDialed();
        if (line.sent.isEmpty()) {
            line.open();
            assertEquals("CONNECT s f i-1", line.last());
            line.say("READY I 1.1");
        }
        return line;
    }

    private List<String> takeReceived(ScriptedEnvironment.Line to) {
        List<String> is = List.copyOf(to.sent);
        to.sent.clear();
        return is;
    }

    @Test
    void responseReachesItsClient() {
        client.say("QUERY a1 WRITE k d");
        ScriptedEnvironment.Line line = connectedServer();
        assertEquals("QUERY a1 WRITE k d", line.last());
        ScriptedEnvironment.Line other = client();
        other.say("QUERY b1 WRITE k e");
        line.say("COMPLETE s1", "READY I 1.2");
        assertEquals(List.of("COMPLETE s1", "READY I 1.2"), takeReceived(client));
        assertTrue(other.sent.isEmpty());
        assertEquals("QUERY b1 WRITE k e", line.last(), "the connection is used again");
        line.say("COMPLETE s2", "READY I 1.3");
        assertEquals(List.of("COMPLETE s2", "READY I 1.3"), takeReceived(other));
    }

    /**
     * Guards against words of a server that lie in a connection at rest, and are handed to whoever
     * asks there next.
     */
    @Test
    void closesConnectionOnUnrequestedResponse() {
        for (String unasked :
                new String[] {
                    "ROW other", "COMPLETE other", "ERROR ABORTED it ends", "READY I 1.9"
                }) {
            client.say("QUERY a1 WRITE k d");
            ScriptedEnvironment.Line line = connectedServer();
            line.say("COMPLETE s1", "READY I 1.2");
            takeReceived(client);
            line.say(unasked);
            client.say("QUERY a2 WRITE k d");
            ScriptedEnvironment.Line next = connectedServer();
            assertTrue(line.closed && next != line, unasked + ": the connection is left");
            next.say("COMPLETE s2", "READY I 1.3");
            assertEquals(List.of("COMPLETE s2", "READY I 1.3"), takeReceived(client), unasked);
            next.reset();
        }
    }

    /** Guards against the same while the connection is made. */
    @Test
    void closesConnectionOnResponseBeforeReady() {
        client.say("QUERY a1 READ k");
        ScriptedEnvironment.Line line = environment.lastDialed();
        line.open();
        line.say("ROW other", "READY I 1.1");
        assertTrue(line.closed);
        assertFalse(line.sent.toString().contains("QUERY"), line.sent.toString());
    }

    /**
     * Guards against half an answer, or a second one, behind which the next statement on the
     * connection would get this one's.
     */
    @Test
    void closesConnectionOnPartialOrDuplicateResponse() {
        for (String[] bad :
                new String[][] {
                    {"ROW r", "READY I 1.2"},
                    {"READY I 1.2"},
                    {"COMPLETE s", "COMPLETE t"},
                    {"ERROR BUSY x", "COMPLETE t"},
                    {"COMPLETE s", "ROW r"},
                    {"NOTHING of the wire"}
                }) {
            client.say("QUERY a1 WRITE k d");
            ScriptedEnvironment.Line line = connectedServer();
            line.say(bad);
            assertTrue(line.closed, String.join(", ", bad));
            assertEquals(
                    "ERROR UNCERTAIN the connection ended",
                    client.sent.get(0),
                    String.join(", ", bad));
            takeReceived(client);
        }
    }

    /**
     * Guards against a write that runs twice: where its connection was reset, nobody can say
     * whether it ran.
     */
    @Test
    void writeIsNotRetriedAfterReset() {
        client.say("QUERY a1 WRITE k d");
        connectedServer().reset();
        environment.pass(3_000);
        assertEquals("ERROR UNCERTAIN the connection ended", takeReceived(client).get(0));
        for (ScriptedEnvironment.Line line : environment.dialed) {
            assertEquals(
                    line == environment.dialed.get(0) ? 1 : 0,
                    line.sent.stream().filter(l -> l.startsWith("QUERY a1")).count());
        }
    }

    /** A read may run twice; what promises that it did not run may be sent again as well. */
    @Test
    void retriesReadAfterResetAndWriteAfterBusy() {
        client.say("QUERY a1 READ k");
        ScriptedEnvironment.Line line = connectedServer();
        confirmPrimary(line);
        line.reset();
        ScriptedEnvironment.Line next = connectedServer();
        confirmPrimary(next);
        next.say("ROW r", "COMPLETE s1", "READY I 1.2");
        assertEquals(List.of("ROW r", "COMPLETE s1", "READY I 1.2"), takeReceived(client));
        client.say("QUERY a2 WRITE k d");
        ScriptedEnvironment.Line third = connectedServer();
        third.say("ERROR BUSY later", "READY I 1.2");
        environment.pass(60);
        assertEquals(2, third.sent.stream().filter(l -> l.equals("QUERY a2 WRITE k d")).count());
        third.say("COMPLETE s2", "READY I 1.3");
        assertEquals(List.of("COMPLETE s2", "READY I 1.3"), takeReceived(client));
    }

    /** Who leads is not sure: the server is asked before the read is sent. */
    private static void confirmPrimary(ScriptedEnvironment.Line line) {
        assertEquals("QUERY - STATUS", line.last());
        line.say("ROW primary 1 1.1 0 0 0 1", "COMPLETE -", "READY I 1.1");
        assertEquals("QUERY a1 READ k", line.last());
    }

    /** Guards against an answer after the time-out that reaches the next statement. */
    @Test
    void discardsResponseAfterTimeout() {
        client.say("QUERY a1 WRITE k d");
        ScriptedEnvironment.Line line = connectedServer();
        environment.pass(800);
        assertTrue(takeReceived(client).get(0).startsWith("ERROR TIMEOUT"));
        assertTrue(line.closed);
        client.say("QUERY a2 WRITE k d");
        ScriptedEnvironment.Line next = connectedServer();
        line.say("COMPLETE s1", "READY I 1.2");
        assertTrue(client.sent.isEmpty());
        next.say("COMPLETE s2", "READY I 1.3");
        assertEquals(List.of("COMPLETE s2", "READY I 1.3"), takeReceived(client));
    }

    /**
     * Guards against connections that nobody has any more, because the answer to this front's own
     * word was lost.
     */
    @Test
    void closesConnectionWithoutResponseToInternalStatement() {
        client.say("QUERY a1 BEGIN", "QUERY a2 WRITE k d");
        ScriptedEnvironment.Line line = connectedServer();
        line.say("COMPLETE -", "READY T 1.1");
        assertEquals("QUERY a2 WRITE k d", line.last());
        line.say("COMPLETE s1", "READY T 1.1");
        client.say("QUERY a3 ROLLBACK");
        assertEquals("QUERY - ROLLBACK", line.last());
        environment.pass(2_500);
        assertTrue(line.closed, "its answer was lost, and the connection with it");
        assertTrue(
                service.servers.get("i-1").connections.stream()
                        .allMatch(c -> c.oldestSentMillis() == Long.MAX_VALUE));
    }

    /** The same for the opening of a transaction: at the server it would stay open. */
    @Test
    void closesConnectionWithoutResponseToBegin() {
        client.say("QUERY a1 BEGIN", "QUERY a2 WRITE k d");
        ScriptedEnvironment.Line line = connectedServer();
        assertEquals("QUERY a1 BEGIN", line.last());
        environment.pass(2_500);
        assertTrue(client.sent.toString().contains("ERROR "), client.sent.toString());
        assertTrue(line.closed, "its answer was lost, and the connection with it");
        assertEquals(0, service.servers.get("i-1").busyConnections);
    }

    /** The same for a statement whose client has gone, and whose answer was lost. */
    @Test
    void closesConnectionWithoutResponseAfterClientLeft() {
        client.say("QUERY a1 WRITE k d");
        ScriptedEnvironment.Line line = connectedServer();
        assertEquals("QUERY a1 WRITE k d", line.last());
        client.reset();
        environment.pass(500);
        assertFalse(line.closed, "what runs is heard to its end");
        environment.pass(1_000);
        assertTrue(line.closed, "its answer was lost, and the connection with it");
        assertEquals(0, service.servers.get("i-1").busyConnections);
    }
}
