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

        Entry withLifecycle(String other) {
            return new Entry(id, group, zone, other, startedMs, primary);
        }

        Entry readyWithStart(long ms) {
            return new Entry(id, group, zone, "ready", ms, primary);
        }
    }

    record Version(long generation, Map<String, Entry> entries) {}

    /** All that there were: a rig's changes are few, and it ends. */
    private final List<Version> versions = new ArrayList<>();

    private final List<Runnable> listeners = new ArrayList<>();

    public DiscoveryCatalog(long first, List<Entry> entries) {
        Map<String, Entry> all = new TreeMap<>();
        entries.forEach(e -> all.put(e.id(), e));
        versions.add(new Version(first, all));
    }

    Version latest() {
        return versions.get(versions.size() - 1);
    }

    /** The latest of at most this generation; the first where all are later. */
    Version versionAt(long generation) {
        Version found = versions.get(0);
        for (Version v : versions) {
            found = v.generation <= generation ? v : found;
        }
        return found;
    }

    void onChange(Runnable agent) {
        listeners.add(agent);
    }

    /** One change more: these entries are so now; one that is gone is listed no more. */
    public long update(Entry... entries) {
        Map<String, Entry> all = new TreeMap<>(latest().entries);
        for (Entry e : entries) {
            if (e.lifecycle().equals("gone")) {
                all.remove(e.id());
            } else {
                all.put(e.id(), e);
            }
        }
        versions.add(new Version(latest().generation + 1, all));
        List.copyOf(listeners).forEach(Runnable::run);
        return latest().generation;
    }

    public Entry entry(String id) {
        return latest().entries.get(id);
    }
}
