package dillfront.router.gossip;

import static dillfront.routing.api.Durations.toSeconds;

import java.time.Duration;

/**
 * Token bucket that limits the bytes sent by gossip. Failure detection may use the whole bucket;
 * dissemination of updates leaves a part for it, and table exchange leaves the most. This keeps
 * gossip traffic independent of the number of instances and limits how much a peer can make this
 * instance send.
 */
public final class BandwidthBudget {

    /** Bucket size in seconds of the rate: a burst of 3 s lets a new claim spread at once. */
    private static final double BUCKET_SECONDS = 3;

    /** Parts of the full bucket that are reserved for more important traffic. */
    private static final double RESERVED_FROM_CLAIMS = 0.05;

    private static final double RESERVED_FROM_UPDATES = 0.3;
    private static final double RESERVED_FROM_TABLES = 0.6;

    private final double rate;
    private double tokens;
    private Duration refilledAt = Duration.ZERO;
    private long bytesSent;
    private long refusedDatagrams;

    public BandwidthBudget(int bytesPerSecond) {
        rate = bytesPerSecond;
        tokens = rate * BUCKET_SECONDS;
    }

    /** Purpose of a send. */
    enum Purpose {
        PROBE(0),
        CLAIMS(RESERVED_FROM_CLAIMS),
        UPDATES(RESERVED_FROM_UPDATES),
        TABLES(RESERVED_FROM_TABLES);

        private final double reservedPart;

        Purpose(double reservedPart) {
            this.reservedPart = reservedPart;
        }
    }

    /**
     * Takes tokens for a datagram if enough remain for more important traffic; the bytes then count
     * as sent.
     */
    boolean tryTake(int bytes, Purpose purpose, Duration now) {
        double seconds = toSeconds(now.minus(refilledAt));
        tokens = Math.min(rate * BUCKET_SECONDS, tokens + Math.max(0, seconds) * rate);
        refilledAt = now;
        if (tokens - bytes < purpose.reservedPart * rate * BUCKET_SECONDS) {
            refusedDatagrams++;
            return false;
        }
        tokens -= bytes;
        bytesSent += bytes;
        return true;
    }

    /** Returns the bytes sent since the start. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Returns the datagrams not sent for lack of tokens since the start. */
    public long refusedDatagrams() {
        return refusedDatagrams;
    }
}
