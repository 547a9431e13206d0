package dillfront.router.peers;

import dillfront.router.gossip.ClaimReporter;
import dillfront.router.gossip.GossipConfig;
import dillfront.router.gossip.GossipProtocol;
import dillfront.router.gossip.GossipUpdate;
import dillfront.router.gossip.PeerClaims;
import dillfront.router.gossip.Symptom;
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
public final class PeerHealthExchange {

    /** The decisions, as far as gossip has to do with them. */
    public interface RoutingDecisions {
        HealthObservation observeHealth(int node);

        void setSuspected(int node, boolean suspected);

        void better(int node);
    }

    /** One node of the list. */
    private static final class NodeState {
        final String id;
        final long idHash;
        boolean suspected;
        boolean withdrawn;

        NodeState(String id) {
            this.id = id;
            idHash = PeerRegistry.hash(id);
        }
    }

    private final RoutingDecisions decisions;
    private final PeerClaims claims;
    private final ClaimReporter reporter;
    private final Map<Long, Integer> nodes = new HashMap<>();

    /** By the router's index; null where it has none now. */
    private final List<NodeState> nodeStates = new ArrayList<>();

    private Supplier<GossipProtocol> gossip;
    private Duration now = Duration.ZERO;

    public PeerHealthExchange(GossipConfig config, int instances, RoutingDecisions decisions) {
        this.decisions = decisions;
        claims = new PeerClaims(config, instances);
        reporter = new ClaimReporter(config);
    }

    /** By whom it speaks, its clocks set. */
    public void setGossip(Supplier<GossipProtocol> protocol) {
        gossip = protocol;
    }

    public PeerClaims claims() {
        return claims;
    }

    /** A node of the list. */
    public void addNode(int node, String id) {
        while (nodeStates.size() <= node) {
            nodeStates.add(null);
        }
        if (nodeStates.get(node) == null || !nodeStates.get(node).id.equals(id)) {
            removeNode(node);
            nodeStates.set(node, new NodeState(id));
            nodes.put(nodeStates.get(node).idHash, node);
        }
        claims.nodes(nodes.size());
    }

    /** Forgets what others claimed of this node. */
    public void removeNode(int node) {
        if (node < nodeStates.size() && nodeStates.get(node) != null) {
            nodes.remove(nodeStates.get(node).idHash);
            nodeStates.set(node, null);
            claims.removeNode(node);
            reporter.removeNode(node);
            claims.nodes(nodes.size());
        }
    }

    /** The clock's beat. */
    public void tick(Duration clock) {
        now = clock;
        claims.setClock(now);
        for (int node = 0; node < nodeStates.size(); node++) {
            NodeState state = nodeStates.get(node);
            if (state == null) {
                continue;
            }
            HealthObservation sight = decisions.observeHealth(node);
            claims.observe(node, sight);
            if (gossip != null) {
                reporter.observe(
                        node,
                        sight,
                        claims.hasEnoughClaims(node),
                        now,
                        (n, symptom, evidence, symptomDuration) ->
                                gossip.get()
                                        .publishClaim(
                                                state.idHash, symptom, evidence, symptomDuration));
            }
            updateSuspicion(node);
        }
        claims.expireClaims();
    }

    /**
     * A new claim of another instance. Of nodes that this router does not know it passes nothing
     * on.
     */
    public void receiveClaim(GossipUpdate claim, Duration age, Duration clock) {
        Integer node = nodes.get(claim.subject());
        if (node == null) {
            return;
        }
        now = clock;
        claims.setClock(now);
        if (claims.receive(
                claim.origin(),
                node,
                Symptom.values()[claim.detail()],
                age,
                claim.symptomDuration())) {
            gossip.get().forward(claim, claim.origin());
        }
        updateSuspicion(node);
    }

    private void updateSuspicion(int node) {
        NodeState state = nodeStates.get(node);
        boolean suspected = claims.isSuspected(node);
        // Said again at each beat: the node's own answer has ended it meanwhile, unless the doubt
        // is newer.
        if (suspected || state.suspected) {
            decisions.setSuspected(node, suspected);
        }
        state.suspected = suspected;
        boolean withdrawn = claims.better(node);
        if (withdrawn && !state.withdrawn) {
            decisions.better(node);
        }
        state.withdrawn = withdrawn;
    }

    /** Each node that is known, by its id and its index. */
    public void nodes(BiConsumer<String, Integer> each) {
        for (int node = 0; node < nodeStates.size(); node++) {
            if (nodeStates.get(node) != null) {
                each.accept(nodeStates.get(node).id, node);
            }
        }
    }

    /** Whether hearsay doubts it now. */
    public boolean isSuspected(int node) {
        return node < nodeStates.size()
                && nodeStates.get(node) != null
                && nodeStates.get(node).suspected;
    }
}
