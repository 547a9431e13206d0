package dillfront.router.recovery;

import dillfront.routing.api.Role;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks how far each group has recovered since this router started, and which node's claim to be
 * primary is accepted. One state machine per group is driven by the reports of nodes, by missing
 * answers and by member lists. The primary stored by an earlier run restricts: another node that
 * claims to be primary by its own report alone gets no writes until the former primary has reported
 * its role, or a bounded time has passed.
 *
 * <p>Otherwise writes could go to an outdated primary that is the first to return after a power
 * loss, or that an old list names, and they would be lost to the group. Within a run {@link
 * dillfront.routing.Decide} accepts the latest report, since a hung node must not block a group.
 * Its cost: if the former primary is gone for good but still listed, writes of its group wait for
 * that time once, and clients are told to retry later.
 *
 * <p>Pure: the caller supplies the time and passes in each report once. The number of rows is
 * bounded by the nodes and groups in the lists.
 */
public final class Groups {

    /** Recovery state of a group; each state includes the conditions of those before it. */
    public enum State {
        /** No member has answered in this run, or none answers any more. */
        DARK,
        /** Members answer, but no primary is accepted, or several members claim the role. */
        CONTESTED,
        /** One member is primary by its own report. */
        KNOWN,
        /**
         * A replica has replayed everything committed before this run began, or the group has no
         * replica.
         */
        COVERED,
        /** All members answer and are warm. */
        WARM
    }

    /** Scope of the outage before this run, as far as it can be told. */
    public enum Loss {
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
        void changed(int group, State from, State to);

        /** Reports the node that now leads its group by its own report, to be stored. */
        void leads(int group, String node);
    }

    /**
     * Time, in dial timeouts, for which the former primary may still report after another node has
     * claimed its role.
     */
    private static final int AWAITED_DIALS = 8;

    private static final class Row {
        final String id;
        int group;
        boolean ready;
        Duration started;
        Duration heardAt;
        boolean silent;
        Role role;
        Duration position;

        Row(String id) {
            this.id = id;
        }

        boolean there() {
            return ready && heardAt != null && !silent;
        }
    }

    private static final class Place {
        State state = State.DARK;

        /**
         * Primary stored by an earlier run; null once it has reported another role or its
         * precedence has ended.
         */
        String former;

        /**
         * Whether the former primary has reported the role in this run as well; the claims of other
         * nodes then count only once it no longer answers.
         */
        boolean confirmed;

        /**
         * Time of the first claim by another node; the waiting time for the former primary starts
         * only then.
         */
        Duration claimedAt;

        /** Node last reported as primary. */
        String leader;

        final List<Row> members = new ArrayList<>();
    }

    private final Duration began;
    private final Listener listener;
    private Duration awaited;
    private Duration coldFor;

    /** By the router's node index; null for an unused index. */
    private final List<Row> rows = new ArrayList<>();

    private final Map<Integer, Place> places = new TreeMap<>();
    private boolean discovery;
    private long held;

    /**
     * @param began start of this run
     */
    public Groups(Duration began, Duration dial, Duration coldFor, Listener listener) {
        this.began = began;
        this.listener = listener;
        settings(dial, coldFor);
    }

    /** Applies changed settings. */
    public void settings(Duration dial, Duration cold) {
        awaited = dial.multipliedBy(AWAITED_DIALS);
        coldFor = cold;
    }

    private Place place(int group) {
        return places.computeIfAbsent(group, k -> new Place());
    }

    /** Sets the primary of a group as stored by an earlier run. */
    public void recall(int group, String id) {
        place(group).former = id;
        place(group).leader = id;
    }

    // ---- member lists

    /**
     * @param started null if the node started long ago
     */
    public void listed(int node, String id, int group, Duration started, boolean ready) {
        while (rows.size() <= node) {
            rows.add(null);
        }
        Row row = rows.get(node);
        if (row == null || !row.id.equals(id)) {
            forget(node);
            row = new Row(id);
            rows.set(node, row);
        }
        place(row.group).members.remove(row);
        row.group = group;
        row.ready = ready;
        place(group).members.add(row);
        if (started != null && (row.started == null || started.compareTo(row.started) > 0)) {
            row.started = started;
        }
    }

    /** Removes a node that is no longer in any list. */
    public void forget(int node) {
        if (node < rows.size() && rows.get(node) != null) {
            place(rows.get(node).group).members.remove(rows.get(node));
            rows.set(node, null);
        }
    }

    /** Sets whether discovery delivers its lists. */
    public void discovery(boolean there) {
        discovery = there;
    }

    // ---- node reports

    /**
     * Handles an answer of a node, with the role and the replay position that it reports; null if
     * it reports none.
     */
    public void heard(int node, Role role, Duration position, Duration now) {
        Row row = node < rows.size() ? rows.get(node) : null;
        if (row == null) {
            return;
        }
        row.heardAt = now;
        row.silent = false;
        row.role = role == null ? row.role : role;
        if (position != null && (row.position == null || position.compareTo(row.position) > 0)) {
            row.position = position;
        }
        Place place = place(row.group);
        if (row.id.equals(place.former) && role != null) {
            // The former primary has reported, so its present role replaces the stored one.
            place.confirmed = role == Role.PRIMARY;
            place.former = place.confirmed ? place.former : null;
        } else if (role == Role.PRIMARY && place.former != null && place.claimedAt == null) {
            place.claimedAt = now;
        }
    }

