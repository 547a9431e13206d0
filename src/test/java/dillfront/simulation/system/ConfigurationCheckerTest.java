package dillfront.simulation.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * The auditor of control state finds each harm that the letter names, and takes what is right for
 * right.
 */
class ConfigurationCheckerTest {

    private final SystemSimulation simulation = new SystemSimulation(1, 1, 1, 0, 10_000);
    private final ConfigurationChecker checker = simulation.configurationChecker;
    private final ControlMachine machineA = simulation.controlCluster.find("core-a");
    private final ControlMachine machineB = simulation.controlCluster.find("core-b");

    private ConfigurationClient.Change submittedChange(long revision, int variant) {
        ConfigurationClient.Change change =
                simulation.configurationClient.new Change(revision, variant);
        change.sentAtMillis = simulation.simulator.millis();
        checker.changeSent(change);
        return change;
    }

    private ConfigurationClient.Change acknowledgedChange(long revision, int variant) {
        ConfigurationClient.Change change = submittedChange(revision, variant);
        change.acknowledged = true;
        change.finished = true;
        checker.endCall(checker.beginCall(change), 200);
        checker.acknowledged(change, machineA);
        return change;
    }

    private void assertViolation(String text) {
        assertTrue(
                simulation.violations().stream().anyMatch(violation -> violation.contains(text)),
                text + " among " + simulation.violations());
    }

    private void assertNoViolations() {
        assertEquals(java.util.List.of(), simulation.violations());
    }

    @Test
    void reportsReadOfOlderRevision() {
        acknowledgedChange(5, 0);
        ConfigurationClient.Change changeFour = submittedChange(4, 0);
        ConfigurationChecker.PendingRead earlyRead = checker.beginRead(machineA);
        acknowledgedChange(6, 0);
        checker.endRead(earlyRead, 5, submittedChange(5, 0).digest);
        assertNoViolations();
        checker.endRead(checker.beginRead(machineB), 4, changeFour.digest);
        assertEquals(1, simulation.controlCounts().revisionRegressions);
        assertViolation("reads back 4, known before was 6");
    }

    @Test
    void reportsTwoContentsForOneRevision() {
        acknowledgedChange(5, 0);
        acknowledgedChange(5, 1);
        assertEquals(1, simulation.controlCounts().conflictingContents);
        assertViolation("two contents under 5");
    }

    @Test
    void ignoresContentSupersededBeforeDecision() {
        submittedChange(6, 0);
        acknowledgedChange(5, 0);
        acknowledgedChange(5, 1);
        assertNoViolations();
        checker.endRead(checker.beginRead(machineA), 5, submittedChange(5, 0).digest);
        checker.endRead(checker.beginRead(machineA), 5, submittedChange(5, 1).digest);
        assertEquals(1, simulation.controlCounts().conflictingContents);
    }

    @Test
    void reportsRejectionOfAcceptedChange() {
        ConfigurationClient.Change acknowledged = acknowledgedChange(5, 0);
        checker.changeRejected(acknowledged, machineB, 409);
        assertEquals(1, simulation.controlCounts().rejectedAfterAcknowledge);
        ConfigurationClient.Change unacknowledged = submittedChange(6, 0);
        checker.changeRejected(unacknowledged, machineB, 409);
        checker.checkDataPlane("front", 1, false, 6, unacknowledged.digest);
        checker.endRead(checker.beginRead(machineA), 6, unacknowledged.digest);
        checker.checkFinalState();
        assertEquals(2, simulation.controlCounts().rejectedAfterAcknowledge);
    }

    @Test
    void allowsRejectionOfConflictingChange() {
        acknowledgedChange(5, 0);
        checker.changeRejected(submittedChange(5, 1), machineB, 409);
        simulation.simulator.runUntil(11_000);
        checker.endRead(checker.beginRead(machineA), 5, submittedChange(5, 0).digest);
        checker.checkFinalState();
        assertNoViolations();
    }

