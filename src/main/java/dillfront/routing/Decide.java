package dillfront.routing;

import static dillfront.routing.api.Spans.earlier;
import static dillfront.routing.api.Spans.later;
import static dillfront.routing.api.Spans.ratio;
import static dillfront.routing.api.Spans.seconds;
import static dillfront.routing.api.Spans.times;

import dillfront.router.recovery.CapacityEstimator;
import dillfront.routing.api.Effect;
import dillfront.routing.api.Handle;
import dillfront.routing.api.NodeRow;
import dillfront.routing.api.Outlet;
import dillfront.routing.api.Read;
import dillfront.routing.api.Report;
import dillfront.routing.api.Result;
import dillfront.routing.api.Role;
import dillfront.routing.api.Settings;
import dillfront.routing.api.Sight;
import dillfront.routing.api.Spans;
import dillfront.routing.api.Standing;
import dillfront.routing.api.TxnType;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Every decision of the router, one object a router. Its interface is the package dillfront.port.
 *
 * <p>The caller sets the clock with at(), then makes one call an event: list(), take(), probed(),
 * woken(), and, on the Handle that take() gave, ended() and left(). Decisions leave through the
 * Outlet during the call. Times are spans since the zero of positions, so a position and a time
 * compare directly.
 *
 * <p>The ordinary path: writes and fresh reads to the primary; bounded, any and session reads to
 * the least busy replica known within bound, a bounded share of them to the primary while it is
 * calm; replica errors back to the primary; time-outs surfaced. What cannot go anywhere is held,
 * and answered before its time.
 */
public final class Decide {

    /**
     * Session indices run below this. Sessions may share one: they then see later writes than they
     * need.
     */
    public static final int SESSIONS = 1 << 13;

    private static final Duration NEVER = Duration.ofSeconds(Long.MIN_VALUE / 4);

    /** The time of what a list says of roles: older than all that a node says itself. */
    private static final Duration LISTED = NEVER.plusSeconds(1);

    // Ratios. Beats are in steps of the clock; gaps in dial time-outs, the site's own idea of a
    // long wait.
    private static final int BEAT = 4;
    private static final double TRIAL_GAP = 4;
    private static final int TRIALS = 4;
    private static final double SEEK_GAP = 0.25;
    private static final int SOUGHT = 2;

    /**
     * What probing may cost of the service, as the settings price it: so many probes a txn at the
     * most.
     */
    private static final double PROBE_COST = 0.01;

    /**
     * An any read asks for this many times the bound of bounded reads: 1 s where that is 200 ms.
     */
    private static final double ANY_BOUND = 5;

    /** Of the reads that could be routed, the share that may go to a calm primary. */
    private static final double SPILL = 0.5;

    private static final double SPILL_BURST = 8;

    /** A primary is calm while its answers take less than this many times the fleet's usual. */
    private static final double CALM = 1.5;

    /** And while they take less than this part of what strains a node. */
    private static final double CALM_PART = 0.9;

    /** How much busier a replica of this zone may be than one across zones. */
    private static final double FAR = 1.5;

    /** How much busier a replica within an any read's bound may be than one that is past it. */
    private static final double OLD = 1.5;

    /** For so many dial time-outs after a refused connection no free one is kept. */
    private static final double SCARCE = 16;

    /**
     * A repeat's length is this far off that of first tries, as a part of all the client's time.
     */
    private static final double OFF = 0.04;

    /**
     * The share sent of the load that would push a cold node over: warm nodes may be nearly full.
     */
    private static final double COLD_SHARE = 0.6;

    /**
     * The budget is dealt out for this part of the time in which too much load pushes a cold node
     * over.
     */
    private static final double COLD_WINDOW = 0.25;

    /**
     * A tenant may be ahead by so many txns, or by its second's worth: few come, and never evenly.
     */
    private static final double QUOTA_BURST = 8;

    /** The part of a node's room that is open to what earns next to nothing. */
    private static final double SPARE_ROOM = 0.5;

    /**
     * A submission waits this many times what its type usually takes, where late answers earn
     * nothing.
     */
    private static final double PATIENCE = 8;

    /** A node with n submissions out is silent after the larger of these, in usual times. */
    private static final double SILENCE = 6;

    private static final double SILENCE_LEAST = 1.5;

    /**
     * Others doubt a node: its silence is believed after this part of that, and others are taken
     * first.
     */
    private static final double DOUBT = 0.5;

    private static final double DOUBTED = 4;

    /**
     * Silence that is told to others has lasted longer: a false alarm costs them more than this
     * router.
     */
    private static final double TOLD = 2;

    /** A node fails when its share of failures is this far above the fleet's median. */
    private static final double FAILING = 0.5;

    /**
     * The part of its absence that a node's position may be behind if it was never down; of cold
     * time.
     */
    private static final double UP = 0.25;

    private static final double FAIL_GAIN = 0.2;
    private static final double LOST_GAIN = 0.4;
    private static final double GAIN = 0.2;

    /**
     * Answers slower than this part of the SLA time shrink the room at a node, faster ones widen
     * it.
     */
    private static final double STRAINED = 0.45;

    /** A node is strained like the fleet up to this many times the fleet's median. */
    private static final double ALIKE = 1.5;

    /**
     * Room for submissions at a node, over all routers; below one it is one in so many usual times.
     */
    private static final double ROOM_START = 24;

    private static final double ROOM_LEAST = 0.3;
    private static final double ROOM_CUT = 0.85;
    private static final double FULL_CUT = 0.5;

    /**
     * What waits is answered by this part of its client's time: an early answer leaves time to ask
     * again.
     */
    private static final double HELD = 0.5;

    /**
     * Below one, room doubles in so many dial time-outs; more of them for many routers at a jammed
     * node.
     */
    private static final double ROOM_BACK = 8;

    private static final double ROOM_BACK_ROUTERS = 3;

