package dillfront.controlplane;

import dillfront.controlplane.storage.StateStore;
import java.util.Map;

/**
 * How many data planes share the connection limits of the database servers. Fewer are believed only
 * after a while: those that restart come back to their connections. Kept on the disk.
 */
final class DataPlaneCount {

    private static final String STORAGE_KEY = "fronts";
    private static final long DECREASE_DELAY_MS = 15_000;

    private final StateStore store;
    private int count = 1;

    /** When there were last as many as the count says. */
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

    /** So many are known now, here and at peers that are in contact. */
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
