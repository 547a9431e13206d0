package dillfront.dataplane;

import dillfront.common.database.LogPosition;
import java.util.ArrayDeque;

/**
 * What a log must hold for a read to be young enough. Each entry says: all that was acknowledged
 * before this moment, by whatever router, stands no further than this position; it was learnt by
 * asking the primary at that moment.
 *
 * <p>Guards against a read that lacks another router's commit: the position goes along as AFTER, so
 * the node itself refuses.
 */
final class ReadPositionFloors {

    private static final int MAX_FLOORS = 128;

    private record Floor(LogPosition position, long atMillis) {}

    private final ArrayDeque<Floor> floors = new ArrayDeque<>();
    private long spacingMillis = 20;

    /** How old a read may be at the most, in milliseconds, over the routes that are there. */
    void maxStaleness(long ms) {
        spacingMillis = Math.max(5, ms / (MAX_FLOORS / 2));
    }

    /**
     * A primary that was asked at this moment, and led when it answered, had its log up to here.
     */
    void onPrimaryPosition(LogPosition position, long asked) {
        Floor last = floors.peekLast();
        if (position == null || last != null && asked < last.atMillis() + spacingMillis) {
            return;
        }
        floors.addLast(new Floor(position, asked));
        if (floors.size() > MAX_FLOORS) {
            floors.removeFirst();
        }
    }

    /**
     * The least position that holds all that was acknowledged before this moment; null where that
     * is not known.
     */
    LogPosition positionSince(long moment) {
        LogPosition least = null;
        for (Floor floor : floors) {
            if (floor.atMillis() >= moment
                    && (least == null || floor.position().compareTo(least) < 0)) {
                least = floor.position();
            }
        }
        return least;
    }
}
