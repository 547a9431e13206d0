package dillfront.router.recovery;

import dillfront.routing.api.NodeRole;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How far each group has come back in this life, and who may be believed to lead it: one state
 * machine a group, fed by what nodes say, by silence and by lists. What an earlier life knew of who
 * led restricts: whoever leads by his own word alone, against him who led before, gets no write
 * until that one has spoken, or a bounded time is over.
 *
 * <p>Guards against a former primary that is back first after a loss of power and still believes in
 * itself, or that an old list names: what it takes is lost to the group. Within a life {@link
 * dillfront.routing.RoutingEngine} believes the latest word, as nodes that hang must not hold a
 * group. Harm: where the one that led is gone for good, and still listed, writes of its group wait
 * for that time once, and clients are told to come back.
 *
 * <p>Pure: the caller has the clock, and feeds each word once. Rows are as many as lists name nodes
 * and groups.
 */
public final class GroupRecovery {

    /** Each state includes those before it. */
    public enum State {
        /** No member has answered in this life, or none does any more. */
        DARK,
        /** Members answer; none is believed to lead, or several say that they do. */
        CONTESTED,
        /** One leads, by its own word. */
        KNOWN,
        /** And a replica has all that was committed before this life began; or there is none. */
        COVERED,
        /** And each member is there and warm. */
        WARM
    }

    /** What this life began with, as far as can be told. */
    public enum OutageScope {
        /** Too little is known. */
        UNSURE,
        /** This router alone: most nodes run as they did. */
        ROUTER,
        /** Most nodes began when this router did, or later. */
        ALL,
        /** Nodes answer as ever, discovery does not. */
        DISCOVERY
    }

    /** Who hears of changes. */
    public interface Listener {
        void groupStateChanged(int group, State from, State to);

        /** This node leads its group now, by its own word; to be remembered. */
        void leads(int group, String node);
    }

    /**
     * So long, in dial time-outs, the one that led before may take to speak once another has
     * claimed its place.
     */
    private static final int FORMER_PRIMARY_WAIT_DIALS = 8;

    private static final class NodeState {
        final String id;
        int group;
        boolean ready;
        Duration startedAt;
        Duration answeredAt;
        boolean unanswered;
        NodeRole role;
        Duration position;

        NodeState(String id) {
            this.id = id;
        }

        boolean isPresent() {
            return ready && answeredAt != null && !unanswered;
        }
    }

    private static final class GroupState {
        State state = State.DARK;

        /** Who led in an earlier life; null once that is settled, one way or the other. */
        String formerPrimary;

        /**
         * He leads by his own word in this life too: against him others' claims count only once he
         * has gone silent.
         */
        boolean formerConfirmed;

        /**
         * When another than he first claimed the place; while nobody does, no time runs against
         * him.
         */
        Duration otherClaimedAt;

        /** Who was last told of as leading. */
        String lastPrimary;

        final List<NodeState> members = new ArrayList<>();
    }

    private final Duration startedAt;
    private final Listener listener;
    private Duration formerPrimaryWait;
    private Duration warmUpTime;

    /** By the router's index; null where it has none now. */
    private final List<NodeState> nodes = new ArrayList<>();

    private final Map<Integer, GroupState> groups = new TreeMap<>();
    private boolean discoveryAvailable;
    private long heldWrites;

    /**
     * @param startedAt when this life did
     */
    public GroupRecovery(
            Duration startedAt, Duration dialTimeout, Duration warmUpTime, Listener listener) {
        this.startedAt = startedAt;
        this.listener = listener;
        settings(dialTimeout, warmUpTime);
    }

    /** By these from now on. */
    public void settings(Duration dialTimeout, Duration warmUp) {
        formerPrimaryWait = dialTimeout.multipliedBy(FORMER_PRIMARY_WAIT_DIALS);
        warmUpTime = warmUp;
    }

    private GroupState groupState(int group) {
        return groups.computeIfAbsent(group, k -> new GroupState());
    }

    /** In an earlier life this node led its group. */
    public void restorePrimary(int group, String id) {
        groupState(group).formerPrimary = id;
        groupState(group).lastPrimary = id;
    }

    // ---- what lists say

