package dillfront.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.message.MessageCodec;
import dillfront.common.protocol.ServerRow;
import dillfront.common.protocol.ServerState;
import dillfront.controlplane.registry.ServerRegistry;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * The age of a drain travels with the row of the server. Guards against a process that counts a
 * drain from when it learned of it (DRAIN).
 */
class DrainAgeReplicationTest {

    private static final long DRAINED_MILLIS = 1_000;

    private long nowMillis;
    private final ServerRegistry first = new ServerRegistry(() -> nowMillis);

    /** Another process, whose clock has another origin. */
    private final ServerRegistry second = new ServerRegistry(() -> nowMillis + 500_000);

    private static ServerRow row(ServerState state, long callSequence) {
        return new ServerRow("i-1", "db", "10.0.0.9:80", "z", state, "primary", callSequence);
    }

    private void drain() {
        first.merge(row(ServerState.READY, 1), nowMillis);
        nowMillis = DRAINED_MILLIS;
        first.merge(row(ServerState.DRAINING, 2), nowMillis);
    }

    private ServerRow rowOf(ServerRegistry registry) throws Exception {
        ServerRow row = registry.rowsSince(0).get(0);
        return ServerRow.fromFields(MessageCodec.decode(MessageCodec.encode(row.toFields())));
    }

    @Test
    void sendsAgeOfDrain() throws Exception {
        drain();
        nowMillis += 4_500;
        second.merge(rowOf(first), 0);
        nowMillis += 100;
        assertEquals(4_600, rowOf(second).drainAgeMillis());
    }

    @Test
    void keepsTheAgeWithLaterHeartbeats() throws Exception {
        drain();
        nowMillis += 1_200;
        first.merge(row(ServerState.DRAINING, 3), nowMillis);
        assertEquals(1_200, rowOf(first).drainAgeMillis());
    }

    @Test
    void keepsTheGreatestAge() throws Exception {
        second.merge(row(ServerState.READY, 1), 0);
        drain();
        nowMillis += 2_000;
        // The second process receives a heartbeat before the row of the first process.
        second.merge(row(ServerState.DRAINING, 3), 0);
        assertEquals(0, rowOf(second).drainAgeMillis());
        second.merge(rowOf(first), 0);
        assertEquals(2_000, rowOf(second).drainAgeMillis());
    }

    @Test
    void sendsNoAgeOfReadyServer() throws Exception {
        first.merge(row(ServerState.READY, 1), nowMillis);
        assertEquals(ServerRow.UNKNOWN_AGE, rowOf(first).drainAgeMillis());
    }

    /** A process that restarts, or first learns of a server by a drain, has no start of it. */
    @Test
    void takesUnknownAgeAsLong() throws Exception {
        first.restore(Map.of("server:i-1", "db\n10.0.0.9:80\nz\ndraining\nprimary\n2"), nowMillis);
        assertTrue(rowOf(first).drainAgeMillis() > 1_000_000);
        second.merge(row(ServerState.DRAINING, 2), 0);
        assertTrue(rowOf(second).drainAgeMillis() > 1_000_000);
    }
}
