package dillfront.controlplane;

import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.controlplane.consensus.RegisterValue;
import dillfront.controlplane.storage.StateStore;
import java.util.Map;
import java.util.TreeSet;

/**
 * Who this process is: an id that lasts as long as its disk, and an incarnation from its start to
 * its end. Before the id is on the disk nothing is said to others.
 */
final class ProcessIdentity {

    private static final String ID_KEY = "id";
    private static final String FIRST_SEEDS_KEY = "first-seeds";

    private final Environment environment;
    private final NodeSettings settings;
    private final String incarnation;
    private String id = "";
    private boolean durable;

    /** The seeds of the first start of the system; empty where this process began later. */
    private String firstSeeds = "";

    ProcessIdentity(Environment environment, NodeSettings settings) {
        this.environment = environment;
        this.settings = settings;
        incarnation = Long.toHexString(environment.random().nextLong());
    }

    /**
     * Takes over what the disk holds, or makes a new id.
     *
     * @param onDurable runs once a new id is on the disk
     */
    void restore(Map<String, String> entries, StateStore store, Runnable onDurable) {
        id = entries.getOrDefault(ID_KEY, "");
        if (!id.isEmpty()) {
            durable = true;
            firstSeeds = entries.getOrDefault(FIRST_SEEDS_KEY, "");
            return;
        }
        // An empty disk, or a damaged one: whoever was here before, this is another process.
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

    /** Empty before the start. */
    String id() {
        return id;
    }

    String incarnation() {
        return incarnation;
    }

    /** Whether the id is on the disk. */
    boolean isDurable() {
        return durable;
    }

    /**
     * Whether this is the first start of a new system, or the process was ended during that and has
     * its disk and the same seeds.
     */
    boolean isFirstStart() {
        return !firstSeeds.isEmpty() && firstSeeds.equals(sortedSeeds());
    }
}
