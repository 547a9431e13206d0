package dillfront.router.recovery;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The referenced txns that may have run and of which nobody knows whether they did, by group and
 * idempotency key. A client that asks again comes with a new id and the same key: by the id alone
 * it would be a new txn, and past the set's window it would have its effect twice. What is here
 * says since when it may have run; {@link dillfront.routing.RoutingEngine} then sends it only
 * within the window, and answers it with what promises nothing after that.
 *
 * <p>What an earlier life or another router tells has no time that could be trusted, since no clock
 * counts an outage: it may have run at any time, so its window counts as over. It restricts and
 * never permits.
 *
 * <p>A key is kept from before its first send until it is known that it never ran, or until its
 * client has its answer; in doubt it is kept for as long as clients may come again, and bounded in
 * number: what finds no room is not taken at all. Guards against a write that is applied twice,
 * across a restart too where a {@link Keeper} remembers. Harm: a client whose txn never ran in
 * truth gets no write through by that key for as long as it is kept; it has to read, and ask by a
 * new one.
 *
 * <p>Pure: no clock, no I/O. Once-only txns carry no key and cannot be told apart here; they are
 * sent once by their id alone.
 */
public final class Doubts {

    /** It may have run at any time before this life: older than any window, with room for sums. */
    public static final Duration LONG_AGO = Duration.ofSeconds(Long.MIN_VALUE / 8);

    /** Who remembers for a later life. */
    public interface Keeper {

        /** Whether it can keep anything now. */
        boolean able();

        /** To be kept before the send that follows. */
        void keep(long key);

        /** Whenever it suits. */
        void drop(long key);
    }

    /**
     * @param most keys at once
     * @param keeps for how long a client may come again with the same key
     */
    public record Bounds(int most, Duration keeps) {}

    private static final class Row {
        /** Txns of this key that are here, and submissions of theirs that are out. */
        int here;

        int out;

        /**
         * Since when it may have run, if an ending has not told otherwise; null where none is known
         * to be sent.
         */
        Duration since;

        /** Some submission ended without telling. */
        boolean doubt;

        /** When it was last doubted. */
        Duration at;
    }

    private final Bounds bounds;
    private final Keeper keeper;

    /** Those with a txn here; emptied as txns end. */
    private final Map<Long, Row> open = new HashMap<>();

    /** Those in doubt with none here, the longest doubted first; emptied as their time is over. */
    private final LinkedHashMap<Long, Row> kept = new LinkedHashMap<>();

    private long version;
    private long refused;
    private long met;
    private long settled;

    /**
     * @param keeper null where nobody remembers
     */
    public Doubts(Bounds bounds, Keeper keeper) {
        this.bounds = bounds;
        this.keeper = keeper;
    }

    /** What stands for a group and a key; a clash would hold back a write, and let none through. */
    public static long key(int group, long mark) {
        long x = mark + group * 0x9E3779B97F4A7C15L;
        x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
        return x ^ x >>> 31;
    }

    /** From an earlier life: in doubt from the start on, for as long as one of this life is. */
    public void recall(long key, Duration now) {
        if (size() < bounds.most) {
            Row row = new Row();
            row.doubt = true;
            row.since = LONG_AGO;
            row.at = now;
            kept.put(key, row);
            version++;
        }
    }

    /** A txn of this key is to be taken; false where there is no room for it, and nothing was. */
    public boolean take(long key, Duration now) {
        expire(now);
        Row row = open.get(key);
        row = row == null ? kept.get(key) : row;
        boolean known = row != null && row.since != null;
        // What cannot be kept is not sent: that is known before it is taken.
        if (row == null && size() >= bounds.most || !known && keeper != null && !keeper.able()) {
            refused++;
            return false;
        }
        if (kept.remove(key) != null) {
            version++;
        }
        row = row == null ? new Row() : row;
        open.put(key, row);
        row.here++;
        met += row.since == null ? 0 : 1;
        return true;
    }

    /**
     * Since when a txn of this key, just taken, may have run by an earlier one; null where it has
     * not.
     */
    public Duration ran(long key) {
        return open.get(key).since;
    }

    /** A submission of it is to go. Once kept, it may. */
    public void sends(long key, Duration now) {
        Row row = open.get(key);
        row.out++;
        if (row.since == null) {
            row.since = now;
            if (keeper != null) {
                keeper.keep(key);
            }
        }
    }

    /**
     * A submission ended.
     *
     * @param mayHaveRun by this ending
     * @param told its client has its answer by this ending: it has run, and the client knows
     */
    public void ended(long key, boolean mayHaveRun, boolean told) {
        Row row = open.get(key);
        row.out--;
        if (told) {
            settled += row.doubt ? 1 : 0;
            row.doubt = false;
        } else {
            row.doubt |= mayHaveRun;
        }
        if (!row.doubt && row.out == 0 && row.since != null) {
            row.since = null;
            if (keeper != null) {
                keeper.drop(key);
            }
        }
    }

    /** The txn is answered, and nothing of it is out. */
    public void over(long key, Duration now) {
        Row row = open.get(key);
        if (--row.here == 0) {
            open.remove(key);
            if (row.doubt) {
                row.at = now;
                kept.put(key, row);
                version++;
            }
        }
    }

    /** Those whose time is over go. */
    public void expire(Duration now) {
        for (Iterator<Map.Entry<Long, Row>> first = kept.entrySet().iterator(); first.hasNext(); ) {
            Map.Entry<Long, Row> one = first.next();
            if (one.getValue().at.plus(bounds.keeps).compareTo(now) > 0) {
                return;
            }
            first.remove();
            version++;
            if (keeper != null) {
                keeper.drop(one.getKey());
            }
        }
    }

    /** Those in doubt, the latest last: what others may be told. */
    public Iterable<Long> inDoubt() {
        return kept.keySet();
    }

    public int doubted() {
        return kept.size();
    }

    public int size() {
        return open.size() + kept.size();
    }

    /** Changes with inDoubt(). */
    public long version() {
        return version;
    }

    /** Txns that found no room, since the start. */
    public long refused() {
        return refused;
    }

    /** Txns whose key was met here, so that they may have run before; since the start. */
    public long met() {
        return met;
    }

    /** Doubts that ended as a repeat was answered, since the start. */
    public long settled() {
        return settled;
    }
}
