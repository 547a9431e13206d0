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
 * across a restart too where a {@link KeyStore} remembers. Harm: a client whose txn never ran in
 * truth gets no write through by that key for as long as it is kept; it has to read, and ask by a
 * new one.
 *
 * <p>Pure: no clock, no I/O. Once-only txns carry no key and cannot be told apart here; they are
 * sent once by their id alone.
 */
public final class InDoubtKeys {

    /** It may have run at any time before this life: older than any window, with room for sums. */
    public static final Duration BEFORE_THIS_RUN = Duration.ofSeconds(Long.MIN_VALUE / 8);

    /** Who remembers for a later life. */
    public interface KeyStore {

        /** Whether it can keep anything now. */
        boolean isWritable();

        /** To be kept before the send that follows. */
        void store(long key);

        /** Whenever it suits. */
        void remove(long key);
    }

    /**
     * @param maxKeys keys at once
     * @param retention for how long a client may come again with the same key
     */
    public record Limits(int maxKeys, Duration retention) {}

    private static final class Entry {
        /** Txns of this key that are here, and submissions of theirs that are out. */
        int openTransactions;

        int inFlight;

        /**
         * Since when it may have run, if an ending has not told otherwise; null where none is known
         * to be sent.
         */
        Duration mayHaveRunSince;

        /** Some submission ended without telling. */
        boolean inDoubt;

        /** When it was last doubted. */
        Duration inDoubtAt;
    }

    private final Limits limits;
    private final KeyStore store;

    /** Those with a txn here; emptied as txns end. */
    private final Map<Long, Entry> openEntries = new HashMap<>();

    /** Those in doubt with none here, the longest doubted first; emptied as their time is over. */
    private final LinkedHashMap<Long, Entry> inDoubtEntries = new LinkedHashMap<>();

    private long version;
    private long refused;
    private long repeated;
    private long resolved;

    /**
     * @param store null where nobody remembers
     */
    public InDoubtKeys(Limits limits, KeyStore store) {
        this.limits = limits;
        this.store = store;
    }

    /** What stands for a group and a key; a clash would hold back a write, and let none through. */
    public static long hash(int group, long idempotencyKey) {
        long x = idempotencyKey + group * 0x9E3779B97F4A7C15L;
        x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
        return x ^ x >>> 31;
    }

    /** From an earlier life: in doubt from the start on, for as long as one of this life is. */
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

    /** A txn of this key is to be taken; false where there is no room for it, and nothing was. */
    public boolean begin(long key, Duration now) {
        expire(now);
        Entry entry = openEntries.get(key);
        entry = entry == null ? inDoubtEntries.get(key) : entry;
        boolean known = entry != null && entry.mayHaveRunSince != null;
        // What cannot be kept is not sent: that is known before it is taken.
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
     * Since when a txn of this key, just taken, may have run by an earlier one; null where it has
     * not.
     */
    public Duration mayHaveRunSince(long key) {
        return openEntries.get(key).mayHaveRunSince;
    }

    /** A submission of it is to go. Once kept, it may. */
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
     * A submission ended.
     *
     * @param mayHaveRun by this ending
     * @param answered its client has its answer by this ending: it has run, and the client knows
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

    /** The txn is answered, and nothing of it is out. */
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

    /** Those whose time is over go. */
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

    /** Those in doubt, the latest last: what others may be told. */
    public Iterable<Long> inDoubt() {
        return inDoubtEntries.keySet();
    }

    public int inDoubtCount() {
        return inDoubtEntries.size();
    }

    public int size() {
        return openEntries.size() + inDoubtEntries.size();
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
    public long repeated() {
        return repeated;
    }

    /** Doubts that ended as a repeat was answered, since the start. */
    public long resolved() {
        return resolved;
    }
}
