package dillfront.router.identity;

import java.time.Duration;

/**
 * Waits after failed logins, so that guessing is slow. Failures are counted by address with name,
 * by name, and by address, in a count-min sketch of fixed size whose counts halve with time. One
 * who fails for one name waits for that name at his address; others behind the same address are not
 * locked out by him, since an address as a whole is charged only for the names of it that failed
 * beyond what one user does.
 */
public final class LoginThrottle {

    private static final int SKETCH_ROWS = 4;
    private static final int SKETCH_COLUMNS = 1 << 12;

    /**
     * Failures that cost nothing: of one name at one address, of a name anywhere, of an address for
     * all names.
     */
    private static final double FREE_FAILURES_PER_NAME_AND_ADDRESS = 3;

    private static final double FREE_FAILURES_PER_NAME = 30;
    private static final double FREE_FAILURES_PER_ADDRESS = 100;

    /** The first wait, doubled by each further failure, and the longest. */
    private static final Duration INITIAL_DELAY = Duration.ofMillis(250);

    private static final Duration MAX_DELAY = Duration.ofSeconds(60);

    /** Counts halve in this time. */
    private static final Duration COUNT_HALF_LIFE = Duration.ofMinutes(2);

    private final float[][] counts = new float[SKETCH_ROWS][SKETCH_COLUMNS];
    private final long[][] updateTime = new long[SKETCH_ROWS][SKETCH_COLUMNS];
    private final long secret;
    private Duration now = Duration.ZERO;

    /**
     * @param secret of this instance, so that nobody can choose names that fall together
     */
    public LoginThrottle(long secret) {
        this.secret = secret;
    }

    public void updateTime(Duration time) {
        now = time;
    }

    /** A login failed. */
    public void recordFailure(String address, String name) {
        add(hash(address, name));
        add(hash("", name));
        add(hash(address, ""));
    }

    /** A login that was right: its name at its address is forgiven, what others did is not. */
    public void recordSuccess(String address, String name) {
        long key = hash(address, name);
        float count = count(key);
        for (int row = 0; row < SKETCH_ROWS; row++) {
            int column = column(key, row);
            counts[row][column] = Math.max(0, decayed(row, column) - count);
            updateTime[row][column] = now.toNanos();
        }
    }

    /**
     * How long the last failures make this one wait before a credential is looked at; zero where
     * they don't.
     */
    public Duration loginDelay(String address, String name) {
        double excess =
                Math.max(
                        count(hash(address, name)) - FREE_FAILURES_PER_NAME_AND_ADDRESS,
                        Math.max(
                                count(hash("", name)) - FREE_FAILURES_PER_NAME,
                                count(hash(address, "")) - FREE_FAILURES_PER_ADDRESS));
        if (excess <= 0) {
            return Duration.ZERO;
        }
        double delayNanos = INITIAL_DELAY.toNanos() * Math.pow(2, Math.min(20, excess));
        return Duration.ofNanos((long) Math.min(delayNanos, MAX_DELAY.toNanos()));
    }

    private void add(long key) {
        float count = count(key);
        for (int row = 0; row < SKETCH_ROWS; row++) {
            int column = column(key, row);
            // Conservative update: only the least counters grow, so that names that fall together
            // cost each other less.
            counts[row][column] = Math.max(decayed(row, column), count + 1);
            updateTime[row][column] = now.toNanos();
        }
    }

    private float count(long key) {
        float minimum = Float.MAX_VALUE;
        for (int row = 0; row < SKETCH_ROWS; row++) {
            minimum = Math.min(minimum, decayed(row, column(key, row)));
        }
        return minimum;
    }

    private float decayed(int row, int column) {
        double halfLives =
                (now.toNanos() - updateTime[row][column]) / (double) COUNT_HALF_LIFE.toNanos();
        return (float) (counts[row][column] * Math.pow(0.5, halfLives));
    }

    private static int column(long key, int row) {
        long mixed = (key + row * 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        return (int) (mixed >>> 40) & SKETCH_COLUMNS - 1;
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
