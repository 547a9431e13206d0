package dillfront.router.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Tracks the in-doubt keys reported by other instances, and those that they report for an earlier
 * run of this one, which it may have lost with its disk. The data only restricts and never permits:
 * a lying instance can hold back writes of keys that it knows, and of one in 10,000 others; a
 * filter that matches every key is rejected. No send waits for these reports.
 *
 * <p>For each instance the latest report counts, and the last one of its previous run, for as long
 * as a client may retry: an instance that restarts without its disk reports nothing, although its
 * previous run had keys in doubt. The number of rows is the number of instances.
 */
public final class Others {

    /** A report, the run that it belongs to, and its arrival time. */
    private record Said(int life, Digest digest, Duration at) {}

    private static final class Row {
        Said now;
        Said former;

        /** What the instance reports for an earlier run of this one. */
        Said ours;
    }

    private final List<Row> rows = new ArrayList<>();
    private final Duration keeps;
    private long heard;
    private long refused;

    /**
     * @param keeps how long a client may retry with the same key
     */
    public Others(int instances, Duration keeps) {
        this.keeps = keeps;
        for (int i = 0; i < instances; i++) {
            rows.add(new Row());
        }
    }

    /** Handles the in-doubt keys of an instance. A run other than the last one is a new run. */
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

    /** Handles the in-doubt keys that an instance remembers of an earlier run of this one. */
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
     * Returns the keys that an instance reported in its previous run, to be sent back to it; null
     * if none are known.
     */
    public long[] before(int instance) {
        Said said = rows.get(instance).former;
        return said == null ? null : said.digest.words();
    }

    /** Returns the run of an instance's latest report; 0 if there is none. */
    public int life(int instance) {
        Said said = rows.get(instance).now;
        return said == null ? 0 : said.life;
    }

    /** Returns whether any report contains this key. */
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

    /** Removes expired reports. */
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

    /** Returns how many instances report keys in doubt, or did in their previous run. */
    public long telling() {
        return rows.stream()
                .filter(r -> r.now != null && !r.now.digest.isEmpty() || r.former != null)
                .count();
    }

    /** Returns how many instances report keys in doubt for an earlier run of this one. */
    public long echoing() {
        return rows.stream().filter(r -> r.ours != null).count();
    }

    public long heard() {
        return heard;
    }

    /** Returns the reports rejected because they match every key. */
    public long refused() {
        return refused;
    }
}
