package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Client sessions of a data plane with stubbed clients and database servers: which statements are
 * sent to which server, and how often.
 */
class ClientSessionTest extends DataPlaneHarness {

    // ---- retries

    @Test
    void writeWhoseConnectionEndsIsSentOnce() {
        serverP.closesConnection = text -> text.startsWith("WRITE");
        ClientStub client = new ClientStub("new");
        assertEquals("UNCERTAIN", client.queryAndWait("WRITE k d"));
        advance(3_000);
        assertEquals(1, serverP.countReceived("WRITE k d") + serverR.countReceived("WRITE k d"));
    }

    @Test
    void writeWithoutResponseIsSentOnce() {
        serverP.unanswered = text -> text.startsWith("WRITE");
        ClientStub client = new ClientStub("new");
        client.query("WRITE k d");
        advance(4_000);
        assertReceived("ERROR TIMEOUT", client);
        assertEquals(1, serverP.countReceived("WRITE k d") + serverR.countReceived("WRITE k d"));
    }

    @Test
    void preparedWriteWhoseConnectionEndsIsSentOnce() {
        serverP.closesConnection = text -> text.startsWith("EXECUTE");
        ClientStub client = new ClientStub("new");
        client.queryAndWait("PREPARE a WRITE q");
        assertEquals("UNCERTAIN", client.queryAndWait("EXECUTE a k d"));
        advance(3_000);
        assertEquals(
                1,
                serverP.countReceived("EXECUTE Wq k d") + serverR.countReceived("EXECUTE Wq k d"));
    }

    @Test
    void commitWhoseConnectionEndsIsUncertainOrAborted() {
        serverP.closesConnection = text -> text.equals("COMMIT");
        ClientStub client = new ClientStub("new");
        client.queryAndWait("BEGIN");
        client.queryAndWait("WRITE k d");
        assertEquals("UNCERTAIN", client.queryAndWait("COMMIT"));
        ClientStub otherClient = new ClientStub("new");
        otherClient.queryAndWait("BEGIN");
        otherClient.queryAndWait("READ k");
        assertEquals("ABORTED", otherClient.queryAndWait("COMMIT"));
        advance(3_000);
        assertEquals(2, serverP.countReceived("COMMIT"));
    }

    @Test
    void writeIsRetriedOnlyWhenItDidNotRun() {
        serverP.responses.put("WRITE k d", "ERROR BUSY p\nREADY I 1.5");
        ClientStub client = new ClientStub("new");
        client.query("WRITE k d");
        advance(200);
        serverP.responses.clear();
        advance(200);
        assertReceived("COMPLETE", client);
        assertTrue(serverP.countReceived("WRITE k d") > 1);
    }