    /** One row a txn type. */
    private static final class Type {
        final TxnType set;
        final Read read;
        final Duration bound;
        final Duration sla;
        final boolean lateEarns;

        /** How long a client's first try is given, by the running median of all tries. */
        Duration firstTry;

        Duration usual;

        /**
         * The share of its answers that came from a replica which had applied nothing while it ran.
         */
        double stalls = 1;

        /**
         * What was asked of it, in seconds of usual time, over about the time in which a node
         * warms.
         */
        double work;

        Type(TxnType t, Duration anyBound) {
            set = t;
            read = t.read();
            bound = read == Read.ANY ? anyBound : t.bound();
            sla = t.sla();
            lateEarns = t.lateShare() > 0;
            usual = times(sla, 0.25);
        }

        boolean repeated(Duration patience) {
            Duration off = patience.minus(firstTry == null ? patience : firstTry);
            firstTry =
                    patience.minus(off)
                            .plus(times(set.longest(), Math.signum(off.toNanos()) * OFF / 8));
            return off.abs().compareTo(times(set.longest(), OFF)) > 0;
        }

        boolean routed() {
            return read == Read.ANY || read == Read.BOUNDED || read == Read.SESSION;
        }

        double rank() {
            return set.value() / (usual.toNanos() + 1);
        }

        /** It puts a replica out of the tightest bound: none applies the log while it holds one. */
        boolean stalling(Duration tightest) {
            return read == Read.ANY && stalls > 0.5 && usual.compareTo(tightest) > 0;
        }
    }

    /**
     * One row a machine in the list, and until nothing of it is out; used again once it is
     * forgotten.
     */
    private static final class Node {
        final int id;
        Group group;
        boolean far;
        double size = 1;
        Standing standing = Standing.GONE;
        Duration started = NEVER;
        Duration position = NEVER;

        /** How far behind it was when an answer last told, and when that was. */
        Duration behind = Duration.ZERO;

        Duration toldAt = NEVER;

        /** The latest time at which it is known to have been the primary, and to have been none. */
        Duration claimed = NEVER;

        Duration denied = NEVER;
        int out;

        /** While anything is out: since when nothing has been heard. */
        Duration quiet = NEVER;

        boolean silent;

        /** Others say that it is ill, and it has not answered since. */
        boolean doubted;

        boolean lost;

        /** When it last answered anything, or came into the list. */
        Duration heardAt = NEVER;

        /** A probe was lost too. */
        boolean unheard;

        /** Its last connection that failed did so at once, not by the dial time-out. */
        boolean atOnce;

        double failures;
        double strain;
        double pace = 1;
        double room;
        Duration sentAt = NEVER;

        /** Between its last two sends. */
        Duration gap = Duration.ZERO;

        Duration answeredAt = Duration.ZERO;
        Duration wellAt = NEVER;
        Duration cutAt = NEVER;
        Duration tryAt = NEVER;
        int trials = 1;
        Duration probedAt = NEVER;
        boolean probing;
        double coldCredit;

        Node(int id, int routers) {
            this.id = id;
            room = Math.max(1, ROOM_START / routers);
        }
    }

    /** One row a tenant of the settings. */
    private static final class Tenant {
        final double quota;
        double allowance;

        Tenant(double quota, int routers) {
            this.quota = quota;
            allowance = Math.max(QUOTA_BURST, quota / routers);
        }
    }

    private static final class Group {
        /** Those in the list now, sorted. */
        final List<Node> members = new ArrayList<>();

        /**
         * Txns waiting for a node, best value for its time first; each leaves at its give-up time.
         */
        final List<Txn> held = new ArrayList<>();

        double spill = SPILL_BURST;

        /** The search for a primary by writes: whose turn, how many have missed, when to go on. */
        int turn;

        int misses;
        Duration searchAt = NEVER;
        Duration soughtAt = NEVER;
        boolean searching;
    }

    private Settings set;
    private final Outlet outlet;
    private final RandomGenerator chance;
    private Type[] types;
    private List<Tenant> tenants;
    private double allQuotas;
    private final List<Node> nodes = new ArrayList<>();
    private final TreeMap<Integer, Group> groups = new TreeMap<>();

    /** The last commit of each session index; of fixed size. */
    private final Duration[] written = new Duration[SESSIONS];

    private Duration beat;
    private Duration tightest;
    private Duration anyBound;
    private double roomLeast;
    private Duration now = Duration.ZERO;
    private Duration beatAt = NEVER;
    private boolean awake;

    /** For how long the caller was away since the start, in all. */
    private Duration away = Duration.ZERO;

    /** Probes that may be sent: filled by txns, at most one for each node. */
    private double probeCredit;

    private int taken;
    private double takeRate;

    /** What nodes can do, in usual times, since a report may be worth twenty views. */
    private final CapacityEstimator reckoning = new CapacityEstimator();

    private Duration coldAt = NEVER;
    private double median;

    /**
     * How strained the fleet's median is, and what was out to a warm node at most while it was not.
     */
    private double strain;

    private double inWork;

    /** The usual time of a txn, over all that were asked. */
    private Duration typical;

    /** The part of stalling reads in the work of them and of reads that must be current. */
    private double stallPart;

    /** Of the errors that were tried at a second node, the share that came there too. */
    private double ownFault;

    private Duration askedAt = NEVER;
    private boolean following;

    /** When a node that gave this router no connection last showed that it was up. */
    private Duration scarceAt = NEVER;

    /**
     * @param set the deployment's settings; the outlet gets every decision, at once or later
     */
    public Decide(Settings set, Outlet outlet, RandomGenerator chance) {
        this.outlet = outlet;
        this.chance = chance;
        Arrays.fill(written, NEVER);
        settings(set);
    }

