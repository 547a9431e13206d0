package dillfront.simulation.processes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What discovery knows, one version after another; agents tell of it. On the stage's loop. */
public final class DiscoveryCatalog {

    /** One node as a list has it. */
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

    /** All that there were: a rig's changes are few, and it ends. */
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

    /** The latest of at most this generation; the first where all are later. */
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

    /** One change more: these entries are so now; one that is gone is listed no more. */
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
