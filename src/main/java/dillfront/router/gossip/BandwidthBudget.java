package dillfront.router.gossip;

import static dillfront.routing.api.Durations.toSeconds;

import java.time.Duration;

/**
 * A token bucket over bytes. What keeps instances known to each other may use it up; what spreads
 * words leaves a part for that; what only evens out tables leaves the most. Guards against gossip
 * that grows with the number of instances, and against one that is made to talk by others.
 */
public final class BandwidthBudget {

    /** Full after so many seconds of silence: a burst spreads a new claim at once. */
    private static final double BUCKET_SECONDS = 3;

    /** Parts of the full bucket that stay for what matters more. */
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

    /** What a send is for. */
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

    /** Whether so many bytes may go now; if so they are counted as sent. */
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

    /** Bytes since the start. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Datagrams that were not sent for want of tokens, since the start. */
    public long refusedDatagrams() {
        return refusedDatagrams;
    }
}
