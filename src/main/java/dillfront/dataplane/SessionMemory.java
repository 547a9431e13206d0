package dillfront.dataplane;

import java.util.Map;

/** The bytes that one session has reserved of the process's {@link MemoryBudget}. */
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

    private final MemoryBudget budget;
    private long reservedBytes;

    SessionMemory(MemoryBudget budget) {
        this.budget = budget;
    }

    private long maxBytes() {
        return Math.max(MAX_MESSAGE_BYTES, budget.limitBytes() / MAX_SESSION_DIVISOR);
    }

    /** Stores an entry if it fits; the entry that it replaces is released. */
    Result put(Map<String, String> entries, String name, String value) {
        long growth = size(name, value) - size(name, entries.get(name));
        if (growth > 0 && reservedBytes + growth > maxBytes()) {
            return Result.SESSION_FULL;
        }
        if (!tryReserve(growth)) {
            return Result.PROCESS_FULL;
        }
        entries.put(name, value);
        return Result.STORED;
    }

    /** Removes an entry; returns its value, null if there was none. */
    String remove(Map<String, String> entries, String name) {
        String removed = entries.remove(name);
        release(size(name, removed));
        return removed;
    }

    /** Reserves the bytes of a line or statement, and returns whether they fit. */
    boolean tryReserve(long bytes) {
        if (!budget.tryReserve(bytes)) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void release(long bytes) {
        reservedBytes -= bytes;
        budget.release(bytes);
    }

    /** Releases all, because the session is closed. */
    void releaseAll() {
        release(reservedBytes);
    }

    private static long size(String name, String value) {
        return value == null ? 0 : name.length() + value.length();
    }
}
