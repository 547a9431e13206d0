package dillfront.router.gossip;

import java.util.ArrayList;
import java.util.List;

/**
 * Queue of updates that are still being disseminated. Updates are piggybacked on datagrams that are
 * sent anyway, claims first and the least sent first, until each has been sent a small multiple of
 * the logarithm of the number of instances. The queue is bounded: a new update evicts the most sent
 * one, and a later update of the same origin on the same subject replaces the earlier one.
 */
final class BroadcastQueue {

    private static final int MAX_UPDATES = 64;

    /**
     * Transmissions per update, as a multiple of the base-two logarithm of the number of instances
     * (SWIM, section 4.1). Accusations are sent last.
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
     * Counts a duplicate received from a peer as one transmission, since the update has reached
     * that peer (Demers et al., epidemic algorithms with feedback).
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

    /**
     * Removes the updates of a kind on a subject, such as the accusations against an instance that
     * has refuted them.
     */
    void remove(UpdateKind kind, long subject) {
        entries.removeIf(entry -> entry.update.kind() == kind && entry.update.subject() == subject);
    }

    /**
     * Returns up to the given number of updates for one datagram: claims first, accusations last,
     * each the least sent first.
     */
    List<GossipUpdate> nextUpdates(int limit) {
        return nextUpdates(limit, 3);
    }

    /**
     * Returns up to the given number of claims, which are pushed without waiting for other
     * datagrams.
     */
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
     * Counts one more transmission of these updates.
     *
     * @param instances number of instances that this one knows
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
