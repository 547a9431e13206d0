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
 * entry holds the time since which the transaction may have run; {@link
 * dillfront.routing.RoutingEngine} then sends a retry only within the window, and afterwards gives
 * an answer that confirms no effect.
 *
 * <p>An entry from an earlier run or from another router has no usable time, since no clock covers
 * an outage: the transaction may have run at any time, so its window counts as over. Such an entry
 * only restricts and never permits.
 *
 * <p>A key is kept from before its first send until it is known that the transaction never ran, or
 * until its client has the answer. A key in doubt is kept for as long as clients may retry. The
 * number of keys is bounded: a transaction that finds no room is rejected. This prevents a write
 * from being applied twice, across restarts as well if a {@link KeyStore} stores the keys. Its
 * cost: if the transaction never ran, its client cannot write with that key for as long as the key
 * is kept; it has to read the state and retry with a new key.
 *
 * <p>Pure: no clock, no I/O. Once-only transactions carry no key and are not tracked here; they are
 * sent once by their id alone.
 */
public final class InDoubtKeys {

    /**
     * Stands for a start time before this run: older than any window, with headroom for additions.
     */
    public static final Duration BEFORE_THIS_RUN = Duration.ofSeconds(Long.MIN_VALUE / 8);

    /** Stores keys for a later run. */
    public interface KeyStore {

        /** Returns whether keys can be stored now. */
        boolean isWritable();

        /** Stores a key before the send that follows. */
        void store(long key);

        /** Removes a key at any later time. */
        void remove(long key);
    }

    /**
     * @param maxKeys maximum number of keys
     * @param retention how long a client may retry with the same key
     */
    public record Limits(int maxKeys, Duration retention) {}

    private static final class Entry {
        /** Open transactions of this key, and their submissions in flight. */
        int openTransactions;

        int inFlight;

        /**
         * Time since which the transaction may have run; null if no submission is known to have
         * been sent.
         */
        Duration mayHaveRunSince;

        /** Whether some submission ended with an unknown outcome. */
        boolean inDoubt;

        /** Time at which the key was last put in doubt. */
        Duration inDoubtAt;
    }

    private final Limits limits;
    private final KeyStore store;

    /** Keys with an open transaction; removed when their transactions end. */
    private final Map<Long, Entry> openEntries = new HashMap<>();

    /** Keys in doubt without an open transaction, the oldest first; removed when they expire. */
    private final LinkedHashMap<Long, Entry> inDoubtEntries = new LinkedHashMap<>();

    private long version;
    private long refused;
    private long repeated;
    private long resolved;

    /**
     * @param store null if keys are not stored
     */
    public InDoubtKeys(Limits limits, KeyStore store) {
        this.limits = limits;
        this.store = store;
    }

    /**
     * Returns the hash of a group and an idempotency key. A collision can hold back a write, but
     * never permits one.
     */
    public static long hash(int group, long idempotencyKey) {
        long x = idempotencyKey + group * 0x9E3779B97F4A7C15L;
        x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
        return x ^ x >>> 31;
    }

    /**
     * Adds a key stored by an earlier run. It is in doubt from the start of this run, for as long
     * as a key of this run would be.
     */
    public void restore(long key, Duration now) {
        if (size() < limits.maxKeys) {
            Entry entry = new Entry();
            entry.inDoubt = true;
            entry.mayHaveRunSince = BEFORE_THIS_RUN;
            entry.inDoubtAt = now;
            inDoubtEntries.put(key, entry);
            version++;
        }
    }

    /** Opens a transaction of this key; returns false, without any effect, if there is no room. */
    public boolean begin(long key, Duration now) {
        expire(now);
        Entry entry = openEntries.get(key);
        entry = entry == null ? inDoubtEntries.get(key) : entry;
        boolean known = entry != null && entry.mayHaveRunSince != null;
        // A key that cannot be stored must not be sent, so this is checked before the transaction
        // is accepted.
        if (entry == null && size() >= limits.maxKeys
                || !known && store != null && !store.isWritable()) {
            refused++;
            return false;
        }
        if (inDoubtEntries.remove(key) != null) {
            version++;
        }
        entry = entry == null ? new Entry() : entry;
        openEntries.put(key, entry);
        entry.openTransactions++;
        repeated += entry.mayHaveRunSince == null ? 0 : 1;
        return true;
    }

    /**
     * Returns since when an earlier transaction of this key may have run, for a transaction just
     * opened; null if none has.
     */
    public Duration mayHaveRunSince(long key) {
        return openEntries.get(key).mayHaveRunSince;
    }

    /** Records that a submission is about to be sent. It may be sent once the key is stored. */
    public void recordSend(long key, Duration now) {
        Entry entry = openEntries.get(key);
        entry.inFlight++;
        if (entry.mayHaveRunSince == null) {
            entry.mayHaveRunSince = now;
            if (store != null) {
                store.store(key);
            }
        }
    }

    /**
     * Records the end of a submission.
     *
     * @param mayHaveRun whether the transaction may have run by this ending
     * @param answered whether this ending delivers the answer to the client, so that the outcome is
     *     known
     */
    public void recordEnd(long key, boolean mayHaveRun, boolean answered) {
        Entry entry = openEntries.get(key);
        entry.inFlight--;
        if (answered) {
            resolved += entry.inDoubt ? 1 : 0;
            entry.inDoubt = false;
        } else {
            entry.inDoubt |= mayHaveRun;
        }
        if (!entry.inDoubt && entry.inFlight == 0 && entry.mayHaveRunSince != null) {
            entry.mayHaveRunSince = null;
            if (store != null) {
                store.remove(key);
            }
        }
    }

    /** Closes a transaction that has been answered and has no submission in flight. */
    public void finish(long key, Duration now) {
        Entry entry = openEntries.get(key);
        if (--entry.openTransactions == 0) {
            openEntries.remove(key);
            if (entry.inDoubt) {
                entry.inDoubtAt = now;
                inDoubtEntries.put(key, entry);
                version++;
            }
        }
    }

    /** Removes expired keys. */
    public void expire(Duration now) {
        for (Iterator<Map.Entry<Long, Entry>> oldest = inDoubtEntries.entrySet().iterator();
                oldest.hasNext(); ) {
            Map.Entry<Long, Entry> candidate = oldest.next();
            if (candidate.getValue().inDoubtAt.plus(limits.retention).compareTo(now) > 0) {
                return;
            }
            oldest.remove();
            version++;
            if (store != null) {
                store.remove(candidate.getKey());
            }
        }
    }

    /** Returns the keys in doubt for peers, the latest last. */
    public Iterable<Long> inDoubt() {
        return inDoubtEntries.keySet();
    }

    public int inDoubtCount() {
        return inDoubtEntries.size();
    }

    public int size() {
        return openEntries.size() + inDoubtEntries.size();
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
    public long repeated() {
        return repeated;
    }

    /** Returns the keys since the start whose doubt ended when a retry was answered. */
    public long resolved() {
        return resolved;
    }
}
