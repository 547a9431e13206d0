package dillfront.controlplane;

import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.controlplane.consensus.RegisterValue;
import dillfront.controlplane.storage.StateStore;
import java.util.Map;
import java.util.TreeSet;

/**
 * Holds the identity of this process: an id that lasts as long as its disk, and an incarnation that
 * is new with each start. The process sends nothing to others before its id is stored.
 */
final class ProcessIdentity {

    private static final String ID_KEY = "id";
    private static final String FIRST_SEEDS_KEY = "first-seeds";

    private final Environment environment;
    private final NodeSettings settings;
    private final String incarnation;
    private String id = "";
    private boolean durable;

    /** The seeds at the first start of the system; empty if this process joined later. */
    private String firstSeeds = "";

    ProcessIdentity(Environment environment, NodeSettings settings) {
        this.environment = environment;
        this.settings = settings;
        incarnation = Long.toHexString(environment.random().nextLong());
    }

    /**
     * Restores the stored id, or creates and stores a new one.
     *
     * @param onDurable runs once a new id is on disk
     */
    void restore(Map<String, String> entries, StateStore store, Runnable onDurable) {
        id = entries.getOrDefault(ID_KEY, "");
        if (!id.isEmpty()) {
            durable = true;
            firstSeeds = entries.getOrDefault(FIRST_SEEDS_KEY, "");
            return;
        }
        // The disk is empty or damaged. Promises made under an earlier id are lost with the disk,
        // so the process takes a new id.
        String suffix = Long.toHexString(environment.random().nextLong());
        id = RegisterValue.id(settings.ipAddress(), suffix);
        firstSeeds = settings.firstStart() ? sortedSeeds() : "";
        store.put(Map.of(ID_KEY, id, FIRST_SEEDS_KEY, firstSeeds))
                .thenRun(
                        () -> {
                            durable = true;
                            onDurable.run();
                        });
    }

    private String sortedSeeds() {
        return String.join(",", new TreeSet<>(settings.seedIps()));
    }

    /** Returns the id; empty before {@link #restore}. */
    String id() {
        return id;
    }

    String incarnation() {
        return incarnation;
    }

    /** Returns whether the id is on disk. */
    boolean isDurable() {
        return durable;
    }

    /**
     * Returns whether this is the first start of a new system, or a restart during the first start
     * with the same disk and the same seeds.
     */
    boolean isFirstStart() {
        return !firstSeeds.isEmpty() && firstSeeds.equals(sortedSeeds());
    }
}
