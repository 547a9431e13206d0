package dillfront.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.core.Defence;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ControlWorldsTest {

    /** While its promise to another was on its way to the disk, a voter went on with the one before, and said so: two held the lease. */
    @Test
    void aVoterThatTurnsToAnotherGoesOnWithNobody() {
        ControlWorld world = ControlWorlds.played(ControlWorlds.LEASE, 15,
                "MESSAGE 0 1, MESSAGE 1 0, CRASH 1 0, TIME 1000 0, START 1 0, DISK 2 0, MESSAGE 1 2, MESSAGE 0 1, DISK 1 0, TIME 1000 0, "
                        + "MESSAGE 2 1, MESSAGE 1 2, DISK 1 0, TIME 1000 0, DISK 2 0, TIME 1000 0, DISK 0 0, MESSAGE 2 1, MESSAGE 0 1, "
                        + "MESSAGE 1 0, DISK 1 0, MESSAGE 1 2");
        assertNull(world.broken);
    }

    /** The founder's first ballot was told before it was on its disk, and was used for another set after a loss of power. */
    @Test
    void theFirstBallotIsOnTheDiskBeforeItIsTold() {
        ControlWorld world = ControlWorlds.played(ControlWorlds.FOUNDED, 1,
                "MESSAGE 0 1, MESSAGE 0 2, MESSAGE 2 0, MESSAGE 1 0, MESSAGE 0 1, DISK 1 0, CRASH 0 0, START 0 0, MESSAGE 0 2, MESSAGE 2 0, "
                        + "CRASH 1 0, EMPTY 1 0, START 1 0, MESSAGE 0 1, MESSAGE 1 0, DISK 0 0");
        assertNull(world.broken);
    }

    /** Two that had been members read by the majority of their former set, which knew that it was dropped, and nothing that came after. */
    @Test
    void aMajorityOfADroppedSetIsNoneForReads() {
        ControlWorld world = ControlWorlds.played(ControlWorlds.SETS, 0,
                "MESSAGE 0 1, MESSAGE 1 0, MESSAGE 2 1, MESSAGE 3 0, SETS 0 9, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, MESSAGE 1 3, "
                        + "DISK 0 0, MESSAGE 0 1, MESSAGE 0 3, DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, TIME 50 0, SETS 0 0, DISK 0 0, "
                        + "MESSAGE 0 1, MESSAGE 0 3, DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, DISK 0 0, MESSAGE 0 1, MESSAGE 0 3, "
                        + "DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, MESSAGE 3 1, TIME 50 0, ORDER 0 8, DISK 0 0, MESSAGE 0 3, DISK 3 0, "
                        + "MESSAGE 3 0, DISK 0 0, MESSAGE 0 3, DISK 3 0, MESSAGE 3 0, READ 2 0, MESSAGE 1 2, TIME 250 0, DISK 2 0, "
                        + "MESSAGE 2 1, DISK 1 0, MESSAGE 1 2");
        assertNull(world.broken);
        assertEquals(1, world.newest().configuration().version());
        assertEquals(3, world.processes[2].register.decided().epoch());
    }

    /** A word that was meant for the life before raised how far a table is known, without its rows: a drain was acknowledged that one disk had. */
    @Test
    void aWordForTheLifeBeforeRaisesNothing() {
        needs(Defence.ROWS_WITHOUT_GAP, ControlWorlds.SERVED, 0, "SERVER 1 1, DISK 1 0, MESSAGE 1 0, MESSAGE 0 1, CRASH 0 0, START 0 0, MESSAGE 1 0, MESSAGE 0 1");
    }

    /** Two records of one word went to the disk one after the other, by name; the number of the first stood for both. */
    @Test
    void recordsOfOneWordGoTogether() {
        needs(Defence.RECORDS_TOGETHER, ControlWorlds.SERVED, 0, "MESSAGE 0 1, MESSAGE 1 0, RECORD 0 1, RECORD 0 0, DISK 0 0, MESSAGE 0 2, DISK 2 0, MESSAGE 2 0");
    }

    /** A member that came back without its disk was told what is newer than that disk had, and said that it has all before. */
    @Test
    void recordsForADiskThatIsGoneAreNotTaken() {
        needs(Defence.RECORDS_WITHOUT_GAP, ControlWorlds.SERVED, 0, "MESSAGE 0 1, MESSAGE 1 0, RECORD 0 0, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, CRASH 1 0, EMPTY 1 0, "
                + "RECORD 0 1, START 1 0, MESSAGE 0 1, DISK 1 0");
    }

    /** A member that did not know that it goes acknowledged a drain by one that had agreed before it had it: the set after that lacked it. */
    @Test
    void whatIsKeptUnderANewerSetAcknowledgesNothing() {
        ControlWorld world = needs(Defence.ROWS_UNDER_EPOCH, ControlWorlds.SERVED_SETS, 0, "MESSAGE 0 2, MESSAGE 2 0, MESSAGE 3 0, SETS 0 13, DISK 0 0, MESSAGE 0 2, DISK 2 0, "
                + "MESSAGE 2 0, DISK 0 0, MESSAGE 0 2, DISK 2 0, MESSAGE 2 0, SERVER 1 1, DISK 1 0, SETS 0 0, TIME 50 0, DISK 0 0, MESSAGE 0 2, "
                + "DISK 2 0, MESSAGE 2 0, MESSAGE 1 0, DISK 0 0, MESSAGE 0 2, DISK 0 0, MESSAGE 0 1, DISK 2 0");
        assertEquals(3, world.newest().epoch());
    }

    /** The lease was out of hand while a set grew, and came back under its number: numbers within it began anew. */
    @Test
    void aLeaseThatComesBackGoesOnWithItsNumbers() {
        needs(Defence.NUMBERS_ONCE, ControlWorlds.DUTY_SETS, 0, "MESSAGE 2 0, MESSAGE 1 0, MESSAGE 0 1, MESSAGE 1 0, MESSAGE 0 2, MESSAGE 4 1, TIME 250 0, TIME 250 0, "
                + "DISK 1 0, CRASH 0 1, MESSAGE 1 2, DISK 2 0, MESSAGE 2 1, START 0 0, RECORD 1 1, DISK 1 0, RECORD 1 0, DISK 1 0, MESSAGE 3 1, "
                + "MESSAGE 1 0, MESSAGE 0 3, MESSAGE 3 4, DISK 0 0, SETS 1 9, DISK 4 0, DISK 1 0, MESSAGE 1 0, SETS 1 31, DISK 0 0, MESSAGE 0 1, "
                + "DISK 1 0, MESSAGE 1 4, DISK 4 0, MESSAGE 1 4, DISK 4 0, MESSAGE 4 1");
    }

    /** By these steps nothing breaks, and without the defence something does. */
    private static ControlWorld needs(Defence defence, ControlWorld.Scene scene, long seed, String steps) {
        assertNotNull(ControlWorlds.played(scene, defence, seed, steps).broken);
        ControlWorld world = ControlWorlds.played(scene, seed, steps);
        assertNull(world.broken);
        return world;
    }

    /** All there is up to these depths. */
    @Test
    void allHolds() {
        whole(ControlWorlds.explore(ControlWorlds.DUEL, ControlWorlds.DUEL_BEGINS, null, 7, 100_000), 6_000);
        whole(ControlWorlds.explore(ControlWorlds.LOSS, ControlWorlds.LOSS_BEGINS, null, 5, 100_000), 9_000);
        whole(ControlWorlds.explore(ControlWorlds.FIRST, "", null, 5, 100_000), 5_000);
    }

    /** A member's replacement, from its begin and from where the joint value is under way; with servers and records, too. */
    @Test
    void replacementHolds() {
        whole(ControlWorlds.explore(ControlWorlds.REPLACED, ControlWorlds.REPLACED_BEGINS, null, 3, 100_000), 2_000);
        whole(ControlWorlds.explore(ControlWorlds.JOINT, ControlWorlds.REPLACED_BY_ONE, null, 3, 100_000), 2_500);
        whole(ControlWorlds.explore(ControlWorlds.JOINT, ControlWorlds.REPLACED_BY_OLD, null, 3, 100_000), 2_200);
        whole(ControlWorlds.explore(ControlWorlds.JOINT, ControlWorlds.REPLACED_SETTLING, null, 3, 100_000), 1_000);
        whole(ControlWorlds.explore(ControlWorlds.KEPT, ControlWorlds.KEPT_BEGINS, null, 3, 100_000), 2_200);
        whole(ControlWorlds.explore(ControlWorlds.KEPT_SETS, ControlWorlds.KEPT_JOINT, null, 3, 100_000), 4_000);
        whole(ControlWorlds.explore(ControlWorlds.KEPT_SETS, ControlWorlds.KEPT_SETTLING, null, 3, 100_000), 1_700);
    }

    /** Steps that begin an exploration and cannot be would leave it about something else. */
    @Test
    void beginsAsItSays() {
        assertThrows(IllegalArgumentException.class, () -> ControlWorlds.explore(ControlWorlds.DUEL, "SETS 0 3", null, 1, 10));
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

    /** Without it something breaks, and by the same steps nothing does with it. */
    @ParameterizedTest
    @EnumSource(Defence.class)
    void eachDefenceIsNeeded(Defence one) {
        assertNotNull(ControlWorlds.hunt(one, 1, 60_000, Long.MAX_VALUE), one.name());
    }
}
