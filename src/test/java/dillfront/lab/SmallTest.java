package dillfront.lab;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Every order of what can happen in a small world: the rules hold, and each planted fault is found. */
class SmallTest {

    private static final int DEPTH = 7;
    private static final int MOST = 40_000;

    @Test
    void theRulesHoldInEveryOrder() {
        Small.Found found = Small.explore(DEPTH, MOST, Small.Plant.NONE);
        assertNull(found.broken());
        assertTrue(found.states() > 10_000, found.toString());
    }

    @ParameterizedTest
    @EnumSource(value = Small.Plant.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void aPlantedFaultIsFound(Small.Plant plant) {
        assertNotNull(Small.explore(DEPTH + 2, 4 * MOST, plant).broken());
    }
}
