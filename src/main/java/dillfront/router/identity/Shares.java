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
public final class Shares {

    /** Part of the share that stays reserved for a tenant without recent transactions. */
    private static final double KEPT = 0.25;

    /** A tenant counts as active for this long after its last request. */
    private static final Duration LATELY = Duration.ofSeconds(5);

    /**
     * @param atOnce transactions in flight over all tenants; 0 for no limit
     * @param weights one per tenant, by its index; negative weights count as zero
     */
    public record Setting(int atOnce, double[] weights) {

        public static final Setting NONE = new Setting(0, new double[0]);

        public Setting {
            weights = weights.clone();
        }

        @Override
        public double[] weights() {
            return weights.clone();
        }
    }

    private int whole;
    private double[] parts = {0};
    private int[] out = {0};
    private long[] seenAt = {Long.MIN_VALUE / 2};
    private int all;
    private Duration now = Duration.ZERO;

    public void at(Duration clock) {
        now = clock;
    }

    /** Replaces the limits; transactions in flight stay counted. */
    public void set(Setting to) {
        whole = to.atOnce;
        int rows = Math.max(out.length, to.weights.length + 1);
        int before = out.length;
        out = Arrays.copyOf(out, rows);
        seenAt = Arrays.copyOf(seenAt, rows);
        Arrays.fill(seenAt, before, rows, Long.MIN_VALUE / 2);
        parts = new double[rows];
        double sum = 0;
        for (double weight : to.weights) {
            sum += Math.max(0, weight);
        }
        for (int i = 0; i < to.weights.length; i++) {
            parts[i + 1] = sum == 0 ? 0 : whole * Math.max(0, to.weights[i]) / sum;
        }
    }

    /** Returns the row of a tenant; row 0 is for sessions without one. */
    private int row(int tenant) {
        return tenant < 0 || tenant + 1 >= out.length ? 0 : tenant + 1;
    }

    /**
     * Admits one more transaction of this tenant, counted until {@link #done}; false at a limit.
     */
    public boolean take(int tenant) {
        int row = row(tenant);
        seenAt[row] = now.toNanos();
        boolean own = out[row] + 1 <= parts[row] + 1e-9;
        if (whole > 0 && !(own ? room(row) : lent())) {
            return false;
        }
        out[row]++;
        all++;
        return true;
    }

    /**
     * Returns whether a transaction within the tenant's own share fits. Only the idle reserve of
     * the other tenants is left free while parts of this share are lent.
     */
    private boolean room(int row) {
        double taken = all;
        for (int i = 0; i < out.length; i++) {
            taken += i == row ? 0 : Math.max(0, KEPT * parts[i] - out[i]);
        }
        return taken + 1 <= whole + 1e-9;
    }

    /** Returns whether a borrowed transaction fits beyond those in flight and all reserves. */
    private boolean lent() {
        double taken = 0;
        for (int i = 0; i < out.length; i++) {
            boolean lately = now.toNanos() - seenAt[i] < LATELY.toNanos();
            taken += Math.max(out[i], lately ? parts[i] : KEPT * parts[i]);
        }
        return taken + 1 <= whole + 1e-9;
    }

    /** Releases one transaction of this tenant. */
    public void done(int tenant) {
        int row = row(tenant);
        if (out[row] > 0) {
            out[row]--;
            all--;
        }
    }

    /** Returns the transactions in flight of this tenant. */
    public int out(int tenant) {
        return out[row(tenant)];
    }
}
