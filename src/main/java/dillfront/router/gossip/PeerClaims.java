package dillfront.router.gossip;

import static dillfront.routing.api.Durations.multiply;

import dillfront.routing.api.HealthObservation;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Weighs the claims of peers about nodes. The result is one bit per node: suspected or not. A
 * suspicion opens no connection, provides no replay position, grants no capacity to a cold node and
 * permits no send. It shortens the time after which the router treats its own missing answers as a
 * failure, lets it prefer another node, and halves the node's concurrency limit. A fresh answer
 * received by this router itself ends the suspicion at once.
 *
 * <p>A claim is valid for a limited time; only each instance's latest claim on a node counts.
 * Claims are weighted by the origin's credit, which grows slowly with claims that this router later
 * confirms itself and drops fast with claims that its own answers contradict. Of the votes on one
 * node, the strongest ones are discarded, as many as there may be lying instances; the remaining
 * weight must still reach the threshold. Instances that were wrong together more than once count as
 * one vote. An instance that claims most of the nodes to be unhealthy is more likely partitioned
 * itself, and its claims do not count.
 *
 * <p>Pure: times are durations since the start. Table sizes are bounded by the number of registered
 * instances and listed nodes.
 */
public final class PeerClaims {

    private static final double INITIAL_CREDIT = 0.5;
    private static final double CREDIT_GAIN = 0.25;

    /**
     * Factor applied to credit after a claim that the router's own answers contradict, and after
     * one that an answer followed shortly.
     */
    private static final double CONTRADICTED_FACTOR = 0.5;

    private static final double OVERTAKEN_FACTOR = 0.8;

    /**
     * An answer within this part of a claim's validity after the claim counts against the claim.
     */
    private static final double OVERTAKEN_PART = 0.1;

    /** Minimum weight on a node that must remain after the possible lying votes are discarded. */
    private static final double MIN_WEIGHT = 0.4;

    /** Minimum credit for a vote to count. */
    private static final double MIN_CREDIT = 0.1;

    /**
     * An instance that claims more than this part of all nodes to be unhealthy, and more than one
     * node, does not count.
     */
    private static final double MAX_CLAIMED_PART = 0.5;

    /**
     * Number of common wrong claims after which two instances count as one vote, and for how many
     * claim validities they do.
     */
    private static final int MERGE_AFTER_COMMON_ERRORS = 2;

    private static final int VOTE_GROUP_VALIDITIES = 120;
    private static final int MAX_PAIRS = 256;

    private static final class Claim {
        final int peer;
        Symptom symptom;

        /** Start of the symptom and time of the last report, by this router's clock. */
        Duration since;

        Duration reportedAt;
        boolean confirmed;

        Claim(int peer) {
            this.peer = peer;
        }
    }

    private static final class NodeState {
        final List<Claim> claims = new ArrayList<>();

        /** Withdrawn claims, kept for as long as a claim is valid. */
        final List<Claim> withdrawn = new ArrayList<>();

        Duration healthyAt = Duration.ofSeconds(-1);
        boolean unhealthy;
    }

    private final int toleratedLiars;
    private final int maxClaims;
    private final Duration claimValidity;
    private final Duration overtakenWithin;
    private final double[] credit;

    /** Vote group of each instance: the lowest index of its members. */
    private final int[] voteGroup;

    private final int[] claimsByPeer;

    /**
     * Pairs of instances that were wrong together; the least recently updated pair is evicted
     * first.
     */
    private final Map<Long, Integer> commonErrors = new LinkedHashMap<>();

    private final List<NodeState> nodes = new ArrayList<>();
    private int listedNodes;
    private Duration voteGroupsResetAt = Duration.ZERO;
    private Duration now = Duration.ZERO;
    private long accepted;
    private long overruled;
    private long confirmed;

    /**
     * @param instances number of registered instances; indices are below this value
     */
    public PeerClaims(GossipConfig config, int instances) {
        toleratedLiars = Math.min(config.toleratedLiars(), Math.max(0, (instances - 1) / 3));
        // Enough claims to discard the lying votes twice, and to judge the credit of the others.
        maxClaims = 3 * (toleratedLiars + 1) + 2;
        claimValidity = config.claimValidity();
        overtakenWithin = multiply(claimValidity, OVERTAKEN_PART);
        credit = new double[instances];
        Arrays.fill(credit, INITIAL_CREDIT);
        voteGroup = new int[instances];
        claimsByPeer = new int[instances];
        resetVoteGroups();
    }

    private void resetVoteGroups() {
        for (int i = 0; i < voteGroup.length; i++) {
            voteGroup[i] = i;
        }
        commonErrors.clear();
    }

    public void setClock(Duration clock) {
        now = clock;
    }

