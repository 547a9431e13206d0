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
 * Servers that say that they leave, with or without a word of draining before, and what of them
 * comes late.
 */
class ServerLeaveTest {

    private final ScriptedEnvironment host = new ScriptedEnvironment();
    private final Map<String, String> disk = new TreeMap<>();
    private ControlNode core;

    /** Writes that were made while the disk stood still. */
    private boolean stands;

    private CompletableFuture<Void> writes = CompletableFuture.completedFuture(null);

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
        core =
                new ControlNode(
                        host,
                        settings,
                        new StateStore() {
                            @Override
                            public Map<String, String> initialState() {
                                return disk;
                            }

                            @Override
                            public CompletableFuture<Void> put(Map<String, String> texts) {
                                CompletableFuture<Void> done =
                                        stands ? writes : CompletableFuture.completedFuture(null);
                                return done.thenRun(() -> disk.putAll(texts));
                            }
                        });
        core.start();
        host.advance(6_000);
    }

    private CompletableFuture<Environment.HttpResponse> call(String path, String body) {
        return core.handle("POST", path, body.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    private void heartbeat(String id, String state, String role, long sequence) {
        assertEquals(
                200,
                answered(
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
        return answered(call("/Instances.Leave/" + id, "{}"));
    }

    private int answered(CompletableFuture<Environment.HttpResponse> call) {
        host.advance(500);
        assertTrue(call.isDone(), "an answer within half a second");
        return call.join().status();
    }

    private static ServerRow row(String id, String service, String state, long sequence) {
        return new ServerRow(
                id, service, "10.0.0.9:80", "z", ServerState.parse(state), "replica", sequence);
    }

    @Test
    void serverThatNeverDrainedServesOnAfterItsLeave() {
        heartbeat("i-1", "ready", "primary", 4);
        assertEquals(200, leave("i-1"));
        DatabaseServer m = core.state().registry().get("i-1");
        assertTrue(m.isDraining() && !m.hasLeft(), m.state().wireName());
        assertEquals(List.of(m), core.state().registry().serversOf("s"));
        assertEquals(200, leave("i-1"));
        assertFalse(m.hasLeft(), "its leave may come twice, as its answer may be lost");
    }

    @Test
    void drainedServerHasLeftAfterItsLeave() {
        heartbeat("i-1", "ready", "replica", 4);
        heartbeat("i-1", "draining", "replica", 5);
        assertEquals(200, leave("i-1"));
        assertTrue(core.state().registry().get("i-1").hasLeft());
        assertEquals(List.of(), core.state().registry().serversOf("s"));
    }

    @Test
    void heartbeatDoesNotUndoLeave() {
        heartbeat("i-1", "ready", "replica", 4);
        leave("i-1");
        heartbeat("i-1", "ready", "replica", 3);
        heartbeat("i-1", "ready", "replica", 9);
        heartbeat("i-1", "draining", "replica", 10);
        assertEquals(ServerState.LEAVING, core.state().registry().get("i-1").state());
        core.state().registry().merge(row("i-1", "s", "ready", 12), 0);
        assertEquals(ServerState.LEAVING, core.state().registry().get("i-1").state());
    }

    @Test
    void keepsLeaveOfUnknownServer() {
        assertEquals(200, leave("i-7"));
        heartbeat("i-7", "ready", "primary", 4);
        DatabaseServer m = core.state().registry().get("i-7");
        assertEquals("s", m.service());
        assertEquals("10.0.0.9:80", m.address());
        assertTrue(m.isDraining(), "a beat that was on its way does not undo it");
    }

    @Test
    void replicatesLeaveToProcessesThatKnowTheServer() throws Exception {
        leave("i-7");
        ServerRegistry other = new ServerRegistry();
        other.merge(row("i-7", "s", "ready", 4), 0);
        for (ServerRow told : core.state().registry().rowsSince(0)) {
            byte[] message = MessageCodec.encode(told.toFields());
            assertTrue(other.merge(ServerRow.fromFields(MessageCodec.decode(message)), 0));
        }
        assertTrue(other.get("i-7").isDraining());
        assertEquals("s", other.get("i-7").service());
        assertEquals("10.0.0.9:80", other.get("i-7").address());
    }

    @Test
    void acknowledgesLeaveOnceItIsOnDisk() {
        stands = true;
        writes = new CompletableFuture<>();
        CompletableFuture<Environment.HttpResponse> call = call("/Instances.Leave/i-7", "{}");
        host.advance(500);
        assertFalse(call.isDone(), "not on a disk yet");
        writes.complete(null);
        host.advance(200);
        assertEquals(200, call.join().status());
        ServerRegistry again = new ServerRegistry();
        again.restore(disk, 0);
        again.merge(row("i-7", "s", "ready", 4), 0);
        assertTrue(again.get("i-7").isDraining(), "the next life knows it too");
    }

    @Test
    void lateHeartbeatChangesNothing() {
        heartbeat("i-1", "ready", "replica", 4);
        long heard = core.state().registry().get("i-1").lastContactMillis();
        host.advance(3_000);
        heartbeat("i-1", "ready", "primary", 3);
        DatabaseServer m = core.state().registry().get("i-1");
        assertEquals(heard, m.lastContactMillis());
        assertEquals("replica", m.role());
        heartbeat("i-1", "ready", "replica", 5);
        assertTrue(m.lastContactMillis() > heard);
    }

    @Test
    void expiresServerLongAfterItsLeave() {
        heartbeat("i-1", "ready", "replica", 4);
        leave("i-1");
        host.advance(25_000);
        assertFalse(
                core.state().registry().get("i-1").hasLeft(), "it may serve on for many seconds");
        host.advance(10_000);
        assertTrue(core.state().registry().get("i-1").hasLeft());
    }

    @Test
    void rejectsLeaveWithoutId() {
        assertEquals(400, leave(""));
    }
}
