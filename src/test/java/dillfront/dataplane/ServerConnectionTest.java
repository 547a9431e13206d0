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

    private final ScriptedEnvironment host = new ScriptedEnvironment();
    private DataPlaneNode front;
    private DatabaseService service;
    private ScriptedEnvironment.ScriptedConnection client;

    @BeforeEach
    void open() throws Configuration.InvalidConfigurationException {
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
        front = new DataPlaneNode(host, settings);
        front.start();
        front.onConfiguration(
                Configuration.parse(
                        ("{'revision_number':1,'routes':[{'name':'r','host_name':'h','route_kind':'primary',"
                                        + "'timeout_ms':800,'target_latency_ms':300,'service':'s','max_attempts':2}],'services':[{'name':'s',"
                                        + "'connection_limit':100}]}")
                                .replace('\'', '"')
                                .getBytes(StandardCharsets.UTF_8)));
        service = front.service("s");
        service.servers.put("i-1", new ServerPool(front, service, "i-1", "10.0.0.9:1", "z"));
        service.onRecord(new PrimaryRecord("s", 1, "i-1", false, false));
        client = client();
    }

    private ScriptedEnvironment.ScriptedConnection client() {
        ScriptedEnvironment.ScriptedConnection line =
                new ScriptedEnvironment.ScriptedConnection(
                        "client", Environment.Framing.LINES, front.accept());
        line.open();
        line.receive("CONNECT h me");
        assertEquals("READY I -", line.lastSent());
        line.sent.clear();
        return line;
    }

    private ScriptedEnvironment.ScriptedConnection server() {
        ScriptedEnvironment.ScriptedConnection line = host.lastConnection();
        if (line.sent.isEmpty()) {
            line.open();
            assertEquals("CONNECT s f i-1", line.lastSent());
            line.receive("READY I 1.1");
        }
        return line;
    }

    private List<String> answer(ScriptedEnvironment.ScriptedConnection to) {
        List<String> is = List.copyOf(to.sent);
        to.sent.clear();
        return is;
    }

    @Test
    void answerGoesToItsSender() {
        client.receive("QUERY a1 WRITE k d");
        ScriptedEnvironment.ScriptedConnection line = server();
        assertEquals("QUERY a1 WRITE k d", line.lastSent());
        ScriptedEnvironment.ScriptedConnection other = client();
        other.receive("QUERY b1 WRITE k e");
        line.receive("COMPLETE s1", "READY I 1.2");
        assertEquals(List.of("COMPLETE s1", "READY I 1.2"), answer(client));
        assertTrue(other.sent.isEmpty());
        assertEquals("QUERY b1 WRITE k e", line.lastSent(), "the connection is used again");
        line.receive("COMPLETE s2", "READY I 1.3");
        assertEquals(List.of("COMPLETE s2", "READY I 1.3"), answer(other));
    }

    /**
     * Guards against words of a server that lie in a connection at rest, and are handed to whoever
     * asks there next.
     */
    @Test
    void unrequestedAnswerEndsTheConnection() {
        for (String unasked :
                new String[] {
                    "ROW other", "COMPLETE other", "ERROR ABORTED it ends", "READY I 1.9"
                }) {
            client.receive("QUERY a1 WRITE k d");
            ScriptedEnvironment.ScriptedConnection line = server();
            line.receive("COMPLETE s1", "READY I 1.2");
            answer(client);
            line.receive(unasked);
            client.receive("QUERY a2 WRITE k d");
            ScriptedEnvironment.ScriptedConnection next = server();
            assertTrue(line.closed && next != line, unasked + ": the connection is left");
            next.receive("COMPLETE s2", "READY I 1.3");
            assertEquals(List.of("COMPLETE s2", "READY I 1.3"), answer(client), unasked);
            next.reset();
        }
    }

    /** Guards against the same while the connection is made. */
    @Test
    void answerBeforeReadyEndsTheConnection() {
        client.receive("QUERY a1 READ k");
        ScriptedEnvironment.ScriptedConnection line = host.lastConnection();
        line.open();
        line.receive("ROW other", "READY I 1.1");
        assertTrue(line.closed);
        assertFalse(line.sent.toString().contains("QUERY"), line.sent.toString());
    }

    /**
     * Guards against half an answer, or a second one, behind which the next statement on the
     * connection would get this one's.
     */
    @Test
    void partialOrDuplicateAnswerEndsTheConnection() {
        for (String[] bad :
                new String[][] {
                    {"ROW r", "READY I 1.2"},
                    {"READY I 1.2"},
                    {"COMPLETE s", "COMPLETE t"},
                    {"ERROR BUSY x", "COMPLETE t"},
                    {"COMPLETE s", "ROW r"},
                    {"NOTHING of the wire"}
                }) {
            client.receive("QUERY a1 WRITE k d");
            ScriptedEnvironment.ScriptedConnection line = server();
            line.receive(bad);
            assertTrue(line.closed, String.join(", ", bad));
            assertEquals(
                    "ERROR UNCERTAIN the connection ended",
                    client.sent.get(0),
                    String.join(", ", bad));
            answer(client);
        }
    }

    /**
     * Guards against a write that runs twice: where its connection was reset, nobody can say
     * whether it ran.
     */
    @Test
    void writeIsNotRetriedAfterReset() {
        client.receive("QUERY a1 WRITE k d");
        server().reset();
        host.advance(3_000);
        assertEquals("ERROR UNCERTAIN the connection ended", answer(client).get(0));
        for (ScriptedEnvironment.ScriptedConnection line : host.connections) {
            assertEquals(
                    line == host.connections.get(0) ? 1 : 0,
                    line.sent.stream().filter(l -> l.startsWith("QUERY a1")).count());
        }
    }

    /** A read may run twice; what promises that it did not run may be sent again as well. */
    @Test
    void readAndWriteThatDidNotRunAreRetriedAfterReset() {
        client.receive("QUERY a1 READ k");
        ScriptedEnvironment.ScriptedConnection line = server();
        leads(line);
        line.reset();
        ScriptedEnvironment.ScriptedConnection next = server();
        leads(next);
        next.receive("ROW r", "COMPLETE s1", "READY I 1.2");
        assertEquals(List.of("ROW r", "COMPLETE s1", "READY I 1.2"), answer(client));
        client.receive("QUERY a2 WRITE k d");
        ScriptedEnvironment.ScriptedConnection third = server();
        third.receive("ERROR BUSY later", "READY I 1.2");
        host.advance(60);
        assertEquals(2, third.sent.stream().filter(l -> l.equals("QUERY a2 WRITE k d")).count());
        third.receive("COMPLETE s2", "READY I 1.3");
        assertEquals(List.of("COMPLETE s2", "READY I 1.3"), answer(client));
    }

    /** Who leads is not sure: the server is asked before the read is sent. */
    private static void leads(ScriptedEnvironment.ScriptedConnection line) {
        assertEquals("QUERY - STATUS", line.lastSent());
        line.receive("ROW primary 1 1.1 0 0 0 1", "COMPLETE -", "READY I 1.1");
        assertEquals("QUERY a1 READ k", line.lastSent());
    }

    /** Guards against an answer after the time-out that reaches the next statement. */
    @Test
    void answerAfterTimeoutGoesToNobody() {
        client.receive("QUERY a1 WRITE k d");
        ScriptedEnvironment.ScriptedConnection line = server();
        host.advance(800);
        assertTrue(answer(client).get(0).startsWith("ERROR TIMEOUT"));
        assertTrue(line.closed);
        client.receive("QUERY a2 WRITE k d");
        ScriptedEnvironment.ScriptedConnection next = server();
        line.receive("COMPLETE s1", "READY I 1.2");
        assertTrue(client.sent.isEmpty());
        next.receive("COMPLETE s2", "READY I 1.3");
        assertEquals(List.of("COMPLETE s2", "READY I 1.3"), answer(client));
    }

    /**
     * Guards against connections that nobody has any more, because the answer to this front's own
     * word was lost.
     */
    @Test
    void abandonsConnectionWhoseInternalStatementIsNotAnswered() {
        client.receive("QUERY a1 BEGIN", "QUERY a2 WRITE k d");
        ScriptedEnvironment.ScriptedConnection line = server();
        line.receive("COMPLETE -", "READY T 1.1");
        assertEquals("QUERY a2 WRITE k d", line.lastSent());
        line.receive("COMPLETE s1", "READY T 1.1");
        client.receive("QUERY a3 ROLLBACK");
        assertEquals("QUERY - ROLLBACK", line.lastSent());
        host.advance(2_500);
        assertTrue(line.closed, "its answer was lost, and the connection with it");
        assertTrue(
                service.servers.get("i-1").connections.stream()
                        .allMatch(c -> c.oldestSentMillis() == Long.MAX_VALUE));
    }

    /** The same for the opening of a transaction: at the server it would stay open. */
    @Test
    void abandonsConnectionWhoseBeginIsNotAnswered() {
        client.receive("QUERY a1 BEGIN", "QUERY a2 WRITE k d");
        ScriptedEnvironment.ScriptedConnection line = server();
        assertEquals("QUERY a1 BEGIN", line.lastSent());
        host.advance(2_500);
        assertTrue(client.sent.toString().contains("ERROR "), client.sent.toString());
        assertTrue(line.closed, "its answer was lost, and the connection with it");
        assertEquals(0, service.servers.get("i-1").busyConnections);
    }

    /** The same for a statement whose client has gone, and whose answer was lost. */
    @Test
    void abandonsConnectionOfStatementWithoutClient() {
        client.receive("QUERY a1 WRITE k d");
        ScriptedEnvironment.ScriptedConnection line = server();
        assertEquals("QUERY a1 WRITE k d", line.lastSent());
        client.reset();
        host.advance(500);
        assertFalse(line.closed, "what runs is heard to its end");
        host.advance(1_000);
        assertTrue(line.closed, "its answer was lost, and the connection with it");
        assertEquals(0, service.servers.get("i-1").busyConnections);
    }
}
