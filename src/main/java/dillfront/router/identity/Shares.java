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
public final class Shares {

    /** Of its part, what is kept back for a tenant that has not been here lately. */
    private static final double KEPT = 0.25;

    /** Here lately: within this time. */
    private static final Duration LATELY = Duration.ofSeconds(5);

    /**
     * @param atOnce txns out at once over all; 0 where that is not bounded
     * @param weights one a tenant, by its index; zero or less counts as nothing
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

    /** From now on; what is out stays counted. */
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

    /** The first row is that of those without a tenant. */
    private int row(int tenant) {
        return tenant < 0 || tenant + 1 >= out.length ? 0 : tenant + 1;
    }

    /** Whether one more of this tenant may go out; if so it is counted until done(). */
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
     * Within its own part: only what is kept for the first txns of others is left alone, while some
     * of it is lent out.
     */
    private boolean room(int row) {
        double taken = all;
        for (int i = 0; i < out.length; i++) {
            taken += i == row ? 0 : Math.max(0, KEPT * parts[i] - out[i]);
        }
        return taken + 1 <= whole + 1e-9;
    }

    /** Whether there is room beyond what is out and what is kept back for others. */
    private boolean lent() {
        double taken = 0;
        for (int i = 0; i < out.length; i++) {
            boolean lately = now.toNanos() - seenAt[i] < LATELY.toNanos();
            taken += Math.max(out[i], lately ? parts[i] : KEPT * parts[i]);
        }
        return taken + 1 <= whole + 1e-9;
    }

    /** A transaction of this tenant has ended. */
    public void done(int tenant) {
        int row = row(tenant);
        if (out[row] > 0) {
            out[row]--;
            all--;
        }
    }

    /** Txns of this tenant that are out. */
    public int out(int tenant) {
        return out[row(tenant)];
    }
}
