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

    private final ScriptedEnvironment host = new ScriptedEnvironment();
    private DataPlaneNode front;
    private DatabaseService service;
    private ScriptedEnvironment.Line client;

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

    private ScriptedEnvironment.Line client() {
        ScriptedEnvironment.Line line =
                new ScriptedEnvironment.Line("client", Environment.Framing.LINES, front.accept());
        line.open();
        line.say("CONNECT h me");
        assertEquals("READY I -", line.last());
        line.sent.clear();
        return line;
    }

    private ScriptedEnvironment.Line server() {
        ScriptedEnvironment.Line line = host.lastDialed();
        if (line.sent.isEmpty()) {
            line.open();
            assertEquals("CONNECT s f i-1", line.last());
            line.say("READY I 1.1");
        }
        return line;
    }

    private List<String> answer(ScriptedEnvironment.Line to) {
        List<String> is = List.copyOf(to.sent);
        to.sent.clear();
        return is;
    }

    @Test
    void answerGoesToItsSender() {
        client.say("QUERY a1 WRITE k d");
        ScriptedEnvironment.Line line = server();
        assertEquals("QUERY a1 WRITE k d", line.last());
        ScriptedEnvironment.Line other = client();
        other.say("QUERY b1 WRITE k e");
        line.say("COMPLETE s1", "READY I 1.2");
        assertEquals(List.of("COMPLETE s1", "READY I 1.2"), answer(client));
        assertTrue(other.sent.isEmpty());
        assertEquals("QUERY b1 WRITE k e", line.last(), "the connection is reused");
        line.say("COMPLETE s2", "READY I 1.3");
        assertEquals(List.of("COMPLETE s2", "READY I 1.3"), answer(other));
    }

    /**
     * Guards against an unrequested response that stays unread in an idle connection and reaches
     * the next borrower.
     */
    @Test
    void unrequestedAnswerEndsTheConnection() {
        for (String unasked :
                new String[] {
                    "ROW other", "COMPLETE other", "ERROR ABORTED it ends", "READY I 1.9"
                }) {
            client.say("QUERY a1 WRITE k d");
            ScriptedEnvironment.Line line = server();
            line.say("COMPLETE s1", "READY I 1.2");
            answer(client);
            line.say(unasked);
            client.say("QUERY a2 WRITE k d");
            ScriptedEnvironment.Line next = server();
            assertTrue(line.closed && next != line, unasked + ": the connection is closed");
            next.say("COMPLETE s2", "READY I 1.3");
            assertEquals(List.of("COMPLETE s2", "READY I 1.3"), answer(client), unasked);
            next.reset();
        }
    }

    /** Guards against an unrequested response before the connection is established. */
    @Test
    void answerBeforeReadyEndsTheConnection() {
        client.say("QUERY a1 READ k");
        ScriptedEnvironment.Line line = host.lastDialed();
        line.open();
        line.say("ROW other", "READY I 1.1");
        assertTrue(line.closed);
        assertFalse(line.sent.toString().contains("QUERY"), line.sent.toString());
    }

    /**
     * Guards against a partial or duplicate response, after which the next statement on the
     * connection would get a response to an earlier one.
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
            client.say("QUERY a1 WRITE k d");
            ScriptedEnvironment.Line line = server();
            line.say(bad);
            assertTrue(line.closed, String.join(", ", bad));
            assertEquals(
                    "ERROR UNCERTAIN the connection ended",
                    client.sent.get(0),
                    String.join(", ", bad));
            answer(client);
        }
    }

    /**
     * Guards against a write that runs twice: after a reset of its connection, it is unknown
     * whether the write has run.
     */
    @Test
    void writeIsNotRetriedAfterReset() {
        client.say("QUERY a1 WRITE k d");
        server().reset();
        host.pass(3_000);
        assertEquals("ERROR UNCERTAIN the connection ended", answer(client).get(0));
        for (ScriptedEnvironment.Line line : host.dialed) {
            assertEquals(
                    line == host.dialed.get(0) ? 1 : 0,
                    line.sent.stream().filter(l -> l.startsWith("QUERY a1")).count());
        }
    }

    /**
     * A read may run twice. A write is retried after an error that guarantees that it has not run.
     */
    @Test
    void readAndWriteThatDidNotRunAreRetriedAfterReset() {
        client.say("QUERY a1 READ k");
        ScriptedEnvironment.Line line = server();
        leads(line);
        line.reset();
        ScriptedEnvironment.Line next = server();
        leads(next);
        next.say("ROW r", "COMPLETE s1", "READY I 1.2");
        assertEquals(List.of("ROW r", "COMPLETE s1", "READY I 1.2"), answer(client));
        client.say("QUERY a2 WRITE k d");
        ScriptedEnvironment.Line third = server();
        third.say("ERROR BUSY later", "READY I 1.2");
        host.pass(60);
        assertEquals(2, third.sent.stream().filter(l -> l.equals("QUERY a2 WRITE k d")).count());
        third.say("COMPLETE s2", "READY I 1.3");
        assertEquals(List.of("COMPLETE s2", "READY I 1.3"), answer(client));
    }

    /** The primary is not confirmed: its status is queried before the read is sent. */
    private static void leads(ScriptedEnvironment.Line line) {
        assertEquals("QUERY - STATUS", line.last());
        line.say("ROW primary 1 1.1 0 0 0 1", "COMPLETE -", "READY I 1.1");
        assertEquals("QUERY a1 READ k", line.last());
    }

    /** Guards against a response after the time-out that reaches the next statement. */
    @Test
    void answerAfterTimeoutGoesToNobody() {
        client.say("QUERY a1 WRITE k d");
        ScriptedEnvironment.Line line = server();
        host.pass(800);
        assertTrue(answer(client).get(0).startsWith("ERROR TIMEOUT"));
        assertTrue(line.closed);
        client.say("QUERY a2 WRITE k d");
        ScriptedEnvironment.Line next = server();
        line.say("COMPLETE s1", "READY I 1.2");
        assertTrue(client.sent.isEmpty());
        next.say("COMPLETE s2", "READY I 1.3");
        assertEquals(List.of("COMPLETE s2", "READY I 1.3"), answer(client));
    }

    /**
     * Guards against a connection that stays borrowed forever because the response to a statement
     * of the data plane itself was lost.
     */
    @Test
    void abandonsConnectionWhoseInternalStatementIsNotAnswered() {
        client.say("QUERY a1 BEGIN", "QUERY a2 WRITE k d");
        ScriptedEnvironment.Line line = server();
        line.say("COMPLETE -", "READY T 1.1");
        assertEquals("QUERY a2 WRITE k d", line.last());
        line.say("COMPLETE s1", "READY T 1.1");
        client.say("QUERY a3 ROLLBACK");
        assertEquals("QUERY - ROLLBACK", line.last());
        host.pass(2_500);
        assertTrue(line.closed, "the connection is closed after a lost response");
        assertTrue(
                service.servers.get("i-1").connections.stream()
                        .allMatch(c -> c.oldestSentMillis() == Long.MAX_VALUE));
    }

    /**
     * Guards against the same leak when the response to BEGIN is lost: the transaction would stay
     * open at the server.
     */
    @Test
    void abandonsConnectionWhoseBeginIsNotAnswered() {
        client.say("QUERY a1 BEGIN", "QUERY a2 WRITE k d");
        ScriptedEnvironment.Line line = server();
        assertEquals("QUERY a1 BEGIN", line.last());
        host.pass(2_500);
        assertTrue(client.sent.toString().contains("ERROR "), client.sent.toString());
        assertTrue(line.closed, "the connection is closed after a lost response");
        assertEquals(0, service.servers.get("i-1").busyConnections);
    }

    /**
     * Guards against the same leak when the client is gone and the response to its statement is
     * lost.
     */
    @Test
    void abandonsConnectionOfStatementWithoutClient() {
        client.say("QUERY a1 WRITE k d");
        ScriptedEnvironment.Line line = server();
        assertEquals("QUERY a1 WRITE k d", line.last());
        client.reset();
        host.pass(500);
        assertFalse(line.closed, "a running statement is completed");
        host.pass(1_000);
        assertTrue(line.closed, "the connection is closed after a lost response");
        assertEquals(0, service.servers.get("i-1").busyConnections);
    }
}
