package dillfront.simulation.system;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The auditor of simulated days finds what it is there for. */
class ConsistencyCheckerTest {

    private final SystemSimulation simulation = new SystemSimulation(1, 1, 1, 0, 10_000);
    private final DatabaseCluster database = simulation.consistencyChecker.databases.get("db0");
    private final DatabaseCluster.Server primary = database.servers.get(0);
    private final DatabaseCluster.Server replica = database.servers.get(1);

    private void appendToLogs(String attemptId, long index, DatabaseCluster.Server... servers) {
        DatabaseCluster.Commit commit =
                new DatabaseCluster.Commit(new LogPosition(1, index), attemptId);
        for (DatabaseCluster.Server server : servers) {
            server.log.add(commit);
            server.appliedCount = server.log.size();
        }
    }

    private ClientSession newSession(String readConsistency) {
        ClientSession session =
                new ClientSession(
                        simulation, 0, readConsistency, "db0", "db0-" + readConsistency, 1_000);
        return session;
    }

    private ConsistencyChecker.Attempt startAttempt(String id, ClientSession session) {
        ConsistencyChecker.Attempt attempt =
                new ConsistencyChecker.Attempt(id, simulation.simulator.micros(), session, null);
        simulation.consistencyChecker.attempts.put(id, attempt);
        return attempt;
    }

    private void assertViolation(String rule) {
        assertTrue(
                simulation.violations().stream().anyMatch(violation -> violation.startsWith(rule)),
                rule + " among " + simulation.violations());
    }

    @Test
    void reportsReadWithoutAcknowledgedWrite() {
        appendToLogs("w", 1, primary);
        simulation.consistencyChecker.acknowledge("db0", "w");
        simulation.simulator.runUntil(5);
        startAttempt("r", newSession("primary"));
        DatabaseCluster.Connection connection = database.new Connection(replica);
        simulation.consistencyChecker.onExecute(replica, connection, "r", "READ k", true);
        assertViolation("STALE");
    }

    @Test
    void allowsReadWithinStalenessBound() {
        appendToLogs("w", 1, primary);
        simulation.consistencyChecker.acknowledge("db0", "w");
        simulation.simulator.runUntil(500);
        startAttempt("r", newSession("bounded"));
        simulation.consistencyChecker.onExecute(
                replica, database.new Connection(replica), "r", "READ k", true);
        assertTrue(simulation.violations().isEmpty(), simulation.violations().toString());
        simulation.simulator.runUntil(1_600);
        startAttempt("later", newSession("bounded"));
        simulation.consistencyChecker.onExecute(
                replica, database.new Connection(replica), "later", "READ k", true);
        assertViolation("STALE");
    }

    @Test
    void reportsPromotionThatLosesCommit() {
        appendToLogs("w", 1, primary);
        simulation.consistencyChecker.acknowledge("db0", "w");
        simulation.consistencyChecker.onPromoted(replica);
        assertViolation("LOST");
    }

    /** Guards against an auditor that lets more pass as given up than a person said. */
    @Test
    void allowsPromotionToLoseOnlyAcceptedCommits() {
        appendToLogs("v", 1, primary, replica);
        appendToLogs("w", 2, primary);
        simulation.consistencyChecker.acknowledge("db0", "v");
        simulation.consistencyChecker.acknowledge("db0", "w");
        ConsistencyChecker.AcceptedLoss rejected =
                simulation.consistencyChecker.lossAcceptanceSent(
                        "db0", new LogPosition(1, 1), new LogPosition(1, 2));
        simulation.consistencyChecker.lossAcceptanceRejected(rejected);
        simulation.consistencyChecker.lossAcceptanceSent(
                "db0", new LogPosition(1, 0), new LogPosition(1, 1));
        simulation.consistencyChecker.onPromoted(replica);
        assertViolation("LOST");
        simulation.consistencyChecker.violations.clear();
        simulation.consistencyChecker.lossAcceptanceSent(
                "db0", new LogPosition(1, 1), new LogPosition(1, 2));
        simulation.consistencyChecker.onPromoted(replica);
        assertTrue(
                simulation.violations().isEmpty() && simulation.acceptedLostCommits() == 1,
                simulation.violations().toString());
        // It counted once; the next loss is another.
        appendToLogs("x", 3, primary);
        simulation.consistencyChecker.acknowledge("db0", "x");
        simulation.consistencyChecker.onPromoted(replica);
        assertViolation("LOST");
    }

