package dillfront.router.gossip;

import static dillfront.routing.api.Durations.toSeconds;

import java.time.Duration;

/**
 * A token bucket over bytes. What keeps instances known to each other may use it up; what spreads
 * words leaves a part for that; what only evens out tables leaves the most. Guards against gossip
 * that grows with the number of instances, and against one that is made to talk by others.
 */
public final class Budget {

    /** Full after so many seconds of silence: a burst spreads a new claim at once. */
    private static final double FULL = 3;

    /** Parts of the full bucket that stay for what matters more. */
    private static final double LEFT_BY_CLAIMS = 0.05;

    private static final double LEFT_BY_WORDS = 0.3;
    private static final double LEFT_BY_TABLES = 0.6;

    private final double rate;
    private double tokens;
    private Duration filledAt = Duration.ZERO;
    private long sent;
    private long refused;

    public Budget(int bytesPerSecond) {
        rate = bytesPerSecond;
        tokens = rate * FULL;
    }

    /** What a send is for. */
    enum Use {
        PROBE(0),
        CLAIMS(LEFT_BY_CLAIMS),
        WORDS(LEFT_BY_WORDS),
        TABLES(LEFT_BY_TABLES);

        private final double left;

        Use(double left) {
            this.left = left;
        }
    }

    /** Whether so many bytes may go now; if so they are counted as sent. */
    boolean takes(int bytes, Use use, Duration now) {
        double seconds = toSeconds(now.minus(filledAt));
        tokens = Math.min(rate * FULL, tokens + Math.max(0, seconds) * rate);
        filledAt = now;
        if (tokens - bytes < use.left * rate * FULL) {
            refused++;
            return false;
        }
        tokens -= bytes;
        sent += bytes;
        return true;
    }

    /** Bytes since the start. */
    public long sent() {
        return sent;
    }

    /** Datagrams that were not sent for want of tokens, since the start. */
    public long refused() {
        return refused;
    }
}
