package dillfront.router.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * What other instances have said that they have in doubt, and what they say that this one said in
 * an earlier life, which it may have forgotten with its disk. It restricts and never permits: an
 * instance that lies can hold back the writes of keys that it knows, and one in 10,000 others; one
 * that claims everything is not heard. Nobody is waited for.
 *
 * <p>Of each instance the latest word counts, and the last one of its life before that, for as long
 * as a client may come again: one that comes back without its disk says nothing, and knew
 * something. Rows are as many as instances.
 */
public final class Others {

    /** A word and when it came. */
    private record Said(int life, Digest digest, Duration at) {}

    private static final class Row {
        Said now;
        Said former;

        /** What it says that this instance said. */
        Said ours;
    }

    private final List<Row> rows = new ArrayList<>();
    private final Duration keeps;
    private long heard;
    private long refused;

    /**
     * @param keeps for how long a client may come again with the same key
     */
    public Others(int instances, Duration keeps) {
        this.keeps = keeps;
        for (int i = 0; i < instances; i++) {
            rows.add(new Row());
        }
    }

    /**
     * An instance says what it has in doubt, in this life of it: any other than the last is a new
     * one.
     */
    public void says(int instance, int life, long[] words, Duration now) {
        Digest digest = take(words);
        if (digest == null) {
            return;
        }
        Row row = rows.get(instance);
        if (row.now != null && life != row.now.life && !row.now.digest.isEmpty()) {
            row.former = row.now;
        }
        row.now = new Said(life, digest, now);
    }

    /** An instance says what this one had in doubt in an earlier life. */
    public void echoes(int instance, long[] words, Duration now) {
        Digest digest = take(words);
        if (digest != null && !digest.isEmpty()) {
            rows.get(instance).ours = new Said(0, digest, now);
        }
    }

    private Digest take(long[] words) {
        Digest digest = Digest.read(words);
        heard += digest == null ? 0 : 1;
        refused += digest == null ? 1 : 0;
        return digest;
    }

    /**
     * What an instance said in its life before this one, to be told back to it; null where nothing
     * is known.
     */
    public long[] before(int instance) {
        Said said = rows.get(instance).former;
        return said == null ? null : said.digest.words();
    }

    /** Which life of an instance has last said something; 0 where none has. */
    public int life(int instance) {
        Said said = rows.get(instance).now;
        return said == null ? 0 : said.life;
    }

    /** Whether any of them may have this key in doubt. */
    public boolean mayDoubt(long key) {
        for (Row row : rows) {
            if (holds(row.now, key) || holds(row.former, key) || holds(row.ours, key)) {
                return true;
            }
        }
        return false;
    }

    private static boolean holds(Said said, long key) {
        return said != null && said.digest.mayHold(key);
    }

    /** Forgets what has expired by now. */
    public void expire(Duration now) {
        for (Iterator<Row> all = rows.iterator(); all.hasNext(); ) {
            Row row = all.next();
            row.now =
                    over(row.now, now)
                            ? new Said(row.now.life, Digest.of(List.of(), 1), now)
                            : row.now;
            row.former = over(row.former, now) ? null : row.former;
            row.ours = over(row.ours, now) ? null : row.ours;
        }
    }

    private boolean over(Said said, Duration now) {
        return said != null && said.at.plus(keeps).compareTo(now) <= 0;
    }

    /** How many say that they have anything in doubt, or had in their life before. */
    public long telling() {
        return rows.stream()
                .filter(r -> r.now != null && !r.now.digest.isEmpty() || r.former != null)
                .count();
    }

    /** How many say that this instance had something in doubt in an earlier life. */
    public long echoing() {
        return rows.stream().filter(r -> r.ours != null).count();
    }

    public long heard() {
        return heard;
    }

    /** Words that claimed everything. */
    public long refused() {
        return refused;
    }
}
