package dillfront.router.gossip;

import java.util.ArrayList;
import java.util.List;

/**
 * Words that still spread: each goes along with datagrams that are sent anyway, the claims first
 * and the least sent first, until it has gone out a few times the logarithm of the number of
 * instances. Emptied by that; never longer than its bound, since the most sent word gives way to a
 * new one, and a word to a later one of the same origin on the same matter.
 */
final class BroadcastQueue {

    private static final int MAX_UPDATES = 64;

    /**
     * Of a word: so often the base-two logarithm of the number of instances (SWIM, section 4.1).
     * Accusations go last.
     */
    private static final double TRANSMISSION_MULTIPLE = 2;

    private static final class Entry {
        final GossipUpdate update;
        int transmissions;

        Entry(GossipUpdate update) {
            this.update = update;
        }
    }

    private final List<Entry> entries = new ArrayList<>();
    private long evicted;

    void add(GossipUpdate update) {
        for (Entry entry : entries) {
            if (entry.update.sameSubject(update)) {
                if (update.supersedes(entry.update)) {
                    entries.remove(entry);
                    entries.add(0, new Entry(update));
                }
                return;
            }
        }
        if (entries.size() == MAX_UPDATES) {
            entries.remove(entries.size() - 1);
            evicted++;
        }
        entries.add(0, new Entry(update));
    }

    /**
     * Someone sent it here too: it has spread so far, and counts as sent (Demers et al., rumours
     * with feedback).
     */
    void countDuplicate(GossipUpdate update) {
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            if (entry.update.origin() == update.origin()
                    && entry.update.number() == update.number()
                    && entry.update.incarnation() == update.incarnation()) {
                entries.remove(i);
                entry.transmissions++;
                insertBySent(entry);
                return;
            }
        }
    }

    private void insertBySent(Entry entry) {
        int at = entries.size();
        while (at > 0 && entries.get(at - 1).transmissions > entry.transmissions) {
            at--;
        }
        entries.add(at, entry);
    }

    /** Those of a kind of matter that is over: an instance's silence once it has spoken. */
    void remove(UpdateKind kind, long subject) {
        entries.removeIf(entry -> entry.update.kind() == kind && entry.update.subject() == subject);
    }

    /**
     * Up to so many words for one datagram: claims first, accusations last, of each the least sent
     * first.
     */
    List<GossipUpdate> nextUpdates(int limit) {
        return nextUpdates(limit, 3);
    }

    /** The same of claims alone, which do not wait for datagrams that are sent anyway. */
    List<GossipUpdate> nextClaims(int limit) {
        return nextUpdates(limit, 1);
    }

    private List<GossipUpdate> nextUpdates(int limit, int passes) {
        List<GossipUpdate> chosen = new ArrayList<>(limit);
        for (int pass = 0; pass < passes; pass++) {
            for (int i = 0; i < entries.size() && chosen.size() < limit; i++) {
                UpdateKind kind = entries.get(i).update.kind();
                if (pass == (kind == UpdateKind.CLAIM ? 0 : kind == UpdateKind.SILENT ? 2 : 1)) {
                    chosen.add(entries.get(i).update);
                }
            }
        }
        return chosen;
    }

    /**
     * These have gone out once more.
     *
     * @param instances how many instances there are, by this one's knowledge
     */
    void markSent(List<GossipUpdate> updates, int instances) {
        int maxTransmissions =
                (int) Math.ceil(TRANSMISSION_MULTIPLE * (Math.log(instances + 2) / Math.log(2)));
        for (GossipUpdate update : updates) {
            for (int i = 0; i < entries.size(); i++) {
                Entry entry = entries.get(i);
                if (entry.update == update) {
                    entries.remove(i);
                    if (++entry.transmissions < maxTransmissions) {
                        insertBySent(entry);
                    }
                    break;
                }
            }
        }
    }

    int size() {
        return entries.size();
    }

    long evicted() {
        return evicted;
    }
}
