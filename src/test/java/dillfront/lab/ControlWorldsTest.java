package dillfront.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
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

    /** All there is up to these depths. */
    @Test
    void allHolds() {
        whole(ControlWorlds.explore(ControlWorlds.DUEL, ControlWorlds.DUEL_BEGINS, null, 7, 100_000), 6_000);
        whole(ControlWorlds.explore(ControlWorlds.LOSS, ControlWorlds.LOSS_BEGINS, null, 5, 100_000), 9_000);
        whole(ControlWorlds.explore(ControlWorlds.FIRST, "", null, 5, 100_000), 5_000);
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
