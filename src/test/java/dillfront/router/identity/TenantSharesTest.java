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
class TenantSharesTest {

    private final TenantShares shares = new TenantShares();

    private int acquire(int tenant, int max) {
        int acquired = 0;
        while (acquired < max && shares.tryAcquire(tenant)) {
            acquired++;
        }
        return acquired;
    }

    private void setTime(double seconds) {
        shares.updateTime(Duration.ofMillis((long) (seconds * 1000)));
    }

    @Test
    void lendsUnusedSharesExceptReserve() {
        shares.configure(new TenantShares.Limits(100, new double[] {3, 1, 1}));
        setTime(100);
        assertEquals(90, acquire(0, 1000), "its own 60, and of the others' 40 all but a quarter");
        assertEquals(5, acquire(1, 1000), "who comes back has room at once");
        assertEquals(5, acquire(2, 1000));
        assertEquals(0, acquire(-1, 1000), "who has no tenant has what is left");
        // As what was lent ends, it goes to him whose it is.
        for (int i = 0; i < 15; i++) {
            shares.release(0);
            assertFalse(shares.tryAcquire(0), "not lent again: both others were here lately");
        }
        assertEquals(15, acquire(1, 1000));
        assertEquals(20, shares.inFlight(1));
    }

    @Test
    void burstTakesNothingFromActiveTenant() {
        shares.configure(new TenantShares.Limits(20, new double[] {1, 1}));
        setTime(1);
        int served = 0;
        int requested = 0;
        // The first asks without end; the second for two at a time, which end in the next step.
        for (int step = 0; step < 1000; step++) {
            setTime(1 + step * 0.01);
            acquire(0, 1000);
            int acquired = acquire(1, 2);
            served += acquired;
            requested += 2;
            for (int i = 0; i < acquired; i++) {
                shares.release(1);
            }
            if (step % 3 == 0) {
                shares.release(0);
            }
        }
        assertEquals(requested, served);
        assertTrue(shares.inFlight(0) <= 18);
    }

    @Test
    void unboundedWithoutLimits() {
        assertEquals(5000, acquire(3, 5000));
        shares.configure(TenantShares.Limits.NONE);
        assertEquals(5000, acquire(-1, 5000));
    }

    @Property(tries = 300, seed = "61")
    void respectsTotalAndOwnShare(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int tenants = 1 + random.nextInt(5);
        double[] weights = new double[tenants];
        double sum = 0;
        for (int i = 0; i < tenants; i++) {
            weights[i] = 1 + random.nextInt(4);
            sum += weights[i];
        }
        int maxInFlight = 10 + random.nextInt(90);
        TenantShares tenantShares = new TenantShares();
        tenantShares.configure(new TenantShares.Limits(maxInFlight, weights));
        for (int step = 0; step < 400; step++) {
            tenantShares.updateTime(Duration.ofMillis(100_000 + 20L * step));
            int tenant = random.nextInt(tenants + 1) - 1;
            if (random.nextInt(5) < 2) {
                tenantShares.release(tenant);
            } else {
                boolean acquired = tenantShares.tryAcquire(tenant);
                int inFlight = 0;
                double borrowed = 0;
                for (int i = -1; i < tenants; i++) {
                    inFlight += tenantShares.inFlight(i);
                    double share = i < 0 ? 0 : maxInFlight * weights[i] / sum;
                    borrowed += i == tenant ? 0 : Math.max(0, tenantShares.inFlight(i) - share);
                }
                assertTrue(inFlight <= maxInFlight);
                double ownShare = tenant < 0 ? 0 : maxInFlight * weights[tenant] / sum;
                // Refused within its own part only while others still hold what was lent to them.
                assertTrue(
                        acquired || tenantShares.inFlight(tenant) + 1 > ownShare || borrowed > 0,
                        "out " + tenantShares.inFlight(tenant) + " of " + ownShare);
            }
        }
    }
}
