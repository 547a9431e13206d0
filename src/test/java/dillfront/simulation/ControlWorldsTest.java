package dillfront.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.controlplane.consensus.SafetyRule;
import dillfront.simulation.ControlWorld.Kind;
import dillfront.simulation.ControlWorld.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ControlWorldsTest {

    /**
     * Guards against two lease holders: while a voter wrote a promise to another candidate to disk,
     * it still extended its former promise.
     */
    @Test
    void aVoterThatTurnsToAnotherGoesOnWithNobody() {
        String steps =
                "MESSAGE 1 2, MESSAGE 2 1, TIME 600 0, DISK 1 0, CRASH 1 0, START 1 0, MESSAGE 0 2, MESSAGE 2 0, MESSAGE 1 2, MESSAGE 2 1, "
                        + "TIME 250 0, DISK 0 0, DISK 0 0, DISK 1 0, MESSAGE 0 2, DISK 2 0, DISK 2 0, MESSAGE 1 0, "
                        + "MESSAGE 1 2, MESSAGE 2 1, TIME 1000 0, DISK 1 0, ".repeat(3)
                        + "MESSAGE 1 2, MESSAGE 0 2, MESSAGE 2 0, DISK 2 0, DISK 2 0, MESSAGE 2 1";
        ControlWorld world = ControlWorlds.played(ControlWorlds.LEASE, 1, steps);
        assertNull(world.broken);
        assertTrue(world.processes[1].lease.isHeld());
        assertNotNull(
                ControlWorlds.played(ControlWorlds.LEASE, SafetyRule.LEASE_TURNS, 1, steps).broken);
    }

    /**
     * Guards against reuse of a ballot: the bootstrapping process sent its first ballot before the
     * ballot was on disk, and used it for another member set after a power loss.
     */
    @Test
    void theFirstBallotIsOnTheDiskBeforeItIsTold() {
        ControlWorld world =
                ControlWorlds.played(
                        ControlWorlds.FOUNDED,
                        1,
                        "MESSAGE 0 1, MESSAGE 0 2, MESSAGE 2 0, MESSAGE 1 0, MESSAGE 0 1, DISK 1 0, CRASH 0 0, START 0 0, MESSAGE 0 2, MESSAGE 2 0, "
                                + "CRASH 1 0, EMPTY 1 0, START 1 0, MESSAGE 0 1, MESSAGE 1 0, DISK 0 0");
        assertNull(world.broken);
    }

    /**
     * Guards against stale reads: two former members completed a read with the majority of their
     * former member set, which knew that it was replaced but had no later configuration.
     */
    @Test
    void aMajorityOfADroppedSetIsNoneForReads() {
        ControlWorld world =
                ControlWorlds.played(
                        ControlWorlds.SETS,
                        0,
                        "MESSAGE 0 1, MESSAGE 1 0, MESSAGE 2 1, MESSAGE 3 0, SETS 0 9, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, MESSAGE 1 3, "
                                + "DISK 0 0, MESSAGE 0 1, MESSAGE 0 3, DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, TIME 50 0, SETS 0 0, DISK 0 0, "
                                + "MESSAGE 0 1, MESSAGE 0 3, DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, DISK 0 0, MESSAGE 0 1, MESSAGE 0 3, "
                                + "DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, MESSAGE 3 1, TIME 50 0, ORDER 0 8, DISK 0 0, MESSAGE 0 3, DISK 3 0, "
                                + "MESSAGE 3 0, DISK 0 0, MESSAGE 0 3, DISK 3 0, MESSAGE 3 0, READ 2 0, MESSAGE 1 2, TIME 250 0, DISK 2 0, "
                                + "MESSAGE 2 1, DISK 1 0, MESSAGE 1 2");
        assertNull(world.broken);
        assertEquals(1, world.newest().configuration().revision());
        assertEquals(3, world.processes[2].register.decidedValue().epoch());
    }

    /**
     * Guards against a livelock: two candidates requested the same lease number at the same moment
     * and one got it; the other requested ever higher numbers, which no member could promise, and
     * never supported the holder.
     */
    @Test
    void whoLostATieSupportsTheHolder() {
        ControlWorld world = tie(ControlWorlds.LEASE);
        rounds(world, 1_200);
        ControlWorld.Process holder = world.processes[0];
        ControlWorld.Process other = world.processes[1];
        assertTrue(holder.lease.isHeld());
        assertEquals((1 << 20) + 1, holder.lease.number());
        assertEquals(0, other.lease.requestedNumber());
        assertEquals(holder.id, other.lease.promisedTo());
        assertEquals(holder.lease.number(), other.lease.promisedNumber());
        // No further disk writes, and the loss of another process does not end the lease.
        rounds(world, 5_000);
        assertEquals(0, written);
        crash(world, 2);
        rounds(world, 5_000);
        assertTrue(holder.lease.isHeld());
        assertEquals((1 << 20) + 1, holder.lease.number());
        assertNull(world.broken);
    }

    /**
     * The loser of a tie crashes after its own promise was withdrawn: it requests none of its
     * former numbers again.
     */
    @Test
    void whatWasAskedForIsNeverAskedForAgain() {
        ControlWorld world = tie(ControlWorlds.LEASE);
        rounds(world, 1_200);
        assertEquals(world.processes[0].id, world.processes[1].lease.promisedTo());
        long asked = Long.parseLong(world.processes[1].disk.get("asked"));
        crash(world, 1);
        take(world, Kind.START, 1, 0);
        crash(world, 0);
        rounds(world, 6_000);
        assertTrue(world.processes[1].lease.isHeld() || world.processes[2].lease.isHeld());
        assertTrue(
                Math.max(world.processes[1].lease.number(), world.processes[2].lease.number())
                        > asked);
        assertNull(world.broken);
    }

    /**
     * With five members, one of which had promised the number to the loser: that member supports
     * the holder too.
     */
    @Test
    void soDoesWhoeverPromisedTheLoser() {
        ControlWorld world = new ControlWorld(ControlWorlds.FIVE, null, 1);
        for (int time = 0; time < 2; time++) {
            for (int i = 0; i < 3; i++) {
                for (int j = 0; j < 3; j++) {
                    take(world, Kind.MESSAGE, i, j);
                }
            }
        }
        take(world, Kind.CUT, 2, 0);
        take(world, Kind.CUT, 2, 1);
        take(world, Kind.TIME, 600, 0);
        writes(world, 0);
        writes(world, 1);
        assertEquals(
                world.processes[0].lease.requestedNumber(),
                world.processes[1].lease.requestedNumber());
        take(world, Kind.MESSAGE, 1, 4);
        writes(world, 4);
        assertEquals(world.processes[1].id, world.processes[4].lease.promisedTo());
        take(world, Kind.JOIN, 2, 0);
        take(world, Kind.JOIN, 2, 1);
        rounds(world, 3_000);
        assertTrue(world.processes[0].lease.isHeld());
        assertEquals((1 << 20) + 1, world.processes[0].lease.number());
        for (ControlWorld.Process p : world.processes) {
            assertEquals(world.processes[0].id, p.lease.promisedTo());
        }
        assertNull(world.broken);
    }

    /**
     * Process 0 holds the lease by the promise of 2; process 1 requested the same number at the
     * same moment.
     */
    private static ControlWorld tie(ControlWorld.Scene scene) {
        ControlWorld world =
                ControlWorlds.played(
                        scene,
                        1,
                        "MESSAGE 0 1, MESSAGE 1 0, MESSAGE 0 1, MESSAGE 1 0, TIME 1000 0, DISK 0 0, DISK 1 0, "
                                + "MESSAGE 0 2, DISK 2 0, DISK 2 0, MESSAGE 2 0");
        assertTrue(world.processes[0].lease.isHeld());
        assertEquals(world.processes[0].lease.number(), world.processes[1].lease.promisedNumber());
        assertEquals(world.processes[1].id, world.processes[1].lease.promisedTo());
        return world;
    }

    private int written;

    private static int writes(ControlWorld world, int which) {
        int many = 0;
        while (take(world, Kind.DISK, which, 0)) {
            many++;
        }
        return many;
    }

    /** Delivers all messages and completes all writes repeatedly for this time. */
    private void rounds(ControlWorld world, long ms) {
        written = 0;
        int n = world.processes.length;
        for (long until = world.now + ms; world.now < until; ) {
            for (int i = 0; i < n; i++) {
                for (int j = 0; j < n; j++) {
                    take(world, Kind.MESSAGE, i, j);
                }
                written += writes(world, i);
            }
            take(world, Kind.TIME, 50, 0);
        }
    }

    private static void crash(ControlWorld world, int which) {
        take(world, Kind.CRASH, which, 0);
    }

    private static boolean take(ControlWorld world, Kind kind, int a, int b) {
        Step step = new Step(kind, a, b);
        boolean can = world.can(step);
        if (can) {
            world.step(step);
        }
        return can;
    }

    /**
     * Guards against a lost drain: a message to a former incarnation advanced the known registry
     * version without its rows, and a drain was acknowledged that only one disk had.
     */
    @Test
    void aWordForTheLifeBeforeRaisesNothing() {
        needs(
                SafetyRule.ROWS_WITHOUT_GAP,
                ControlWorlds.SERVED,
                0,
                "SERVER 1 1, DISK 1 0, MESSAGE 1 0, MESSAGE 0 1, CRASH 0 0, START 0 0, MESSAGE 1 0, MESSAGE 0 1");
    }

    /**
     * Guards against lost records: two records of one message were written one after the other in
     * the order of their names, and the number of the first implied both.
     */
    @Test
    void recordsOfOneWordGoTogether() {
        needs(
                SafetyRule.RECORDS_TOGETHER,
                ControlWorlds.SERVED,
                0,
                "MESSAGE 0 1, MESSAGE 1 0, RECORD 0 1, RECORD 0 0, DISK 0 0, MESSAGE 0 2, DISK 2 0, MESSAGE 2 0");
    }

    /**
     * Guards against lost records: a member that restarted without its disk received the records
     * newer than its former disk and reported all earlier ones as durable.
     */
    @Test
    void recordsForADiskThatIsGoneAreNotTaken() {
        needs(
                SafetyRule.RECORDS_WITHOUT_GAP,
                ControlWorlds.SERVED,
                0,
                "MESSAGE 0 1, MESSAGE 1 0, RECORD 0 0, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, CRASH 1 0, EMPTY 1 0, "
                        + "RECORD 0 1, START 1 0, MESSAGE 0 1, DISK 1 0");
    }

    /**
     * Guards against a lost drain: a member that did not know of its removal acknowledged a drain
     * by the report of a member that had accepted the new set before it stored the drain; the new
     * set lacked the drain.
     */
    @Test
    void whatIsKeptUnderANewerSetAcknowledgesNothing() {
        ControlWorld world =
                needs(
                        SafetyRule.ROWS_UNDER_EPOCH,
                        ControlWorlds.SERVED_SETS,
                        0,
                        "MESSAGE 0 2, MESSAGE 2 0, MESSAGE 3 0, SETS 0 13, DISK 0 0, MESSAGE 0 2, DISK 2 0, "
                                + "MESSAGE 2 0, DISK 0 0, MESSAGE 0 2, DISK 2 0, MESSAGE 2 0, SERVER 1 1, DISK 1 0, SETS 0 0, TIME 50 0, DISK 0 0, MESSAGE 0 2, "
                                + "DISK 2 0, MESSAGE 2 0, MESSAGE 1 0, DISK 0 0, MESSAGE 0 2, DISK 0 0, MESSAGE 0 1, DISK 2 0");
        assertEquals(3, world.newest().epoch());
    }

    /**
     * Guards against reuse of a fencing token: the lease was interrupted while the member set grew
     * and returned under its number, and the tokens within it restarted.
     */
    @Test
    void aLeaseThatComesBackGoesOnWithItsNumbers() {
        needs(
                SafetyRule.NUMBERS_ONCE,
                ControlWorlds.DUTY_SETS,
                0,
                "MESSAGE 2 0, MESSAGE 1 0, MESSAGE 0 1, MESSAGE 1 0, MESSAGE 0 2, MESSAGE 4 1, TIME 250 0, TIME 250 0, "
                        + "DISK 1 0, CRASH 0 1, MESSAGE 1 2, DISK 2 0, MESSAGE 2 1, START 0 0, RECORD 1 1, DISK 1 0, RECORD 1 0, DISK 1 0, MESSAGE 3 1, "
                        + "MESSAGE 1 0, MESSAGE 0 3, MESSAGE 3 4, DISK 0 0, SETS 1 9, DISK 4 0, DISK 1 0, MESSAGE 1 0, SETS 1 31, DISK 0 0, MESSAGE 0 1, "
                        + "DISK 1 0, MESSAGE 1 4, DISK 4 0, MESSAGE 1 4, DISK 4 0, MESSAGE 4 1");
    }

    /**
     * Checks that these steps violate no invariant, and that they do with the safety rule disabled.
     */
    private static ControlWorld needs(
            SafetyRule defence, ControlWorld.Scene scene, long seed, String steps) {
        assertNotNull(ControlWorlds.played(scene, defence, seed, steps).broken);
        ControlWorld world = ControlWorlds.played(scene, seed, steps);
        assertNull(world.broken);
        return world;
    }

    /** Exhaustive exploration up to these depths. */
    @Test
    void allHolds() {
        whole(
                ControlWorlds.explore(
                        ControlWorlds.DUEL, ControlWorlds.DUEL_BEGINS, null, 7, 100_000),
                6_000);
        whole(
                ControlWorlds.explore(
                        ControlWorlds.LOSS, ControlWorlds.LOSS_BEGINS, null, 5, 100_000),
                9_000);
        whole(ControlWorlds.explore(ControlWorlds.FIRST, "", null, 5, 100_000), 5_000);
    }

    /**
     * Replacement of a member, from its start and with the joint value in progress, also with
     * servers and records.
     */
    @Test
    void replacementHolds() {
        whole(
                ControlWorlds.explore(
                        ControlWorlds.REPLACED, ControlWorlds.REPLACED_BEGINS, null, 3, 100_000),
                2_000);
        whole(
                ControlWorlds.explore(
                        ControlWorlds.JOINT, ControlWorlds.REPLACED_BY_ONE, null, 3, 100_000),
                2_500);
        whole(
                ControlWorlds.explore(
                        ControlWorlds.JOINT, ControlWorlds.REPLACED_BY_OLD, null, 3, 100_000),
                2_200);
        whole(
                ControlWorlds.explore(
                        ControlWorlds.JOINT, ControlWorlds.REPLACED_SETTLING, null, 3, 100_000),
                1_000);
        whole(
                ControlWorlds.explore(
                        ControlWorlds.KEPT, ControlWorlds.KEPT_BEGINS, null, 3, 100_000),
                2_200);
        whole(
                ControlWorlds.explore(
                        ControlWorlds.KEPT_SETS, ControlWorlds.KEPT_JOINT, null, 3, 100_000),
                4_000);
        whole(
                ControlWorlds.explore(
                        ControlWorlds.KEPT_SETS, ControlWorlds.KEPT_SETTLING, null, 3, 100_000),
                1_700);
    }

    /** Impossible initial steps would let an exploration cover another case than intended. */
    @Test
    void beginsAsItSays() {
        assertThrows(
                IllegalArgumentException.class,
                () -> ControlWorlds.explore(ControlWorlds.DUEL, "SETS 0 3", null, 1, 10));
    }

    private static void whole(ControlWorlds.Found found, int least) {
        assertNull(found.broken());
        assertTrue(found.whole(), found.toString());
        assertTrue(found.states() >= least, found.toString());
    }

    @Test
    void noWalkBreaksIt() {
        assertNull(ControlWorlds.hunt(null, 1, 1_500, Long.MAX_VALUE));
    }

    /**
     * Each safety rule is necessary: with the rule disabled an invariant is violated, and with the
     * rule the same steps violate none.
     */
    @ParameterizedTest
    @EnumSource(SafetyRule.class)
    void eachDefenceIsNeeded(SafetyRule one) {
        assertNotNull(ControlWorlds.hunt(one, 1, 60_000, Long.MAX_VALUE), one.name());
    }
}
