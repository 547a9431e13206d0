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
public final class Groups {

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
    public enum Loss {
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
        void changed(int group, State from, State to);

        /** This node leads its group now, by its own word; to be remembered. */
        void leads(int group, String node);
    }

    /**
     * So long, in dial time-outs, the one that led before may take to speak once another has
     * claimed its place.
     */
    private static final int AWAITED_DIALS = 8;

    private static final class Row {
        final String id;
        int group;
        boolean ready;
        Duration started;
        Duration heardAt;
        boolean silent;
        NodeRole role;
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

        /** Who led in an earlier life; null once that is settled, one way or the other. */
        String former;

        /**
         * He leads by his own word in this life too: against him others' claims count only once he
         * has gone silent.
         */
        boolean confirmed;

        /**
         * When another than he first claimed the place; while nobody does, no time runs against
         * him.
         */
        Duration claimedAt;

        /** Who was last told of as leading. */
        String leader;

        final List<Row> members = new ArrayList<>();
    }

    private final Duration began;
    private final Listener listener;
    private Duration awaited;
    private Duration coldFor;

    /** By the router's index; null where it has none now. */
    private final List<Row> rows = new ArrayList<>();

    private final Map<Integer, Place> places = new TreeMap<>();
    private boolean discovery;
    private long held;

    /**
     * @param began when this life did
     */
    public Groups(Duration began, Duration dial, Duration coldFor, Listener listener) {
        this.began = began;
        this.listener = listener;
        settings(dial, coldFor);
    }

    /** By these from now on. */
    public void settings(Duration dial, Duration cold) {
        awaited = dial.multipliedBy(AWAITED_DIALS);
        coldFor = cold;
    }

    private Place place(int group) {
        return places.computeIfAbsent(group, k -> new Place());
    }

    /** In an earlier life this node led its group. */
    public void recall(int group, String id) {
        place(group).former = id;
        place(group).leader = id;
    }

    // ---- what lists say

    /**
     * @param started null for long ago
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

    /** Forgets a node that no list names any more. */
    public void forget(int node) {
        if (node < rows.size() && rows.get(node) != null) {
            place(rows.get(node).group).members.remove(rows.get(node));
            rows.set(node, null);
        }
    }

    /** Discovery tells its lists, or does not. */
    public void discovery(boolean there) {
        discovery = there;
    }

    // ---- what nodes say

    /** A node answered; what it says of its role and its position, null where it does not. */
    public void heard(int node, NodeRole role, Duration position, Duration now) {
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
            // He has spoken: what he says now counts, and no longer what was.
            place.confirmed = role == NodeRole.PRIMARY;
            place.former = place.confirmed ? place.former : null;
        } else if (role == NodeRole.PRIMARY && place.former != null && place.claimedAt == null) {
            place.claimedAt = now;
        }
    }

    /** It was asked, and did not answer. */
    public void silent(int node) {
        Row row = node < rows.size() ? rows.get(node) : null;
        if (row != null) {
            row.silent = true;
        }
    }

    /**
     * Whether this node's word that it leads counts, as far as it is known who led before. His
     * silence tells nothing until he has spoken: where power comes back, he may be the last to be
     * there. Once he has said that he leads, it ends what is known of him.
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

    /** Whether a write may go to this node: not to one that may not lead. */
    public boolean mayWrite(int node, Duration now) {
        boolean may = mayLead(node, now);
        held += may ? 0 : 1;
        return may;
    }

    // ---- the beat

    /** Advances the state of each group by what is known now. */
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
            if (row.there() && row.role == NodeRole.PRIMARY) {
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
            if (row.ready && row.role != NodeRole.PRIMARY) {
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

    // ---- what may be asked

    /** The state of each group, by its number. */
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

    /** Who is known to lead each group, or to have led it last. */
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

    /** Who led before and is awaited now; null where nobody is. */
    public String awaits(int group) {
        Place place = places.get(group);
        return place == null || place.claimedAt == null || place.confirmed ? null : place.former;
    }

    /** Sends of writes that were held back for that, since the start. */
    public long held() {
        return held;
    }

    /** What happened before this life began, as nodes' starts tell. */
    public Loss loss() {
        Seen seen = seen();
        if (seen.nodes == 0 || seen.there == 0) {
            return Loss.UNSURE;
        }
        return 2 * seen.young > seen.nodes ? Loss.ALL : discovery ? Loss.ROUTER : Loss.DISCOVERY;
    }

    /**
     * How sure: 0 where half of the nodes tell this and half that, or none is there; 1 where all
     * are and agree.
     */
    public double sure() {
        Seen seen = seen();
        return seen.nodes == 0
                ? 0
                : Math.abs(2.0 * seen.young / seen.nodes - 1) * seen.there / seen.nodes;
    }

    private record Seen(int nodes, int there, int young) {}

    /** A node that began no more than a warm-up before this router is young. */
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
