package dillfront.dataplane;

/** The bytes of a {@link MemoryBudget} that one owner has reserved. */
final class MemoryReservation {

    private final MemoryBudget budget;
    private long bytes;

    MemoryReservation(MemoryBudget budget) {
        this.budget = budget;
    }

    /** Returns the reserved bytes. */
    long bytes() {
        return bytes;
    }

    /** Reserves further bytes if they fit, and returns whether they do. */
    boolean tryAdd(long additionalBytes) {
        if (!budget.tryReserve(additionalBytes)) {
            return false;
        }
        bytes += additionalBytes;
        return true;
    }

    /** Does the same for a large piece; a small one needs no reservation and always fits. */
    boolean tryAddLarge(long additionalBytes) {
        return additionalBytes <= MemoryBudget.SMALL_BYTES || tryAdd(additionalBytes);
    }

    /** Releases a part of the reserved bytes. */
    void release(long releasedBytes) {
        bytes -= releasedBytes;
        budget.release(releasedBytes);
    }

    /** Releases all reserved bytes. */
    void releaseAll() {
        release(bytes);
    }
}
