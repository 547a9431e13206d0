package dillfront.dataplane;

/**
 * Bounds the heap that clients can occupy: values and prepared statements of sessions, statements
 * that wait or run, and rows of large responses. What does not fit is refused, so that the process
 * does not end for want of memory. Bytes are reserved before they are kept, and released when they
 * are dropped.
 *
 * <p>Not thread-safe: all calls come from one thread.
 */
final class MemoryBudget {

    /** A larger reservation must leave a part of the budget to smaller ones. */
    static final int SMALL_BYTES = 16 * 1024;

    private static final int PERCENT = 100;

    /** The rest is for the process itself and for what is handled at the moment. */
    private static final int HEAP_PERCENT = 30;

    private static final int LARGE_RESERVATIONS_PERCENT = 75;

    private final long limitBytes;
    private long reservedBytes;
    private long refusals;

    MemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns a budget that is a share of this process's heap. */
    static MemoryBudget ofHeap() {
        return new MemoryBudget(Runtime.getRuntime().maxMemory() / PERCENT * HEAP_PERCENT);
    }

    /** Reserves the bytes if they fit, and returns whether they do. */
    boolean tryReserve(long bytes) {
        long bound =
                bytes > SMALL_BYTES
                        ? limitBytes * LARGE_RESERVATIONS_PERCENT / PERCENT
                        : limitBytes;
        if (bytes > 0 && reservedBytes + bytes > bound) {
            refusals++;
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void release(long bytes) {
        reservedBytes -= bytes;
    }

    long limitBytes() {
        return limitBytes;
    }

    long reservedBytes() {
        return reservedBytes;
    }

    /** Returns how many reservations did not fit. */
    long refusals() {
        return refusals;
    }
}
