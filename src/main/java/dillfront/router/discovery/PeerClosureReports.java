package dillfront.router.discovery;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Collects the closures reported by peers. Guards against a discovery agent that lags or was
 * restored while the peers' agents are current: its router would go on sending to a draining node.
 * Reports restrict and never permit. A configured number of instances may report falsely without
 * effect, and the router's own list prevails in the same or a later generation.
 *
 * <p>Holds one entry per instance, each bounded by the size of a datagram; uses no clock.
 */
public final class PeerClosureReports {

    /**
     * A node, by the hash of its id, closed by a list of this generation unless it has started
     * since.
     */
    public record Closure(long nodeHash, long generation, long startedMs) {}

    private final int toleratedLiars;

    /** The complete last report of each instance. */
    private final Map<Integer, List<Closure>> reports = new HashMap<>();

    /**
     * @param toleratedLiars number of instances that may report falsely without closing a node
     */
    public PeerClosureReports(int toleratedLiars) {
        this.toleratedLiars = toleratedLiars;
    }

    /** Replaces an instance's report of all closures in its lists. */
    public void update(int instance, List<Closure> closures) {
        reports.put(instance, List.copyOf(closures));
    }

    /** Returns the number of instances that report at least one closure. */
    public int reportingInstances() {
        return (int) reports.values().stream().filter(closures -> !closures.isEmpty()).count();
    }

    /** Returns the closures in lists newer than this generation that enough instances confirm. */
    public List<Closure> closuresNewerThan(long generation) {
        Map<Long, List<Closure>> byNode = new HashMap<>();
        for (List<Closure> closures : reports.values()) {
            for (Closure closure : closures) {
                if (closure.generation > generation) {
                    byNode.computeIfAbsent(closure.nodeHash, k -> new ArrayList<>()).add(closure);
                }
            }
        }
        List<Closure> confirmed = new ArrayList<>();
        for (Iterator<Map.Entry<Long, List<Closure>>> entries = byNode.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<Long, List<Closure>> entry = entries.next();
            if (entry.getValue().size() > toleratedLiars) {
                // Each value is bounded by the lowest of the first toleratedLiars + 1 values, at
                // least one of which is correct.
                confirmed.add(
                        new Closure(
                                entry.getKey(),
                                boundByCorrectInstance(
                                        entry.getValue().stream()
                                                .map(Closure::generation)
                                                .toList()),
                                boundByCorrectInstance(
                                        entry.getValue().stream()
                                                .map(Closure::startedMs)
                                                .toList())));
            }
        }
        confirmed.sort((a, b) -> Long.compare(a.nodeHash, b.nodeHash));
        return confirmed;
    }

    private long boundByCorrectInstance(List<Long> values) {
        List<Long> sorted = new ArrayList<>(values);
        sorted.sort(Collections.reverseOrder());
        return sorted.get(toleratedLiars);
    }
}