    /**
     * Other settings from now on; their zones count from the next list. What was taken goes on by
     * the row of its own txn type, and what is known of nodes stays; what is usual for a txn type
     * is learned anew.
     */
    public void settings(Settings next) {
        set = next;
        beat = next.step().multipliedBy(BEAT);
        tightest = null;
        for (TxnType t : next.types()) {
            Duration bound = t.read() != Read.BOUNDED ? tightest : t.bound();
            tightest = tightest == null ? bound : earlier(bound, tightest);
        }
        tightest = tightest == null ? next.dial() : tightest;
        anyBound = times(tightest, ANY_BOUND);
        types = new Type[next.types().size()];
        for (int i = 0; i < types.length; i++) {
            types[i] = new Type(next.types().get(i), anyBound);
        }
        tenants = new ArrayList<>();
        double sum = 0;
        for (double quota : next.quotas()) {
            tenants.add(new Tenant(quota, next.routers()));
            sum += quota;
        }
        allQuotas = sum;
        roomLeast = ROOM_LEAST / next.routers();
        typical = slowest();
        reckoning.settings(next.coldFor(), next.tipAfter());
        gather();
    }

    /** Moves the clock; calls that follow happen at this time. */
    public void at(Duration clock) {
        now = clock;
        if (!awake) {
            awake = true;
            beatAt = now;
            outlet.wake(beat);
        }
    }

    /**
     * The caller itself was away for so long, and what nodes said meanwhile is only heard now.
     * Guards against a router on part of a core that takes its own pause for the silence of every
     * node at once.
     */
    public void late(Duration by) {
        away = away.plus(by);
        nodes.forEach(n -> n.quiet = n.out > 0 ? n.quiet.plus(by) : n.quiet);
    }

    // ---- the member list

    /** Takes a member list: the complete one, or only what has changed. */
    public void list(boolean whole, List<NodeRow> rows) {
        if (whole) {
            nodes.forEach(
                    n -> n.standing = n.standing == Standing.DRAINING ? n.standing : Standing.GONE);
        }
        following = askedAt.compareTo(NEVER) > 0;
        for (NodeRow row : rows) {
            while (nodes.size() <= row.node()) {
                nodes.add(new Node(nodes.size(), set.routers()));
            }
            Node n = nodes.get(row.node());
            probeCredit += n.group == null ? 1 : 0;
            n.heardAt = n.group == null ? now : n.heardAt;
            // Where only draining binds, it binds until the node is listed as ready again.
            if (!set.goneStaysOpen()
                    || n.standing != Standing.DRAINING
                    || row.standing() != Standing.GONE) {
                n.standing = row.standing();
            }
            n.far = row.zone() != set.zone();
            n.size = row.size() > 0 ? row.size() : 1;
            if (row.started() != null && row.started().compareTo(n.started) > 0) {
                n.started = row.started();
                n.coldCredit = 0;
            }
            n.group = groups.computeIfAbsent(row.group(), k -> new Group());
            n.claimed = !row.primary() && n.claimed.equals(LISTED) ? NEVER : n.claimed;
        }
        gather();
        for (NodeRow row : rows) {
            if (row.primary()) {
                claim(nodes.get(row.node()), LISTED);
            }
        }
        lookAround();
        groups.values().forEach(this::place);
    }

    private void gather() {
        groups.values().forEach(g -> g.members.clear());
        for (Node n : nodes) {
            if (n.group != null && (n.standing != Standing.GONE || set.goneStaysOpen())) {
                n.group.members.add(n);
            }
        }
    }

    /**
     * A node has left the list: gives its row back if nothing is out there, so no table grows all
     * day. Where gone stays open, only once it has also been out of reach for the time in which one
     * warms.
     */
    public boolean forget(int node) {
        Node n = nodes.get(node);
        boolean away = n.lost && n.heardAt.plus(set.coldFor()).compareTo(now) < 0;
        if (listed(n) && !away || n.out > 0 || n.probing) {
            return false;
        }
        if (n.group != null) {
            n.group.members.remove(n);
        }
        nodes.set(node, new Node(node, set.routers()));
        return true;
    }

    public void listFailed() {
        following = false;
    }

    // ---- txns

    /**
     * Takes a txn, and owes it a final answer.
     *
     * @param session its index below SESSIONS, or negative
     * @param expiry how long the client waits
     * @param token how long ago its session last wrote; null where txns carry none, zero where it
     *     has not
     * @param waited how long it has lain here before this call; what it wanted of its time is over
     *     by then
     * @param ran since when it may have run by an earlier try of its client (recovery.Doubts), or
     *     null
     */
    public Handle take(
            int id,
            int type,
            int tenant,
            int session,
            int group,
            Duration expiry,
            Duration token,
            Duration waited,
            Duration ran) {
        Txn t =
                new Txn(
                        id,
                        types[type],
                        groups.computeIfAbsent(group, k -> new Group()),
                        session,
                        expiry,
                        waited,
                        ran);
        taken++;
        t.type.work += seconds(t.type.usual);
        if (tenant >= 0 && tenants.get(tenant).quota > 0 && tenants.get(tenant).allowance-- < 1) {
            tenants.get(tenant).allowance++;
            t.spare = true;
        }
        if (t.type.read == Read.SESSION) {
            if (token == null) {
                t.need = session < 0 ? NEVER : written[session];
            } else if (!token.isZero()) {
                // Fixed at arrival; a millisecond for the rounding of both figures.
                t.need = now.minus(token).plusMillis(1);
            }
        }
        probeCredit =
                Math.min(nodes.size(), probeCredit + Math.min(1, PROBE_COST / set.probePrice()));
        t.group.spill = Math.min(SPILL_BURST, t.group.spill + (t.type.routed() ? SPILL : 0));
        // Its time went by in line at this router, which has more to do than it can.
        boolean overdue = t.spare && waited.compareTo(beat) > 0;
        if (overdue || !resendable(t) || !submit(t)) {
            hold(t);
        }
        return t;
    }

