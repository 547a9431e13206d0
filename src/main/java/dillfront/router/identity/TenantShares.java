package dillfront.router.identity;

import java.time.Duration;
import java.util.Arrays;

/**
 * Bounds the transactions in flight of each tenant by weighted fair shares. A tenant may use its
 * own share and borrow what others leave unused, except for a reserve: the full share of a tenant
 * that was active recently, a quarter of the share of one that was not. A returning tenant so has
 * room for its first transactions at once, and for the rest as borrowed slots are released; a burst
 * of one tenant takes no capacity that an active tenant uses.
 *
 * <p>The class reads no clock. Its rows are the tenants of the settings, and one with a share of
 * zero for sessions without a tenant.
 */
public final class TenantShares {

    /** Part of the share that stays reserved for a tenant without recent transactions. */
    private static final double IDLE_RESERVE = 0.25;

    /** A tenant counts as active for this long after its last request. */
    private static final Duration ACTIVE_WINDOW = Duration.ofSeconds(5);

    /**
     * @param maxInFlight transactions in flight over all tenants; 0 for no limit
     * @param weights one per tenant, by its index; negative weights count as zero
     */
    public record Limits(int maxInFlight, double[] weights) {

        public static final Limits NONE = new Limits(0, new double[0]);

        public Limits {
            weights = weights.clone();
        }

        @Override
        public double[] weights() {
            return weights.clone();
        }
    }

    private int maxInFlight;
    private double[] shares = {0};
    private int[] inFlight = {0};
    private long[] lastRequestNanos = {Long.MIN_VALUE / 2};
    private int totalInFlight;
    private Duration now = Duration.ZERO;

    public void updateTime(Duration time) {
        now = time;
    }

    /** Replaces the limits; transactions in flight stay counted. */
    public void configure(Limits limits) {
        maxInFlight = limits.maxInFlight;
        int rows = Math.max(inFlight.length, limits.weights.length + 1);
        int oldRows = inFlight.length;
        inFlight = Arrays.copyOf(inFlight, rows);
        lastRequestNanos = Arrays.copyOf(lastRequestNanos, rows);
        Arrays.fill(lastRequestNanos, oldRows, rows, Long.MIN_VALUE / 2);
        shares = new double[rows];
        double sum = 0;
        for (double weight : limits.weights) {
            sum += Math.max(0, weight);
        }
        for (int i = 0; i < limits.weights.length; i++) {
            shares[i + 1] = sum == 0 ? 0 : maxInFlight * Math.max(0, limits.weights[i]) / sum;
        }
    }

    /** Returns the row of a tenant; row 0 is for sessions without one. */
    private int rowOf(int tenant) {
        return tenant < 0 || tenant + 1 >= inFlight.length ? 0 : tenant + 1;
    }

    /**
     * Admits one more transaction of this tenant, counted until {@link #release}; false at a limit.
     */
    public boolean tryAcquire(int tenant) {
        int row = rowOf(tenant);
        lastRequestNanos[row] = now.toNanos();
        boolean withinShare = inFlight[row] + 1 <= shares[row] + 1e-9;
        if (maxInFlight > 0 && !(withinShare ? fitsOwnShare(row) : fitsBorrowed())) {
            return false;
        }
        inFlight[row]++;
        totalInFlight++;
        return true;
    }

    /**
     * Returns whether a transaction within the tenant's own share fits. Only the idle reserve of
     * the other tenants is left free while parts of this share are lent.
     */
    private boolean fitsOwnShare(int row) {
        double committed = totalInFlight;
        for (int i = 0; i < inFlight.length; i++) {
            committed += i == row ? 0 : Math.max(0, IDLE_RESERVE * shares[i] - inFlight[i]);
        }
        return committed + 1 <= maxInFlight + 1e-9;
    }

    /** Returns whether a borrowed transaction fits beyond those in flight and all reserves. */
    private boolean fitsBorrowed() {
        double committed = 0;
        for (int i = 0; i < inFlight.length; i++) {
            boolean active = now.toNanos() - lastRequestNanos[i] < ACTIVE_WINDOW.toNanos();
            committed += Math.max(inFlight[i], active ? shares[i] : IDLE_RESERVE * shares[i]);
        }
        return committed + 1 <= maxInFlight + 1e-9;
    }

    /** Releases one transaction of this tenant. */
    public void release(int tenant) {
        int row = rowOf(tenant);
        if (inFlight[row] > 0) {
            inFlight[row]--;
            totalInFlight--;
        }
    }

    /** Returns the transactions in flight of this tenant. */
    public int inFlight(int tenant) {
        return inFlight[rowOf(tenant)];
    }
}
