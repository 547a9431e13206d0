package dillfront.router.gossip;

import static dillfront.routing.api.Spans.seconds;

import java.time.Duration;

/**
 * Token bucket that limits the bytes sent by gossip. Failure detection may use the whole bucket;
 * dissemination of updates leaves a part for it, and table exchange leaves the most. This keeps
 * gossip traffic independent of the number of instances and limits how much a peer can make this
 * instance send.
 */
public final class Budget {

    /** Bucket size in seconds of the rate: a burst of 3 s lets a new claim spread at once. */
    private static final double FULL = 3;

    /** Parts of the full bucket that are reserved for more important traffic. */
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

    /** Purpose of a send. */
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

    /**
     * Takes tokens for a datagram if enough remain for more important traffic; the bytes then count
     * as sent.
     */
    boolean takes(int bytes, Use use, Duration now) {
        double seconds = seconds(now.minus(filledAt));
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

    /** Returns the bytes sent since the start. */
    public long sent() {
        return sent;
    }

    /** Returns the datagrams not sent for lack of tokens since the start. */
    public long refused() {
        return refused;
    }
}
