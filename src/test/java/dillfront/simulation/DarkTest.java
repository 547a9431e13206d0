package dillfront.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Return of a whole fleet after a power loss, in virtual time: no cold node is overloaded, and
 * service returns before the nodes are warm.
 */
class DarkTest {

    private static Dark.Case of(
            int routers, double load, int tries, double surge, double late, long seed) {
        return new Dark.Case(routers, 4, 4, load, 0.2, 2, tries, surge, 0, late, late, seed);
    }

    @Test
    void noColdNodeIsPushedOverByAllTogether() {
        for (int routers : new int[] {1, 10, 100}) {
            for (double load : new double[] {0.3, 1.0}) {
                for (long seed = 0; seed < 4; seed++) {
                    // Three attempts per client and three times the usual rate in the first second;
                    // half of the nodes and routers are late, or none.
                    Dark.Outcome outcome = Dark.play(of(routers, load, 3, 3, seed % 2 * 0.5, seed));
                    assertTrue(
                            outcome.peak() < 0.8,
                            routers + " routers, load " + load + ", seed " + seed + ": " + outcome);
                }
            }
        }
    }

    @Test
    void serviceReturnsLongBeforeNodesAreWarm() {
        for (long seed = 0; seed < 4; seed++) {
            Dark.Outcome few = Dark.play(of(10, 0.6, 3, 1, 0, seed));
            assertTrue(few.first() < 1 && few.served() > 0.6, "seed " + seed + ": " + few);
            Dark.Outcome many = Dark.play(of(100, 0.6, 3, 1, 0, seed));
            assertTrue(many.first() < 2 && many.served() > 0.4, "seed " + seed + ": " + many);
        }
    }

    /**
     * Guards against synchronized retries: a burst of clients that arrives when power returns is
     * declined at one moment and would retry at one moment.
     */
    @Test
    void theSecondWaveIsFlat() {
        for (int routers : new int[] {10, 100}) {
            for (long seed = 0; seed < 6; seed++) {
                Dark.Outcome outcome =
                        Dark.play(
                                new Dark.Case(
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
                        outcome.wave() < 2 && outcome.peak() < 0.8,
                        routers + " routers, seed " + seed + ": " + outcome);
            }
        }
    }

    @Test
    void theSameCaseIsTheSameRun() {
        assertEquals(Dark.play(of(10, 0.6, 3, 3, 0.5, 9)), Dark.play(of(10, 0.6, 3, 3, 0.5, 9)));
    }
}
