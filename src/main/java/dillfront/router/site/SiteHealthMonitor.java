package dillfront.router.site;

import static dillfront.routing.api.Durations.max;

import dillfront.routing.api.HealthObservation;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which sites are lost, as far as this router can tell by itself: by what it sees of the nodes
 * there at each beat, and by nothing that others say. A verdict is about the way from here to
 * there; whether nodes died or the way did, it cannot tell and need not. It tells where all that it
 * hears of is at an end from where it is cut off itself.
 *
 * <p>It goes down soon and up slowly: a site that is taken for lost for a moment costs crossings,
 * one that is taken back too soon costs the txns that are sent there. Each return that did not last
 * doubles the time the next has to, and that is forgiven with time; so a site that flaps ten times
 * in a minute stays out of use after the first few, instead of swinging.
 *
 * <p>Pure: the caller has the clock. Rows are as many as lists name nodes and sites.
 */
public final class SiteHealthMonitor {

    /** What is held of a site. */
    public enum State {
        /** Nothing is known that tells it from a site that is well. */
        UNKNOWN,
        WELL,
        /** Half of its nodes or more are ill, and some answer. */
        PARTLY,
        /** Half or more are ill, and none answers. */
        LOST
    }

    /** Where this router stands itself. */
    public enum Reachability {
        /** Some site answers that is not its own, or there is none. */
        JOINED,
        /**
         * No site answers but its own: the others are lost, or it and its site are cut off from
         * them.
         */
        ISLAND,
        /** None answers, its own neither. */
        ALONE
    }

    /** Who hears of changes. */
    public interface Listener {
        void siteStateChanged(String site, State from, State to);

        void siteStateChanged(Reachability from, Reachability to);
    }

    /**
     * A verdict for the worse has to hold for so long, in dial time-outs, and one for the better,
     * at first and at the most.
     */
    private static final int WORSE_AFTER_DIALS = 1;

    private static final int MIN_RECOVERY_DIALS = 4;
    private static final int MAX_RECOVERY_DIALS = 64;

    /** After so long without a change, a return that did not last is forgiven. */
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

        /** What the last beat would have it be, and since when. */
        State observed = State.UNKNOWN;

        Duration observedSince = Duration.ZERO;

        /** When a return was last forgiven. */
        Duration flapForgivenAt = Duration.ZERO;

        /** Returns that did not last, and are not forgiven. */
        int flaps;

        /** It has been lost or partly before its present state. */
        boolean wasLost;
    }

    private final String ownSite;
    private final Listener listener;
    private Duration dialTimeout;
    private final List<NodeState> nodes = new ArrayList<>();
    private final Map<String, SiteState> sites = new TreeMap<>();
    private Reachability reachability = Reachability.JOINED;

    /**
     * @param ownSite the site where this router stands
     */
    public SiteHealthMonitor(String ownSite, Duration dialTimeout, Listener listener) {
        this.ownSite = ownSite;
        this.dialTimeout = dialTimeout;
        this.listener = listener;
    }

    public void setDialTimeout(Duration timeout) {
        dialTimeout = timeout;
    }

    /** A member list names this node at this site. */
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

    /** What this router sees of a node now. */
    public void observe(int index, HealthObservation sight) {
        if (index < nodes.size() && nodes.get(index) != null) {
            nodes.get(index).health = sight.health();
        }
    }

    /** Judges the sites anew; called at the interval that the settings give. */
    public void tick(Duration now) {
        sites.forEach(
                (site, state) -> {
                    State current = evaluate(site);
                    // A beat without evidence is none against a return: few ask where all was lost,
                    // and not at every beat.
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
        // Quiet is what has not changed underneath either, whatever the verdict made of it.
        Duration quietFrom = max(state.flapForgivenAt, state.observedSince);
        if (state.flaps > 0
                && now.minus(quietFrom).compareTo(dialTimeout.multipliedBy(FLAP_FORGIVEN_DIALS))
                        > 0) {
            state.flaps--;
            state.flapForgivenAt = now;
        }
        // What nothing is heard of stays what it was: nobody asks there, because it is lost.
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
        // The first word on a site counts at once.
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
