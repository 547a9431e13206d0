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
 * What others' claims about nodes are worth to this router. The outcome is one bit a node: doubted
 * or not. A doubt opens nothing, gives no position, frees no budget of a cold node and excuses no
 * send; it makes the module suspicious sooner of silence that it sees itself, lets it take another
 * node first, and halves the room. The router's own fresh answer ends it at once.
 *
 * <p>Claims stand for a while, each instance's latest on a node. Voices are weighed by credit,
 * which grows slowly with claims that this router then finds true by itself and falls fast with
 * those that its own answers contradict. Of the voices on one node the best few are left out, as
 * many as may lie; what remains must still carry the claim. Instances that were wrong together more
 * than once are one voice. Who claims most of the fleet ill is more likely cut off himself, and is
 * not counted.
 *
 * <p>Pure: times are spans since the start. Tables are as long as the ring, and as the nodes in the
 * list.
 */
public final class PeerClaims {

    private static final double INITIAL_CREDIT = 0.5;
    private static final double CREDIT_GAIN = 0.25;

    /**
     * What is left of credit after a claim that own answers contradict, and after one soon
     * overtaken by an answer.
     */
    private static final double CONTRADICTED_FACTOR = 0.5;

    private static final double OVERTAKEN_FACTOR = 0.8;

    /**
     * An answer so soon after a claim was said speaks against it; as a part of the time for which
     * claims stand.
     */
    private static final double OVERTAKEN_PART = 0.1;

    /** What must remain of the weight on a node once as many voices as may lie are left out. */
    private static final double MIN_WEIGHT = 0.4;

    /** Voices below this are not counted at all. */
    private static final double MIN_CREDIT = 0.1;

    /** Who claims more than this part of all nodes ill, and more than one, is not counted. */
    private static final double MAX_CLAIMED_PART = 0.5;

    /**
     * Wrong together so often: one voice from then on, for so many times the standing of a claim.
     */
    private static final int MERGE_AFTER_COMMON_ERRORS = 2;

    private static final int VOTE_GROUP_VALIDITIES = 120;
    private static final int MAX_PAIRS = 256;

    private static final class Claim {
        final int peer;
        Symptom symptom;

        /** When it began, and when it was last said, by this router's clock. */
        Duration since;

        Duration reportedAt;
        boolean confirmed;

        Claim(int peer) {
            this.peer = peer;
        }
    }

    private static final class NodeState {
        final List<Claim> claims = new ArrayList<>();

        /** Those who claimed it ill and have taken that back, for as long as a claim stands. */
        final List<Claim> withdrawn = new ArrayList<>();

        Duration healthyAt = Duration.ofSeconds(-1);
        boolean unhealthy;
    }

    private final int toleratedLiars;
    private final int maxClaims;
    private final Duration claimValidity;
    private final Duration overtakenWithin;
    private final double[] credit;

    /** Instances of one voice share the number of its first. */
    private final int[] voteGroup;

    private final int[] claimsByPeer;

    /** Pairs that were wrong together; the longest unseen leaves first. */
    private final Map<Long, Integer> commonErrors = new LinkedHashMap<>();

    private final List<NodeState> nodes = new ArrayList<>();
    private int listedNodes;
    private Duration voteGroupsResetAt = Duration.ZERO;
    private Duration now = Duration.ZERO;
    private long accepted;
    private long overruled;
    private long confirmed;

    /**
     * @param instances how many may speak; indices run below it
     */
    public PeerClaims(GossipConfig config, int instances) {
        toleratedLiars = Math.min(config.toleratedLiars(), Math.max(0, (instances - 1) / 3));
        // Enough to leave out the liars twice over, and to see who was right.
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

    /** How many nodes there are, for what is most of them. */
    public void nodes(int count) {
        listedNodes = count;
    }

    /**
     * An instance says so of a node.
     *
     * @param node this router's index of it
     * @param age for how long the word has been on its way
     * @param symptomDuration for how long it had lasted when it was said
     * @return whether others should hear of it too: not if enough others have said it, so that a
     *     trouble which all see costs no more to tell than one which a few see
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
        // Who is not counted here is not passed on either: a liar pays for his words with his own
        // bytes alone.
        return state.claims.size() < maxClaims
                && !claimsMostNodes(peer)
                && credit[peer] >= MIN_CREDIT;
    }

    private boolean claimsMostNodes(int peer) {
        return claimsByPeer[peer] > 1 && claimsByPeer[peer] > MAX_CLAIMED_PART * listedNodes;
    }

    /**
     * A voice of more credit takes the place of the least: guards against places kept by those who
     * only lie.
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

    /** What this router sees of a node itself. */
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
     * Claims on a node against what this router knows of it: the only way in which credit changes.
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
            // It answered after that began and before it was said again: then it had not begun.
            boolean contradicted =
                    state.healthyAt.compareTo(claim.since.plus(overtakenWithin)) > 0
                            && state.healthyAt.plus(overtakenWithin).compareTo(claim.reportedAt)
                                    < 0;
            // Or it answered right after: what was so short was nothing to tell.
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

    /** Honest instances see nodes each for itself, and are seldom wrong on the same one twice. */
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

    /** Whether the module should doubt it by what others say. */
    public boolean isSuspected(int node) {
        if (node >= nodes.size() || nodes.get(node).claims.isEmpty() || nodes.get(node).unhealthy) {
            return false;
        }
        return weight(nodes.get(node).claims) >= MIN_WEIGHT && !better(node);
    }

    /**
     * Whether enough of those who claimed it ill have had an answer of it since. Worth a try sooner
     * where this router still waits to try it; and no more than that.
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

    /** Claims end by themselves; called at each beat. */
    public void expireClaims() {
        for (NodeState state : nodes) {
            updateCredit(state);
        }
        if (now.compareTo(voteGroupsResetAt) > 0 && !commonErrors.isEmpty()) {
            voteGroupsResetAt = now.plus(claimValidity.multipliedBy(VOTE_GROUP_VALIDITIES));
            resetVoteGroups();
        }
    }

    /** It has left the list: its index may name another. */
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
     * Whether one more claim would add nothing: so many stand that even without the liars' share
     * they carry.
     */
    public boolean hasEnoughClaims(int node) {
        return claimCount(node) >= maxClaims;
    }

    /** How many claims stand on a node now. */
    public int claimCount(int node) {
        return node < nodes.size() ? nodes.get(node).claims.size() : 0;
    }

    /**
     * Claims taken since the start, those found true by this router itself, and those that its own
     * answers ended.
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
