package dillfront.simulation;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Every order of what can happen in a small world: the rules hold, and each planted fault is found.
 */
class RouterModelCheckerTest {

    /** As deep as all orders can be gone through in some ten seconds. */
    private static final int DEPTH = 6;

    private static final int MAX_STATES = 160_000;

    @Test
    void invariantsHoldInEveryOrder() {
        RouterModelChecker.CheckResult result =
                RouterModelChecker.explore(
                        DEPTH, MAX_STATES, RouterModelChecker.InjectedFault.NONE);
        assertNull(result.violation());
        assertTrue(
                result.states() > 20_000 && result.states() < MAX_STATES, "all of them: " + result);
    }

    @ParameterizedTest
    @EnumSource(
            value = RouterModelChecker.InjectedFault.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = "NONE")
    void detectsInjectedFault(RouterModelChecker.InjectedFault fault) {
        assertNotNull(RouterModelChecker.explore(DEPTH + 3, MAX_STATES, fault).violation());
    }
}
