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
public final class Witnesses {

    /**
     * A node, by a hash of its id, that is closed by a list of this generation, if it has not
     * started since.
     */
    public record Word(long node, long generation, long startedMs) {}

    private final int liars;

    /** By instance: its last word, whole. */
    private final Map<Integer, List<Word>> said = new HashMap<>();

    /**
     * @param liars so many instances may say what they like without closing anything
     */
    public Witnesses(int liars) {
        this.liars = liars;
    }

    /** An instance says all that its lists have closed. */
    public void says(int instance, List<Word> words) {
        said.put(instance, List.copyOf(words));
    }

    /** How many instances say that their lists have closed anything. */
    public int telling() {
        return (int) said.values().stream().filter(words -> !words.isEmpty()).count();
    }

    /** What enough of them say of nodes in lists newer than this generation. */
    public List<Word> newerThan(long generation) {
        Map<Long, List<Word>> byNode = new HashMap<>();
        for (List<Word> words : said.values()) {
            for (Word word : words) {
                if (word.generation > generation) {
                    byNode.computeIfAbsent(word.node, k -> new ArrayList<>()).add(word);
                }
            }
        }
        List<Word> enough = new ArrayList<>();
        for (Iterator<Map.Entry<Long, List<Word>>> all = byNode.entrySet().iterator();
                all.hasNext(); ) {
            Map.Entry<Long, List<Word>> one = all.next();
            if (one.getValue().size() > liars) {
                // As far as the least of the first who are enough: none of the liars can make it
                // more.
                enough.add(
                        new Word(
                                one.getKey(),
                                nth(one.getValue().stream().map(Word::generation).toList()),
                                nth(one.getValue().stream().map(Word::startedMs).toList())));
            }
        }
        enough.sort((a, b) -> Long.compare(a.node, b.node));
        return enough;
    }

    private long nth(List<Long> of) {
        List<Long> sorted = new ArrayList<>(of);
        sorted.sort(Collections.reverseOrder());
        return sorted.get(liars);
    }
}
