package dillfront.gossip;

import java.util.ArrayList;
import java.util.List;

/**
 * Words that still spread: each goes along with datagrams that are sent anyway, the least sent first, until it has gone
 * out a few times the logarithm of the number of instances. Emptied by that; never longer than its bound, since the most
 * sent word gives way to a new one, and a word to a later one of the same origin on the same matter.
 */
final class Rumours {

    private static final int MOST = 64;
    /** Of a word: so often the base-two logarithm of the number of instances (SWIM, section 4.1). */
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

    /** Those of a kind of matter that is over: an instance's silence once it has spoken. */
    void drop(Kind kind, long subject) {
        rows.removeIf(r -> r.word.kind() == kind && r.word.subject() == subject);
    }

    /**
     * Up to so many words for one datagram; each counts as sent once more.
     *
     * @param known how many instances there are, by this one's knowledge
     */
    List<Word> next(int most, int known) {
        int often = (int) Math.ceil(TIMES * (Math.log(known + 2) / Math.log(2)));
        List<Row> chosen = new ArrayList<>(rows.subList(0, Math.min(most, rows.size())));
        List<Word> words = new ArrayList<>(chosen.size());
        rows.removeAll(chosen);
        for (Row row : chosen) {
            words.add(row.word);
            if (++row.sends < often) {
                int at = rows.size();
                while (at > 0 && rows.get(at - 1).sends > row.sends) {
                    at--;
                }
                rows.add(at, row);
            }
        }
        return words;
    }

    int size() {
        return rows.size();
    }

    long dropped() {
        return dropped;
    }
}
