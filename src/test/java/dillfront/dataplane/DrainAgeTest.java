package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillfront.common.protocol.ServerRow;
import org.junit.jupiter.api.Test;

/**
 * A data plane starts while a primary drains. Guards against statements that reach the primary
 * after its drain time, because the data plane counts from when it learned of the drain (DRAIN).
 */
class DrainAgeTest extends DataPlaneHarness {

    private static final long DRAIN_MS = 3_500;

    private ClientStub restartWhileDraining(long drainAgeMillis) throws Exception {
        register(serverP, "draining", drainAgeMillis);
        startNode(settings);
        advance(50);
        return new ClientStub("new");
    }

    @Test
    void usesDrainingPrimaryForTheRestOfItsDrainTime() throws Exception {
        ClientStub client = restartWhileDraining(DRAIN_MS - 1_000);
        assertEquals("COMPLETE", client.queryAndWait("WRITE k d"));
        advance(1_000);
        assertEquals("nothing", client.queryAndWait("WRITE k2 d"));
        assertEquals(0, serverP.countReceived("WRITE k2 d"));
    }

    @Test
    void doesNotUsePrimaryWhoseDrainTimeIsOver() throws Exception {
        ClientStub client = restartWhileDraining(DRAIN_MS + 1_000);
        assertEquals("nothing", client.queryAndWait("WRITE k d"));
        assertEquals(0, serverP.countReceived("WRITE k d"));
    }

    /** An earlier version of the control plane sends no age. */
    @Test
    void doesNotUsePrimaryWithDrainOfUnknownAge() throws Exception {
        ClientStub client = restartWhileDraining(ServerRow.UNKNOWN_AGE);
        assertEquals("nothing", client.queryAndWait("WRITE k d"));
        assertEquals(0, serverP.countReceived("WRITE k d"));
    }
}
