package dillfront.router.identity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What tenants lend each other, and what none takes from another. */
class SharesTest {

    private final TenantShares shares = new TenantShares();

    private int takes(int tenant, int most) {
        int taken = 0;
        while (taken < most && shares.tryAcquire(tenant)) {
            taken++;
        }
        return taken;
    }

    private void at(double seconds) {
        shares.updateTime(Duration.ofMillis((long) (seconds * 1000)));
    }

    @Test
    void whatOthersLeaveIsLent() {
        shares.configure(new TenantShares.Limits(100, new double[] {3, 1, 1}));
        at(100);
        assertEquals(90, takes(0, 1000), "its own 60, and of the others' 40 all but a quarter");
        assertEquals(5, takes(1, 1000), "who comes back has room at once");
        assertEquals(5, takes(2, 1000));
        assertEquals(0, takes(-1, 1000), "who has no tenant has what is left");
        // As what was lent ends, it goes to him whose it is.
        for (int i = 0; i < 15; i++) {
            shares.release(0);
            assertFalse(shares.tryAcquire(0), "not lent again: both others were here lately");
        }
        assertEquals(15, takes(1, 1000));
        assertEquals(20, shares.inFlight(1));
    }

    @Test
    void aFloodTakesNothingFromWhoIsHere() {
        shares.configure(new TenantShares.Limits(20, new double[] {1, 1}));
        at(1);
        int served = 0;
        int asked = 0;
        // The first asks without end; the second for two at a time, which end in the next step.
        for (int step = 0; step < 1000; step++) {
            at(1 + step * 0.01);
            takes(0, 1000);
            int got = takes(1, 2);
            served += got;
            asked += 2;
            for (int i = 0; i < got; i++) {
                shares.release(1);
            }
            if (step % 3 == 0) {
                shares.release(0);
            }
        }
        assertEquals(asked, served);
        assertTrue(shares.inFlight(0) <= 18);
    }

    @Test
    void unboundedWhereNothingIsSet() {
        assertEquals(5000, takes(3, 5000));
        shares.configure(TenantShares.Limits.NONE);
        assertEquals(5000, takes(-1, 5000));
    }

    @Property(tries = 300, seed = "61")
    void neverMoreThanAllAndNeverLessThanItsOwn(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        int tenants = 1 + chance.nextInt(5);
        double[] weights = new double[tenants];
        double sum = 0;
        for (int i = 0; i < tenants; i++) {
            weights[i] = 1 + chance.nextInt(4);
            sum += weights[i];
        }
        int whole = 10 + chance.nextInt(90);
        TenantShares some = new TenantShares();
        some.configure(new TenantShares.Limits(whole, weights));
        for (int step = 0; step < 400; step++) {
            some.updateTime(Duration.ofMillis(100_000 + 20L * step));
            int tenant = chance.nextInt(tenants + 1) - 1;
            if (chance.nextInt(5) < 2) {
                some.release(tenant);
            } else {
                boolean took = some.tryAcquire(tenant);
                int all = 0;
                double kept = 0;
                for (int i = -1; i < tenants; i++) {
                    all += some.inFlight(i);
                    double part = i < 0 ? 0 : whole * weights[i] / sum;
                    kept += i == tenant ? 0 : Math.max(0, some.inFlight(i) - part);
                }
                assertTrue(all <= whole);
                double own = tenant < 0 ? 0 : whole * weights[tenant] / sum;
                // Refused within its own part only while others still hold what was lent to them.
                assertTrue(
                        took || some.inFlight(tenant) + 1 > own || kept > 0,
                        "out " + some.inFlight(tenant) + " of " + own);
            }
        }
    }
}
