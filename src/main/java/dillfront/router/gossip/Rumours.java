package dillfront.router.gossip;

import java.util.ArrayList;
import java.util.List;

/**
 * Words that still spread: each goes along with datagrams that are sent anyway, the claims first
 * and the least sent first, until it has gone out a few times the logarithm of the number of
 * instances. Emptied by that; never longer than its bound, since the most sent word gives way to a
 * new one, and a word to a later one of the same origin on the same matter.
 */
final class Rumours {

    private static final int MOST = 64;

    /**
     * Of a word: so often the base-two logarithm of the number of instances (SWIM, section 4.1).
     * Accusations go last.
     */
    private static final double TIMES = 2;

    private static final class Row {
        final Word word;
        int sends;

        Row(Word word) {
            this.word = word;
        }
    }

    private final List<Row> rows = new ArrayList<>();
    private long dropped;

    void add(Word word) {
        for (Row row : rows) {
            if (row.word.sameMatter(word)) {
                if (word.replaces(row.word)) {
                    rows.remove(row);
                    rows.add(0, new Row(word));
                }
                return;
            }
        }
        if (rows.size() == MOST) {
            rows.remove(rows.size() - 1);
            dropped++;
        }
        rows.add(0, new Row(word));
    }

    /**
     * Someone sent it here too: it has spread so far, and counts as sent (Demers et al., rumours
     * with feedback).
     */
    void heardAgain(Word word) {
        for (int i = 0; i < rows.size(); i++) {
            Row row = rows.get(i);
            if (row.word.origin() == word.origin()
                    && row.word.number() == word.number()
                    && row.word.incarnation() == word.incarnation()) {
                rows.remove(i);
                row.sends++;
                put(row);
                return;
            }
        }
    }

    private void put(Row row) {
        int at = rows.size();
        while (at > 0 && rows.get(at - 1).sends > row.sends) {
            at--;
        }
        rows.add(at, row);
    }

    /** Those of a kind of matter that is over: an instance's silence once it has spoken. */
    void drop(Kind kind, long subject) {
        rows.removeIf(r -> r.word.kind() == kind && r.word.subject() == subject);
    }

    /**
     * Up to so many words for one datagram: claims first, accusations last, of each the least sent
     * first.
     */
    List<Word> next(int most) {
        return next(most, 3);
    }

    /** The same of claims alone, which do not wait for datagrams that are sent anyway. */
    List<Word> claims(int most) {
        return next(most, 1);
    }

    private List<Word> next(int most, int passes) {
        List<Word> chosen = new ArrayList<>(most);
        for (int pass = 0; pass < passes; pass++) {
            for (int i = 0; i < rows.size() && chosen.size() < most; i++) {
                Kind kind = rows.get(i).word.kind();
                if (pass == (kind == Kind.CLAIM ? 0 : kind == Kind.SILENT ? 2 : 1)) {
                    chosen.add(rows.get(i).word);
                }
            }
        }
        return chosen;
    }

    /**
     * These have gone out once more.
     *
     * @param known how many instances there are, by this one's knowledge
     */
    void sent(List<Word> words, int known) {
        int often = (int) Math.ceil(TIMES * (Math.log(known + 2) / Math.log(2)));
        for (Word word : words) {
            for (int i = 0; i < rows.size(); i++) {
                Row row = rows.get(i);
                if (row.word == word) {
                    rows.remove(i);
                    if (++row.sends < often) {
                        put(row);
                    }
                    break;
                }
            }
        }
    }

    int size() {
        return rows.size();
    }

    long dropped() {
        return dropped;
    }
}
