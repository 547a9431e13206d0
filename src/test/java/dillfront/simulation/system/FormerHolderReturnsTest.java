package dillfront.simulation.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The lease holder and then the primary are lost, and the former holder is back before the next one
 * promotes a server. Guards against waiting for the lease that the returning process may remember,
 * although the next holder's lease already shows that it is over.
 */
class FormerHolderReturnsTest {

    private static final double HOLDER_LOST_SECONDS = 11.3;
    private static final double PRIMARY_LOST_SECONDS = 12.3;

    /** Both simulations differ by the messages of the returning process only. */
    private static final long MAX_DIFFERENCE_MILLIS = 300;

    @Test
    void doesNotDelayFailover() {
        for (long seed = 1; seed <= 8; seed++) {
            long awayMillis = promotionMillis(seed, 20);
            for (double awaySeconds = 2.6; awaySeconds < 3.4; awaySeconds += 0.2) {
                long returningMillis = promotionMillis(seed, awaySeconds);
                assertTrue(
                        returningMillis <= awayMillis + MAX_DIFFERENCE_MILLIS,
                        "seed "
                                + seed
                                + ": "
                                + returningMillis
                                + " ms, back after "
                                + awaySeconds
                                + " s; "
                                + awayMillis
                                + " ms without");
            }
        }
    }

    /** Returns the time from the loss of the primary to the promotion. */
    private static long promotionMillis(long seed, double awaySeconds) {
        SystemSimulation simulation = new SystemSimulation(seed, 2, 1, 12, 34_000);
        simulation.scheduleFault(HOLDER_LOST_SECONDS, "holder for " + awaySeconds);
        simulation.scheduleFault(PRIMARY_LOST_SECONDS, "crash db0 primary for 16");
        simulation.run();
        assertEquals(List.of(), simulation.violations());
        assertEquals(1, simulation.promotionMillis().size());
        return simulation.promotionMillis().get(0);
    }
}
