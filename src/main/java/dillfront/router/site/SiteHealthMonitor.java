package dillfront.router.site;

import static dillfront.routing.api.Durations.max;

import dillfront.routing.api.HealthObservation;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Determines which sites are lost from this router's own observations of their nodes at each clock
 * tick; reports of peers do not count. A verdict is about the network path from this router to a
 * site; whether the nodes or the path failed cannot be distinguished and makes no difference. The
 * class also distinguishes the loss of all other sites from an isolation of this router.
 *
 * <p>A site is declared lost quickly and restored slowly: a wrong loss costs cross-site traffic for
 * a moment, a wrong restoration costs the transactions sent there. Each restoration that does not
 * last doubles the time required for the next one, and is forgiven after a quiet time; a site that
 * flaps ten times in a minute thus stays out of use after the first few times.
 *
 * <p>Pure: the caller supplies the time. The number of rows is bounded by the nodes and sites in
 * the lists.
 */
public final class SiteHealthMonitor {

    /** Verdict on a site. */
    public enum State {
        /** No observation; treated like a healthy site. */
        UNKNOWN,
        WELL,
        /** At least half of the nodes are unhealthy, and some answer. */
        PARTLY,
        /** At least half of the nodes are unhealthy, and none answers. */
        LOST
    }

    /** Position of this router relative to the sites. */
    public enum Reachability {
        /** Some other site answers, or there is no other site. */
        JOINED,
        /**
         * Only the router's own site answers: the other sites are lost, or this site is cut off
         * from them.
         */
        ISLAND,
        /** No site answers, including the router's own. */
        ALONE
    }

    /** Receives verdict changes. */
    public interface Listener {
        void siteStateChanged(String site, State from, State to);

        void siteStateChanged(Reachability from, Reachability to);
    }

    /**
     * Time in dial timeouts for which a worse verdict must hold, and a better one initially and at
     * most.
     */
    private static final int WORSE_AFTER_DIALS = 1;

    private static final int MIN_RECOVERY_DIALS = 4;
    private static final int MAX_RECOVERY_DIALS = 64;

    /** Time in dial timeouts without a change after which a failed restoration is forgiven. */
    private static final int FLAP_FORGIVEN_DIALS = 128;

    private static final class NodeState {
        final String site;
        boolean ready;
        HealthObservation.Health health = HealthObservation.Health.UNKNOWN;

        NodeState(String site) {
            this.site = site;
        }
    }

    private static final class SiteState {
        State state = State.UNKNOWN;

        /** Verdict of the latest observations, and the time since which it holds. */
        State observed = State.UNKNOWN;

        Duration observedSince = Duration.ZERO;

        /** Time at which a failed restoration was last forgiven. */
        Duration flapForgivenAt = Duration.ZERO;

        /** Failed restorations that have not been forgiven. */
        int flaps;

        /** Whether the site has been lost or partly lost before its present state. */
        boolean wasLost;
    }

    private final String ownSite;
    private final Listener listener;
    private Duration dialTimeout;
    private final List<NodeState> nodes = new ArrayList<>();
    private final Map<String, SiteState> sites = new TreeMap<>();
    private Reachability reachability = Reachability.JOINED;

    /**
     * @param ownSite the site of this router
     */
    public SiteHealthMonitor(String ownSite, Duration dialTimeout, Listener listener) {
        this.ownSite = ownSite;
        this.dialTimeout = dialTimeout;
        this.listener = listener;
    }

    public void setDialTimeout(Duration timeout) {
        dialTimeout = timeout;
    }

    /** Records that a member list names this node at this site. */
    public void updateNode(int index, String site, boolean ready) {
        while (nodes.size() <= index) {
            nodes.add(null);
        }
        NodeState nodeState = nodes.get(index);
        if (nodeState == null || !nodeState.site.equals(site)) {
            nodeState = new NodeState(site);
            nodes.set(index, nodeState);
        }
        nodeState.ready = ready;
        sites.computeIfAbsent(site, k -> new SiteState());
    }

    public void removeNode(int index) {
        if (index < nodes.size()) {
            nodes.set(index, null);
        }
    }

