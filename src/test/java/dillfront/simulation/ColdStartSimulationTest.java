package dillfront.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * A fleet that comes back cold as a whole, in virtual time: no node falls over, and none waits
 * until it is warm.
 */
class ColdStartSimulationTest {

    private static ColdStartSimulation.Scenario scenario(
            int routers,
            double load,
            int maxAttempts,
            double surgeFactor,
            double lateFraction,
            long seed) {
        return new ColdStartSimulation.Scenario(
                routers,
                4,
                4,
                load,
                0.2,
                2,
                maxAttempts,
                surgeFactor,
                0,
                lateFraction,
                lateFraction,
                seed);
    }

    @Test
    void overloadsNoColdNode() {
        for (int routers : new int[] {1, 10, 100}) {
            for (double load : new double[] {0.3, 1.0}) {
                for (long seed = 0; seed < 4; seed++) {
                    // Clients that ask thrice, and three times the usual in the first second; half
                    // of all late, or none.
                    ColdStartSimulation.Outcome result =
                            ColdStartSimulation.run(
                                    scenario(routers, load, 3, 3, seed % 2 * 0.5, seed));
                    assertTrue(
                            result.peakLoad() < 0.8,
                            routers + " routers, load " + load + ", seed " + seed + ": " + result);
                }
            }
        }
    }

    @Test
    void serviceReturnsLongBeforeNodesAreWarm() {
        for (long seed = 0; seed < 4; seed++) {
            ColdStartSimulation.Outcome few =
                    ColdStartSimulation.run(scenario(10, 0.6, 3, 1, 0, seed));
            assertTrue(
                    few.firstServedSeconds() < 1 && few.servedFraction() > 0.6,
                    "seed " + seed + ": " + few);
            ColdStartSimulation.Outcome many =
                    ColdStartSimulation.run(scenario(100, 0.6, 3, 1, 0, seed));
            assertTrue(
                    many.firstServedSeconds() < 2 && many.servedFraction() > 0.4,
                    "seed " + seed + ": " + many);
        }
    }

    /**
     * Guards against a crowd that power brings back at once, is declined at once, and comes again
     * at once.
     */
    @Test
    void spreadsRetriesAfterBurst() {
        for (int routers : new int[] {10, 100}) {
            for (long seed = 0; seed < 6; seed++) {
                ColdStartSimulation.Outcome result =
                        ColdStartSimulation.run(
                                new ColdStartSimulation.Scenario(
                                        routers,
                                        4,
                                        4,
                                        0.3 + 0.2 * (seed % 4),
                                        0.2,
                                        2,
                                        3,
                                        1,
                                        1,
                                        0,
                                        0,
                                        seed));
                assertTrue(
                        result.retryPeak() < 2 && result.peakLoad() < 0.8,
                        routers + " routers, seed " + seed + ": " + result);
            }
        }
    }

    @Test
    void sameScenarioGivesSameResult() {
        assertEquals(
                ColdStartSimulation.run(scenario(10, 0.6, 3, 3, 0.5, 9)),
                ColdStartSimulation.run(scenario(10, 0.6, 3, 3, 0.5, 9)));
    }
}