    /**
     * Sets the number of listed nodes, against which the limit for unhealthy claims is computed.
     */
    public void nodes(int count) {
        listedNodes = count;
    }

    /**
     * Handles a claim of a peer about a node.
     *
     * @param node the router's local index of the node
     * @param age time since the claim was made
     * @param symptomDuration how long the symptom had lasted when the claim was made
     * @return whether the claim should be forwarded; not once enough peers have claimed the same,
     *     so that a failure seen by all costs no more traffic than one seen by a few
     */
    public boolean receive(
            int peer, int node, Symptom symptom, Duration age, Duration symptomDuration) {
        NodeState state = nodeState(node);
        Duration reportedAt = now.minus(age);
        Claim claim = null;
        for (Claim other : state.claims) {
            claim = other.peer == peer ? other : claim;
        }
        if (symptom == Symptom.WELL) {
            if (claim != null) {
                removeClaim(state, claim);
                claim.reportedAt = reportedAt;
                state.withdrawn.add(claim);
            }
            return claim != null;
        }
        if (reportedAt.plus(claimValidity).compareTo(now) <= 0) {
            return false;
        }
        accepted++;
        if (claim == null) {
            if (state.claims.size() >= maxClaims && !evictWeakest(state, peer)) {
                return false;
            }
            state.withdrawn.removeIf(c -> c.peer == peer);
            claim = new Claim(peer);
            state.claims.add(claim);
            claimsByPeer[peer]++;
            claim.since = reportedAt.minus(symptomDuration);
        }
        claim.symptom = symptom;
        claim.reportedAt = reportedAt;
        updateCredit(state);
        // A claim that does not count here is not forwarded either: a lying instance then spends
        // only its own bytes.
        return state.claims.size() < maxClaims
                && !claimsMostNodes(peer)
                && credit[peer] >= MIN_CREDIT;
    }

    private boolean claimsMostNodes(int peer) {
        return claimsByPeer[peer] > 1 && claimsByPeer[peer] > MAX_CLAIMED_PART * listedNodes;
    }

    /**
     * Evicts the claim of the least credit for one of more credit, so that lying instances cannot
     * occupy all places.
     */
    private boolean evictWeakest(NodeState state, int peer) {
        Claim weakest = state.claims.get(0);
        for (Claim other : state.claims) {
            weakest = credit[other.peer] < credit[weakest.peer] ? other : weakest;
        }
        if (credit[weakest.peer] >= credit[peer]) {
            return false;
        }
        removeClaim(state, weakest);
        return true;
    }

    /** Records what this router itself observes of a node. */
    public void observe(int node, HealthObservation sight) {
        NodeState state = nodeState(node);
        state.unhealthy = sight.isFaulty();
        state.healthyAt =
                sight.lastHealthyAt().compareTo(state.healthyAt) > 0
                        ? sight.lastHealthyAt()
                        : state.healthyAt;
        updateCredit(state);
    }

    /**
     * Compares the claims on a node with this router's own observations; credit changes here only.
     */
    private void updateCredit(NodeState state) {
        state.withdrawn.removeIf(claim -> claim.reportedAt.plus(claimValidity).compareTo(now) <= 0);
        if (state.claims.isEmpty()) {
            return;
        }
        List<Claim> falseClaims = new ArrayList<>();
        for (int i = state.claims.size() - 1; i >= 0; i--) {
            Claim claim = state.claims.get(i);
            if (state.unhealthy && !claim.confirmed) {
                claim.confirmed = true;
                confirmed++;
                credit[claim.peer] += CREDIT_GAIN * (1 - credit[claim.peer]);
            }
            // The node answered after the symptom had allegedly begun and before the claim was
            // repeated, so the claim was false.
            boolean contradicted =
                    state.healthyAt.compareTo(claim.since.plus(overtakenWithin)) > 0
                            && state.healthyAt.plus(overtakenWithin).compareTo(claim.reportedAt)
                                    < 0;
            // The node answered right after the claim: so short a symptom did not justify a claim.
            boolean overtaken =
                    state.healthyAt.compareTo(claim.reportedAt) > 0
                            && state.healthyAt.compareTo(claim.reportedAt.plus(overtakenWithin))
                                    < 0;
            if ((contradicted || overtaken) && !claim.confirmed) {
                credit[claim.peer] *= contradicted ? CONTRADICTED_FACTOR : OVERTAKEN_FACTOR;
                falseClaims.add(claim);
            }
            if (contradicted || state.healthyAt.compareTo(claim.reportedAt) > 0) {
                overruled++;
                removeClaim(state, claim);
            } else if (claim.reportedAt.plus(claimValidity).compareTo(now) <= 0) {
                removeClaim(state, claim);
            }
        }
        for (int i = 0; i < falseClaims.size(); i++) {
            for (int k = i + 1; k < falseClaims.size(); k++) {
                recordCommonError(falseClaims.get(i).peer, falseClaims.get(k).peer);
            }
        }
    }

