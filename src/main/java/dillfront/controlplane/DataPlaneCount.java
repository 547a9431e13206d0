package dillfront.controlplane;

import dillfront.controlplane.storage.StateStore;
import java.util.Map;

/**
 * Counts the data planes that share the connection limits of the database servers. An increase
 * takes effect at once; a decrease only after a delay, since data planes that restart reopen their
 * connections. The count is stored, so that it survives a restart.
 */
final class DataPlaneCount {

    private static final String STORED = "fronts";
    private static final long DECREASE_AFTER_MS = 15_000;

    private final StateStore store;
    private int count = 1;

    /** When at least as many data planes as the count were last observed. */
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

    /** Updates the count from the data planes that poll this process and the peers in contact. */
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
