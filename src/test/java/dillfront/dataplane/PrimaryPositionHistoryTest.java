package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.database.LogPosition;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class PrimaryPositionHistoryTest {

    private final PrimaryPositionHistory history = new PrimaryPositionHistory();

    @Test
    void returnsNullWithoutRecentSample() {
        assertNull(history.lowestPositionSince(0));
        history.onPrimaryPosition(new LogPosition(1, 5), 100);
        assertNull(history.lowestPositionSince(101));
        assertEquals(new LogPosition(1, 5), history.lowestPositionSince(100));
        assertEquals(new LogPosition(1, 5), history.lowestPositionSince(0));
    }

    /**
     * Of all that were learnt since, the least will do: each of them holds what was acknowledged
     * before.
     */
    @Test
    void returnsLowestRecentPosition() {
        history.onPrimaryPosition(new LogPosition(1, 5), 100);
        history.onPrimaryPosition(new LogPosition(1, 9), 200);
        history.onPrimaryPosition(new LogPosition(2, 3), 300);
        assertEquals(new LogPosition(1, 9), history.lowestPositionSince(150));
        assertEquals(new LogPosition(2, 3), history.lowestPositionSince(250));
    }

    /** Guards against a floor that lacks a commit, whatever was forgotten on the way. */
    @Property(tries = 200)
    void coversEveryAcknowledgedCommit(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PrimaryPositionHistory history = new PrimaryPositionHistory();
        history.setMaxStaleness(1 + random.nextInt(3_000));
        long[] indexAtMillis = new long[4_000];
        long index = 0;
        for (int ms = 1; ms < indexAtMillis.length; ms++) {
            index += random.nextInt(3) == 0 ? 1 : 0;
            indexAtMillis[ms] = index;
            if (random.nextInt(4) == 0) {
                history.onPrimaryPosition(new LogPosition(1, index), ms);
            }
            int sinceMillis = Math.max(1, ms - random.nextInt(2_000));
            LogPosition lowest = history.lowestPositionSince(sinceMillis);
            assertTrue(
                    lowest == null || lowest.index() >= indexAtMillis[sinceMillis],
                    () -> "a floor below what was there");
        }
    }
}
