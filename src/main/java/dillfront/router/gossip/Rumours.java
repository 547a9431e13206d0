package dillfront.router.gossip;

import java.util.ArrayList;
import java.util.List;

/**
 * Queue of updates that are still being disseminated. Updates are piggybacked on datagrams that are
 * sent anyway, claims first and the least sent first, until each has been sent a small multiple of
 * the logarithm of the number of instances. The queue is bounded: a new update evicts the most sent
 * one, and a later update of the same origin on the same subject replaces the earlier one.
 */
final class Rumours {

    private static final int MOST = 64;

    /**
     * Transmissions per update, as a multiple of the base-two logarithm of the number of instances
     * (SWIM, section 4.1). Accusations are sent last.
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
     * Counts a duplicate received from a peer as one transmission, since the update has reached
     * that peer (Demers et al., rumor mongering with feedback).
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

    /**
     * Removes the updates of a kind on a subject, such as the accusations against an instance that
     * has refuted them.
     */
    void drop(Kind kind, long subject) {
        rows.removeIf(r -> r.word.kind() == kind && r.word.subject() == subject);
    }

    /**
     * Returns up to the given number of updates for one datagram: claims first, accusations last,
     * each the least sent first.
     */
    List<Word> next(int most) {
        return next(most, 3);
    }

    /**
     * Returns up to the given number of claims, which are pushed without waiting for other
     * datagrams.
     */
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
     * Counts one more transmission of these updates.
     *
     * @param known number of instances that this one knows
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
