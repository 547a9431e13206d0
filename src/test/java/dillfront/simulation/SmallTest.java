package dillfront.simulation;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Exhaustive check of a small model: the invariants hold in every order of events, and each
 * injected fault is detected.
 */
class SmallTest {

    /** Depth at which all event orders are explored in about ten seconds. */
    private static final int DEPTH = 6;

    private static final int MOST = 160_000;

    @Test
    void theRulesHoldInEveryOrder() {
        Small.Found found = Small.explore(DEPTH, MOST, Small.Plant.NONE);
        assertNull(found.broken());
        assertTrue(found.states() > 20_000 && found.states() < MOST, "all of them: " + found);
    }

    @ParameterizedTest
    @EnumSource(value = Small.Plant.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void aPlantedFaultIsFound(Small.Plant plant) {
        assertNotNull(Small.explore(DEPTH + 3, MOST, plant).broken());
    }
}
