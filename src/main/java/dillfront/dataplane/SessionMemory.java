package dillfront.dataplane;

import java.util.Map;

/** Bounds the values and prepared statements of one session by the {@link MemoryBudget}. */
final class SessionMemory {

    /** Whether an entry was stored. */
    enum Result {
        STORED,
        /** The session has reached its own bound; it has to drop other entries first. */
        SESSION_FULL,
        /** All sessions together have reached the bound of the process. */
        PROCESS_FULL
    }

    /** One session gets at most the limit of the process divided by this. */
    private static final int MAX_SESSION_DIVISOR = 4;

    /** No client can send a larger message, so one entry of this size must fit. */
    private static final long MAX_MESSAGE_BYTES = 1 << 20;

    private final MemoryReservation reservation;
    private final long maxBytes;

    SessionMemory(MemoryBudget budget) {
        reservation = new MemoryReservation(budget);
        maxBytes = Math.max(MAX_MESSAGE_BYTES, budget.limitBytes() / MAX_SESSION_DIVISOR);
    }

    /** Stores an entry if it fits; the entry that it replaces is released. */
    Result put(Map<String, String> entries, String name, String value) {
        long growth = size(name, value) - size(name, entries.get(name));
        if (growth > 0 && reservation.bytes() + growth > maxBytes) {
            return Result.SESSION_FULL;
        }
        if (!reservation.tryAdd(growth)) {
            return Result.PROCESS_FULL;
        }
        entries.put(name, value);
        return Result.STORED;
    }

    /** Removes an entry; returns its value, null if there was none. */
    String remove(Map<String, String> entries, String name) {
        String removed = entries.remove(name);
        reservation.release(size(name, removed));
        return removed;
    }

    /** Releases all, because the session is closed. */
    void releaseAll() {
        reservation.releaseAll();
    }

    private static long size(String name, String value) {
        return value == null ? 0 : name.length() + value.length();
    }
}
