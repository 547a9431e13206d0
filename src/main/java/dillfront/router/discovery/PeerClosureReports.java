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
     * @param liars so many instances may say what they like without closing anything
     */
    public PeerClosureReports(int liars) {
        this.toleratedLiars = liars;
    }

    /** An instance says all that its lists have closed. */
    public void update(int instance, List<Closure> words) {
        reports.put(instance, List.copyOf(words));
    }

    /** How many instances say that their lists have closed anything. */
    public int reportingInstances() {
        return (int) reports.values().stream().filter(words -> !words.isEmpty()).count();
    }

    /** What enough of them say of nodes in lists newer than this generation. */
    public List<Closure> closuresNewerThan(long generation) {
        Map<Long, List<Closure>> byNode = new HashMap<>();
        for (List<Closure> words : reports.values()) {
            for (Closure word : words) {
                if (word.generation > generation) {
                    byNode.computeIfAbsent(word.nodeHash, k -> new ArrayList<>()).add(word);
                }
            }
        }
        List<Closure> enough = new ArrayList<>();
        for (Iterator<Map.Entry<Long, List<Closure>>> all = byNode.entrySet().iterator();
                all.hasNext(); ) {
            Map.Entry<Long, List<Closure>> one = all.next();
            if (one.getValue().size() > toleratedLiars) {
                // As far as the least of the first who are enough: none of the liars can make it
                // more.
                enough.add(
                        new Closure(
                                one.getKey(),
                                boundByCorrectInstance(one.getValue().stream().map(Closure::generation).toList()),
                                boundByCorrectInstance(one.getValue().stream().map(Closure::startedMs).toList())));
            }
        }
        enough.sort((a, b) -> Long.compare(a.nodeHash, b.nodeHash));
        return enough;
    }

    private long boundByCorrectInstance(List<Long> of) {
        List<Long> sorted = new ArrayList<>(of);
        sorted.sort(Collections.reverseOrder());
        return sorted.get(toleratedLiars);
    }
}
