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
 * Connects the routing decisions with gossip. At each clock tick the router's own observations of
 * its nodes are weighed against the claims of peers and published as claims; the result returns as
 * a suspicion or an early probe. On the wire a node is identified by a hash of its id, since each
 * router has its own indices. There are as many rows as the router has for nodes.
 */
public final class PeerHealthExchange {

    /** The part of the routing decisions that gossip reads and influences. */
    public interface RoutingDecisions {
        HealthObservation observeHealth(int node);

        void setSuspected(int node, boolean suspected);

        void better(int node);
    }

    /** One listed node. */
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

    /** By the router's node index; null for an unused index. */
    private final List<NodeState> nodeStates = new ArrayList<>();

    private Supplier<GossipProtocol> gossip;
    private Duration now = Duration.ZERO;

    public PeerHealthExchange(GossipConfig config, int instances, RoutingDecisions decisions) {
        this.decisions = decisions;
        claims = new PeerClaims(config, instances);
        reporter = new ClaimReporter(config);
    }

    /** Sets the supplier of the gossip protocol with its clocks set. */
    public void setGossip(Supplier<GossipProtocol> protocol) {
        gossip = protocol;
    }

    public PeerClaims claims() {
        return claims;
    }

    /** Adds a listed node. */
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

    /** Removes a node and the claims about it. */
    public void removeNode(int node) {
        if (node < nodeStates.size() && nodeStates.get(node) != null) {
            nodes.remove(nodeStates.get(node).idHash);
            nodeStates.set(node, null);
            claims.removeNode(node);
            reporter.removeNode(node);
            claims.nodes(nodes.size());
        }
    }

    /** Runs at each clock tick. */
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

    /** Handles a new claim of a peer. Claims about unknown nodes are not forwarded. */
    public void onClaim(GossipUpdate claim, Duration age, Duration clock) {
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
        // Repeated at each tick: the node's own answer may have ended the suspicion in the
        // meantime, unless the claims are newer.
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

    /** Calls back with the id and index of each known node. */
    public void nodes(BiConsumer<String, Integer> each) {
        for (int node = 0; node < nodeStates.size(); node++) {
            if (nodeStates.get(node) != null) {
                each.accept(nodeStates.get(node).id, node);
            }
        }
    }

    /** Returns whether the claims of peers make the node suspected. */
    public boolean isSuspected(int node) {
        return node < nodeStates.size()
                && nodeStates.get(node) != null
                && nodeStates.get(node).suspected;
    }
}
