package dillfront.controlplane;

import dillfront.controlplane.storage.StateStore;
import java.util.Map;

/**
 * How many data planes share the connection limits of the database servers. Fewer are believed only
 * after a while: those that restart come back to their connections. Kept on the disk.
 */
final class DataPlaneCount {

    private static final String STORED = "fronts";
    private static final long DECREASE_AFTER_MS = 15_000;

    private final StateStore store;
    private int count = 1;

    /** When there were last as many as the count says. */
    private long confirmedMillis;

    DataPlaneCount(StateStore store) {
        this.store = store;
    }

    void restore(Map<String, String> texts, long nowMillis) {
        count = Integer.parseInt(texts.getOrDefault(STORED, "1"));
        confirmedMillis = nowMillis;
    }

    int get() {
        return count;
    }

    /** So many are known now, here and at peers that are in contact. */
    void observe(int known, long nowMillis) {
        int present = Math.max(1, known);
        if (present >= count) {
            confirmedMillis = nowMillis;
        }
        boolean fewerForLong = present < count && nowMillis - confirmedMillis > DECREASE_AFTER_MS;
        if (present > count || fewerForLong) {
            count = present;
            confirmedMillis = nowMillis;
            store.put(Map.of(STORED, Integer.toString(count)));
        }
    }
}
