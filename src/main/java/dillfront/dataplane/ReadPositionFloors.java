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
final class ReadPositionFloors {

    private static final int MAX_FLOORS = 128;
    private static final long DEFAULT_SPACING_MS = 20;
    private static final long MIN_SPACING_MS = 5;

    private record Floor(LogPosition position, long atMillis) {}

    private final ArrayDeque<Floor> floors = new ArrayDeque<>();
    private long spacingMillis = DEFAULT_SPACING_MS;

    /** How old a read may be at the most, over all routes. */
    void maxStaleness(long millis) {
        spacingMillis = Math.max(MIN_SPACING_MS, millis / (MAX_FLOORS / 2));
    }

    /**
     * A primary that was asked at this moment, and led when it answered, had its log up to here.
     *
     * @param position null where the answer had none
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
     * The lowest position that holds all that was acknowledged before this moment; null where that
     * is not known.
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