    /**
     * Records a common error of two instances. Honest instances observe nodes independently and are
     * seldom wrong about the same node twice.
     */
    private void recordCommonError(int a, int b) {
        voteGroupsResetAt =
                commonErrors.isEmpty()
                        ? now.plus(claimValidity.multipliedBy(VOTE_GROUP_VALIDITIES))
                        : voteGroupsResetAt;
        long pair = (long) Math.min(a, b) * voteGroup.length + Math.max(a, b);
        int errors = commonErrors.getOrDefault(pair, 0) + 1;
        commonErrors.remove(pair);
        commonErrors.put(pair, errors);
        if (commonErrors.size() > MAX_PAIRS) {
            commonErrors.remove(commonErrors.keySet().iterator().next());
        }
        if (errors >= MERGE_AFTER_COMMON_ERRORS && voteGroup[a] != voteGroup[b]) {
            int mergedGroup = Math.max(voteGroup[a], voteGroup[b]);
            int targetGroup = Math.min(voteGroup[a], voteGroup[b]);
            for (int i = 0; i < voteGroup.length; i++) {
                voteGroup[i] = voteGroup[i] == mergedGroup ? targetGroup : voteGroup[i];
            }
            voteGroupsResetAt = now.plus(claimValidity.multipliedBy(VOTE_GROUP_VALIDITIES));
        }
    }

    /** Returns whether the claims of peers make the node suspected. */
    public boolean isSuspected(int node) {
        if (node >= nodes.size() || nodes.get(node).claims.isEmpty() || nodes.get(node).unhealthy) {
            return false;
        }
        return weight(nodes.get(node).claims) >= MIN_WEIGHT && !better(node);
    }

    /**
     * Returns whether enough peers that claimed the node to be unhealthy have had an answer from it
     * since. This only brings forward the next probe of a node that this router has stopped using.
     */
    public boolean better(int node) {
        return node < nodes.size()
                && !nodes.get(node).withdrawn.isEmpty()
                && weight(nodes.get(node).withdrawn) >= MIN_WEIGHT;
    }

    private double weight(List<Claim> claims) {
        double[] votes = new double[claims.size()];
        int[] groups = new int[votes.length];
        int count = 0;
        for (Claim claim : claims) {
            double vote =
                    claimsMostNodes(claim.peer) || credit[claim.peer] < MIN_CREDIT
                            ? 0
                            : credit[claim.peer];
            int slot = 0;
            while (slot < count && groups[slot] != voteGroup[claim.peer]) {
                slot++;
            }
            groups[slot] = voteGroup[claim.peer];
            votes[slot] = slot < count ? Math.max(votes[slot], vote) : vote;
            count = Math.max(count, slot + 1);
        }
        Arrays.sort(votes, 0, count);
        double sum = 0;
        for (int i = 0; i < count - toleratedLiars; i++) {
            sum += votes[i];
        }
        return sum;
    }

    /** Expires claims; called at each clock tick. */
    public void expireClaims() {
        for (NodeState state : nodes) {
            updateCredit(state);
        }
        if (now.compareTo(voteGroupsResetAt) > 0 && !commonErrors.isEmpty()) {
            voteGroupsResetAt = now.plus(claimValidity.multipliedBy(VOTE_GROUP_VALIDITIES));
            resetVoteGroups();
        }
    }

    /** Removes a node that has left the list, since its index may be reused. */
    public void removeNode(int node) {
        if (node < nodes.size()) {
            NodeState state = nodes.get(node);
            while (!state.claims.isEmpty()) {
                removeClaim(state, state.claims.get(0));
            }
            nodes.set(node, new NodeState());
        }
    }

    private void removeClaim(NodeState state, Claim claim) {
        state.claims.remove(claim);
        claimsByPeer[claim.peer]--;
    }

    private NodeState nodeState(int node) {
        while (nodes.size() <= node) {
            nodes.add(new NodeState());
        }
        return nodes.get(node);
    }

    public double credit(int peer) {
        return credit[peer];
    }

    /**
     * Returns whether one more claim would add nothing: enough claims are held to reach the
     * threshold even without the possible lying votes.
     */
    public boolean hasEnoughClaims(int node) {
        return claimCount(node) >= maxClaims;
    }

    /** Returns the number of valid claims on a node. */
    public int claimCount(int node) {
        return node < nodes.size() ? nodes.get(node).claims.size() : 0;
    }

    /**
     * Returns the number of claims accepted since the start; the next two methods count those that
     * this router confirmed itself and those that its own answers overruled.
     */
    public long accepted() {
        return accepted;
    }

    public long confirmed() {
        return confirmed;
    }

    public long overruled() {
        return overruled;
    }
}
