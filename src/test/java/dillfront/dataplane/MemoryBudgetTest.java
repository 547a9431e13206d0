package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Clients send messages as large as the protocol permits. Guards against a data plane that keeps
 * more of them than its heap holds, and ends (Fault).
 */
class MemoryBudgetTest extends DataPlaneHarness {

    private static final int MESSAGE_BYTES = 1_000_000;
    private static final String LARGE = "x".repeat(MESSAGE_BYTES);
    private static final long LIMIT_BYTES = 8_000_000;

    /** Values and statements above 16 KiB get three quarters of the budget. */
    private static final int FITTING_VALUES = 5;

    private final List<ClientStub> clients = new ArrayList<>();

    @BeforeEach
    void startWithSmallBudget() throws Exception {
        startNode(settings, new MemoryBudget(LIMIT_BYTES));
        advance(50);
    }

    private ClientStub connect() {
        ClientStub client = new ClientStub("new");
        clients.add(client);
        return client;
    }

    private void fillWithValues() {
        for (int i = 0; i < FITTING_VALUES; i++) {
            assertEquals("COMPLETE", connect().queryAndWait("SET note " + LARGE));
        }
    }

    private long reserved() {
        return node.memory().reservedBytes();
    }

    @Test
    void refusesValuesThatDoNotFitAndServesAllSessions() {
        fillWithValues();
        ClientStub refused = connect();
        assertEquals("BUSY", refused.queryAndWait("SET note " + LARGE));
        assertEquals("ROW", refused.queryAndWait("READ k"));
        assertEquals("COMPLETE", refused.queryAndWait("SET note short"));
        for (ClientStub client : clients) {
            assertEquals("COMPLETE", client.queryAndWait("WRITE k d"));
        }
    }

    @Test
    void reusesMemoryOfClosedSessions() {
        fillWithValues();
        clients.get(0).session.onClose("ended");
        assertEquals("COMPLETE", connect().queryAndWait("SET note " + LARGE));
        clients.forEach(client -> client.session.onClose("ended"));
        assertEquals(0, reserved());
    }

    @Test
    void releasesReplacedAndDeallocatedEntries() {
        ClientStub client = connect();
        client.queryAndWait("SET note " + LARGE);
        client.queryAndWait("SET note short");
        client.queryAndWait("PREPARE p READ " + LARGE);
        client.queryAndWait("DEALLOCATE p");
        assertEquals("note".length() + "short".length(), reserved());
    }

    @Test
    void boundsTheValuesOfOneSession() {
        ClientStub client = connect();
        assertEquals("COMPLETE", client.queryAndWait("SET a " + LARGE));
        assertEquals("TOOLARGE", client.queryAndWait("SET b " + LARGE + LARGE));
        assertEquals("COMPLETE", client.queryAndWait("SET a short"));
    }

    @Test
    void refusesLargeStatementsAtOnceAndServesSmallOnes() {
        serverP.unanswered = text -> text.endsWith(LARGE);
        for (int i = 0; i < 3; i++) {
            connect().query("WRITE k " + LARGE);
        }
        advance(50);
        ClientStub client = connect();
        assertEquals("BUSY", client.queryAndWait("WRITE k2 " + LARGE));
        assertEquals(0, serverP.countReceived("WRITE k2 " + LARGE));
        assertEquals("COMPLETE", client.queryAndWait("WRITE k2 d"));
        advance(2 * TIMEOUT_MS);
        assertEquals(0, reserved(), "statements that timed out are not kept");
        assertEquals("TIMEOUT", clients.get(0).received.get(0).split(" ")[1]);
    }

    /** A refused statement rolls its transaction back, as any other refusal. */
    @Test
    void refusesLargeStatementInTransaction() {
        fillWithValues();
        ClientStub client = connect();
        client.queryAndWait("BEGIN");
        assertEquals("BUSY", client.queryAndWait("WRITE k " + LARGE));
        assertReceived("READY E", client);
        assertEquals("COMPLETE", client.queryAndWait("ROLLBACK"));
        assertEquals("ROW", client.queryAndWait("READ k"));
    }

    @Test
    void stopsReadingBehindRunningStatement() {
        serverP.unanswered = text -> text.startsWith("WRITE");
        ClientStub client = connect();
        client.query("WRITE k d");
        client.query("READ " + LARGE);
        assertFalse(client.isReading);
        assertTrue(reserved() >= MESSAGE_BYTES);
        advance(2 * TIMEOUT_MS);
        assertTrue(client.isReading);
        assertEquals(0, reserved());
    }

    /** The connection would keep the value after its session has ended. */
    @Test
    void idleConnectionsKeepNoLargeValues() {
        ClientStub client = connect();
        client.queryAndWait("SET note " + LARGE);
        assertEquals("ROW", client.queryAndWait("READ k"));
        assertEquals(List.of(), serverP.openConnections);
    }

    @Test
    void closesConnectionWhoseResponseDoesNotFit() {
        serverP.responses.put(
                "READ k", ("ROW " + LARGE + "\n").repeat(8) + "COMPLETE stamp\nREADY I 1.5");
        ClientStub client = connect();
        // As any read whose connection ends with each attempt.
        assertEquals("ABORTED", client.queryAndWait("READ k"));
        assertEquals(0, reserved());
        assertEquals("ROW", client.queryAndWait("READ other"));
    }
}