    private final class Txn implements Handle {
        final int id;
        final Type type;
        final Group group;
        final int session;
        final Duration expiry;
        final Duration giveUp;
        Duration need = NEVER;
        int submissions;
        boolean closed;
        boolean fellBack;

        /** Earns next to nothing: past its SLA time already, or beyond its tenant's share. */
        boolean spare;

        Duration ranAt;
        Duration sentAt;
        Duration sentAway;
        boolean searches;

        /** Where it last ended in an error, and how often. */
        Node errs;

        int errors;

        Txn(
                int id,
                Type type,
                Group group,
                int session,
                Duration patience,
                Duration waited,
                Duration ran) {
            ranAt = ran;
            this.id = id;
            this.type = type;
            this.group = group;
            this.session = session;
            Duration came = now.minus(waited);
            expiry = came.plus(patience);
            // A try of another length than the first has all that is left to the client: that tells
            // its age.
            Duration age =
                    type.repeated(patience) ? type.set.longest().minus(patience) : Duration.ZERO;
            Duration useful = came.plus(type.sla).minus(age);
            Duration last = type.lateEarns ? expiry : earlier(expiry, useful);
            Duration held = came.plus(times(patience, HELD));
            giveUp = earlier(last.minus(type.usual), held).minus(beat.multipliedBy(2));
            spare = giveUp.compareTo(now) <= 0;
        }

        @Override
        public void ended(
                int node, Result result, Duration took, boolean over, Report note, Report report) {
            Node n = nodes.get(node);
            n.out--;
            if (searches) {
                searches = false;
                group.searching = false;
            }
            // Of a time in which this router was away, what is usual there is believed, within what
            // can be.
            Duration least = took.minus(away.minus(sentAway));
            judge(n, type, result, later(least, earlier(took, times(type.usual, n.pace))));
            if (result == Result.ERROR || result == Result.COMMITTED) {
                blame(n, result == Result.ERROR);
            }
            Report seen = note;
            if (result == Result.COMMITTED && type.read == Read.WRITE && note.position() != null) {
                // A commit is rounded up, a position down: what was applied is a millisecond less.
                seen = new Report(note.position().minusMillis(1), note.role());
                if (session >= 0) {
                    written[session] = later(written[session], note.position());
                }
            }
            heard(node, seen, report);
            if (result == Result.COMMITTED
                    && note.role() == Role.REPLICA
                    && note.position() != null) {
                double still = n.behind.compareTo(times(took, 0.5)) > 0 ? 1 : 0;
                type.stalls += GAIN * (still - type.stalls);
            }
            if (result.mayHaveRun() && ranAt == null) {
                ranAt = sentAt;
            }
            if (over || closed) {
                closed = true;
            } else {
                goOn(this, n, result);
            }
            place(n.group);
            // Nodes that are up take no more connections: what this router keeps open, others wait
            // for. Not
            // where connections fail by time-out: those are slow to make, and what is open is worth
            // keeping.
            // Nor what is soon used again, which would only be opened anew.
            if (n.out == 0
                    && now.compareTo(scarceAt.plus(times(set.dial(), SCARCE))) < 0
                    && n.gap.compareTo(times(typical, PATIENCE)) > 0) {
                outlet.release(n.id);
            }
        }

        /**
         * An error is a node's when another node then commits the txn, and the txn's own when that
         * errs too. Guards against errors that come at any node alike: they cost no node its
         * standing. A node that errs on writes alone is never found out by this; only its group's
         * next primary would help there.
         */
        private void blame(Node n, boolean erred) {
            if (errs != null && errs != n) {
                ownFault += FAIL_GAIN * ((erred ? 1 : 0) - ownFault);
                errs.failures += erred ? 0 : FAIL_GAIN * (1 - errs.failures);
            }
            errors += erred ? 1 : 0;
            errs = erred ? n : null;
        }

        @Override
        public boolean stands(int node) {
            Node n = nodes.get(node);
            boolean old =
                    type.read == Read.FRESH
                            || type.read == Read.BOUNDED
                                    && n.position.compareTo(now.minus(type.bound)) < 0
                                    && !keepsUp(n, now.minus(type.bound));
            return !closed && listed(n) && remembered(this) && (!old || n == primary(group));
        }

        @Override
        public void left() {
            closed = true;
            group.held.remove(this);
        }
    }

    /** After an ending that left the txn open. */
    private void goOn(Txn t, Node n, Result result) {
        if (result == Result.TIMED_OUT || result == Result.MOOT) {
            // Surfaced, not re-run: the statement would be as slow elsewhere, and the client may
            // ask again.
            finish(t, Duration.ZERO);
            return;
        }
        // While errors are the txns' own, falling back would double what the primary gets; some
        // still try.
        boolean own = ownFault > 0.5 && chance.nextDouble() > FAIL_GAIN;
        boolean lostRole = t.type.read == Read.WRITE && n.denied.equals(now);
        if (result == Result.ERROR && (t.errors > 1 || own && !lostRole)) {
            finish(t, t.type.sla);
            return;
        }
        if (t.type.read == Read.WRITE && result == Result.MISS) {
            t.group.misses++;
            t.group.turn++;
        }
        t.fellBack = true;
        if (!resendable(t) || !submit(t)) {
            hold(t);
        }
    }

    private boolean resendable(Txn t) {
        return t.submissions < set.maxSubmissions() && remembered(t);
    }

    /** Never ran, may run again, or its repeat would still be known. */
    private boolean remembered(Txn t) {
        Effect effect = t.type.set.effect();
        return t.ranAt == null
                || effect == Effect.REPEATABLE
                || effect == Effect.REFERENCED
                        && now.plus(set.step()).compareTo(t.ranAt.plus(t.type.set.window())) < 0;
    }