    /**
     * @param started null for long ago
     */
    public void updateNode(int node, String id, int group, Duration started, boolean ready) {
        while (nodes.size() <= node) {
            nodes.add(null);
        }
        NodeState nodeState = nodes.get(node);
        if (nodeState == null || !nodeState.id.equals(id)) {
            removeNode(node);
            nodeState = new NodeState(id);
            nodes.set(node, nodeState);
        }
        groupState(nodeState.group).members.remove(nodeState);
        nodeState.group = group;
        nodeState.ready = ready;
        groupState(group).members.add(nodeState);
        if (started != null
                && (nodeState.startedAt == null || started.compareTo(nodeState.startedAt) > 0)) {
            nodeState.startedAt = started;
        }
    }

    /** Forgets a node that no list names any more. */
    public void removeNode(int node) {
        if (node < nodes.size() && nodes.get(node) != null) {
            groupState(nodes.get(node).group).members.remove(nodes.get(node));
            nodes.set(node, null);
        }
    }

    /** Discovery tells its lists, or does not. */
    public void discoveryAvailable(boolean available) {
        discoveryAvailable = available;
    }

    // ---- what nodes say

    /** A node answered; what it says of its role and its position, null where it does not. */
    public void recordAnswer(int node, NodeRole role, Duration position, Duration now) {
        NodeState nodeState = node < nodes.size() ? nodes.get(node) : null;
        if (nodeState == null) {
            return;
        }
        nodeState.answeredAt = now;
        nodeState.unanswered = false;
        nodeState.role = role == null ? nodeState.role : role;
        if (position != null
                && (nodeState.position == null || position.compareTo(nodeState.position) > 0)) {
            nodeState.position = position;
        }
        GroupState state = groupState(nodeState.group);
        if (nodeState.id.equals(state.formerPrimary) && role != null) {
            // He has spoken: what he says now counts, and no longer what was.
            state.formerConfirmed = role == NodeRole.PRIMARY;
            state.formerPrimary = state.formerConfirmed ? state.formerPrimary : null;
        } else if (role == NodeRole.PRIMARY
                && state.formerPrimary != null
                && state.otherClaimedAt == null) {
            state.otherClaimedAt = now;
        }
    }

    /** It was asked, and did not answer. */
    public void recordNoAnswer(int node) {
        NodeState nodeState = node < nodes.size() ? nodes.get(node) : null;
        if (nodeState != null) {
            nodeState.unanswered = true;
        }
    }

    /**
     * Whether this node's word that it leads counts, as far as it is known who led before. His
     * silence tells nothing until he has spoken: where power comes back, he may be the last to be
     * there. Once he has said that he leads, it ends what is known of him.
     */
    public boolean isPrimaryAccepted(int node, Duration now) {
        NodeState nodeState = node < nodes.size() ? nodes.get(node) : null;
        GroupState state = nodeState == null ? null : groupState(nodeState.group);
        if (state == null
                || state.formerPrimary == null
                || state.formerPrimary.equals(nodeState.id)
                || TrustPolicy.of(TrustPolicy.Knowledge.FORMER_PRIMARY, state.state)
                        != TrustPolicy.RESTRICTS) {
            return true;
        }
        NodeState formerState =
                state.members.stream()
                        .filter(m -> m.ready && m.id.equals(state.formerPrimary))
                        .findAny()
                        .orElse(null);
        boolean ended =
                formerState == null
                        || (state.formerConfirmed
                                ? formerState.unanswered
                                        || formerState
                                                        .answeredAt
                                                        .plus(formerPrimaryWait)
                                                        .compareTo(now)
                                                < 0
                                : state.otherClaimedAt != null
                                        && now.minus(state.otherClaimedAt)
                                                        .compareTo(formerPrimaryWait)
                                                >= 0);
        if (ended) {
            state.formerPrimary = null;
            return true;
        }
        return false;
    }

    /** Whether a write may go to this node: not to one that may not lead. */
    public boolean mayWrite(int node, Duration now) {
        boolean allowed = isPrimaryAccepted(node, now);
        heldWrites += allowed ? 0 : 1;
        return allowed;
    }

    // ---- the beat

    /** Advances the state of each group by what is known now. */
    public void tick(Duration now) {
        groups.forEach(
                (group, state) -> {
                    State current = evaluate(state, now);
                    if (current != state.state) {
                        State previous = state.state;
                        state.state = current;
                        listener.groupStateChanged(group, previous, current);
                    }
                    NodeState leader =
                            current.compareTo(State.KNOWN) >= 0
                                    ? reportedPrimaries(state).get(0)
                                    : null;
                    if (leader != null && !leader.id.equals(state.lastPrimary)) {
                        state.lastPrimary = leader.id;
                        listener.leads(group, leader.id);
                    }
                });
    }