    @Test
    void reportsNonLinearizableHistory() {
        int call = checker.beginCall(submittedChange(5, 0));
        checker.endRead(checker.beginRead(machineA), 5, submittedChange(5, 0).digest);
        checker.endCall(call, 409);
        checker.checkFinalState();
        assertViolation("not linearizable");
    }

    @Test
    void reportsConclusiveResponseWithoutMajority() {
        machineA.isolatedSinceMillis = 1_000;
        checker.checkResponse(machineA, 1_500, 200);
        checker.checkResponse(machineA, 2_500, 503);
        checker.checkResponse(machineA, 2_500, 307);
        assertNoViolations();
        checker.checkResponse(machineA, 2_500, 409);
        checker.checkResponse(machineA, 2_500, 200);
        assertEquals(2, simulation.controlCounts().minorityResponses);
    }

    @Test
    void reportsFencingTokenOfTwoHolders() {
        checker.fencingTokenUsed("core-a", 7);
        checker.fencingTokenUsed("core-a", 7);
        assertNoViolations();
        checker.fencingTokenUsed("core-b", 7);
        assertEquals(1, simulation.controlCounts().fencingTokenReuses);
    }

    @Test
    void reportsDataPlaneRegressionAndStaleness() {
        long digestFive = acknowledgedChange(5, 0).digest;
        long digestFour = submittedChange(4, 0).digest;
        checker.checkDataPlane("front", 1, true, 4, digestFour);
        simulation.simulator.runUntil(2_900);
        checker.checkDataPlane("front", 1, true, 4, digestFour);
        assertNoViolations();
        simulation.simulator.runUntil(3_100);
        checker.checkDataPlane("front", 1, false, 4, digestFour);
        assertNoViolations();
        checker.checkDataPlane("front", 1, true, 4, digestFour);
        assertViolation("in touch uses 4");
        checker.checkDataPlane("front", 1, true, 5, digestFive);
        checker.checkDataPlane("front", 2, false, 4, digestFour);
        assertEquals(0, simulation.controlCounts().revisionRegressions);
        checker.checkDataPlane("front", 2, false, 5, digestFive);
        checker.checkDataPlane("front", 2, false, 4, digestFour);
        assertEquals(1, simulation.controlCounts().revisionRegressions);
    }

    @Test
    void reportsOverdueChangeWhileStable() {
        for (ControlMachine machine : simulation.controlCluster.machines()) {
            simulation.controlCluster.start(machine, true);
        }
        submittedChange(5, 0);
        checker.checkPeriodically();
        simulation.simulator.runUntil(8_900);
        assertNoViolations();
        simulation.simulator.runUntil(9_200);
        assertEquals(1, simulation.controlCounts().overdueChanges);
        assertViolation("ACKS");
    }

    @Test
    void reportsLossOfAcknowledgedChange() {
        acknowledgedChange(5, 0);
        simulation.simulator.runUntil(11_000);
        checker.endRead(checker.beginRead(machineA), 4, submittedChange(4, 0).digest);
        checker.checkFinalState();
        assertEquals(1, simulation.controlCounts().lostChanges);
    }

    @Test
    void reportsMisroutedResponseAndDuplicateExecution() {
        ClientSession session =
                new ClientSession(simulation, 0, "primary", "db0", "db0-primary", 1_000);
        DatabaseCluster database = simulation.consistencyChecker.databases.get("db0");
        DatabaseCluster.Server primary = database.servers.get(0);
        simulation.consistencyChecker.attempts.put(
                "w", new ConsistencyChecker.Attempt("w", 0, session, null));
        simulation.consistencyChecker.onExecute(
                primary, database.new Connection(primary), "w", "WRITE k d", true);
        assertNoViolations();
        simulation.consistencyChecker.onExecute(
                primary, database.new Connection(primary), "w", "WRITE k d", true);
        session.onMessage(Simulator.bytes("ROW rother"));
        assertEquals(1, simulation.controlCounts().duplicateExecutions);
        assertEquals(1, simulation.controlCounts().misroutedResponses);
    }
}