    /** Records the router's observation of a node. */
    public void observe(int index, HealthObservation sight) {
        if (index < nodes.size() && nodes.get(index) != null) {
            nodes.get(index).health = sight.health();
        }
    }

    /** Updates the verdicts; called at each clock tick. */
    public void tick(Duration now) {
        sites.forEach(
                (site, state) -> {
                    State current = evaluate(site);
                    // A tick without observations does not end a restoration: few transactions are
                    // sent to a lost site, and not at every tick.
                    boolean noObservations =
                            current == State.UNKNOWN && state.state.compareTo(State.PARTLY) >= 0;
                    if (current != state.observed && !noObservations) {
                        state.observed = current;
                        state.observedSince = now;
                    }
                    updateVerdict(site, state, now);
                });
        Reachability current = evaluateReachability();
        if (current != reachability) {
            Reachability previous = reachability;
            reachability = current;
            listener.siteStateChanged(previous, current);
        }
    }

    private State evaluate(String site) {
        int nodeCount = 0;
        int unhealthy = 0;
        int healthy = 0;
        for (NodeState nodeState : nodes) {
            if (nodeState != null && nodeState.ready && nodeState.site.equals(site)) {
                nodeCount++;
                healthy += nodeState.health == HealthObservation.Health.WELL ? 1 : 0;
                unhealthy +=
                        nodeState.health != HealthObservation.Health.WELL
                                        && nodeState.health != HealthObservation.Health.UNKNOWN
                                ? 1
                                : 0;
            }
        }
        if (nodeCount == 0 || unhealthy == 0 && healthy == 0) {
            return State.UNKNOWN;
        }
        return 2 * unhealthy < nodeCount ? State.WELL : healthy > 0 ? State.PARTLY : State.LOST;
    }

    private void updateVerdict(String site, SiteState state, Duration now) {
        // Quiet time starts only when the underlying observations are stable too, not just the
        // verdict.
        Duration quietFrom = max(state.flapForgivenAt, state.observedSince);
        if (state.flaps > 0
                && now.minus(quietFrom).compareTo(dialTimeout.multipliedBy(FLAP_FORGIVEN_DIALS))
                        > 0) {
            state.flaps--;
            state.flapForgivenAt = now;
        }
        // A verdict stays without observations: no transactions are sent to the site because it is
        // lost.
        if (state.observed == state.state
                || state.observed == State.UNKNOWN && state.state != State.WELL) {
            return;
        }
        boolean worse = state.observed.compareTo(state.state) > 0;
        int dials =
                worse
                        ? WORSE_AFTER_DIALS
                        : Math.min(
                                MAX_RECOVERY_DIALS, MIN_RECOVERY_DIALS << Math.min(state.flaps, 8));
        // The first healthy observation of a site takes effect at once.
        boolean first = state.state == State.UNKNOWN && state.observed == State.WELL;
        if (!first
                && now.minus(state.observedSince).compareTo(dialTimeout.multipliedBy(dials)) < 0) {
            return;
        }
        State previous = state.state;
        if (worse && previous == State.WELL && state.wasLost) {
            state.flaps++;
        }
        state.wasLost |= previous.compareTo(State.PARTLY) >= 0;
        state.state = state.observed;
        listener.siteStateChanged(site, previous, state.state);
    }

    private Reachability evaluateReachability() {
        int others = 0;
        int lost = 0;
        for (Map.Entry<String, SiteState> entry : sites.entrySet()) {
            if (!entry.getKey().equals(ownSite)) {
                others++;
                lost += entry.getValue().state == State.LOST ? 1 : 0;
            }
        }
        if (others == 0 || lost < others) {
            return Reachability.JOINED;
        }
        SiteState own = sites.get(ownSite);
        return own != null && own.state == State.LOST ? Reachability.ALONE : Reachability.ISLAND;
    }

    public Map<String, State> states() {
        Map<String, State> states = new TreeMap<>();
        sites.forEach((site, state) -> states.put(site, state.state));
        return states;
    }

    public Reachability reachability() {
        return reachability;
    }
}