    /** What is spare takes room only where there is plenty, and is never held. */
    private double room(Node n, Txn t) {
        return t.spare ? n.room * SPARE_ROOM : n.room;
    }

    private void hold(Txn t) {
        if (t.spare && resendable(t)) {
            finish(t, set.maxPause());
        } else if (!over(t)) {
            int at = t.group.held.size();
            while (at > 0 && t.group.held.get(at - 1).type.rank() < t.type.rank()) {
                at--;
            }
            t.group.held.add(at, t);
            seek(t.group);
        }
    }

    /** Its time is up, or it may not go again: then it is answered. */
    private boolean over(Txn t) {
        boolean over = !resendable(t) || now.compareTo(t.giveUp) >= 0;
        if (over) {
            finish(t, t.type.sla);
        }
        return over;
    }

    /** The final answer: declined where a retry is harmless, else rolled back. */
    private void finish(Txn t, Duration pause) {
        t.closed = true;
        boolean harmless =
                t.ranAt == null
                        || t.type.set.effect() == Effect.REPEATABLE
                        || t.type.set.effect() == Effect.REFERENCED && !t.type.set.groupDrops();
        if (harmless) {
            outlet.decline(t.id, earlier(reckoning.retryDelay(pause, chance), set.maxPause()));
        } else {
            outlet.rollBack(t.id);
        }
    }

    /** Tries every held txn of a group again; ends those whose time is up. */
    private void place(Group g) {
        if (g.held.isEmpty()) {
            return;
        }
        List<Txn> waiting = new ArrayList<>(g.held);
        for (Txn t : waiting) {
            if (over(t) || submit(t)) {
                g.held.remove(t);
            }
        }
        if (!g.held.isEmpty()) {
            seek(g);
        }
    }

    // ---- where a txn goes

    private boolean submit(Txn t) {
        Duration left = t.expiry.minus(now).minus(beat);
        Node n =
                left.isNegative() || left.isZero()
                        ? null
                        : t.type.routed() ? route(t) : primaryFor(t);
        if (n == null) {
            return false;
        }
        Duration limit =
                t.type.lateEarns || t.type.read == Read.WRITE
                        ? left
                        : earlier(left, times(t.type.usual, PATIENCE));
        t.submissions++;
        t.sentAt = now;
        t.sentAway = away;
        if (!onTrial(n)) {
            n.trials = 1;
        } else {
            // By chance, so that routers do not all try a node that comes back at the same moment.
            double gap = TRIAL_GAP * Math.min(n.trials++, TRIALS) * (1 + chance.nextDouble() / 2);
            n.tryAt = now.plus(times(set.dial(), gap));
        }
        if (n.out++ == 0) {
            n.quiet = now;
        }
        n.gap = n.sentAt.equals(NEVER) ? n.gap : now.minus(n.sentAt);
        n.sentAt = now;
        n.coldCredit -= seconds(cost(t.type));
        outlet.submit(t.id, n.id, limit);
        return true;
    }

    private Node primaryFor(Txn t) {
        Node pri = primary(t.group);
        if (pri != null && open(pri, 2 * room(pri, t))) {
            return pri;
        }
        return t.type.read == Read.WRITE && (pri == null || !trusted(pri)) ? search(t) : null;
    }

    /**
     * No primary to be trusted: one write at a time asks the members in turn, and waits after each
     * round.
     */
    private Node search(Txn t) {
        Group g = t.group;
        if (g.searching
                || now.compareTo(g.searchAt) < 0
                || t.submissions >= set.maxSubmissions() / 2) {
            return null;
        }
        if (g.misses >= g.members.size()) {
            g.misses = 0;
            g.searchAt = now.plus(times(set.dial(), TRIAL_GAP));
            return null;
        }
        for (int i = 0; i < g.members.size(); i++) {
            Node n = g.members.get((g.turn + i) % g.members.size());
            if (open(n, n.room)) {
                g.turn = (g.turn + i) % g.members.size();
                g.searching = true;
                t.searches = true;
                return n;
            }
        }
        return null;
    }

    private Node route(Txn t) {
        Group g = t.group;
        Node pri = primary(g);
        if (t.type.stalling(tightest)) {
            return furthestBehind(t, pri);
        }
        Node best = null;
        double least = Double.MAX_VALUE;
        Duration need = t.type.read == Read.SESSION ? t.need : now.minus(t.type.bound);
        for (Node n : g.members) {
            if (n == pri || !open(n, room(n, t))) {
                continue;
            }
            boolean fresh = n.position.compareTo(need) >= 0 || keepsUp(n, need);
            if (fresh || t.type.read == Read.ANY) {
                double load = busy(n, -Math.log(1 - chance.nextDouble())) * (fresh ? 1 : OLD);
                if (load < least) {
                    best = n;
                    least = load;
                }
            }
        }
        boolean spills =
                pri != null
                        && !t.spare
                        && pri.claimed.compareTo(LISTED) > 0
                        && open(pri, pri.room)
                        && trusted(pri)
                        && pri.pace < CALM
                        && pri.strain < STRAINED * CALM_PART
                        && !cold(pri);
        if (spills && (t.fellBack || g.spill >= 1 && busy(pri, 1) < least)) {
            g.spill = Math.max(0, g.spill - 1);
            return pri;
        }
        return best;
    }

    /**
     * Where nodes refuse reads that they are too far behind for, untouched, a replica may be tried
     * for any read, unless its last answer within an any read's bound showed it too far behind.
     * Guards against positions that are dear or late to learn, as they are for a router with few
     * txns; it costs a miss where a replica has just begun to lag.
     */
    private boolean keepsUp(Node n, Duration need) {
        return set.nodesRefuse()
                && (now.minus(times(n.behind, 2)).compareTo(need) >= 0
                        || n.toldAt.plus(anyBound).compareTo(now) < 0);
    }

