package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillfront.common.database.AcknowledgedCommits;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A commit is acknowledged only while its server is certain to be the primary. Guards against
 * acknowledgements after the logs were compared for a failover (LOST).
 */
class CommitConfirmationTest extends DataPlaneHarness {

    /** Lets a write reach the primary, whose response is withheld. */
    private ClientStub writeWithoutResponse() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("WRITE first d");
        serverP.unanswered = text -> text.startsWith("WRITE");
        client.received.clear();
        client.query("WRITE k d");
        advance(20);
        serverP.unanswered = text -> false;
        return client;
    }

    private void respondToWrite() {
        serverP.logIndex++;
        ServerConnectionStub connection = serverP.openConnections.get(0);
        for (String line :
                List.of("COMPLETE stamp", "READY I " + serverP.term + "." + serverP.logIndex)) {
            connection.listener.onMessage(line.getBytes(StandardCharsets.ISO_8859_1));
        }
        advance(20);
    }

    private void record(String primary, boolean isMoving) {
        recordNumber++;
        recordedPrimary = primary;
        moving = isMoving;
        // The control process answers a waiting request after 300 ms.
        advance(320);
    }

    private AcknowledgedCommits acknowledged() {
        return node.service("db").acknowledged();
    }

    @Test
    void withholdsSuccessThatArrivesDuringFailover() {
        ClientStub client = writeWithoutResponse();
        AcknowledgedCommits before = acknowledged();
        record("p", true);
        respondToWrite();
        assertEquals(List.of(), client.received);
        record("r", false);
        assertReceived("ERROR UNCERTAIN", client);
        assertEquals(before, acknowledged());
    }

    @Test
    void passesSuccessOnIfThePrimaryLeadsOn() {
        ClientStub client = writeWithoutResponse();
        record("p", true);
        respondToWrite();
        record("p", false);
        assertReceived("COMPLETE stamp", client);
        assertEquals("1.7", acknowledged().upperBound().toString());
    }

    /** The server lost the lead and won it again, so the commit may have been cut back. */
    @Test
    void reportsUncertainIfThePrimaryLeadsInLaterTerm() {
        ClientStub client = writeWithoutResponse();
        record("p", true);
        respondToWrite();
        serverP.term += 2;
        record("p", false);
        assertReceived("ERROR UNCERTAIN", client);
    }

    @Test
    void surfacesTimeoutWithoutConfirmation() {
        ClientStub client = writeWithoutResponse();
        record("p", true);
        respondToWrite();
        advance(TIMEOUT_MS);
        assertReceived("ERROR TIMEOUT", client);
        assertEquals(1, serverP.countReceived("WRITE k d"));
    }

    @Test
    void refusesWritesWithoutContactToControlPlane() {
        ClientStub client = new ClientStub("new");
        assertEquals("COMPLETE", client.queryAndWait("WRITE k d"));
        primaryConfirmed = false;
        advance(6_000);
        assertEquals("BUSY", client.queryAndWait("WRITE k2 d"));
        assertEquals(0, serverP.countReceived("WRITE k2 d"));
        assertEquals("ROW", client.queryAndWait("READ k"));
        primaryConfirmed = true;
        advance(400);
        assertEquals("COMPLETE", client.queryAndWait("WRITE k2 d"));
    }

    @Test
    void abortsCommitThatCannotBeAcknowledged() {
        ClientStub client = transactionWithWrite();
        record("p", true);
        client.received.clear();
        client.query("COMMIT");
        advance(TIMEOUT_MS);
        assertReceived("ERROR ABORTED", client);
        assertReceived("READY I", client);
        assertEquals(0, serverP.countReceived("COMMIT"));
    }

    @Test
    void commitsOnceThePrimaryIsConfirmedAgain() {
        ClientStub client = transactionWithWrite();
        record("p", true);
        client.received.clear();
        client.query("COMMIT");
        advance(50);
        assertEquals(0, serverP.countReceived("COMMIT"));
        record("p", false);
        assertReceived("COMPLETE", client);
    }

    @Test
    void commitsOpenTransactionWhileItsPrimaryDrains() {
        ClientStub client = transactionWithWrite();
        drainsTransactions = true;
        record("p", true);
        assertEquals("COMPLETE", client.queryAndWait("COMMIT"));
    }

    private ClientStub transactionWithWrite() {
        ClientStub client = new ClientStub("new");
        assertEquals("COMPLETE", client.queryAndWait("BEGIN"));
        assertEquals("COMPLETE", client.queryAndWait("WRITE k d"));
        return client;
    }
}
