package dillfront.simulation.processes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds all versions of the discovery list that the agents serve. All calls run on the harness's
 * loop.
 */
public final class DiscoveryCatalog {

    /** Describes one node in the list. */
    public record Entry(
            String id, int group, String zone, String lifecycle, long startedMs, boolean primary) {

        Entry withLifecycle(String newLifecycle) {
            return new Entry(id, group, zone, newLifecycle, startedMs, primary);
        }

        Entry readyWithStart(long newStartedMs) {
            return new Entry(id, group, zone, "ready", newStartedMs, primary);
        }
    }

    record Version(long generation, Map<String, Entry> entries) {}

    /** Every version so far. Bounded, as a rig makes few changes before it closes. */
    private final List<Version> versions = new ArrayList<>();

    private final List<Runnable> listeners = new ArrayList<>();

    public DiscoveryCatalog(long firstGeneration, List<Entry> entries) {
        Map<String, Entry> byId = new TreeMap<>();
        entries.forEach(entry -> byId.put(entry.id(), entry));
        versions.add(new Version(firstGeneration, byId));
    }

    Version latest() {
        return versions.get(versions.size() - 1);
    }

    /**
     * Returns the latest version of at most this generation, or the first version if all are later.
     */
    Version versionAt(long generation) {
        Version found = versions.get(0);
        for (Version version : versions) {
            found = version.generation <= generation ? version : found;
        }
        return found;
    }

    void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Publishes a new version with these entries replaced and returns its generation. Entries with
     * lifecycle {@code gone} are removed from the list.
     */
    public long update(Entry... entries) {
        Map<String, Entry> byId = new TreeMap<>(latest().entries);
        for (Entry entry : entries) {
            if (entry.lifecycle().equals("gone")) {
                byId.remove(entry.id());
            } else {
                byId.put(entry.id(), entry);
            }
        }
        versions.add(new Version(latest().generation + 1, byId));
        List.copyOf(listeners).forEach(Runnable::run);
        return latest().generation;
    }

    public Entry entry(String id) {
        return latest().entries.get(id);
    }
}