    /**
     * A read that stalls a replica goes to the one that is furthest behind: the routers agree on it
     * without a word, it stays behind while it gets them, and the others keep up. Guards against
     * reads that must be current finding no replica, as every one holds such a read now and then.
     * No more replicas are given up to such reads than is their part of the work; past that they
     * wait.
     */
    private Node furthestBehind(Txn t, Node pri) {
        List<Node> replicas = new ArrayList<>();
        for (Node n : t.group.members) {
            if (n != pri && listed(n) && trusted(n)) {
                replicas.add(n);
            }
        }
        replicas.sort(Comparator.comparing(n -> n.position));
        int most = Math.max(1, (int) Math.round(replicas.size() * stallPart));
        for (Node n : replicas.subList(0, Math.min(most, replicas.size()))) {
            if (open(n, room(n, t)) && (!cold(n) || n.coldCredit >= seconds(t.type.usual))) {
                return n;
            }
        }
        return null;
    }

    /**
     * What waits at a node, with more for what other routers have there: by chance, one in the
     * mean. A router that has nothing out knows no order among its replicas, and many such must not
     * all choose the same.
     */
    private double busy(Node n, double others) {
        return (n.out + others) / n.size * n.pace * (n.far ? FAR : 1) * (n.doubted ? DOUBTED : 1);
    }

    private boolean listed(Node n) {
        return n.standing == Standing.READY || n.standing == Standing.GONE && set.goneStaysOpen();
    }

    /**
     * Whether a node may be sent one more txn now. One out of reach must first answer a probe,
     * which costs no txn its time; one that is reached but answers nothing gets a txn to try, at
     * growing gaps.
     */
    private boolean open(Node n, double room) {
        if (!listed(n) || cold(n) && n.coldCredit <= 0) {
            return false;
        }
        if (onTrial(n)) {
            return n.out == 0 && !(n.lost && set.probes()) && now.compareTo(n.tryAt) >= 0;
        }
        return n.out < room
                && (room >= 1
                        || now.compareTo(
                                        n.sentAt.plus(
                                                times(typical, 1 / Math.max(room, roomLeast))))
                                >= 0);
    }

    // ---- who is the primary

    private Node primary(Group g) {
        Node pri = null;
        for (Node n : g.members) {
            if (n.claimed.compareTo(NEVER) > 0
                    && (pri == null || n.claimed.compareTo(pri.claimed) > 0)) {
                pri = n;
            }
        }
        return pri;
    }

    private void claim(Node n, Duration when) {
        if (n.group == null || when.compareTo(n.denied) <= 0 || when.compareTo(n.claimed) < 0) {
            return;
        }
        for (Node other : n.group.members) {
            if (other != n && other.claimed.compareTo(when) >= 0) {
                return;
            }
        }
        n.group.members.forEach(other -> other.claimed = NEVER);
        n.claimed = when;
        if (when.compareTo(LISTED) > 0) {
            n.group.misses = 0;
            n.group.turn = Math.max(0, n.group.members.indexOf(n));
        }
    }

    private void deny(Node n, Duration when) {
        n.denied = later(n.denied, when);
        if (n.claimed.compareTo(when) <= 0) {
            n.claimed = NEVER;
        }
    }

    /** What a node says of itself: in a note, of this moment; in a report, of some time ago. */
    public void heard(int node, Report note, Report report) {
        Node n = nodes.get(node);
        if (note.role() == Role.PRIMARY) {
            claim(n, now);
        } else if (note.role() == Role.REPLICA) {
            deny(n, now);
        }
        // A primary stands at the present, so its position is the report's time; a replica's is
        // older.
        if (report.position() != null && report.role() == Role.PRIMARY) {
            claim(n, report.position());
        } else if (report.position() != null && report.role() == Role.REPLICA) {
            deny(n, report.position());
        }
        if (note.position() != null) {
            n.position = later(n.position, note.position());
            n.behind = now.minus(n.position);
            n.toldAt = now;
        }
        n.position = report.position() == null ? n.position : later(n.position, report.position());
    }

    // ---- health

    private void judge(Node n, Type type, Result result, Duration took) {
        if (result == Result.WITHDRAWN || result == Result.MOOT || result == Result.UNSENT) {
            return;
        }
        boolean bad =
                result == Result.TIMED_OUT
                        || result == Result.UNREACHABLE
                        || result == Result.RESET;
        // Connections break at any node alike, so a reset tells little; what has died refuses the
        // next one.
        double gain =
                result == Result.ERROR || result == Result.SPOILT
                        ? 0
                        : result == Result.UNREACHABLE
                                ? LOST_GAIN
                                : result == Result.RESET ? FAIL_GAIN / 2 : FAIL_GAIN;
        n.failures += gain * ((bad ? 1 : 0) - n.failures);
        // One that only turns work away does none: it has hung with its queue full, or might as
        // well have.
        double since = ratio(now.minus(n.answeredAt), times(slowest(), PATIENCE));
        if (!bad && result != Result.FULL) {
            n.quiet = now;
            n.silent = false;
            n.doubted = false;
            n.wellAt = now;
        } else if (result == Result.FULL && since > 1) {
            n.silent = true;
        }
        n.atOnce =
                result == Result.UNREACHABLE
                        ? took.compareTo(times(set.dial(), 0.5)) < 0
                        : n.atOnce;
        if (result == Result.UNREACHABLE && failing(n)) {
            n.lost = true;
        } else if (!bad && n.lost) {
            back(n);
        }
        n.heardAt = bad ? n.heardAt : now;
        // Where answers are rare, each tells of all the time since the last.
        double weight = Math.max(GAIN, Math.min(1, since));
        if (result == Result.COMMITTED) {
            reckoning.recordCommit(seconds(cost(type)), part(n));
            n.pace += weight * (Math.min(4, ratio(took, type.usual)) - n.pace);
            Duration usual = type.usual.plus(times(took.minus(type.usual), GAIN / 10));
            type.usual = earlier(usual, times(type.sla, 0.5));
        }
        // Time-outs at one node more than at most tell of work waiting there; else they tell of
        // losses.
        boolean jammed =
                result == Result.TIMED_OUT
                        && (n.strain > STRAINED / 2 || n.failures > median + FAIL_GAIN / 2);
        if (result == Result.COMMITTED || jammed) {
            n.strain += weight * (Math.min(2, ratio(took, type.sla)) - n.strain);
            n.answeredAt = now;
        }
        // Room is cut from what was used: by what is out or, where that is nothing, by how often
        // one is sent.
        if (result == Result.FULL || n.strain > STRAINED) {
            if (result == Result.FULL || now.compareTo(n.cutAt.plus(type.usual)) >= 0) {
                n.cutAt = now;
                double used = n.out > 0 ? n.out : Math.min(1, ratio(typical, n.gap));
                double cut = result == Result.FULL || jammed ? FULL_CUT : ROOM_CUT;
                // Slow like all the fleet: less at once than it did without strain would leave it
                // idle.
                boolean alone = result == Result.FULL || n.strain > strain * ALIKE;
                double least = alone ? roomLeast : Math.max(roomLeast, inWork * n.size);
                n.room = Math.max(Math.min(n.room, least), Math.min(n.room, used) * cut);
            }
        } else if (result == Result.COMMITTED && n.out + 1 >= n.room * 0.8) {
            n.room += Math.min(n.room, 1 / n.room) * GAIN;
        }
    }