    /** Handles a missing answer. */
    public void silent(int node) {
        Row row = node < rows.size() ? rows.get(node) : null;
        if (row != null) {
            row.silent = true;
        }
    }

    /**
     * Returns whether the node's claim to be primary is accepted against the stored former primary.
     * A former primary that has not reported yet may be the last to return after a power loss, so
     * its missing answers do not count. Once it has reported as primary, missing answers end its
     * precedence.
     */
    public boolean mayLead(int node, Duration now) {
        Row row = node < rows.size() ? rows.get(node) : null;
        Place place = row == null ? null : place(row.group);
        if (place == null
                || place.former == null
                || place.former.equals(row.id)
                || Trust.of(Trust.Thing.LEADER, place.state) != Trust.RESTRICTS) {
            return true;
        }
        Row former =
                place.members.stream()
                        .filter(m -> m.ready && m.id.equals(place.former))
                        .findAny()
                        .orElse(null);
        boolean over =
                former == null
                        || (place.confirmed
                                ? former.silent || former.heardAt.plus(awaited).compareTo(now) < 0
                                : place.claimedAt != null
                                        && now.minus(place.claimedAt).compareTo(awaited) >= 0);
        if (over) {
            place.former = null;
            return true;
        }
        return false;
    }

    /** Returns whether a write may be sent to this node; counts the writes that may not. */
    public boolean mayWrite(int node, Duration now) {
        boolean may = mayLead(node, now);
        held += may ? 0 : 1;
        return may;
    }

    // ---- clock

    /** Updates the state of each group. */
    public void beat(Duration now) {
        places.forEach(
                (group, place) -> {
                    State is = state(place, now);
                    if (is != place.state) {
                        State was = place.state;
                        place.state = is;
                        listener.changed(group, was, is);
                    }
                    Row leader = is.compareTo(State.KNOWN) >= 0 ? leading(place).get(0) : null;
                    if (leader != null && !leader.id.equals(place.leader)) {
                        place.leader = leader.id;
                        listener.leads(group, leader.id);
                    }
                });
    }

    private static List<Row> leading(Place place) {
        List<Row> leading = new ArrayList<>();
        for (Row row : place.members) {
            if (row.there() && row.role == Role.PRIMARY) {
                leading.add(row);
            }
        }
        return leading;
    }

    private State state(Place place, Duration now) {
        boolean any = false;
        boolean all = true;
        boolean cold = false;
        boolean replicas = false;
        boolean covered = false;
        for (Row row : place.members) {
            any |= row.there();
            all &= row.there() || !row.ready;
            cold |= row.ready && cold(row, now);
            if (row.ready && row.role != Role.PRIMARY) {
                replicas = true;
                covered |=
                        row.there() && row.position != null && row.position.compareTo(began) >= 0;
            }
        }
        if (!any) {
            return State.DARK;
        }
        List<Row> leading = leading(place);
        if (leading.size() != 1
                || place.former != null && !leading.get(0).id.equals(place.former)) {
            return State.CONTESTED;
        }
        return replicas && !covered ? State.KNOWN : all && !cold ? State.WARM : State.COVERED;
    }

    private boolean cold(Row row, Duration now) {
        return row.started != null && row.started.plus(coldFor).compareTo(now) > 0;
    }

    // ---- status

    /** Returns the state of each group by its number. */
    public Map<Integer, State> states() {
        Map<Integer, State> states = new TreeMap<>();
        places.forEach(
                (group, place) -> {
                    if (!place.members.isEmpty()) {
                        states.put(group, place.state);
                    }
                });
        return states;
    }

    /** Returns the known or last known primary of each group. */
    public List<String> leaders() {
        List<String> leaders = new ArrayList<>();
        places.forEach(
                (group, place) -> {
                    if (place.leader != null) {
                        leaders.add(group + ":" + place.leader);
                    }
                });
        return leaders;
    }

    /** Returns the former primary whose report is awaited; null if there is none. */
    public String awaits(int group) {
        Place place = places.get(group);
        return place == null || place.claimedAt == null || place.confirmed ? null : place.former;
    }

    /** Returns the sends of writes held back since the start. */
    public long held() {
        return held;
    }

    /** Returns the scope of the outage before this run, judged by the start times of nodes. */
    public Loss loss() {
        Seen seen = seen();
        if (seen.nodes == 0 || seen.there == 0) {
            return Loss.UNSURE;
        }
        return 2 * seen.young > seen.nodes ? Loss.ALL : discovery ? Loss.ROUTER : Loss.DISCOVERY;
    }

    /**
     * Returns the confidence in {@link #loss}: 0 if half of the nodes contradict it or none
     * answers, 1 if all nodes answer and agree.
     */
    public double sure() {
        Seen seen = seen();
        return seen.nodes == 0
                ? 0
                : Math.abs(2.0 * seen.young / seen.nodes - 1) * seen.there / seen.nodes;
    }

    private record Seen(int nodes, int there, int young) {}

    /**
     * Counts the ready nodes; a node started recently if it did so at most one warm-up time before
     * this router.
     */
    private Seen seen() {
        int nodes = 0;
        int there = 0;
        int young = 0;
        for (Row row : rows) {
            if (row != null && row.ready) {
                nodes++;
                there += row.there() ? 1 : 0;
                young +=
                        row.started != null && row.started.plus(coldFor).compareTo(began) > 0
                                ? 1
                                : 0;
            }
        }
        return new Seen(nodes, there, young);
    }
}
