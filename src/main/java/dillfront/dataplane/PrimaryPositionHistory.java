package dillfront.dataplane;

import dillfront.common.database.LogPosition;
import java.util.ArrayDeque;

/**
 * Samples of the primary's log position, from which the minimum log position of a read with bounded
 * staleness follows. A sample states that no commit acknowledged before its time, by any data
 * plane, lies after its position; it comes from a request to the primary at that time.
 *
 * <p>The position is sent with a read as AFTER, so that a server whose log lacks another data
 * plane's commit rejects the read.
 */
final class PrimaryPositionHistory {

    private static final int MAX_SAMPLES = 128;
    private static final long DEFAULT_SAMPLE_INTERVAL_MS = 20;
    private static final long MIN_SAMPLE_INTERVAL_MS = 5;

    private record Sample(LogPosition position, long requestedMillis) {}

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();
    private long sampleIntervalMillis = DEFAULT_SAMPLE_INTERVAL_MS;

    /** Sets the maximum staleness over all routes. */
    void setMaxStaleness(long maxStalenessMillis) {
        sampleIntervalMillis =
                Math.max(MIN_SAMPLE_INTERVAL_MS, maxStalenessMillis / (MAX_SAMPLES / 2));
    }

    /**
     * Records the position of a server that was primary when it responded.
     *
     * @param position null if the response had none
     * @param requestedMillis when the request was sent
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
     * Returns the lowest known position that covers every commit acknowledged before this time;
     * null if unknown.
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
