package dillfront.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.controlplane.consensus.SafetyRule;
import dillfront.simulation.ControlPlaneModel.Kind;
import dillfront.simulation.ControlPlaneModel.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ControlPlaneModelCheckerTest {

    /**
     * While its promise to another was on its way to the disk, a voter went on with the one before,
     * and said so: two held the lease.
     */
    @Test
    void doesNotExtendPromiseWhileWritingAnother() {
        String steps =
                "MESSAGE 1 2, MESSAGE 2 1, TIME 600 0, DISK 1 0, CRASH 1 0, START 1 0, MESSAGE 0 2, MESSAGE 2 0, MESSAGE 1 2, MESSAGE 2 1, "
                        + "TIME 250 0, DISK 0 0, DISK 0 0, DISK 1 0, MESSAGE 0 2, DISK 2 0, DISK 2 0, MESSAGE 1 0, "
                        + "MESSAGE 1 2, MESSAGE 2 1, TIME 1000 0, DISK 1 0, ".repeat(3)
                        + "MESSAGE 1 2, MESSAGE 0 2, MESSAGE 2 0, DISK 2 0, DISK 2 0, MESSAGE 2 1";
        ControlPlaneModel model =
                ControlPlaneModelChecker.replay(ControlPlaneModelChecker.LEASE_ONLY, 1, steps);
        assertNull(model.violation);
        assertTrue(model.processes[1].lease.isHeld());
        assertNotNull(
                ControlPlaneModelChecker.replay(
                                ControlPlaneModelChecker.LEASE_ONLY,
                                SafetyRule.LEASE_TURNS,
                                1,
                                steps)
                        .violation);
    }

    /**
     * The founder's first ballot was told before it was on its disk, and was used for another set
     * after a loss of power.
     */
    @Test
    void persistsBootstrapBallotBeforeSending() {
        ControlPlaneModel model =
                ControlPlaneModelChecker.replay(
                        ControlPlaneModelChecker.BOOTSTRAP,
                        1,
                        "MESSAGE 0 1, MESSAGE 0 2, MESSAGE 2 0, MESSAGE 1 0, MESSAGE 0 1, DISK 1 0, CRASH 0 0, START 0 0, MESSAGE 0 2, MESSAGE 2 0, "
                                + "CRASH 1 0, EMPTY 1 0, START 1 0, MESSAGE 0 1, MESSAGE 1 0, DISK 0 0");
        assertNull(model.violation);
    }

    /**
     * Two that had been members read by the majority of their former set, which knew that it was
     * dropped, and nothing that came after.
     */
    @Test
    void rejectsReadByMajorityOfReplacedSet() {
        ControlPlaneModel model =
                ControlPlaneModelChecker.replay(
                        ControlPlaneModelChecker.MEMBER_CHANGES,
                        0,
                        "MESSAGE 0 1, MESSAGE 1 0, MESSAGE 2 1, MESSAGE 3 0, SETS 0 9, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, MESSAGE 1 3, "
                                + "DISK 0 0, MESSAGE 0 1, MESSAGE 0 3, DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, TIME 50 0, SETS 0 0, DISK 0 0, "
                                + "MESSAGE 0 1, MESSAGE 0 3, DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, DISK 0 0, MESSAGE 0 1, MESSAGE 0 3, "
                                + "DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, MESSAGE 3 1, TIME 50 0, ORDER 0 8, DISK 0 0, MESSAGE 0 3, DISK 3 0, "
                                + "MESSAGE 3 0, DISK 0 0, MESSAGE 0 3, DISK 3 0, MESSAGE 3 0, READ 2 0, MESSAGE 1 2, TIME 250 0, DISK 2 0, "
                                + "MESSAGE 2 1, DISK 1 0, MESSAGE 1 2");
        assertNull(model.violation);
        assertEquals(1, model.newestChosen().configuration().revision());
        assertEquals(3, model.processes[2].register.decidedValue().epoch());
    }

    /**
     * Two asked for one number in the same moment, and one got it: the other asked for higher ones
     * for ever, which nobody could promise, and never supported the holder.
     */
    @Test
    void loserOfTieSupportsHolder() {
        ControlPlaneModel model = leaseTie(ControlPlaneModelChecker.LEASE_ONLY);
        runRounds(model, 1_200);
        ControlPlaneModel.ControlProcess holder = model.processes[0];
        ControlPlaneModel.ControlProcess other = model.processes[1];
        assertTrue(holder.lease.isHeld());
        assertEquals((1 << 20) + 1, holder.lease.number());
        assertEquals(0, other.lease.requestedNumber());
        assertEquals(holder.id, other.lease.promisedTo());
        assertEquals(holder.lease.number(), other.lease.promisedNumber());
        // Nobody's disk is troubled any more, and another loss ends nothing.
        runRounds(model, 5_000);
        assertEquals(0, completedWrites);
        crash(model, 2);
        runRounds(model, 5_000);
        assertTrue(holder.lease.isHeld());
        assertEquals((1 << 20) + 1, holder.lease.number());
        assertNull(model.violation);
    }

    /**
     * The loser is killed with its own promise taken back: it asks for none of the numbers again
     * that it asked for before.
     */
    @Test
    void neverReusesRequestedLeaseNumber() {
        ControlPlaneModel model = leaseTie(ControlPlaneModelChecker.LEASE_ONLY);
        runRounds(model, 1_200);
        assertEquals(model.processes[0].id, model.processes[1].lease.promisedTo());
        long requested = Long.parseLong(model.processes[1].disk.get("asked"));
        crash(model, 1);
        stepIfPossible(model, Kind.START, 1, 0);
        crash(model, 0);
        runRounds(model, 6_000);
        assertTrue(model.processes[1].lease.isHeld() || model.processes[2].lease.isHeld());
        assertTrue(
                Math.max(model.processes[1].lease.number(), model.processes[2].lease.number())
                        > requested);
        assertNull(model.violation);
    }

    /** Five, of which one had promised the number to the loser: it comes to the holder too. */
    @Test
    void voterOfTieLoserSupportsHolder() {
        ControlPlaneModel model =
                new ControlPlaneModel(ControlPlaneModelChecker.FIVE_MEMBERS, null, 1);
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < 3; i++) {
                for (int j = 0; j < 3; j++) {
                    stepIfPossible(model, Kind.MESSAGE, i, j);
                }
            }
        }
        stepIfPossible(model, Kind.CUT, 2, 0);
        stepIfPossible(model, Kind.CUT, 2, 1);
        stepIfPossible(model, Kind.TIME, 600, 0);
        completeWrites(model, 0);
        completeWrites(model, 1);
        assertEquals(
                model.processes[0].lease.requestedNumber(),
                model.processes[1].lease.requestedNumber());
        stepIfPossible(model, Kind.MESSAGE, 1, 4);
        completeWrites(model, 4);
        assertEquals(model.processes[1].id, model.processes[4].lease.promisedTo());
        stepIfPossible(model, Kind.JOIN, 2, 0);
        stepIfPossible(model, Kind.JOIN, 2, 1);
        runRounds(model, 3_000);
        assertTrue(model.processes[0].lease.isHeld());
        assertEquals((1 << 20) + 1, model.processes[0].lease.number());
        for (ControlPlaneModel.ControlProcess process : model.processes) {
            assertEquals(model.processes[0].id, process.lease.promisedTo());
        }
        assertNull(model.violation);
    }

    /**
     * Process 0 holds the lease by the promise of 2; 1 asked for the same number in the same
     * moment.
     */
    private static ControlPlaneModel leaseTie(ControlPlaneModel.ModelLimits limits) {
        ControlPlaneModel model =
                ControlPlaneModelChecker.replay(
                        limits,
                        1,
                        "MESSAGE 0 1, MESSAGE 1 0, MESSAGE 0 1, MESSAGE 1 0, TIME 1000 0, DISK 0 0, DISK 1 0, "
                                + "MESSAGE 0 2, DISK 2 0, DISK 2 0, MESSAGE 2 0");
        assertTrue(model.processes[0].lease.isHeld());
        assertEquals(model.processes[0].lease.number(), model.processes[1].lease.promisedNumber());
        assertEquals(model.processes[1].id, model.processes[1].lease.promisedTo());
        return model;
    }

    private int completedWrites;

    private static int completeWrites(ControlPlaneModel model, int process) {
        int count = 0;
        while (stepIfPossible(model, Kind.DISK, process, 0)) {
            count++;
        }
        return count;
    }

    /** All is heard and written, over and over, for so long. */
    private void runRounds(ControlPlaneModel model, long durationMillis) {
        completedWrites = 0;
        int processCount = model.processes.length;
        for (long endMillis = model.now + durationMillis; model.now < endMillis; ) {
            for (int i = 0; i < processCount; i++) {
                for (int j = 0; j < processCount; j++) {
                    stepIfPossible(model, Kind.MESSAGE, i, j);
                }
                completedWrites += completeWrites(model, i);
            }
            stepIfPossible(model, Kind.TIME, 50, 0);
        }
    }

    private static void crash(ControlPlaneModel model, int process) {
        stepIfPossible(model, Kind.CRASH, process, 0);
    }

    private static boolean stepIfPossible(ControlPlaneModel model, Kind kind, int a, int b) {
        Step step = new Step(kind, a, b);
        boolean possible = model.isPossible(step);
        if (possible) {
            model.step(step);
        }
        return possible;
    }

    /**
     * A word that was meant for the life before raised how far a table is known, without its rows:
     * a drain was acknowledged that one disk had.
     */
    @Test
    void ignoresReportForFormerIncarnation() {
        assertRuleNeeded(
                SafetyRule.ROWS_WITHOUT_GAP,
                ControlPlaneModelChecker.SERVERS,
                0,
                "SERVER 1 1, DISK 1 0, MESSAGE 1 0, MESSAGE 0 1, CRASH 0 0, START 0 0, MESSAGE 1 0, MESSAGE 0 1");
    }

    /**
     * Two records of one word went to the disk one after the other, by name; the number of the
     * first stood for both.
     */
    @Test
    void writesRecordsOfOneMessageTogether() {
        assertRuleNeeded(
                SafetyRule.RECORDS_TOGETHER,
                ControlPlaneModelChecker.SERVERS,
                0,
                "MESSAGE 0 1, MESSAGE 1 0, RECORD 0 1, RECORD 0 0, DISK 0 0, MESSAGE 0 2, DISK 2 0, MESSAGE 2 0");
    }

    /**
     * A member that came back without its disk was told what is newer than that disk had, and said
     * that it has all before.
     */
    @Test
    void rejectsRecordsForLostDisk() {
        assertRuleNeeded(
                SafetyRule.RECORDS_WITHOUT_GAP,
                ControlPlaneModelChecker.SERVERS,
                0,
                "MESSAGE 0 1, MESSAGE 1 0, RECORD 0 0, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, CRASH 1 0, EMPTY 1 0, "
                        + "RECORD 0 1, START 1 0, MESSAGE 0 1, DISK 1 0");
    }

    /**
     * A member that did not know that it goes acknowledged a drain by one that had agreed before it
     * had it: the set after that lacked it.
     */
    @Test
    void ignoresDurableReportOfNewerEpoch() {
        ControlPlaneModel model =
                assertRuleNeeded(
                        SafetyRule.ROWS_UNDER_EPOCH,
                        ControlPlaneModelChecker.SERVERS_MEMBER_CHANGES,
                        0,
                        "MESSAGE 0 2, MESSAGE 2 0, MESSAGE 3 0, SETS 0 13, DISK 0 0, MESSAGE 0 2, DISK 2 0, "
                                + "MESSAGE 2 0, DISK 0 0, MESSAGE 0 2, DISK 2 0, MESSAGE 2 0, SERVER 1 1, DISK 1 0, SETS 0 0, TIME 50 0, DISK 0 0, MESSAGE 0 2, "
                                + "DISK 2 0, MESSAGE 2 0, MESSAGE 1 0, DISK 0 0, MESSAGE 0 2, DISK 0 0, MESSAGE 0 1, DISK 2 0");
        assertEquals(3, model.newestChosen().epoch());
    }

    /**
     * The lease was out of hand while a set grew, and came back under its number: numbers within it
     * began anew.
     */
    @Test
    void continuesFencingTokensAfterInterruptedLease() {
        assertRuleNeeded(
                SafetyRule.NUMBERS_ONCE,
                ControlPlaneModelChecker.COORDINATOR_MEMBER_CHANGES,
                0,
                "MESSAGE 2 0, MESSAGE 1 0, MESSAGE 0 1, MESSAGE 1 0, MESSAGE 0 2, MESSAGE 4 1, TIME 250 0, TIME 250 0, "
                        + "DISK 1 0, CRASH 0 1, MESSAGE 1 2, DISK 2 0, MESSAGE 2 1, START 0 0, RECORD 1 1, DISK 1 0, RECORD 1 0, DISK 1 0, MESSAGE 3 1, "
                        + "MESSAGE 1 0, MESSAGE 0 3, MESSAGE 3 4, DISK 0 0, SETS 1 9, DISK 4 0, DISK 1 0, MESSAGE 1 0, SETS 1 31, DISK 0 0, MESSAGE 0 1, "
                        + "DISK 1 0, MESSAGE 1 4, DISK 4 0, MESSAGE 1 4, DISK 4 0, MESSAGE 4 1");
    }

    /** By these steps nothing breaks, and without the defence something does. */
    private static ControlPlaneModel assertRuleNeeded(
            SafetyRule rule, ControlPlaneModel.ModelLimits limits, long seed, String steps) {
        assertNotNull(ControlPlaneModelChecker.replay(limits, rule, seed, steps).violation);
        ControlPlaneModel model = ControlPlaneModelChecker.replay(limits, seed, steps);
        assertNull(model.violation);
        return model;
    }

    /** All there is up to these depths. */
    @Test
    void invariantsHoldInAllStates() {
        assertExhaustive(
                ControlPlaneModelChecker.explore(
                        ControlPlaneModelChecker.TWO_WRITERS,
                        ControlPlaneModelChecker.TWO_WRITERS_START,
                        null,
                        7,
                        100_000),
                6_000);
        assertExhaustive(
                ControlPlaneModelChecker.explore(
                        ControlPlaneModelChecker.POWER_LOSS,
                        ControlPlaneModelChecker.POWER_LOSS_START,
                        null,
                        5,
                        100_000),
                9_000);
        assertExhaustive(
                ControlPlaneModelChecker.explore(
                        ControlPlaneModelChecker.FIRST_START, "", null, 5, 100_000),
                5_000);
    }

    /**
     * A member's replacement, from its begin and from where the joint value is under way; with
     * servers and records, too.
     */
    @Test
    void invariantsHoldDuringReplacement() {
        assertExhaustive(
                ControlPlaneModelChecker.explore(
                        ControlPlaneModelChecker.MEMBER_REPLACEMENT,
                        ControlPlaneModelChecker.MEMBER_REPLACEMENT_START,
                        null,
                        3,
                        100_000),
                2_000);
        assertExhaustive(
                ControlPlaneModelChecker.explore(
                        ControlPlaneModelChecker.JOINT_REPLACEMENT,
                        ControlPlaneModelChecker.JOINT_ON_PROPOSER,
                        null,
                        3,
                        100_000),
                2_500);
        assertExhaustive(
                ControlPlaneModelChecker.explore(
                        ControlPlaneModelChecker.JOINT_REPLACEMENT,
                        ControlPlaneModelChecker.JOINT_ON_OLD_MAJORITY,
                        null,
                        3,
                        100_000),
                2_200);
        assertExhaustive(
                ControlPlaneModelChecker.explore(
                        ControlPlaneModelChecker.JOINT_REPLACEMENT,
                        ControlPlaneModelChecker.JOINT_FINISHING,
                        null,
                        3,
                        100_000),
                1_000);
        assertExhaustive(
                ControlPlaneModelChecker.explore(
                        ControlPlaneModelChecker.REGISTRY,
                        ControlPlaneModelChecker.REGISTRY_START,
                        null,
                        3,
                        100_000),
                2_200);
        assertExhaustive(
                ControlPlaneModelChecker.explore(
                        ControlPlaneModelChecker.REGISTRY_REPLACEMENT,
                        ControlPlaneModelChecker.REGISTRY_JOINT,
                        null,
                        3,
                        100_000),
                4_000);
        assertExhaustive(
                ControlPlaneModelChecker.explore(
                        ControlPlaneModelChecker.REGISTRY_REPLACEMENT,
                        ControlPlaneModelChecker.REGISTRY_JOINT_FINISHING,
                        null,
                        3,
                        100_000),
                1_700);
    }

    /** Steps that begin an exploration and cannot be would leave it about something else. */
    @Test
    void rejectsImpossibleInitialSteps() {
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        ControlPlaneModelChecker.explore(
                                ControlPlaneModelChecker.TWO_WRITERS, "SETS 0 3", null, 1, 10));
    }

    private static void assertExhaustive(
            ControlPlaneModelChecker.Exploration exploration, int minStates) {
        assertNull(exploration.violation());
        assertTrue(exploration.exhaustive(), exploration.toString());
        assertTrue(exploration.states() >= minStates, exploration.toString());
    }

    @Test
    void invariantsHoldInRandomWalks() {
        assertNull(ControlPlaneModelChecker.findViolation(null, 1, 1_500, Long.MAX_VALUE));
    }

    /** Without it something breaks, and by the same steps nothing does with it. */
    @ParameterizedTest
    @EnumSource(SafetyRule.class)
    void detectsDisabledSafetyRule(SafetyRule rule) {
        assertNotNull(
                ControlPlaneModelChecker.findViolation(rule, 1, 60_000, Long.MAX_VALUE),
                rule.name());
    }
}
