package dillfront.router.peers;

import dillfront.router.gossip.Gossip;
import dillfront.router.gossip.Hearsay;
import dillfront.router.gossip.Symptom;
import dillfront.router.gossip.Tuning;
import dillfront.router.gossip.Witness;
import dillfront.router.gossip.Word;
import dillfront.routing.api.Sight;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Connects the routing decisions with gossip. At each clock tick the router's own observations of
 * its nodes are weighed against the claims of peers and published as claims; the result returns as
 * a suspicion or an early probe. On the wire a node is identified by a hash of its id, since each
 * router has its own indices. There are as many rows as the router has for nodes.
 */
public final class Neighbours {

    /** The part of the routing decisions that gossip reads and influences. */
    public interface Decisions {
        Sight sees(int node);

        void doubted(int node, boolean doubted);

        void better(int node);
    }

    /** One listed node. */
    private static final class Row {
        final String id;
        final long key;
        boolean doubted;
        boolean better;

        Row(String id) {
            this.id = id;
            key = Ring.hash(id);
        }
    }

    private final Decisions decisions;
    private final Hearsay hearsay;
    private final Witness witness;
    private final Map<Long, Integer> nodes = new HashMap<>();

    /** By the router's node index; null for an unused index. */
    private final List<Row> rows = new ArrayList<>();

    private Supplier<Gossip> gossip;
    private Duration now = Duration.ZERO;

    public Neighbours(Tuning tuning, int instances, Decisions decisions) {
        this.decisions = decisions;
        hearsay = new Hearsay(tuning, instances);
        witness = new Witness(tuning);
    }

    /** Sets the supplier of the gossip protocol with its clocks set. */
    public void speaksBy(Supplier<Gossip> by) {
        gossip = by;
    }

    public Hearsay hearsay() {
        return hearsay;
    }

    /** Adds a listed node. */
    public void known(int node, String id) {
        while (rows.size() <= node) {
            rows.add(null);
        }
        if (rows.get(node) == null || !rows.get(node).id.equals(id)) {
            forget(node);
            rows.set(node, new Row(id));
            nodes.put(rows.get(node).key, node);
        }
        hearsay.nodes(nodes.size());
    }

    /** Removes a node and the claims about it. */
    public void forget(int node) {
        if (node < rows.size() && rows.get(node) != null) {
            nodes.remove(rows.get(node).key);
            rows.set(node, null);
            hearsay.forget(node);
            witness.forget(node);
            hearsay.nodes(nodes.size());
        }
    }

    /** Runs at each clock tick. */
    public void beat(Duration clock) {
        now = clock;
        hearsay.at(now);
        for (int node = 0; node < rows.size(); node++) {
            Row row = rows.get(node);
            if (row == null) {
                continue;
            }
            Sight sight = decisions.sees(node);
            hearsay.seen(node, sight);
            if (gossip != null) {
                witness.seen(
                        node,
                        sight,
                        hearsay.enough(node),
                        now,
                        (n, symptom, evidence, since) ->
                                gossip.get().claim(row.key, symptom, evidence, since));
            }
            weigh(node);
        }
        hearsay.woken();
    }

    /** Handles a new claim of a peer. Claims about unknown nodes are not forwarded. */
    public void claimed(Word word, Duration age, Duration clock) {
        Integer node = nodes.get(word.subject());
        if (node == null) {
            return;
        }
        now = clock;
        hearsay.at(now);
        if (hearsay.heard(
                word.origin(), node, Symptom.values()[word.detail()], age, word.since())) {
            gossip.get().passOn(word, word.origin());
        }
        weigh(node);
    }

    private void weigh(int node) {
        Row row = rows.get(node);
        boolean doubts = hearsay.doubted(node);
        // Repeated at each tick: the node's own answer may have ended the suspicion in the
        // meantime, unless the claims are newer.
        if (doubts || row.doubted) {
            decisions.doubted(node, doubts);
        }
        row.doubted = doubts;
        boolean better = hearsay.better(node);
        if (better && !row.better) {
            decisions.better(node);
        }
        row.better = better;
    }

    /** Calls back with the id and index of each known node. */
    public void nodes(BiConsumer<String, Integer> each) {
        for (int node = 0; node < rows.size(); node++) {
            if (rows.get(node) != null) {
                each.accept(rows.get(node).id, node);
            }
        }
    }

    /** Returns whether the claims of peers make the node suspected. */
    public boolean doubts(int node) {
        return node < rows.size() && rows.get(node) != null && rows.get(node).doubted;
    }
}