    @Test
    void discardsAcceptedLossOnceWritesResume() {
        appendToLogs("w", 1, primary);
        simulation.consistencyChecker.acknowledge("db0", "w");
        simulation.consistencyChecker.lossAcceptanceSent(
                "db0", new LogPosition(1, 0), new LogPosition(1, 2));
        appendToLogs("x", 2, primary);
        simulation.consistencyChecker.acknowledge("db0", "x");
        simulation.consistencyChecker.onPromoted(replica);
        assertViolation("LOST");
    }

    @Test
    void reportsDuplicateAndRefusedWrites() {
        appendToLogs("w", 1, primary);
        appendToLogs("w", 2, primary);
        startAttempt("w", newSession("primary")).promisedNotExecuted = true;
        simulation.consistencyChecker.checkFinalLogs();
        assertViolation("TWICE");
        assertViolation("REFUSED");
    }

    @Test
    void reportsForeignSettingsAndUnknownStatement() {
        startAttempt("r", newSession("primary"));
        DatabaseCluster.Connection connection = database.new Connection(primary);
        connection.sessionSettings.put("a", "b");
        simulation.consistencyChecker.onExecute(primary, connection, "r", "READ k", true);
        assertViolation("PINNED");
        simulation.consistencyChecker.onExecute(primary, connection, "nobody", "READ k", true);
        assertViolation("UNASKED");
    }

    @Test
    void reportsTransactionOnDrainedServer() {
        startAttempt("r", newSession("primary"));
        simulation.consistencyChecker.drainAcknowledgedMicros.put(primary.id, 0L);
        simulation.simulator.runUntil(8_000);
        simulation.consistencyChecker.onExecute(
                primary, database.new Connection(primary), "r", "READ k", true);
        assertViolation("DRAIN");
    }

    /**
     * Guards the stand-in: a promoted replica leads with what it had, and what was not received is
     * cut back elsewhere.
     */
    @Test
    void promotionTruncatesOtherLogs() {
        appendToLogs("a", 1, primary, replica, database.servers.get(2));
        appendToLogs("b", 2, primary);
        database.promote(replica.id);
        simulation.simulator.runUntil(1_000);
        assertTrue(
                replica.isPrimary && !primary.isPrimary && primary.log.size() == 1,
                primary.log.toString());
        assertTrue(simulation.violations().isEmpty(), simulation.violations().toString());
    }

    /** What a client says out of form is answered by the page, and nothing else is harmed. */
    @Test
    void answersMalformedLinesWithErrors() {
        simulation.run();
        List<String> received = new java.util.ArrayList<>();
        exchange(received, "CONNECT nosuch me");
        exchange(received, "HELLO");
        exchange(received, "CONNECT db0-primary me", "QUERY");
        exchange(received, "CONNECT db0-primary me", "QUERY - READ k");
        exchange(received, "CONNECT db0-primary me", "QUERY 1 READ k\nQUERY 2 READ k");
        exchange(
                received,
                "CONNECT db0-primary me",
                "QUERY 1 SING",
                "QUERY 2 COMMIT",
                "QUERY 3 EXECUTE p k",
                "QUERY 4 SET a b",
                "GOODBYE");
        assertTrue(
                received.equals(
                        List.of(
                                "ERROR NODATABASE nosuch",
                                "closed",
                                "ERROR MALFORMED no word that fits here",
                                "closed",
                                "READY I -",
                                "ERROR MALFORMED QUERY id text",
                                "closed",
                                "READY I -",
                                "ERROR MALFORMED QUERY id text",
                                "closed",
                                "READY I -",
                                "ERROR MALFORMED a control character",
                                "closed",
                                "READY I -",
                                "ERROR MALFORMED no statement",
                                "READY I -",
                                "ERROR MALFORMED no transaction",
                                "READY I -",
                                "ERROR UNKNOWN p",
                                "READY I -",
                                "COMPLETE -",
                                "READY I -",
                                "closed")),
                received.toString());
    }

    private void exchange(List<String> received, String... lines) {
        simulation.clients.connect(
                simulation.dataPlane(0).ip + ":" + SystemSimulation.DATA_PLANE_PORT,
                Environment.Framing.LINES,
                500,
                new Environment.ConnectionListener() {
                    @Override
                    public void onOpen(Environment.Connection connection) {
                        for (String line : lines) {
                            connection.send(Simulator.bytes(line));
                        }
                    }

                    @Override
                    public void onMessage(byte[] message) {
                        received.add(Simulator.text(message));
                    }

                    @Override
                    public void onClose(String reason) {
                        received.add("closed");
                    }
                });
        simulation.simulator.runUntil(simulation.simulator.millis() + 200);
    }
}