    private static List<NodeState> reportedPrimaries(GroupState state) {
        List<NodeState> primaries = new ArrayList<>();
        for (NodeState nodeState : state.members) {
            if (nodeState.isPresent() && nodeState.role == NodeRole.PRIMARY) {
                primaries.add(nodeState);
            }
        }
        return primaries;
    }

    private State evaluate(GroupState state, Duration now) {
        boolean anyAnswers = false;
        boolean allAnswer = true;
        boolean anyWarmingUp = false;
        boolean hasReplica = false;
        boolean covered = false;
        for (NodeState nodeState : state.members) {
            anyAnswers |= nodeState.isPresent();
            allAnswer &= nodeState.isPresent() || !nodeState.ready;
            anyWarmingUp |= nodeState.ready && isWarmingUp(nodeState, now);
            if (nodeState.ready && nodeState.role != NodeRole.PRIMARY) {
                hasReplica = true;
                covered |=
                        nodeState.isPresent()
                                && nodeState.position != null
                                && nodeState.position.compareTo(startedAt) >= 0;
            }
        }
        if (!anyAnswers) {
            return State.DARK;
        }
        List<NodeState> primaries = reportedPrimaries(state);
        if (primaries.size() != 1
                || state.formerPrimary != null
                        && !primaries.get(0).id.equals(state.formerPrimary)) {
            return State.CONTESTED;
        }
        return hasReplica && !covered
                ? State.KNOWN
                : allAnswer && !anyWarmingUp ? State.WARM : State.COVERED;
    }

    private boolean isWarmingUp(NodeState nodeState, Duration now) {
        return nodeState.startedAt != null
                && nodeState.startedAt.plus(warmUpTime).compareTo(now) > 0;
    }

    // ---- what may be asked

    /** The state of each group, by its number. */
    public Map<Integer, State> states() {
        Map<Integer, State> states = new TreeMap<>();
        groups.forEach(
                (group, state) -> {
                    if (!state.members.isEmpty()) {
                        states.put(group, state.state);
                    }
                });
        return states;
    }

    /** Who is known to lead each group, or to have led it last. */
    public List<String> leaders() {
        List<String> leaders = new ArrayList<>();
        groups.forEach(
                (group, state) -> {
                    if (state.lastPrimary != null) {
                        leaders.add(group + ":" + state.lastPrimary);
                    }
                });
        return leaders;
    }

    /** Who led before and is awaited now; null where nobody is. */
    public String awaitedPrimary(int group) {
        GroupState state = groups.get(group);
        return state == null || state.otherClaimedAt == null || state.formerConfirmed
                ? null
                : state.formerPrimary;
    }

    /** Sends of writes that were held back for that, since the start. */
    public long heldWrites() {
        return heldWrites;
    }

    /** What happened before this life began, as nodes' starts tell. */
    public OutageScope outageScope() {
        NodeCounts counts = countNodes();
        if (counts.nodes == 0 || counts.present == 0) {
            return OutageScope.UNSURE;
        }
        return 2 * counts.startedRecently > counts.nodes
                ? OutageScope.ALL
                : discoveryAvailable ? OutageScope.ROUTER : OutageScope.DISCOVERY;
    }

    /**
     * How sure: 0 where half of the nodes tell this and half that, or none is there; 1 where all
     * are and agree.
     */
    public double confidence() {
        NodeCounts counts = countNodes();
        return counts.nodes == 0
                ? 0
                : Math.abs(2.0 * counts.startedRecently / counts.nodes - 1)
                        * counts.present
                        / counts.nodes;
    }

    private record NodeCounts(int nodes, int present, int startedRecently) {}

    /** A node that began no more than a warm-up before this router is young. */
    private NodeCounts countNodes() {
        int nodeCount = 0;
        int present = 0;
        int startedRecently = 0;
        for (NodeState nodeState : nodes) {
            if (nodeState != null && nodeState.ready) {
                nodeCount++;
                present += nodeState.isPresent() ? 1 : 0;
                startedRecently +=
                        nodeState.startedAt != null
                                        && nodeState.startedAt.plus(warmUpTime).compareTo(startedAt)
                                                > 0
                                ? 1
                                : 0;
            }
        }
        return new NodeCounts(nodeCount, present, startedRecently);
    }
}