    /**
     * It was out of reach and answers again. Perhaps it is newly started, whatever the list says
     * yet; but not one that answered its first probe (it takes no more connections), that applied
     * the log all the while, or is still the primary. Harm: one that restarts unseen and catches up
     * is warm until it is listed.
     */
    private void back(Node n) {
        n.lost = false;
        Duration away = now.minus(n.heardAt);
        boolean followed =
                n.claimed.compareTo(LISTED) > 0
                        ? away.compareTo(times(set.coldFor(), UP)) > 0
                        : n.position.compareTo(now.minus(times(away, UP))) > 0;
        if (n.unheard) {
            // What failed was the way there: one answered txn is enough, and no work has waited
            // there since.
            n.tryAt = NEVER;
            n.trials = 1;
            n.failures = Math.min(n.failures, FAILING);
            n.room = Math.max(n.room, ROOM_START / set.routers());
            n.started = followed ? n.started : later(n.started, now);
            n.coldCredit = 0;
        }
        scarceAt = n.unheard || !n.atOnce ? scarceAt : now;
        n.unheard = false;
    }

    /** Against the median, but where most of the fleet fails the median excuses nobody. */
    private boolean failing(Node n) {
        return n.failures > Math.min(median, FAILING / 2) + FAILING;
    }

    /** Silence is judged by how much is out: the more, the sooner an answer should have come. */
    private boolean trusted(Node n) {
        if (!n.silent && n.out > 0) {
            n.silent = mute(n, n.doubted ? DOUBT : 1);
        }
        return !n.silent && !failing(n);
    }

    /** It gets single txns to try, at growing gaps. */
    private boolean onTrial(Node n) {
        return !trusted(n) || n.doubted;
    }

    private boolean mute(Node n, double part) {
        double wait = Math.max(SILENCE_LEAST, SILENCE / Math.max(1, n.out)) * part;
        return now.compareTo(n.quiet.plus(times(slowest(), wait))) > 0;
    }

    /**
     * What others say of a node is worth a doubt, by dillfront.gossip; or no longer. It gets one
     * txn to try, after a dial time-out or two, and its own answer then ends the doubt.
     */
    public void setSuspected(int node, boolean doubted) {
        Node n = nodes.get(node);
        if (doubted && !n.doubted) {
            n.tryAt = later(n.tryAt, now.plus(times(set.dial(), 1 + chance.nextDouble())));
        }
        n.doubted = doubted;
    }

    /**
     * Others have had its answers again: worth a try before its time, each router at a moment of
     * its own.
     */
    public void better(int node) {
        Node n = nodes.get(node);
        n.tryAt = earlier(n.tryAt, now.plus(times(set.dial(), chance.nextDouble())));
    }

    /**
     * Others' doubt makes silence suspect sooner; it goes not back to them as this router's
     * evidence.
     */
    public Sight observeHealth(int node) {
        Node n = nodes.get(node);
        boolean silent = !trusted(n) && n.silent && (n.out == 0 || mute(n, TOLD));
        boolean lately = n.wellAt.plus(times(slowest(), PATIENCE)).compareTo(now) > 0;
        return new Sight(
                n.lost
                        ? Sight.Health.LOST
                        : failing(n)
                                ? Sight.Health.FAILING
                                : silent
                                        ? Sight.Health.SILENT
                                        : lately && !n.silent
                                                ? Sight.Health.WELL
                                                : Sight.Health.UNKNOWN,
                n.wellAt,
                n.out > 0 && mute(n, TOLD) ? n.out : 0);
    }

    private Duration slowest() {
        Duration most = Duration.ZERO;
        for (Type t : types) {
            most = later(most, t.usual);
        }
        return most;
    }

    /**
     * Counted from its start: what it can do by then at the least, so the rule holds with room to
     * spare.
     */
    private boolean cold(Node n) {
        return now.compareTo(n.started.plus(set.coldFor())) < 0;
    }

    /** The part of a warm node's work that it can do by now at the least. */
    private double part(Node n) {
        double age = cold(n) ? ratio(now.minus(n.started), set.coldFor()) : 1;
        return set.coldFrom() + (1 - set.coldFrom()) * Math.max(0, Math.min(1, age));
    }

    /**
     * While little is known, a cold node's budget is charged as much for a light txn as for most.
     */
    private Duration cost(Type type) {
        return reckoning.allCold() ? later(typical, type.usual) : type.usual;
    }

