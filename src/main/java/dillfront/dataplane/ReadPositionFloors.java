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
final class ReadPositionFloors {

    private static final int MAX_FLOORS = 128;
    private static final long DEFAULT_SPACING_MS = 20;
    private static final long MIN_SPACING_MS = 5;

    private record Floor(LogPosition position, long atMillis) {}

    private final ArrayDeque<Floor> floors = new ArrayDeque<>();
    private long spacingMillis = DEFAULT_SPACING_MS;

    /** Sets the maximum staleness over all routes. */
    void maxStaleness(long millis) {
        spacingMillis = Math.max(MIN_SPACING_MS, millis / (MAX_FLOORS / 2));
    }

    /**
     * Records the position of a server that was primary when it responded.
     *
     * @param position null if the response had none
     * @param requestedMillis when the request was sent
     */
    void onPrimaryPosition(LogPosition position, long requestedMillis) {
        Floor last = floors.peekLast();
        boolean tooSoon = last != null && requestedMillis < last.atMillis() + spacingMillis;
        if (position == null || tooSoon) {
            return;
        }
        floors.addLast(new Floor(position, requestedMillis));
        if (floors.size() > MAX_FLOORS) {
            floors.removeFirst();
        }
    }

    /**
     * Returns the lowest known position that covers every commit acknowledged before this time;
     * null if unknown.
     */
    LogPosition positionSince(long momentMillis) {
        LogPosition lowest = null;
        for (Floor floor : floors) {
            boolean recent = floor.atMillis() >= momentMillis;
            if (recent && (lowest == null || floor.position().compareTo(lowest) < 0)) {
                lowest = floor.position();
            }
        }
        return lowest;
    }
}
