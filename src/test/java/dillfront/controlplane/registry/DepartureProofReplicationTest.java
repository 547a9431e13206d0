package dillfront.controlplane.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.message.MessageCodec;
import dillfront.common.protocol.ServerRow;
import dillfront.common.protocol.ServerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * The proof of a departure travels with the row of the server, and its absence is stored. Guards
 * against a process that takes a departure for proven because it learned of it long ago, or after a
 * restart (LOST).
 */
class DepartureProofReplicationTest {

    private final ServerRegistry registry = new ServerRegistry(() -> 0);

    private static ServerRow row(ServerState state, long callSequence) {
        return new ServerRow("i-1", "db", "10.0.0.9:80", "z", state, "replica", callSequence);
    }

    private void leave() {
        registry.merge(row(ServerState.READY, 1), 0);
        registry.merge(row(ServerState.DRAINING, 2), 0);
        registry.markLeaving("i-1");
    }

    private static List<ServerRow> transmit(List<ServerRow> rows) throws Exception {
        List<ServerRow> received = new ArrayList<>();
        for (ServerRow row : rows) {
            byte[] message = MessageCodec.encode(row.toFields());
            received.add(ServerRow.fromFields(MessageCodec.decode(message)));
        }
        return received;
    }

    /** Stores the registry, and restores it in another process. */
    private ServerRegistry restart() {
        Map<String, String> stored = new HashMap<>();
        registry.encodeSince(0)
                .forEach(
                        (key, value) -> {
                            if (!value.isEmpty()) {
                                stored.put(key, value);
                            }
                        });
        ServerRegistry restarted = new ServerRegistry(() -> 0);
        restarted.restore(stored, 0);
        return restarted;
    }

    @Test
    void sendsProof() throws Exception {
        leave();
        ServerRegistry peer = new ServerRegistry(() -> 0);
        for (ServerRow row : transmit(registry.rowsSince(0))) {
            peer.merge(row, 0);
        }
        assertTrue(peer.get("i-1").isAnnounced());
        assertFalse(peer.get("i-1").isDepartureProven());
        long version = registry.version();
        assertTrue(registry.proveDeparture("i-1"));
        for (ServerRow row : transmit(registry.rowsSince(version))) {
            assertTrue(peer.merge(row, 0));
        }
        assertTrue(peer.get("i-1").isDepartureProven());
    }

    @Test
    void keepsProofWhenRowWithoutItArrivesLater() throws Exception {
        leave();
        List<ServerRow> earlier = transmit(registry.rowsSince(0));
        registry.proveDeparture("i-1");
        earlier.forEach(row -> registry.merge(row, 0));
        assertTrue(registry.get("i-1").isDepartureProven());
    }

    @Test
    void provesOnlyServersThatLeft() {
        registry.merge(row(ServerState.DRAINING, 2), 0);
        assertFalse(registry.proveDeparture("i-1"));
        assertFalse(registry.get("i-1").isDepartureProven());
    }

    @Test
    void restoresDepartureWithoutProof() {
        leave();
        DatabaseServer restored = restart().get("i-1");
        assertTrue(restored.hasLeft());
        assertTrue(restored.isAnnounced());
        assertFalse(restored.isDepartureProven());
    }

    /** A proven departure needs no entry, like one that an earlier version stored. */
    @Test
    void restoresProvenDepartureAsUnannounced() {
        leave();
        registry.proveDeparture("i-1");
        DatabaseServer restored = restart().get("i-1");
        assertTrue(restored.hasLeft());
        assertFalse(restored.isAnnounced());
    }

    /** The entry of the row is unchanged, so that an earlier version reads it. */
    @Test
    void storesRowAsEarlierVersions() {
        leave();
        assertEquals(
                "db\n10.0.0.9:80\nz\nleft\nreplica\n2", registry.encodeSince(0).get("server:i-1"));
    }
}
