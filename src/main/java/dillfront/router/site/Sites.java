package dillfront.router.site;

import static dillfront.routing.api.Spans.later;

import dillfront.routing.api.Sight;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Determines which sites are lost from this router's own observations of their nodes at each clock
 * tick; reports of peers do not count. A verdict is about the network path from this router to a
 * site; whether the nodes or the path failed cannot be told and makes no difference. The class also
 * distinguishes the loss of all other sites from an isolation of this router.
 *
 * <p>A site is declared lost quickly and restored slowly: a wrong loss costs cross-site traffic for
 * a moment, a wrong restoration costs the transactions sent there. Each restoration that does not
 * last doubles the time required for the next one, and is forgiven after a quiet time; a site that
 * flaps ten times in a minute thus stays out of use after the first few times.
 *
 * <p>Pure: the caller supplies the time. The number of rows is bounded by the nodes and sites in
 * the lists.
 */
public final class Sites {

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
    public enum Self {
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
        void changed(String site, State from, State to);

        void changed(Self from, Self to);
    }

    /**
     * Time in dial timeouts for which a worse verdict must hold, and a better one initially and at
     * most.
     */
    private static final int WORSE_DIALS = 1;

    private static final int BETTER_DIALS = 4;
    private static final int MOST_DIALS = 64;

    /** Time in dial timeouts without a change after which a failed restoration is forgiven. */
    private static final int FORGIVEN_DIALS = 128;

    private static final class Row {
        final String site;
        boolean ready;
        Sight.Health health = Sight.Health.UNKNOWN;

        Row(String site) {
            this.site = site;
        }
    }

    private static final class Place {
        State state = State.UNKNOWN;

        /** Verdict of the latest observations, and the time since which it holds. */
        State would = State.UNKNOWN;

        Duration since = Duration.ZERO;

        /** Time at which a failed restoration was last forgiven. */
        Duration calmFrom = Duration.ZERO;

        /** Failed restorations that have not been forgiven. */
        int flaps;

        /** Whether the site has been lost or partly lost before its present state. */
        boolean returned;
    }

    private final String own;
    private final Listener listener;
    private Duration dial;
    private final List<Row> rows = new ArrayList<>();
    private final Map<String, Place> places = new TreeMap<>();
    private Self self = Self.JOINED;

    /**
     * @param own the site of this router
     */
    public Sites(String own, Duration dial, Listener listener) {
        this.own = own;
        this.dial = dial;
        this.listener = listener;
    }

    public void settings(Duration dialTime) {
        dial = dialTime;
    }

    /** Records that a member list names this node at this site. */
    public void listed(int node, String site, boolean ready) {
        while (rows.size() <= node) {
            rows.add(null);
        }
        Row row = rows.get(node);
        if (row == null || !row.site.equals(site)) {
            row = new Row(site);
            rows.set(node, row);
        }
        row.ready = ready;
        places.computeIfAbsent(site, k -> new Place());
    }

    public void forget(int node) {
        if (node < rows.size()) {
            rows.set(node, null);
        }
    }

    /** Records the router's observation of a node. */
    public void seen(int node, Sight sight) {
        if (node < rows.size() && rows.get(node) != null) {
            rows.get(node).health = sight.health();
        }
    }

    /** Updates the verdicts; called at each clock tick. */
    public void beat(Duration now) {
        places.forEach(
                (site, place) -> {
                    State is = looks(site);
                    // A tick without observations does not end a restoration: few transactions are
                    // sent to a lost site, and not at every tick.
                    boolean silent =
                            is == State.UNKNOWN && place.state.compareTo(State.PARTLY) >= 0;
                    if (is != place.would && !silent) {
                        place.would = is;
                        place.since = now;
                    }
                    judge(site, place, now);
                });
        Self is = where();
        if (is != self) {
            Self was = self;
            self = is;
            listener.changed(was, is);
        }
    }

    private State looks(String site) {
        int nodes = 0;
        int ill = 0;
        int well = 0;
        for (Row row : rows) {
            if (row != null && row.ready && row.site.equals(site)) {
                nodes++;
                well += row.health == Sight.Health.WELL ? 1 : 0;
                ill +=
                        row.health != Sight.Health.WELL && row.health != Sight.Health.UNKNOWN
                                ? 1
                                : 0;
            }
        }
        if (nodes == 0 || ill == 0 && well == 0) {
            return State.UNKNOWN;
        }
        return 2 * ill < nodes ? State.WELL : well > 0 ? State.PARTLY : State.LOST;
    }

    private void judge(String site, Place place, Duration now) {
        // Quiet time starts only when the underlying observations are stable too, not just the
        // verdict.
        Duration quietFrom = later(place.calmFrom, place.since);
        if (place.flaps > 0
                && now.minus(quietFrom).compareTo(dial.multipliedBy(FORGIVEN_DIALS)) > 0) {
            place.flaps--;
            place.calmFrom = now;
        }
        // A verdict stays without observations: no transactions are sent to the site because it is
        // lost.
        if (place.would == place.state
                || place.would == State.UNKNOWN && place.state != State.WELL) {
            return;
        }
        boolean worse = place.would.compareTo(place.state) > 0;
        int dials =
                worse
                        ? WORSE_DIALS
                        : Math.min(MOST_DIALS, BETTER_DIALS << Math.min(place.flaps, 8));
        // The first healthy observation of a site takes effect at once.
        boolean first = place.state == State.UNKNOWN && place.would == State.WELL;
        if (!first && now.minus(place.since).compareTo(dial.multipliedBy(dials)) < 0) {
            return;
        }
        State was = place.state;
        if (worse && was == State.WELL && place.returned) {
            place.flaps++;
        }
        place.returned |= was.compareTo(State.PARTLY) >= 0;
        place.state = place.would;
        listener.changed(site, was, place.state);
    }

    private Self where() {
        int others = 0;
        int lost = 0;
        for (Map.Entry<String, Place> one : places.entrySet()) {
            if (!one.getKey().equals(own)) {
                others++;
                lost += one.getValue().state == State.LOST ? 1 : 0;
            }
        }
        if (others == 0 || lost < others) {
            return Self.JOINED;
        }
        Place mine = places.get(own);
        return mine != null && mine.state == State.LOST ? Self.ALONE : Self.ISLAND;
    }

    public Map<String, State> states() {
        Map<String, State> states = new TreeMap<>();
        places.forEach((site, place) -> states.put(site, place.state));
        return states;
    }

    public Self self() {
        return self;
    }
}
