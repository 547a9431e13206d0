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
public final class Sites {

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
    public enum Self {
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
        void changed(String site, State from, State to);

        void changed(Self from, Self to);
    }

    /**
     * A verdict for the worse has to hold for so long, in dial time-outs, and one for the better,
     * at first and at the most.
     */
    private static final int WORSE_DIALS = 1;

    private static final int BETTER_DIALS = 4;
    private static final int MOST_DIALS = 64;

    /** After so long without a change, a return that did not last is forgiven. */
    private static final int FORGIVEN_DIALS = 128;

    private static final class Row {
        final String site;
        boolean ready;
        HealthObservation.Health health = HealthObservation.Health.UNKNOWN;

        Row(String site) {
            this.site = site;
        }
    }

    private static final class Place {
        State state = State.UNKNOWN;

        /** What the last beat would have it be, and since when. */
        State would = State.UNKNOWN;

        Duration since = Duration.ZERO;

        /** When a return was last forgiven. */
        Duration calmFrom = Duration.ZERO;

        /** Returns that did not last, and are not forgiven. */
        int flaps;

        /** It has been lost or partly before its present state. */
        boolean returned;
    }

    private final String own;
    private final Listener listener;
    private Duration dial;
    private final List<Row> rows = new ArrayList<>();
    private final Map<String, Place> places = new TreeMap<>();
    private Self self = Self.JOINED;

    /**
     * @param own the site where this router stands
     */
    public Sites(String own, Duration dial, Listener listener) {
        this.own = own;
        this.dial = dial;
        this.listener = listener;
    }

    public void settings(Duration dialTime) {
        dial = dialTime;
    }

    /** A member list names this node at this site. */
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

    /** What this router sees of a node now. */
    public void seen(int node, HealthObservation sight) {
        if (node < rows.size() && rows.get(node) != null) {
            rows.get(node).health = sight.health();
        }
    }

    /** Judges the sites anew; called at the interval that the settings give. */
    public void beat(Duration now) {
        places.forEach(
                (site, place) -> {
                    State is = looks(site);
                    // A beat without evidence is none against a return: few ask where all was lost,
                    // and not at every beat.
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
                well += row.health == HealthObservation.Health.WELL ? 1 : 0;
                ill +=
                        row.health != HealthObservation.Health.WELL
                                        && row.health != HealthObservation.Health.UNKNOWN
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
        // Quiet is what has not changed underneath either, whatever the verdict made of it.
        Duration quietFrom = max(place.calmFrom, place.since);
        if (place.flaps > 0
                && now.minus(quietFrom).compareTo(dial.multipliedBy(FORGIVEN_DIALS)) > 0) {
            place.flaps--;
            place.calmFrom = now;
        }
        // What nothing is heard of stays what it was: nobody asks there, because it is lost.
        if (place.would == place.state
                || place.would == State.UNKNOWN && place.state != State.WELL) {
            return;
        }
        boolean worse = place.would.compareTo(place.state) > 0;
        int dials =
                worse
                        ? WORSE_DIALS
                        : Math.min(MOST_DIALS, BETTER_DIALS << Math.min(place.flaps, 8));
        // The first word on a site counts at once.
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
