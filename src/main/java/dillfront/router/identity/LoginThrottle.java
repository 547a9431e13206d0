package dillfront.router.identity;

import java.time.Duration;

/**
 * Delays logins after failed ones, which slows down password guessing. Failures are counted per
 * address and name, per name, and per address, in a count-min sketch of fixed size whose counts
 * decay with a half-life. Failures for one name delay that name at that address; other users behind
 * the same address are not locked out, since the free allowance of an address is far above that of
 * one name.
 */
public final class LoginThrottle {

    private static final int SKETCH_ROWS = 4;
    private static final int SKETCH_COLUMNS = 1 << 12;

    /** Failures without a delay for one name at one address. */
    private static final double FREE_FAILURES_PER_NAME_AND_ADDRESS = 3;

    /** Failures without a delay for one name at all addresses. */
    private static final double FREE_FAILURES_PER_NAME = 30;

    /** Failures without a delay for all names at one address. */
    private static final double FREE_FAILURES_PER_ADDRESS = 100;

    /** The delay doubles with each further failure. */
    private static final Duration INITIAL_DELAY = Duration.ofMillis(250);

    private static final Duration MAX_DELAY = Duration.ofSeconds(60);

    private static final Duration COUNT_HALF_LIFE = Duration.ofMinutes(2);

    private final float[][] counts = new float[SKETCH_ROWS][SKETCH_COLUMNS];
    private final long[][] updateTime = new long[SKETCH_ROWS][SKETCH_COLUMNS];
    private final long secret;
    private Duration now = Duration.ZERO;

    /**
     * @param secret key of the hash, so that no client can choose names that collide
     */
    public LoginThrottle(long secret) {
        this.secret = secret;
    }

    public void updateTime(Duration time) {
        now = time;
    }

    /** Counts a failed login. */
    public void recordFailure(String address, String name) {
        add(hash(address, name));
        add(hash("", name));
        add(hash(address, ""));
    }

    /**
     * Clears the failures of this name at this address after a successful login. The separate
     * counts of the name and of the address are kept.
     */
    public void recordSuccess(String address, String name) {
        long key = hash(address, name);
        float count = count(key);
        for (int row = 0; row < SKETCH_ROWS; row++) {
            int column = column(key, row);
            counts[row][column] = Math.max(0, decayed(row, column) - count);
            updateTime[row][column] = now.toNanos();
        }
    }

    /** Returns the delay before the next credential is checked; zero for none. */
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
            // Conservative update: only the smallest counters grow, which reduces the error from
            // collisions.
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
