package dillfront.simulation.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * The auditor of control state finds each harm that the letter names, and takes what is right for
 * right.
 */
class ConfigurationCheckerTest {

    private final SystemSimulation day = new SystemSimulation(1, 1, 1, 0, 10_000);
    private final ConfigurationChecker audit = day.configurationChecker;
    private final ControlMachine a = day.controlCluster.find("core-a");
    private final ControlMachine b = day.controlCluster.find("core-b");

    private ConfigurationClient.Change order(long number, int variant) {
        ConfigurationClient.Change o = day.configurationClient.new Change(number, variant);
        o.sentAtMillis = day.simulator.millis();
        audit.changeSent(o);
        return o;
    }

    private ConfigurationClient.Change acknowledged(long number, int variant) {
        ConfigurationClient.Change o = order(number, variant);
        o.acknowledged = true;
        o.finished = true;
        audit.endCall(audit.beginCall(o), 200);
        audit.acknowledged(o, a);
        return o;
    }

    private void found(String what) {
        assertTrue(
                day.violations().stream().anyMatch(x -> x.contains(what)),
                what + " among " + day.violations());
    }

    private void nothingFound() {
        assertEquals(java.util.List.of(), day.violations());
    }

    @Test
    void aReadBelowWhatWasAcknowledgedOrReadBefore() {
        acknowledged(5, 0);
        ConfigurationClient.Change four = order(4, 0);
        ConfigurationChecker.PendingRead early = audit.beginRead(a);
        acknowledged(6, 0);
        audit.endRead(early, 5, order(5, 0).digest);
        nothingFound();
        audit.endRead(audit.beginRead(b), 4, four.digest);
        assertEquals(1, day.controlCounts().revisionRegressions);
        found("reads back 4, known before was 6");
    }

    @Test
    void twoContentsUnderOneNumber() {
        acknowledged(5, 0);
        acknowledged(5, 1);
        assertEquals(1, day.controlCounts().conflictingContents);
        found("two contents under 5");
    }

    @Test
    void aContentThatWasOvertakenBeforeItWasDecidedIsNotOneOfTwo() {
        order(6, 0);
        acknowledged(5, 0);
        acknowledged(5, 1);
        nothingFound();
        audit.endRead(audit.beginRead(a), 5, order(5, 0).digest);
        audit.endRead(audit.beginRead(a), 5, order(5, 1).digest);
        assertEquals(1, day.controlCounts().conflictingContents);
    }

    @Test
    void oneThatWasTakenAndIsRefused() {
        ConfigurationClient.Change o = acknowledged(5, 0);
        audit.changeRejected(o, b, 409);
        assertEquals(1, day.controlCounts().rejectedAfterAcknowledge);
        ConfigurationClient.Change unheard = order(6, 0);
        audit.changeRejected(unheard, b, 409);
        audit.checkDataPlane("front", 1, false, 6, unheard.digest);
        audit.endRead(audit.beginRead(a), 6, unheard.digest);
        audit.checkFinalState();
        assertEquals(2, day.controlCounts().rejectedAfterAcknowledge);
    }

    @Test
    void theLoserOfARaceMayBeRefused() {
        acknowledged(5, 0);
        audit.changeRejected(order(5, 1), b, 409);
        day.simulator.runUntil(11_000);
        audit.endRead(audit.beginRead(a), 5, order(5, 0).digest);
        audit.checkFinalState();
        nothingFound();
    }

    @Test
    void aHistoryThatNoOrderOfMomentsExplains() {
        int five = audit.beginCall(order(5, 0));
        audit.endRead(audit.beginRead(a), 5, order(5, 0).digest);
        audit.endCall(five, 409);
        audit.checkFinalState();
        found("not linearizable");
    }

    @Test
    void aClearAnswerWithoutAMajority() {
        a.isolatedSinceMillis = 1_000;
        audit.checkResponse(a, 1_500, 200);
        audit.checkResponse(a, 2_500, 503);
        audit.checkResponse(a, 2_500, 307);
        nothingFound();
        audit.checkResponse(a, 2_500, 409);
        audit.checkResponse(a, 2_500, 200);
        assertEquals(2, day.controlCounts().minorityResponses);
    }

    @Test
    void aFenceOfTwoHolders() {
        audit.fencingTokenUsed("core-a", 7);
        audit.fencingTokenUsed("core-a", 7);
        nothingFound();
        audit.fencingTokenUsed("core-b", 7);
        assertEquals(1, day.controlCounts().fencingTokenReuses);
    }

    @Test
    void aFrontThatGoesBackWithinOneLifeOrStaysBehindInTouch() {
        long five = acknowledged(5, 0).digest;
        long four = order(4, 0).digest;
        audit.checkDataPlane("front", 1, true, 4, four);
        day.simulator.runUntil(2_900);
        audit.checkDataPlane("front", 1, true, 4, four);
        nothingFound();
        day.simulator.runUntil(3_100);
        audit.checkDataPlane("front", 1, false, 4, four);
        nothingFound();
        audit.checkDataPlane("front", 1, true, 4, four);
        found("in touch uses 4");
        audit.checkDataPlane("front", 1, true, 5, five);
        audit.checkDataPlane("front", 2, false, 4, four);
        assertEquals(0, day.controlCounts().revisionRegressions);
        audit.checkDataPlane("front", 2, false, 5, five);
        audit.checkDataPlane("front", 2, false, 4, four);
        assertEquals(1, day.controlCounts().revisionRegressions);
    }

    @Test
    void anOrderWithoutAnAcknowledgementWhileAllIsSettled() {
        for (ControlMachine c : day.controlCluster.machines()) {
            day.controlCluster.start(c, true);
        }
        order(5, 0);
        audit.checkPeriodically();
        day.simulator.runUntil(8_900);
        nothingFound();
        day.simulator.runUntil(9_200);
        assertEquals(1, day.controlCounts().overdueChanges);
        found("ACKS");
    }

    @Test
    void whatWasAcknowledgedIsGoneAtTheEnd() {
        acknowledged(5, 0);
        day.simulator.runUntil(11_000);
        audit.endRead(audit.beginRead(a), 4, order(4, 0).digest);
        audit.checkFinalState();
        assertEquals(1, day.controlCounts().lostChanges);
    }

    @Test
    void anAnswerOfAnotherAndACallThatRanTwice() {
        ClientSession client = new ClientSession(day, 0, "primary", "db0", "db0-primary", 1_000);
        DatabaseCluster database = day.consistencyChecker.databases.get("db0");
        DatabaseCluster.Server primary = database.servers.get(0);
        day.consistencyChecker.attempts.put("w", new ConsistencyChecker.Attempt("w", 0, client, null));
        day.consistencyChecker.onExecute(primary, database.new Connection(primary), "w", "WRITE k d", true);
        nothingFound();
        day.consistencyChecker.onExecute(primary, database.new Connection(primary), "w", "WRITE k d", true);
        client.onMessage(Simulator.bytes("ROW rother"));
        assertEquals(1, day.controlCounts().duplicateExecutions);
        assertEquals(1, day.controlCounts().misroutedResponses);
    }
}
