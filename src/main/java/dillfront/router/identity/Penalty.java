package dillfront.router.identity;

import java.time.Duration;

/**
 * Waits after failed logins, so that guessing is slow. Failures are counted by address with name,
 * by name, and by address, in a count-min sketch of fixed size whose counts halve with time. One
 * who fails for one name waits for that name at his address; others behind the same address are not
 * locked out by him, since an address as a whole is charged only for the names of it that failed
 * beyond what one user does.
 */
public final class Penalty {

    private static final int ROWS = 4;
    private static final int COLUMNS = 1 << 12;

    /**
     * Failures that cost nothing: of one name at one address, of a name anywhere, of an address for
     * all names.
     */
    private static final double FREE_PAIR = 3;

    private static final double FREE_NAME = 30;
    private static final double FREE_ADDRESS = 100;

    /** The first wait, doubled by each further failure, and the longest. */
    private static final Duration FIRST = Duration.ofMillis(250);

    private static final Duration LONGEST = Duration.ofSeconds(60);

    /** Counts halve in this time. */
    private static final Duration HALF = Duration.ofMinutes(2);

    private final float[][] counts = new float[ROWS][COLUMNS];
    private final long[][] at = new long[ROWS][COLUMNS];
    private final long secret;
    private Duration now = Duration.ZERO;

    /**
     * @param secret of this instance, so that nobody can choose names that fall together
     */
    public Penalty(long secret) {
        this.secret = secret;
    }

    public void at(Duration clock) {
        now = clock;
    }

    /** A login failed. */
    public void failed(String address, String name) {
        add(hash(address, name));
        add(hash("", name));
        add(hash(address, ""));
    }

    /** A login that was right: its name at its address is forgiven, what others did is not. */
    public void right(String address, String name) {
        long key = hash(address, name);
        float count = count(key);
        for (int row = 0; row < ROWS; row++) {
            int column = column(key, row);
            counts[row][column] = Math.max(0, decayed(row, column) - count);
            at[row][column] = now.toNanos();
        }
    }

    /**
     * How long the last failures make this one wait before a credential is looked at; zero where
     * they don't.
     */
    public Duration wait(String address, String name) {
        double over =
                Math.max(
                        count(hash(address, name)) - FREE_PAIR,
                        Math.max(
                                count(hash("", name)) - FREE_NAME,
                                count(hash(address, "")) - FREE_ADDRESS));
        if (over <= 0) {
            return Duration.ZERO;
        }
        double span = FIRST.toNanos() * Math.pow(2, Math.min(20, over));
        return Duration.ofNanos((long) Math.min(span, LONGEST.toNanos()));
    }

    private void add(long key) {
        float least = count(key);
        for (int row = 0; row < ROWS; row++) {
            int column = column(key, row);
            // Conservative update: only the least counters grow, so that names that fall together
            // cost each other less.
            counts[row][column] = Math.max(decayed(row, column), least + 1);
            at[row][column] = now.toNanos();
        }
    }

    private float count(long key) {
        float least = Float.MAX_VALUE;
        for (int row = 0; row < ROWS; row++) {
            least = Math.min(least, decayed(row, column(key, row)));
        }
        return least;
    }

    private float decayed(int row, int column) {
        double halves = (now.toNanos() - at[row][column]) / (double) HALF.toNanos();
        return (float) (counts[row][column] * Math.pow(0.5, halves));
    }

    private static int column(long key, int row) {
        long mixed = (key + row * 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        return (int) (mixed >>> 40) & COLUMNS - 1;
    }

    private long hash(String address, String name) {
        long hash = secret ^ 0xcbf29ce484222325L;
        for (int i = 0; i < address.length(); i++) {
            hash = (hash ^ address.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ 0x1f) * 0x100000001b3L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        return hash ^ hash >>> 29;
    }
}
