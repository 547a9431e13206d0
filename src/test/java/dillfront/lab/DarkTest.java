package dillfront.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A fleet that comes back cold as a whole, in virtual time: no node falls over, and none waits until it is warm. */
class DarkTest {

    private static Dark.Case of(int routers, double load, int tries, double surge, double late, long seed) {
        return new Dark.Case(routers, 4, 4, load, 0.2, 2, tries, surge, late, late, seed);
    }

    @Test
    void noColdNodeIsPushedOverByAllTogether() {
        for (int routers : new int[] {1, 10, 100}) {
            for (double load : new double[] {0.3, 1.0}) {
                for (long seed = 0; seed < 4; seed++) {
                    // Clients that ask thrice, and three times the usual in the first second; half of all late, or none.
                    Dark.Outcome outcome = Dark.play(of(routers, load, 3, 3, seed % 2 * 0.5, seed));
                    assertTrue(outcome.peak() < 0.8, routers + " routers, load " + load + ", seed " + seed + ": " + outcome);
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

    @Test
    void theSameCaseIsTheSameRun() {
        assertEquals(Dark.play(of(10, 0.6, 3, 3, 0.5, 9)), Dark.play(of(10, 0.6, 3, 3, 0.5, 9)));
    }
}
