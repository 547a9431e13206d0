package dillfront.dataplane;

import dillfront.common.database.LogPosition;
import java.util.ArrayDeque;

/**
 * What a log must hold for a read to be young enough. Each floor says: all that was acknowledged
 * before this moment, by whatever data plane, stands no further than this position; it was learnt
 * by asking the primary at that moment.
 *
 * <p>The position goes along with a read as AFTER, so the server itself refuses where its log lacks
 * another data plane's commit.
 */
final class PrimaryPositionHistory {

    private static final int MAX_SAMPLES = 128;
    private static final long DEFAULT_SAMPLE_INTERVAL_MS = 20;
    private static final long MIN_SAMPLE_INTERVAL_MS = 5;

    private record Sample(LogPosition position, long requestedMillis) {}

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();
    private long sampleIntervalMillis = DEFAULT_SAMPLE_INTERVAL_MS;

    /** How old a read may be at the most, over all routes. */
    void setMaxStaleness(long maxStalenessMillis) {
        sampleIntervalMillis =
                Math.max(MIN_SAMPLE_INTERVAL_MS, maxStalenessMillis / (MAX_SAMPLES / 2));
    }

    /**
     * A primary that was asked at this moment, and led when it answered, had its log up to here.
     *
     * @param position null where the answer had none
     */
    void onPrimaryPosition(LogPosition position, long requestedMillis) {
        Sample lastSample = samples.peekLast();
        boolean tooSoon =
                lastSample != null
                        && requestedMillis < lastSample.requestedMillis() + sampleIntervalMillis;
        if (position == null || tooSoon) {
            return;
        }
        samples.addLast(new Sample(position, requestedMillis));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /**
     * The lowest position that holds all that was acknowledged before this moment; null where that
     * is not known.
     */
    LogPosition lowestPositionSince(long sinceMillis) {
        LogPosition lowest = null;
        for (Sample sample : samples) {
            boolean recent = sample.requestedMillis() >= sinceMillis;
            if (recent && (lowest == null || sample.position().compareTo(lowest) < 0)) {
                lowest = sample.position();
            }
        }
        return lowest;
    }
}
