package dillfront.router.discovery;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * What other instances say that their lists have closed. Guards against an agent of discovery that
 * lags, or that was restored, where others' do not: its router would go on sending to a node that
 * drains. It restricts and never permits; so many may lie without closing anything, and what a list
 * of one's own says in the same generation or a later one goes before it.
 *
 * <p>Pure. Rows are as many as instances, each of them bounded by what one datagram holds.
 */
public final class PeerClosureReports {

    /**
     * A node, by a hash of its id, that is closed by a list of this generation, if it has not
     * started since.
     */
    public record Closure(long nodeHash, long generation, long startedMs) {}

    private final int toleratedLiars;

    /** By instance: its last word, whole. */
    private final Map<Integer, List<Closure>> reports = new HashMap<>();

    /**
     * @param toleratedLiars so many instances may say what they like without closing anything
     */
    public PeerClosureReports(int toleratedLiars) {
        this.toleratedLiars = toleratedLiars;
    }

    /** An instance says all that its lists have closed. */
    public void update(int instance, List<Closure> closures) {
        reports.put(instance, List.copyOf(closures));
    }

    /** How many instances say that their lists have closed anything. */
    public int reportingInstances() {
        return (int) reports.values().stream().filter(closures -> !closures.isEmpty()).count();
    }

    /** What enough of them say of nodes in lists newer than this generation. */
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
                // As far as the least of the first who are enough: none of the liars can make it
                // more.
                confirmed.add(
                        new Closure(
                                entry.getKey(),
                                boundByCorrectInstance(entry.getValue().stream().map(Closure::generation).toList()),
                                boundByCorrectInstance(entry.getValue().stream().map(Closure::startedMs).toList())));
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
