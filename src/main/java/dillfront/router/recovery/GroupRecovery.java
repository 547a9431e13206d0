package dillfront.router.recovery;

import dillfront.routing.api.NodeRole;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks how far each group has recovered since this router started, and which node's claim to be
 * primary is accepted. One state machine per group is driven by the reports of nodes, by missing
 * answers and by member lists. The primary stored by an earlier run restricts: another node that
 * reports itself as primary gets no writes until the former primary has reported its role, or a
 * bounded time has passed.
 *
 * <p>Otherwise writes could go to an outdated primary that is the first to return after a power
 * loss, or that an old list names, and they would be lost to the group. Within a run {@link
 * dillfront.routing.RoutingEngine} accepts the latest report, since a hung node must not block a
 * group. Its cost: if the former primary is lost permanently but still listed, writes of its group
 * wait for that time once, and clients get an answer that asks for a later retry.
 *
 * <p>Pure: the caller supplies the time and passes in each report once. The number of rows is
 * bounded by the nodes and groups in the lists.
 */
public final class GroupRecovery {

    /** Recovery state of a group; each state includes the conditions of those before it. */
    public enum State {
        /** No member has answered in this run, or none answers any more. */
        DARK,
        /** Members answer, but no primary is accepted, or several members claim the role. */
        CONTESTED,
        /** One member reports itself as primary. */
        KNOWN,
        /**
         * A replica has replayed everything committed before this run began, or the group has no
         * replica.
         */
        COVERED,
        /** All members answer and are warm. */
        WARM
    }

    /** Scope of the outage before this run, as far as known. */
    public enum OutageScope {
        /** Not enough is known. */
        UNSURE,
        /** Only this router restarted; most nodes kept running. */
        ROUTER,
        /** Most nodes started when this router did, or later. */
        ALL,
        /** Nodes answer as usual, but discovery does not. */
        DISCOVERY
    }

    /** Receives state changes. */
    public interface Listener {
        void groupStateChanged(int group, State from, State to);

        /** Reports the node that has become the accepted primary of its group, to be stored. */
        void leads(int group, String node);
    }

    /**
     * Time, in dial timeouts, for which the former primary may still report after another node has
     * claimed its role.
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

        /**
         * Primary stored by an earlier run; null once it has reported another role or its
         * precedence has ended.
         */
        String formerPrimary;

        /**
         * Whether the former primary has reported the role in this run as well; the claims of other
         * nodes then count only once it no longer answers.
         */
        boolean formerConfirmed;

        /**
         * Time of the first claim by another node; the waiting time for the former primary starts
         * only then.
         */
        Duration otherClaimedAt;

        /** Node last reported as primary. */
        String lastPrimary;

        final List<NodeState> members = new ArrayList<>();
    }

    private final Duration startedAt;
    private final Listener listener;
    private Duration formerPrimaryWait;
    private Duration warmUpTime;

    /** By the router's node index; null for an unused index. */
    private final List<NodeState> nodes = new ArrayList<>();

    private final Map<Integer, GroupState> groups = new TreeMap<>();
    private boolean discoveryAvailable;
    private long heldWrites;

    /**
     * @param startedAt start of this run
     */
    public GroupRecovery(
            Duration startedAt, Duration dialTimeout, Duration warmUpTime, Listener listener) {
        this.startedAt = startedAt;
        this.listener = listener;
        settings(dialTimeout, warmUpTime);
    }

    /** Applies changed settings. */
    public void settings(Duration dialTimeout, Duration warmUp) {
        formerPrimaryWait = dialTimeout.multipliedBy(FORMER_PRIMARY_WAIT_DIALS);
        warmUpTime = warmUp;
    }

    private GroupState groupState(int group) {
        return groups.computeIfAbsent(group, k -> new GroupState());
    }

    /** Sets the primary of a group as stored by an earlier run. */
    public void restorePrimary(int group, String id) {
        groupState(group).formerPrimary = id;
        groupState(group).lastPrimary = id;
    }

    // ---- member lists

    /**
     * @param started null if the node started long ago
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

    /** Removes a node that is no longer in any list. */
    public void removeNode(int node) {
        if (node < nodes.size() && nodes.get(node) != null) {
            groupState(nodes.get(node).group).members.remove(nodes.get(node));
            nodes.set(node, null);
        }
    }

    /** Sets whether discovery delivers its lists. */
    public void discoveryAvailable(boolean available) {
        discoveryAvailable = available;
    }

    // ---- node reports

    /**
     * Handles an answer of a node, with the role and the replay position that it reports; null if
     * it reports none.
     */
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
            // The former primary has reported, so its present role replaces the stored one.
            state.formerConfirmed = role == NodeRole.PRIMARY;
            state.formerPrimary = state.formerConfirmed ? state.formerPrimary : null;
        } else if (role == NodeRole.PRIMARY
                && state.formerPrimary != null
                && state.otherClaimedAt == null) {
            state.otherClaimedAt = now;
        }
    }

    /** Handles a missing answer. */
    public void recordNoAnswer(int node) {
        NodeState nodeState = node < nodes.size() ? nodes.get(node) : null;
        if (nodeState != null) {
            nodeState.unanswered = true;
        }
    }

    /**
     * Returns whether the node's claim to be primary is accepted against the stored former primary.
     * A former primary that has not reported yet may be the last to return after a power loss, so
     * its missing answers do not count. Once it has reported as primary, missing answers end its
     * precedence.
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

    /** Returns whether a write may be sent to this node; counts the writes that may not. */
    public boolean mayWrite(int node, Duration now) {
        boolean allowed = isPrimaryAccepted(node, now);
        heldWrites += allowed ? 0 : 1;
        return allowed;
    }

    // ---- clock

    /** Updates the state of each group. */
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

    // ---- status

    /** Returns the state of each group by its number. */
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

    /** Returns the known or last known primary of each group. */
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

    /** Returns the former primary whose report is awaited; null if there is none. */
    public String awaitedPrimary(int group) {
        GroupState state = groups.get(group);
        return state == null || state.otherClaimedAt == null || state.formerConfirmed
                ? null
                : state.formerPrimary;
    }

    /** Returns the sends of writes held back since the start. */
    public long heldWrites() {
        return heldWrites;
    }

    /** Returns the scope of the outage before this run, judged by the start times of nodes. */
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
     * Returns the confidence in {@link #outageScope}: 0 if half of the nodes contradict it or none
     * answers, 1 if all nodes answer and agree.
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

    /**
     * Counts the ready nodes; a node started recently if it did so at most one warm-up time before
     * this router.
     */
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
