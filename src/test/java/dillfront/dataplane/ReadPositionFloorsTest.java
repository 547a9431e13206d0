package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.database.LogPosition;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ReadPositionFloorsTest {

    private final ReadPositionFloors floors = new ReadPositionFloors();

    @Test
    void unknownWithoutAnswerOfThePrimarySince() {
        assertNull(floors.positionSince(0));
        floors.onPrimaryPosition(new LogPosition(1, 5), 100);
        assertNull(floors.positionSince(101));
        assertEquals(new LogPosition(1, 5), floors.positionSince(100));
        assertEquals(new LogPosition(1, 5), floors.positionSince(0));
    }

    /**
     * The lowest sample of the period suffices, as each sample covers the commits acknowledged
     * before it.
     */
    @Test
    void lowestPositionThatIsRecentEnough() {
        floors.onPrimaryPosition(new LogPosition(1, 5), 100);
        floors.onPrimaryPosition(new LogPosition(1, 9), 200);
        floors.onPrimaryPosition(new LogPosition(2, 3), 300);
        assertEquals(new LogPosition(1, 9), floors.positionSince(150));
        assertEquals(new LogPosition(2, 3), floors.positionSince(250));
    }

    /**
     * Guards against a position that does not cover an acknowledged commit, whichever samples were
     * discarded.
     */
    @Property(tries = 200)
    void aFloorIsNeverBelowWhatWasAcknowledged(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ReadPositionFloors many = new ReadPositionFloors();
        many.maxStaleness(1 + random.nextInt(3_000));
        long[] number = new long[4_000];
        long log = 0;
        for (int ms = 1; ms < number.length; ms++) {
            log += random.nextInt(3) == 0 ? 1 : 0;
            number[ms] = log;
            if (random.nextInt(4) == 0) {
                many.onPrimaryPosition(new LogPosition(1, log), ms);
            }
            int moment = Math.max(1, ms - random.nextInt(2_000));
            LogPosition floor = many.positionSince(moment);
            assertTrue(
                    floor == null || floor.index() >= number[moment],
                    () -> "position below an acknowledged commit");
        }
    }
}
