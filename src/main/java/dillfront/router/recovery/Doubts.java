package dillfront.router.recovery;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks the referenced transactions that may have run with unknown outcome, by group and
 * idempotency key. A client that retries sends a new id with the same key: by the id alone the
 * retry would count as a new transaction and, after the deduplication window, take effect twice. An
 * entry holds the time since which the transaction may have run; {@link dillfront.routing.Decide}
 * then sends a retry only within the window, and afterwards answers that the outcome is uncertain.
 *
 * <p>An entry from an earlier run or from another router has no usable time, since no clock covers
 * an outage: the transaction may have run at any time, so its window counts as over. Such an entry
 * only restricts and never permits.
 *
 * <p>A key is kept from before its first send until it is known that the transaction never ran, or
 * until its client has the answer. A key in doubt is kept for as long as clients may retry. The
 * number of keys is bounded: a transaction that finds no room is rejected. This prevents a write
 * from being applied twice, across restarts as well if a {@link Keeper} stores the keys. Its cost:
 * if the transaction never ran, its client cannot write with that key for as long as the key is
 * kept; it has to read the state and retry with a new key.
 *
 * <p>Pure: no clock, no I/O. Once-only transactions carry no key and are not tracked here; they are
 * sent once by their id alone.
 */
public final class Doubts {

    /**
     * Stands for a start time before this run: older than any window, with headroom for additions.
     */
    public static final Duration LONG_AGO = Duration.ofSeconds(Long.MIN_VALUE / 8);

    /** Stores keys for a later run. */
    public interface Keeper {

        /** Returns whether keys can be stored now. */
        boolean able();

        /** Stores a key before the send that follows. */
        void keep(long key);

        /** Removes a key at any later time. */
        void drop(long key);
    }

    /**
     * @param most maximum number of keys
     * @param keeps how long a client may retry with the same key
     */
    public record Bounds(int most, Duration keeps) {}

    private static final class Row {
        /** Open transactions of this key, and their submissions in flight. */
        int here;

        int out;

        /**
         * Time since which the transaction may have run; null if no submission is known to have
         * been sent.
         */
        Duration since;

        /** Whether some submission ended with an unknown outcome. */
        boolean doubt;

        /** Time at which the key was last put in doubt. */
        Duration at;
    }

    private final Bounds bounds;
    private final Keeper keeper;

    /** Keys with an open transaction; removed when their transactions end. */
    private final Map<Long, Row> open = new HashMap<>();

    /** Keys in doubt without an open transaction, the oldest first; removed when they expire. */
    private final LinkedHashMap<Long, Row> kept = new LinkedHashMap<>();

    private long version;
    private long refused;
    private long met;
    private long settled;

    /**
     * @param keeper null if keys are not stored
     */
    public Doubts(Bounds bounds, Keeper keeper) {
        this.bounds = bounds;
        this.keeper = keeper;
    }

    /**
     * Returns the hash of a group and an idempotency key. A collision can hold back a write, but
     * never permits one.
     */
    public static long key(int group, long mark) {
        long x = mark + group * 0x9E3779B97F4A7C15L;
        x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
        return x ^ x >>> 31;
    }

    /**
     * Adds a key stored by an earlier run. It is in doubt from the start of this run, for as long
     * as a key of this run would be.
     */
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

    /** Opens a transaction of this key; returns false, without any effect, if there is no room. */
    public boolean take(long key, Duration now) {
        expire(now);
        Row row = open.get(key);
        row = row == null ? kept.get(key) : row;
        boolean known = row != null && row.since != null;
        // A key that cannot be stored must not be sent, so this is checked before the transaction
        // is accepted.
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
     * Returns since when an earlier transaction of this key may have run, for a transaction just
     * opened; null if none has.
     */
    public Duration ran(long key) {
        return open.get(key).since;
    }

    /** Records that a submission is about to be sent. It may be sent once the key is stored. */
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
     * Records the end of a submission.
     *
     * @param mayHaveRun whether the transaction may have run by this ending
     * @param told whether this ending delivers the answer to the client, so that the outcome is
     *     known
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

    /** Closes a transaction that has been answered and has no submission in flight. */
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

    /** Removes expired keys. */
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

    /** Returns the keys in doubt for peers, the latest last. */
    public Iterable<Long> inDoubt() {
        return kept.keySet();
    }

    public int doubted() {
        return kept.size();
    }

    public int size() {
        return open.size() + kept.size();
    }

    /** Returns a number that changes with {@link #inDoubt}. */
    public long version() {
        return version;
    }

    /** Returns the transactions rejected for lack of room since the start. */
    public long refused() {
        return refused;
    }

    /**
     * Returns the transactions since the start whose key was in doubt, so that they may have run
     * before.
     */
    public long met() {
        return met;
    }

    /** Returns the keys since the start whose doubt ended when a retry was answered. */
    public long settled() {
        return settled;
    }
}
