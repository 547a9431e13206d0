package dillfront.controlplane;

import dillfront.controlplane.storage.StateStore;
import java.util.Map;

/**
 * Counts the data planes that share the connection limits of the database servers. An increase
 * takes effect at once; a decrease only after a delay, since data planes that restart reopen their
 * connections. The count is stored, so that it survives a restart.
 */
final class DataPlaneCount {

    private static final String STORAGE_KEY = "fronts";
    private static final long DECREASE_DELAY_MS = 15_000;

    private final StateStore store;
    private int count = 1;

    /** When at least as many data planes as the count were last observed. */
    private long lastConfirmedMillis;

    DataPlaneCount(StateStore store) {
        this.store = store;
    }

    void restore(Map<String, String> entries, long nowMillis) {
        count = Integer.parseInt(entries.getOrDefault(STORAGE_KEY, "1"));
        lastConfirmedMillis = nowMillis;
    }

    int get() {
        return count;
    }

    /** Updates the count from the data planes that poll this process and the peers in contact. */
    void observe(int reportedCount, long nowMillis) {
        int newCount = Math.max(1, reportedCount);
        if (newCount >= count) {
            lastConfirmedMillis = nowMillis;
        }
        boolean isDecreaseDue =
                newCount < count && nowMillis - lastConfirmedMillis > DECREASE_DELAY_MS;
        if (newCount > count || isDecreaseDue) {
            count = newCount;
            lastConfirmedMillis = nowMillis;
            store.put(Map.of(STORAGE_KEY, Integer.toString(count)));
        }
    }
}