    @Test
    void transactionWhoseConnectionEndsLaterIsAborted() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("BEGIN");
        client.queryAndWait("WRITE a d");
        serverP.closesConnection = text -> text.startsWith("WRITE b");
        assertEquals("ABORTED", client.queryAndWait("WRITE b d"));
        advance(3_000);
        assertEquals(1, serverP.countReceived("WRITE a d"));
        assertEquals(1, serverP.countReceived("WRITE b d"));
    }

    // ---- responses

    /**
     * Guards against reuse of a connection after a partial response, as the next response on it
     * could belong to any request.
     */
    @Test
    void closesConnectionOnPartialResponse() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("WRITE first d");
        int connectionsBefore = serverP.connectionCount;
        serverP.responses.put("WRITE k d", "READY I 1.9");
        assertEquals("UNCERTAIN", client.queryAndWait("WRITE k d"));
        assertEquals(0, serverP.openConnections.size());
        assertEquals("COMPLETE", client.queryAndWait("WRITE next d"));
        assertEquals(connectionsBefore + 1, serverP.connectionCount);
    }

    /**
     * Guards against a connection whose client is gone and whose response never arrives: it must be
     * closed, and the server must not count as unresponsive forever.
     */
    @Test
    void closesConnectionWithoutResponse() {
        for (String unansweredStatement : List.of("READ k", "BEGIN", "ROLLBACK")) {
            serverP.unanswered = text -> text.equals(unansweredStatement);
            ClientStub client = new ClientStub("new");
            if (!unansweredStatement.startsWith("READ")) {
                client.query("BEGIN");
                advance(20);
            }
            if (!unansweredStatement.equals("BEGIN")) {
                client.query("READ " + (unansweredStatement.equals("READ k") ? "k" : "other"));
                advance(20);
            }
            client.session.onClose("gone");
            advance(3_000);
            serverP.unanswered = text -> false;
            assertTrue(
                    serverP.openConnections.stream()
                            .noneMatch(connection -> connection.transactionStatus != 'I'),
                    unansweredStatement
                            + ": "
                            + serverP.openConnections.size()
                            + " connections stay open");
            assertEquals(
                    0, node.service("db").servers.get("p").busyConnections, unansweredStatement);
            ClientStub nextClient = new ClientStub("new");
            assertEquals("ROW", nextClient.queryAndWait("READ k"), unansweredStatement);
            nextClient.session.onClose("gone");
        }
    }

    // ---- staleness of reads

    /**
     * A former primary still acknowledges a COMMIT that wrote nothing. Its position says nothing
     * about the newest commit.
     */
    @Test
    void commitWithoutWriteRecordsNoPrimaryPosition() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("BEGIN");
        client.queryAndWait("READ k");
        advance(200);
        serverP.isPrimary = false;
        serverP.logIndex = 2;
        long commitMillis = environment.nowMillis();
        assertEquals("COMPLETE", client.queryAndWait("COMMIT"));
        assertEquals(null, node.service("db").primaryPositions.lowestPositionSince(commitMillis));
    }

    /**
     * A replica answers a read late, and is the primary by then. Guards against its old position as
     * a bound of later reads (STALE).
     */
    @Test
    void readThatRanOnAReplicaRecordsNoPrimaryPosition() {
        ClientStub writer = new ClientStub("new");
        writer.queryAndWait("WRITE k d");
        serverR.unanswered = text -> text.endsWith("READ k");
        ClientStub reader = new ClientStub("old");
        long readMillis = environment.nowMillis();
        reader.query("READ k");
        advance(20);
        assertEquals(1, serverR.countReceived("READ k"));
        recordNumber++;
        recordedPrimary = "r";
        serverR.isPrimary = true;
        advance(400);
        ServerConnectionStub connection = serverR.openConnections.get(0);
        connection.respond("ROW x", "COMPLETE stamp", "READY I 1.5");
        advance(20);
        assertReceived("ROW x", reader);
        assertEquals(null, node.service("db").primaryPositions.lowestPositionSince(readMillis));
    }

    /**
     * Guards against a read of the newest data at a former primary while the control plane is
     * unreachable.
     */
    @Test
    void readIsNotSentToUnconfirmedPrimary() {
        ClientStub client = new ClientStub("new");
        primaryConfirmed = false;
        advance(4_000);
        serverP.isPrimary = false;
        client.query("READ k");
        advance(1_000);
        assertReceived("ERROR BUSY", client);
        client.queryAndWait("BEGIN READ");
        client.query("READ k");
        advance(1_000);
        assertReceived("ERROR BUSY", client);
        client.queryAndWait("ROLLBACK");
        assertEquals(0, serverP.countReceived("READ k"));
        assertEquals(0, serverP.countReceived("BEGIN READ"));
        serverP.isPrimary = true;
        assertEquals("ROW", client.queryAndWait("READ k"));
        int receivedCount = serverP.received.size();
        assertTrue(
                serverP.received.get(receivedCount - 1).endsWith("READ k")
                        && serverP.received.get(receivedCount - 2).endsWith("STATUS"),
                serverP.received.toString());
    }

    @Test
    void ignoresMessagesOfFormerSource() {
        respondsLate = true;
        advance(400);
        respondsLate = false;
        advance(4_000);
        assertTrue(
                environment.events.stream().anyMatch(l -> l.contains("silent")),
                environment.events.toString());
        assertFalse(incarnations.contains("left"), incarnations.toString());
    }

    // ---- draining servers

    private void startDraining(DatabaseServerStub server) {
        register(server, "draining");
        advance(400);
    }

    /** The transaction was opened before the drain; the time of its first statement counts. */
    @Test
    void firstStatementDoesNotGoToDrainedServer() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("BEGIN");
        assertEquals(1, serverP.countReceived("BEGIN"));
        startDraining(serverP);
        recordedPrimary = "r";
        serverR.isPrimary = true;
        serverR.term = 2;
        serverP.isPrimary = false;
        recordNumber++;
        advance(7_000);
        assertEquals("COMPLETE", client.queryAndWait("WRITE k d"));
        assertEquals(0, serverP.countReceived("WRITE k d"));
        assertEquals(1, serverR.countReceived("WRITE k d"));
        assertEquals("COMPLETE", client.queryAndWait("COMMIT"));
    }

    @Test
    void startedTransactionStaysOnDrainingServer() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("BEGIN");
        client.queryAndWait("WRITE k d");
        startDraining(serverP);
        advance(7_000);
        assertEquals("COMPLETE", client.queryAndWait("WRITE l d"));
        assertEquals("COMPLETE", client.queryAndWait("COMMIT"));
        assertEquals(1, serverP.countReceived("WRITE l d"));
    }

    /**
     * A data plane that was last updated 4 s ago must not send a statement that arrives after the
     * drain time of the server.
     */
    @Test
    void stopsUsingDrainingPrimaryInTime() {
        startDraining(serverP);
        advance(3_600);
        ClientStub client = new ClientStub("new");
        client.query("WRITE k d");
        advance(3_000);
        assertEquals(0, serverP.countReceived("WRITE k d"));
        assertReceived("ERROR BUSY", client);
    }

    /**
     * Guards against idle connections that keep a draining server running after another server has
     * become primary.
     */
    @Test
    void closesConnectionsToDrainingFormerPrimary() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("WRITE k d");
        startDraining(serverP);
        assertNotEquals(0, serverP.openConnections.size());
        recordedPrimary = "r";
        serverR.isPrimary = true;
        recordNumber++;
        advance(600);
        assertEquals(0, serverP.openConnections.size());
    }

    // ---- acknowledged commits

    @Test
    void tracksBoundsOfAcknowledgedCommits() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("READ k");
        // By then, the log also has commits of another data plane.
        serverP.responses.put("WRITE k d", "COMPLETE s\nREADY I 1.9");
        client.queryAndWait("WRITE k d");
        assertEquals(
                new AcknowledgedCommits(new LogPosition(1, 6), new LogPosition(1, 9)),
                node.service("db").acknowledged());
        serverP.closesConnection = text -> text.startsWith("WRITE other");
        client.queryAndWait("WRITE other d");
        assertEquals(new LogPosition(1, 9), node.service("db").acknowledged().upperBound());
    }

    // ---- shutdown

    /** A running statement is completed; then the client learns that its transaction is aborted. */
    @Test
    void abortsOpenTransactionAtShutdown() {
        ClientStub client = new ClientStub("new");
        client.queryAndWait("BEGIN");
        serverP.unanswered = text -> text.startsWith("READ slow");
        node.shutDown(() -> {});
        advance(2_900);
        client.received.clear();
        client.query("READ slow");
        advance(200);
        assertEquals(List.of(), client.received);
        ServerConnectionStub connection =
                serverP.openConnections.stream()
                        .filter(candidate -> candidate.transactionStatus == 'T')
                        .findFirst()
                        .orElseThrow();
        connection.respond("ROW x", "COMPLETE s", "READY T 1.5");
        advance(20);
        assertReceived("ROW x", client);
        assertReceived("ERROR ABORTED", client);
        assertEquals("closed", client.received.get(client.received.size() - 1));
    }

    /**
     * The platform may need more than two failed readiness checks to notice that the process is not
     * ready. A client that it routes here before is served once.
     */
    @Test
    void servesClientOnceDuringShutdown() {
        new ClientStub("new");
        node.shutDown(() -> {});
        assertFalse(node.isReady());
        advance(2_500);
        ClientStub client = new ClientStub("new");
        assertEquals(List.of("READY I -"), client.connectReply);
        assertEquals(
                "COMPLETE", client.queryAndWait("SET a b"), "SET does not count as the operation");
        client.queryAndWait("READ k");
        assertReceived("ROW x", client);
        assertEquals("closed", client.received.get(client.received.size() - 1));
    }

    /** The statement of this client could still be running when the process exits. */
    @Test
    void rejectsClientAtEndOfShutdown() {
        ClientStub firstClient = new ClientStub("new");
        serverP.unanswered = text -> text.startsWith("READ slow");
        node.shutDown(() -> {});
        advance(2_900);
        firstClient.query("READ slow");
        advance(300);
        ClientStub client = new ClientStub("new");
        assertTrue(
                client.connectReply.get(0).startsWith("ERROR BUSY"),
                client.connectReply.toString());
        assertEquals("closed", client.connectReply.get(1));
    }

    @Test
    void exitsOnlyAfterPlatformNoticedShutdown() {
        boolean[] exited = new boolean[1];
        node.shutDown(() -> exited[0] = true);
        advance(2_900);
        assertFalse(exited[0], "a client may still be routed here");
        advance(400);
        assertTrue(exited[0]);
    }

    /**
     * Guards against new sessions at a data plane that is cut off from the control plane, and so
     * acknowledges no commit, while others are in contact.
     */
    @Test
    void isNotReadyWithoutContactToControlPlane() {
        assertTrue(node.isReady());
        controlSilent = true;
        advance(1_500);
        assertTrue(node.isReady(), "a short silence");
        advance(1_000);
        assertFalse(node.isReady());
        controlSilent = false;
        advance(3_000);
        assertTrue(node.isReady(), "in contact again");
    }

    /** A service without synchronous replicas needs no contact for its commits. */
    @Test
    void staysReadyWithoutContactIfCommitsNeedNone() {
        node.service("db").replicatesSynchronously = false;
        controlSilent = true;
        advance(4_000);
        assertTrue(node.isReady());
    }

    /**
     * Guards against all data planes becoming unready at once during a move, although none of them
     * knows more and replicas still serve reads.
     */
    @Test
    void staysReadyDuringAMove() {
        assertTrue(node.isReady());
        moving = true;
        recordNumber++;
        advance(400);
        assertEquals(
                "nothing", new ClientStub("new").queryAndWait("READ k"), "the primary is moving");
        assertTrue(node.isReady());
    }
}
