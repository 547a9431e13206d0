package dillfront.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.common.environment.ScriptedEnvironment;
import dillfront.common.message.MessageCodec;
import dillfront.common.protocol.ServerRow;
import dillfront.common.protocol.ServerState;
import dillfront.controlplane.registry.DatabaseServer;
import dillfront.controlplane.registry.ServerRegistry;
import dillfront.controlplane.storage.StateStore;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests servers that announce their leave, with or without draining before, and messages of theirs
 * that arrive late.
 */
class ServerLeaveTest {

    private final ScriptedEnvironment environment = new ScriptedEnvironment();
    private final Map<String, String> storedTexts = new TreeMap<>();
    private ControlNode node;

    /** The result of writes that are made while the disk is stalled. */
    private boolean diskStalled;

    private CompletableFuture<Void> stalledWrites = CompletableFuture.completedFuture(null);

    @BeforeEach
    void start() throws Exception {
        NodeSettings settings =
                new NodeSettings(
                        "c",
                        "z",
                        "r",
                        Map.of("z", "r"),
                        "10.0.0.1",
                        null,
                        null,
                        "10.0.0.1:80",
                        7_440,
                        List.of("10.0.0.1:80"),
                        true,
                        "unused",
                        0,
                        1_200,
                        7_000,
                        6_000,
                        null);
        node =
                new ControlNode(
                        environment,
                        settings,
                        new StateStore() {
                            @Override
                            public Map<String, String> initialState() {
                                return storedTexts;
                            }

                            @Override
                            public CompletableFuture<Void> put(Map<String, String> texts) {
                                CompletableFuture<Void> done =
                                        diskStalled
                                                ? stalledWrites
                                                : CompletableFuture.completedFuture(null);
                                return done.thenRun(() -> storedTexts.putAll(texts));
                            }
                        });
        node.start();
        environment.advance(6_000);
    }

    private CompletableFuture<Environment.HttpResponse> call(String path, String body) {
        return node.handle("POST", path, body.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    private void heartbeat(String id, String state, String role, long sequence) {
        assertEquals(
                200,
                awaitStatus(
                        call(
                                "/Instances.Heartbeat/" + id,
                                "{'service':'s','address':'10.0.0.9:80','zone_name':'z','state':'"
                                        + state
                                        + "','database_role':'"
                                        + role
                                        + "','call_sequence':"
                                        + sequence
                                        + "}")));
    }

    private int leave(String id) {
        return awaitStatus(call("/Instances.Leave/" + id, "{}"));
    }

    private int awaitStatus(CompletableFuture<Environment.HttpResponse> call) {
        environment.advance(500);
        assertTrue(call.isDone(), "no answer within 500 ms");
        return call.join().status();
    }

    private static ServerRow row(String id, String service, String state, long sequence) {
        return new ServerRow(
                id, service, "10.0.0.9:80", "z", ServerState.parse(state), "replica", sequence);
    }

    @Test
    void keepsUndrainedServerAfterItsLeave() {
        heartbeat("i-1", "ready", "primary", 4);
        assertEquals(200, leave("i-1"));
        DatabaseServer server = node.state().registry().get("i-1");
        assertTrue(server.isDraining() && !server.hasLeft(), server.state().wireName());
        assertEquals(List.of(server), node.state().registry().serversOf("s"));
        assertEquals(200, leave("i-1"));
        assertFalse(
                server.hasLeft(),
                "a repeated leave, sent after a lost answer, must not end the server");
    }

    @Test
    void removesDrainedServerAfterItsLeave() {
        heartbeat("i-1", "ready", "replica", 4);
        heartbeat("i-1", "draining", "replica", 5);
        assertEquals(200, leave("i-1"));
        assertTrue(node.state().registry().get("i-1").hasLeft());
        assertEquals(List.of(), node.state().registry().serversOf("s"));
    }

    @Test
    void ignoresHeartbeatStateAfterLeave() {
        heartbeat("i-1", "ready", "replica", 4);
        leave("i-1");
        heartbeat("i-1", "ready", "replica", 3);
        heartbeat("i-1", "ready", "replica", 9);
        heartbeat("i-1", "draining", "replica", 10);
        assertEquals(ServerState.LEAVING, node.state().registry().get("i-1").state());
        node.state().registry().merge(row("i-1", "s", "ready", 12), 0);
        assertEquals(ServerState.LEAVING, node.state().registry().get("i-1").state());
    }

    @Test
    void keepsLeaveOfUnknownServer() {
        assertEquals(200, leave("i-7"));
        heartbeat("i-7", "ready", "primary", 4);
        DatabaseServer server = node.state().registry().get("i-7");
        assertEquals("s", server.service());
        assertEquals("10.0.0.9:80", server.address());
        assertTrue(server.isDraining(), "a delayed heartbeat must not undo the leave");
    }

    @Test
    void replicatesLeaveToProcessesThatKnowTheServer() throws Exception {
        leave("i-7");
        ServerRegistry other = new ServerRegistry(environment::nowMillis);
        other.merge(row("i-7", "s", "ready", 4), 0);
        for (ServerRow row : node.state().registry().rowsSince(0)) {
            byte[] message = MessageCodec.encode(row.toFields());
            assertTrue(other.merge(ServerRow.fromFields(MessageCodec.decode(message)), 0));
        }
        assertTrue(other.get("i-7").isDraining());
        assertEquals("s", other.get("i-7").service());
        assertEquals("10.0.0.9:80", other.get("i-7").address());
    }

    @Test
    void acknowledgesLeaveOnceItIsOnDisk() {
        diskStalled = true;
        stalledWrites = new CompletableFuture<>();
        CompletableFuture<Environment.HttpResponse> call = call("/Instances.Leave/i-7", "{}");
        environment.advance(500);
        assertFalse(call.isDone(), "leave acknowledged before it is on disk");
        stalledWrites.complete(null);
        environment.advance(200);
        assertEquals(200, call.join().status());
        ServerRegistry restored = new ServerRegistry(environment::nowMillis);
        restored.restore(storedTexts, 0);
        restored.merge(row("i-7", "s", "ready", 4), 0);
        assertTrue(restored.get("i-7").isDraining(), "leave lost by a restart");
    }

    @Test
    void ignoresOutdatedHeartbeat() {
        heartbeat("i-1", "ready", "replica", 4);
        long lastContactMillis = node.state().registry().get("i-1").lastContactMillis();
        environment.advance(3_000);
        heartbeat("i-1", "ready", "primary", 3);
        DatabaseServer server = node.state().registry().get("i-1");
        assertEquals(lastContactMillis, server.lastContactMillis());
        assertEquals("replica", server.role());
        heartbeat("i-1", "ready", "replica", 5);
        assertTrue(server.lastContactMillis() > lastContactMillis);
    }

    @Test
    void expiresServerLongAfterItsLeave() {
        heartbeat("i-1", "ready", "replica", 4);
        leave("i-1");
        environment.advance(25_000);
        assertFalse(
                node.state().registry().get("i-1").hasLeft(),
                "server expired while it may still be serving");
        environment.advance(10_000);
        assertTrue(node.state().registry().get("i-1").hasLeft());
    }

    @Test
    void rejectsLeaveWithoutId() {
        assertEquals(400, leave(""));
    }
}
