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
final class Floors {

    private static final int MOST = 128;

    private record Floor(LogPosition position, long at) {}

    private final ArrayDeque<Floor> floors = new ArrayDeque<>();
    private long spacing = 20;

    /** How old a read may be at the most, in milliseconds, over the routes that are there. */
    void reach(long ms) {
        spacing = Math.max(5, ms / (MOST / 2));
    }

    /**
     * A primary that was asked at this moment, and led when it answered, had its log up to here.
     */
    void led(LogPosition position, long asked) {
        Floor last = floors.peekLast();
        if (position == null || last != null && asked < last.at() + spacing) {
            return;
        }
        floors.addLast(new Floor(position, asked));
        if (floors.size() > MOST) {
            floors.removeFirst();
        }
    }

    /**
     * The least position that holds all that was acknowledged before this moment; null where that
     * is not known.
     */
    LogPosition since(long moment) {
        LogPosition least = null;
        for (Floor floor : floors) {
            if (floor.at() >= moment && (least == null || floor.position().compareTo(least) < 0)) {
                least = floor.position();
            }
        }
        return least;
    }
}
