package dillfront.router.peers;

import dillfront.router.gossip.Gossip;
import dillfront.router.gossip.Hearsay;
import dillfront.router.gossip.Symptom;
import dillfront.router.gossip.Tuning;
import dillfront.router.gossip.Witness;
import dillfront.router.gossip.Word;
import dillfront.routing.api.HealthObservation;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Between the decisions and gossip: at each beat what the router sees of its nodes goes to those
 * who weigh and tell it, and what others' words are worth comes back as a doubt or a try. Nodes go
 * by a hash of their id on the wire, since each router has indices of its own. Rows are as many as
 * the router has rows for nodes.
 */
public final class Neighbours {

    /** The decisions, as far as gossip has to do with them. */
    public interface Decisions {
        HealthObservation sees(int node);

        void doubted(int node, boolean doubted);

        void better(int node);
    }

    /** One node of the list. */
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

    /** By the router's index; null where it has none now. */
    private final List<Row> rows = new ArrayList<>();

    private Supplier<Gossip> gossip;
    private Duration now = Duration.ZERO;

    public Neighbours(Tuning tuning, int instances, Decisions decisions) {
        this.decisions = decisions;
        hearsay = new Hearsay(tuning, instances);
        witness = new Witness(tuning);
    }

    /** By whom it speaks, its clocks set. */
    public void speaksBy(Supplier<Gossip> by) {
        gossip = by;
    }

    public Hearsay hearsay() {
        return hearsay;
    }

    /** A node of the list. */
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

    /** Forgets what others claimed of this node. */
    public void forget(int node) {
        if (node < rows.size() && rows.get(node) != null) {
            nodes.remove(rows.get(node).key);
            rows.set(node, null);
            hearsay.forget(node);
            witness.forget(node);
            hearsay.nodes(nodes.size());
        }
    }

    /** The clock's beat. */
    public void beat(Duration clock) {
        now = clock;
        hearsay.at(now);
        for (int node = 0; node < rows.size(); node++) {
            Row row = rows.get(node);
            if (row == null) {
                continue;
            }
            HealthObservation sight = decisions.sees(node);
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

    /**
     * A new claim of another instance. Of nodes that this router does not know it passes nothing
     * on.
     */
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
        // Said again at each beat: the node's own answer has ended it meanwhile, unless the doubt
        // is newer.
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

    /** Each node that is known, by its id and its index. */
    public void nodes(BiConsumer<String, Integer> each) {
        for (int node = 0; node < rows.size(); node++) {
            if (rows.get(node) != null) {
                each.accept(rows.get(node).id, node);
            }
        }
    }

    /** Whether hearsay doubts it now. */
    public boolean doubts(int node) {
        return node < rows.size() && rows.get(node) != null && rows.get(node).doubted;
    }
}