    // ---- the beat

    /** Runs what was due by now; the adapter calls it at the time that it was asked to. */
    public void woken() {
        if (now.compareTo(beatAt.plus(beat)) < 0) {
            return;
        }
        double seconds = seconds(now.minus(beatAt));
        beatAt = now;
        outlet.wake(beat);
        double warm = 0;
        double cold = 0;
        double listed = 0;
        double back = Math.max(ROOM_BACK, set.routers() / ROOM_BACK_ROUTERS);
        List<Double> shares = new ArrayList<>();
        List<Double> strains = new ArrayList<>();
        int out = 0;
        for (Node n : nodes) {
            if (n.group != null && (n.standing == Standing.READY || listed(n) && !n.lost)) {
                warm += cold(n) ? 0 : n.size;
                shares.add(n.failures);
                strains.add(n.strain);
                out += cold(n) ? 0 : n.out;
            }
            listed += n.group != null ? n.size : 0;
            cold +=
                    n.group != null && n.standing == Standing.READY && !n.lost && cold(n)
                            ? n.size
                            : 0;
            if (n.room < 1) {
                n.room *= Math.pow(2, seconds / (seconds(set.dial()) * back));
            }
        }
        median = Spans.median(shares);
        strain = Spans.median(strains);
        double kept = reckoning.decayFactor(seconds);
        inWork = warm > 0 && strain < STRAINED ? Math.max(inWork * kept, out / warm) : inWork;
        boolean easy = strains.isEmpty() || strains.get(strains.size() - 1) < STRAINED / 2;
        reckoning.update(
                seconds,
                new CapacityEstimator.FleetState(
                        warm, cold, listed, takeRate, seconds(typical), easy, inWork > 0));
        takeRate += Math.min(1, seconds) * (taken / seconds - takeRate);
        taken = 0;
        double work = 0;
        double txns = 0;
        double stalling = 0;
        double current = 0;
        for (Type t : types) {
            work += t.work;
            txns += t.work / seconds(t.usual);
            stalling += t.stalling(tightest) ? t.work : 0;
            current += t.read == Read.BOUNDED || t.read == Read.SESSION ? t.work : 0;
            t.work *= kept;
        }
        stallPart = stalling / Math.max(1e-9, stalling + current);
        typical = txns > 0 ? Duration.ofNanos((long) (work / txns * 1e9)) : slowest();
        for (Tenant t : tenants) {
            double entitled = Math.max(t.quota / set.routers(), takeRate * t.quota / allQuotas);
            t.allowance =
                    Math.min(Math.max(QUOTA_BURST, entitled), t.allowance + entitled * seconds);
        }
        if (now.compareTo(coldAt) >= 0) {
            double piece = seconds(typical);
            Duration window = times(set.tipAfter(), COLD_WINDOW);
            coldAt = now.plus(window);
            for (Node n : nodes) {
                if (cold(n)) {
                    double safe =
                            part(n) * reckoning.rate() * n.size * COLD_SHARE * set.tipMultiple();
                    // What is over lapses by chance, within that time in the mean: what many
                    // routers hold
                    // and might spend at once is then no more than they are dealt in it.
                    boolean lapses = chance.nextDouble() < COLD_WINDOW;
                    double dealt = Math.floor(safe * seconds(window) / piece + chance.nextDouble());
                    n.coldCredit =
                            (lapses ? Math.min(0, n.coldCredit) : n.coldCredit) + dealt * piece;
                }
            }
        }
        if (set.listAsked()
                && !following
                && now.compareTo(askedAt.plus(times(set.askWithin(), 0.25))) > 0) {
            askedAt = now;
            outlet.follow();
        }
        lookAround();
        groups.values().forEach(this::place);
    }

    /**
     * A fresh router probes each node once, then those unheard for an any read's bound, while half
     * its credit is there: a router with few txns keeps the rest for the reads that wait for a
     * position.
     */
    private void lookAround() {
        for (Node n : nodes) {
            boolean may = n.probedAt.equals(NEVER) || probeCredit > nodes.size() / 2.0;
            if (n.group != null
                    && may
                    && later(n.position, n.claimed).plus(anyBound).compareTo(now) < 0) {
                probe(n, anyBound);
            }
        }
    }

    /**
     * Txns wait in this group. No primary to be trusted: all are asked. Else two replicas that
     * could take a txn, by chance: asking all would spend at once what a router with few txns can
     * pay.
     */
    private void seek(Group g) {
        Node pri = primary(g);
        Duration gap = times(set.dial(), SEEK_GAP);
        if (pri == null || !trusted(pri)) {
            g.members.forEach(n -> probe(n, gap));
        } else if (now.compareTo(g.soughtAt.plus(gap)) >= 0) {
            g.soughtAt = now;
            int first = chance.nextInt(g.members.size());
            int asked = 0;
            for (int i = 0; i < g.members.size() && asked < SOUGHT; i++) {
                Node n = g.members.get((first + i) % g.members.size());
                if (n != pri && (n.lost || open(n, n.room)) && probe(n, gap)) {
                    asked++;
                }
            }
        }
    }

    private boolean probe(Node n, Duration gap) {
        if (!set.probes()
                || !listed(n)
                || n.probing
                || probeCredit < 1
                || now.compareTo(n.probedAt.plus(gap)) < 0) {
            return false;
        }
        probeCredit--;
        n.probing = true;
        n.probedAt = now;
        outlet.probe(n.id);
        return true;
    }

    /** Takes the outcome of a health check. */
    public void probed(int node, boolean answered, Report report) {
        Node n = nodes.get(node);
        n.probing = false;
        n.unheard |= n.lost && !answered;
        if (answered) {
            heard(node, Report.NOTHING, report);
            if (n.lost) {
                back(n);
            }
            n.heardAt = now;
            place(n.group);
        }
    }
}
