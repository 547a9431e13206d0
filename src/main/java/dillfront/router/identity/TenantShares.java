package dillfront.router.identity;

import java.time.Duration;
import java.util.Arrays;

/**
 * How many txns of each tenant may be out at once. Each has a part of the whole that is its own by
 * its weight; what the others leave unused may be borrowed, but for what is kept back for them: all
 * of the part of a tenant that was here lately, a quarter of one that was not. So who comes back
 * finds room for his first txns at once, and the rest as fast as what was lent comes to its end; no
 * flood of one tenant takes from another what he uses.
 *
 * <p>Pure; rows are the tenants of the settings, and one for those who have none, whose part is
 * nothing.
 */
public final class TenantShares {

    /** Of its part, what is kept back for a tenant that has not been here lately. */
    private static final double IDLE_RESERVE = 0.25;

    /** Here lately: within this time. */
    private static final Duration ACTIVE_WINDOW = Duration.ofSeconds(5);

    /**
     * @param maxInFlight txns out at once over all; 0 where that is not bounded
     * @param weights one a tenant, by its index; zero or less counts as nothing
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

    /** From now on; what is out stays counted. */
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

    /** The first row is that of those without a tenant. */
    private int rowOf(int tenant) {
        return tenant < 0 || tenant + 1 >= inFlight.length ? 0 : tenant + 1;
    }

    /** Whether one more of this tenant may go out; if so it is counted until done(). */
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
     * Within its own part: only what is kept for the first txns of others is left alone, while some
     * of it is lent out.
     */
    private boolean fitsOwnShare(int row) {
        double committed = totalInFlight;
        for (int i = 0; i < inFlight.length; i++) {
            committed += i == row ? 0 : Math.max(0, IDLE_RESERVE * shares[i] - inFlight[i]);
        }
        return committed + 1 <= maxInFlight + 1e-9;
    }

    /** Whether there is room beyond what is out and what is kept back for others. */
    private boolean fitsBorrowed() {
        double committed = 0;
        for (int i = 0; i < inFlight.length; i++) {
            boolean active = now.toNanos() - lastRequestNanos[i] < ACTIVE_WINDOW.toNanos();
            committed += Math.max(inFlight[i], active ? shares[i] : IDLE_RESERVE * shares[i]);
        }
        return committed + 1 <= maxInFlight + 1e-9;
    }

    /** A transaction of this tenant has ended. */
    public void release(int tenant) {
        int row = rowOf(tenant);
        if (inFlight[row] > 0) {
            inFlight[row]--;
            totalInFlight--;
        }
    }

    /** Txns of this tenant that are out. */
    public int inFlight(int tenant) {
        return inFlight[rowOf(tenant)];
    }
}
