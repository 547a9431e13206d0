package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.database.LogPosition;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class FloorsTest {

    private final Floors floors = new Floors();

    @Test
    void withoutAWordOfThePrimarySinceThatMomentNothingIsKnown() {
        assertNull(floors.since(0));
        floors.led(new LogPosition(1, 5), 100);
        assertNull(floors.since(101));
        assertEquals(new LogPosition(1, 5), floors.since(100));
        assertEquals(new LogPosition(1, 5), floors.since(0));
    }

    /**
     * Of all that were learnt since, the least will do: each of them holds what was acknowledged
     * before.
     */
    @Test
    void theLeastThatIsYoungEnough() {
        floors.led(new LogPosition(1, 5), 100);
        floors.led(new LogPosition(1, 9), 200);
        floors.led(new LogPosition(2, 3), 300);
        assertEquals(new LogPosition(1, 9), floors.since(150));
        assertEquals(new LogPosition(2, 3), floors.since(250));
    }

    /** Guards against a floor that lacks a commit, whatever was forgotten on the way. */
    @Property(tries = 200)
    void aFloorIsNeverBelowWhatWasAcknowledged(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Floors many = new Floors();
        many.reach(1 + random.nextInt(3_000));
        long[] number = new long[4_000];
        long log = 0;
        for (int ms = 1; ms < number.length; ms++) {
            log += random.nextInt(3) == 0 ? 1 : 0;
            number[ms] = log;
            if (random.nextInt(4) == 0) {
                many.led(new LogPosition(1, log), ms);
            }
            int moment = Math.max(1, ms - random.nextInt(2_000));
            LogPosition floor = many.since(moment);
            assertTrue(
                    floor == null || floor.index() >= number[moment],
                    () -> "a floor below what was there");
        }
    }
}
