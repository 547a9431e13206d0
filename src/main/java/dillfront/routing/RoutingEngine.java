package dillfront.routing;

import static dillfront.routing.api.Durations.max;
import static dillfront.routing.api.Durations.min;
import static dillfront.routing.api.Durations.multiply;
import static dillfront.routing.api.Durations.ratio;
import static dillfront.routing.api.Durations.toSeconds;

import dillfront.router.recovery.Reckoning;
import dillfront.routing.api.Consistency;
import dillfront.routing.api.Durations;
import dillfront.routing.api.HealthObservation;
import dillfront.routing.api.MemberState;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.NodeRole;
import dillfront.routing.api.NodeRow;
import dillfront.routing.api.Repeatability;
import dillfront.routing.api.RoutingActions;
import dillfront.routing.api.RoutingSettings;
import dillfront.routing.api.SubmissionResult;
import dillfront.routing.api.TransactionHandle;
import dillfront.routing.api.TransactionType;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Routes transactions to database nodes. Each router has one instance, which does no I/O; {@link
 * dillfront.routing.api} holds its interface types.
 *
 * <p>The caller sets the clock with {@link #setTime}, then makes one call per event: {@link
 * #updateMembers}, {@link #accept}, {@link #probed}, {@link #onWakeUp}, and on the {@link
 * TransactionHandle} of a transaction {@link TransactionHandle#submissionEnded} and {@link
 * TransactionHandle#left}. The instance requests its actions from the {@link RoutingActions} during
 * the call. Times are durations since the zero of log positions, so that positions and times
 * compare directly.
 *
 * <p>Writes and strongly consistent reads go to the primary. Other reads go to the least loaded
 * replica that is known to be current enough, and a limited share of them to the primary while its
 * load is low. A read that a replica fails falls back to the primary; a time-out is reported to the
 * client. A transaction that no node can take is queued, and answered before its client's timeout.
 */
public final class RoutingEngine {

    /**
     * Number of slots for the last writes of sessions. Sessions that share a slot also wait for
     * each other's writes.
     */
    public static final int SESSION_SLOTS = 1 << 13;

    private static final Duration NEVER = Duration.ofSeconds(Long.MIN_VALUE / 4);

    /** Time assigned to roles of the member list: older than every role that a node reports. */
    private static final Duration LISTED = NEVER.plusSeconds(1);

    /** Interval of the periodic work, in steps of the clock. */
    private static final int BEAT = 4;

    /**
     * Base interval between trial transactions to a node on trial, and between searches for a
     * primary, in dial timeouts.
     */
    private static final double TRIAL_GAP = 4;

    /** The interval between trials grows up to this multiple of its base. */
    private static final int TRIALS = 4;

    /** Minimum interval between probes on behalf of queued transactions, in dial timeouts. */
    private static final double SEEK_GAP = 0.25;

    /** Replicas probed at a time on behalf of queued transactions. */
    private static final int SOUGHT = 2;

    /** Cost of probes allowed per accepted transaction, in transactions. */
    private static final double PROBE_COST = 0.01;

    /**
     * Preferred staleness bound of eventually consistent reads, in multiples of the tightest bound
     * of bounded reads: 1 s where that is 200 ms.
     */
    private static final double ANY_BOUND = 5;

    /** Maximum share of the replica reads that a primary with low load may serve. */
    private static final double SPILL = 0.5;

    /** Maximum number of replica reads that may go to the primary at once. */
    private static final double SPILL_BURST = 8;

    /** A primary serves replica reads below this multiple of the fleet's typical response time. */
    private static final double CALM = 1.5;

    /** A primary serves replica reads below this share of the overload threshold. */
    private static final double CALM_PART = 0.9;

    /** Load factor of nodes in other zones; prefers nodes of this zone up to that ratio of load. */
    private static final double FAR = 1.5;

    /** Load factor of replicas beyond the bound of an eventually consistent read. */
    private static final double OLD = 1.5;

    /** How long idle connections are closed after a refused connection, in dial timeouts. */
    private static final double SCARCE = 16;

    /**
     * A client timeout is taken for that of a retry if it differs from the timeout of first tries
     * by more than this share of the client's total time.
     */
    private static final double OFF = 0.04;

    /**
     * Share sent to a cold node of the load that would overload it. The margin covers estimates
     * taken from warm nodes that were not fully loaded.
     */
    private static final double COLD_SHARE = 0.6;

    /**
     * Interval at which cold nodes are granted work, as a share of the time for which excess load
     * must last to overload them.
     */
    private static final double COLD_WINDOW = 0.25;

    /**
     * Minimum burst of transactions that a tenant may send beyond its quota; the other limit is its
     * quota of one second. Guards against rejecting the uneven arrivals of small tenants.
     */
    private static final double QUOTA_BURST = 8;

    /** Share of a node's concurrency limit that low-priority transactions may use. */
    private static final double SPARE_ROOM = 0.5;

    /**
     * Time limit of a read submission, in typical response times of its type, where late answers
     * have no value.
     */
    private static final double PATIENCE = 8;

    /**
     * A node with n pending submissions counts as silent after this many typical response times
     * divided by n, but not before the minimum below.
     */
    private static final double SILENCE = 6;

    /** Minimum time without an answer before a node counts as silent, in typical response times. */
    private static final double SILENCE_LEAST = 1.5;

    /** Share of the silence time after which a node that peers suspect counts as silent. */
    private static final double DOUBT = 0.5;

    /** Load factor of nodes that peers suspect. */
    private static final double DOUBTED = 4;

    /**
     * Multiple of the silence time after which silence is reported to peers. A false alarm costs
     * all of them more than it costs this router.
     */
    private static final double TOLD = 2;

    /** A node is failing if its failure rate exceeds the fleet's median by this much. */
    private static final double FAILING = 0.5;

    /**
     * A replica counts as running throughout an outage if its position lags by at most this share
     * of the outage; a primary, if the outage was longer than this share of the warm-up time.
     */
    private static final double UP = 0.25;

    /** Smoothing factor of failure rates. */
    private static final double FAIL_GAIN = 0.2;

    /** Smoothing factor of failure rates for failed connection attempts. */
    private static final double LOST_GAIN = 0.4;

    /** Smoothing factor of response times. */
    private static final double GAIN = 0.2;

    /**
     * A node is overloaded if its response times exceed this share of the SLA time. Its concurrency
     * limit shrinks above this threshold and grows below it.
     */
    private static final double STRAINED = 0.45;

    /** An overloaded node is as slow as the fleet up to this multiple of the fleet's median. */
    private static final double ALIKE = 1.5;

    /**
     * Initial concurrency limit of a node, over all routers. A limit below 1 permits one submission
     * per 1/limit typical response times.
     */
    private static final double ROOM_START = 24;

    /** Minimum concurrency limit of a node, over all routers. */
    private static final double ROOM_LEAST = 0.3;

    /** Factor applied to the concurrency limit of an overloaded node. */
    private static final double ROOM_CUT = 0.85;

    /**
     * Factor applied to the concurrency limit of a node that rejects work or whose work times out.
     */
    private static final double FULL_CUT = 0.5;

    /**
     * Share of the client's timeout that a transaction may spend in the queue; the rest leaves the
     * client time to retry.
     */
    private static final double HELD = 0.5;

    /** Dial timeouts in which a concurrency limit below 1 doubles, at least. */
    private static final double ROOM_BACK = 8;

    /**
     * Routers per dial timeout of that doubling time. With many routers the limits grow more
     * slowly, so that an overloaded node is not flooded by all of them.
     */
    private static final double ROOM_BACK_ROUTERS = 3;

    /** Learned state of one transaction type. */
    private static final class Type {
        final TransactionType set;
        final Consistency read;
        final Duration bound;
        final Duration sla;
        final boolean lateEarns;

        /** Client timeout of first tries: the running median of all tries. */
        Duration firstTry;

        /** Typical response time. */
        Duration usual;

        /** Smoothed share of answers from replicas that applied no log during the read. */
        double stalls = 1;

        /**
         * Requested work, in seconds of typical response time; decays over about the warm-up time
         * of a node.
         */
        double work;

        Type(TransactionType t, Duration anyBound) {
            set = t;
            read = t.read();
            bound = read == Consistency.EVENTUAL ? anyBound : t.stalenessBound();
            sla = t.slaTime();
            lateEarns = t.lateValueShare() > 0;
            usual = multiply(sla, 0.25);
        }

        /**
         * Updates the median client timeout, and returns whether this timeout is that of a retry.
         */
        boolean repeated(Duration patience) {
            Duration off = patience.minus(firstTry == null ? patience : firstTry);
            firstTry =
                    patience.minus(off)
                            .plus(
                                    multiply(
                                            set.totalClientTimeout(),
                                            Math.signum(off.toNanos()) * OFF / 8));
            return off.abs().compareTo(multiply(set.totalClientTimeout(), OFF)) > 0;
        }

        /** Returns whether replicas may serve this type. */
        boolean routed() {
            return read == Consistency.EVENTUAL
                    || read == Consistency.BOUNDED_STALENESS
                    || read == Consistency.SESSION;
        }

        /**
         * Returns the value per typical response time, by which queued transactions are ordered.
         */
        double rank() {
            return set.value() / (usual.toNanos() + 1);
        }

        /**
         * Returns whether its reads keep a replica from applying the log beyond the tightest bound.
         */
        boolean stalling(Duration tightest) {
            return read == Consistency.EVENTUAL && stalls > 0.5 && usual.compareTo(tightest) > 0;
        }
    }

    /** State of one node, by its index. The index is reused after the node is forgotten. */
    private static final class Node {
        final int id;
        Group group;
        boolean far;
        double size = 1;
        MemberState standing = MemberState.GONE;
        Duration started = NEVER;
        Duration position = NEVER;

        /** Replication lag at its last measurement by an answer. */
        Duration behind = Duration.ZERO;

        /** When an answer last measured the replication lag. */
        Duration toldAt = NEVER;

        /** Latest time at which the node is known to have been the primary. */
        Duration claimed = NEVER;

        /** Latest time at which the node is known to have been a replica. */
        Duration denied = NEVER;

        /** Number of pending submissions. */
        int out;

        /** While submissions are pending: since when the node has not answered. */
        Duration quiet = NEVER;

        boolean silent;

        /** Whether peers reported the node as faulty and it has not answered since. */
        boolean doubted;

        /** Whether the node is failing and its last connection attempt failed. */
        boolean lost;

        /** When the node last answered, or first appeared in the member list. */
        Duration heardAt = NEVER;

        /** Whether a probe also failed since the node became unreachable. */
        boolean unheard;

        /** Whether the last failed connection was refused in less than half the dial timeout. */
        boolean atOnce;

        /** Smoothed share of submissions that failed. */
        double failures;

        /** Smoothed ratio of response times to the SLA time of their types. */
        double strain;

        /** Smoothed ratio of response times to the typical times of their types. */
        double pace = 1;

        /** Concurrency limit for this router's submissions; below 1, a limit on their rate. */
        double room;

        Duration sentAt = NEVER;

        /** Interval between the last two submissions. */
        Duration gap = Duration.ZERO;

        /** When a submission last updated the smoothed response times. */
        Duration answeredAt = Duration.ZERO;

        /** When a submission last got an answer other than a rejection for lack of capacity. */
        Duration wellAt = NEVER;

        /** When the concurrency limit was last reduced. */
        Duration cutAt = NEVER;

        /** Earliest time of the next trial transaction while the node is on trial. */
        Duration tryAt = NEVER;

        /** Next multiple of the base interval between trials. */
        int trials = 1;

        Duration probedAt = NEVER;
        boolean probing;

        /** Work that may be sent to the node while cold, in seconds of typical response time. */
        double coldCredit;

        Node(int id, int routers) {
            this.id = id;
            room = Math.max(1, ROOM_START / routers);
        }
    }

    /** Quota and unused share of one tenant. */
    private static final class Tenant {
        final double quota;

        /** Transactions that the tenant may send at full priority now. */
        double allowance;

        Tenant(double quota, int routers) {
            this.quota = quota;
            allowance = Math.max(QUOTA_BURST, quota / routers);
        }
    }

    /** Nodes that replicate one primary, and the transactions queued for them. */
    private static final class Group {
        /** Nodes of the current member list, by index. */
        final List<Node> members = new ArrayList<>();

        /** Queued transactions, highest value per response time first. */
        final List<Txn> held = new ArrayList<>();

        /** Number of replica reads that may go to the primary now. */
        double spill = SPILL_BURST;

        /** Member that the search for a primary tries next. */
        int turn;

        /** Members that rejected a write in the current round of the search. */
        int misses;

        /** Earliest time of the next round of the search. */
        Duration searchAt = NEVER;

        /** When replicas were last probed on behalf of queued transactions. */
        Duration soughtAt = NEVER;

        /** Whether a write of the search is pending. */
        boolean searching;
    }

    private RoutingSettings set;
    private final RoutingActions outlet;
    private final RandomGenerator chance;
    private Type[] types;
    private List<Tenant> tenants;
    private double allQuotas;
    private final List<Node> nodes = new ArrayList<>();
    private final TreeMap<Integer, Group> groups = new TreeMap<>();

    /** Position of the last commit of each session slot. */
    private final Duration[] written = new Duration[SESSION_SLOTS];

    private Duration beat;

    /** Tightest staleness bound of all bounded reads. */
    private Duration tightest;

    private Duration anyBound;
    private double roomLeast;
    private Duration now = Duration.ZERO;
    private Duration beatAt = NEVER;
    private boolean awake;

    /** Total time since the start for which the calling process was paused. */
    private Duration away = Duration.ZERO;

    /** Probes that may be sent. Transactions add to the credit, up to one probe per node. */
    private double probeCredit;

    /** Transactions accepted since the last tick. */
    private int taken;

    /** Smoothed rate of accepted transactions, per second. */
    private double takeRate;

    /**
     * Estimate of the nodes' capacity, in typical response times rather than transactions, since a
     * report may cost as much as twenty page views.
     */
    private final Reckoning reckoning = new Reckoning();

    /** When cold nodes are granted work next. */
    private Duration coldAt = NEVER;

    /** Median failure rate of the nodes. */
    private double median;

    /** Median ratio of response times to SLA times. */
    private double strain;

    /** Peak of the pending submissions per warm node while the fleet was not overloaded; decays. */
    private double inWork;

    /** Typical response time over all requested transactions. */
    private Duration typical;

    /** Share of reads that stall replication in the work of those and of current reads. */
    private double stallPart;

    /**
     * Smoothed share of failed transactions, of those tried at a second node, that failed there.
     */
    private double ownFault;

    private Duration askedAt = NEVER;
    private boolean following;

    /** When a node that had refused this router's connections last proved to be up. */
    private Duration scarceAt = NEVER;

    /**
     * @param set the settings of the deployment
     * @param outlet receives every action
     */
    public RoutingEngine(RoutingSettings set, RoutingActions outlet, RandomGenerator chance) {
        this.outlet = outlet;
        this.chance = chance;
        Arrays.fill(written, NEVER);
        applySettings(set);
    }

    /**
     * Replaces the settings. Accepted transactions keep their type, and the state of nodes stays;
     * typical response times are learned anew. A changed zone takes effect with the next member
     * list.
     */
    public void applySettings(RoutingSettings next) {
        set = next;
        beat = next.clockStep().multipliedBy(BEAT);
        tightest = null;
        for (TransactionType t : next.transactionTypes()) {
            Duration bound =
                    t.read() != Consistency.BOUNDED_STALENESS ? tightest : t.stalenessBound();
            tightest = tightest == null ? bound : min(bound, tightest);
        }
        tightest = tightest == null ? next.dialTimeout() : tightest;
        anyBound = multiply(tightest, ANY_BOUND);
        types = new Type[next.transactionTypes().size()];
        for (int i = 0; i < types.length; i++) {
            types[i] = new Type(next.transactionTypes().get(i), anyBound);
        }
        tenants = new ArrayList<>();
        double sum = 0;
        for (double quota : next.tenantQuotas()) {
            tenants.add(new Tenant(quota, next.routerCount()));
            sum += quota;
        }
        allQuotas = sum;
        roomLeast = ROOM_LEAST / next.routerCount();
        typical = slowest();
        reckoning.settings(next.warmUpTime(), next.overloadTime());
        gather();
    }

    /** Sets the current time for the calls that follow. */
    public void setTime(Duration clock) {
        now = clock;
        if (!awake) {
            awake = true;
            beatAt = now;
            outlet.scheduleWakeUp(beat);
        }
    }

    /**
     * Records a pause of the calling process, during which it read no answers. Guards against a
     * router with part of a CPU core that takes its own pause for the silence of every node.
     */
    public void recordPause(Duration by) {
        away = away.plus(by);
        nodes.forEach(n -> n.quiet = n.out > 0 ? n.quiet.plus(by) : n.quiet);
    }

    // ---- the member list

    /** Applies a complete member list, or the changes of one. */
    public void updateMembers(boolean whole, List<NodeRow> rows) {
        if (whole) {
            nodes.forEach(
                    n ->
                            n.standing =
                                    n.standing == MemberState.DRAINING
                                            ? n.standing
                                            : MemberState.GONE);
        }
        following = askedAt.compareTo(NEVER) > 0;
        for (NodeRow row : rows) {
            while (nodes.size() <= row.node()) {
                nodes.add(new Node(nodes.size(), set.routerCount()));
            }
            Node n = nodes.get(row.node());
            probeCredit += n.group == null ? 1 : 0;
            n.heardAt = n.group == null ? now : n.heardAt;
            // If nodes missing from the list stay open, a draining node stays closed until it is
            // listed as ready again.
            if (!set.unlistedNodesStayOpen()
                    || n.standing != MemberState.DRAINING
                    || row.standing() != MemberState.GONE) {
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
            if (n.group != null
                    && (n.standing != MemberState.GONE || set.unlistedNodesStayOpen())) {
                n.group.members.add(n);
            }
        }
    }

    /**
     * Removes a node that left the list, so that its index can be reused and the table does not
     * grow. Returns false while the node is listed or has pending work. A node that stays open
     * without being listed is removed after it was unreachable for the warm-up time.
     */
    public boolean forgetNode(int node) {
        Node n = nodes.get(node);
        boolean away = n.lost && n.heardAt.plus(set.warmUpTime()).compareTo(now) < 0;
        if (listed(n) && !away || n.out > 0 || n.probing) {
            return false;
        }
        if (n.group != null) {
            n.group.members.remove(n);
        }
        nodes.set(node, new Node(node, set.routerCount()));
        return true;
    }

    /** Records that the member list's subscription failed, so that it is requested again. */
    public void listFailed() {
        following = false;
    }

    // ---- transactions

    /**
     * Accepts a transaction, which gets exactly one final answer unless its client disconnects.
     *
     * @param session the session's slot below {@link #SESSION_SLOTS}, or negative
     * @param expiry the client's timeout, counted from its request's arrival
     * @param token how long ago the session last wrote; null if requests carry no such token, zero
     *     if the session has not written
     * @param waited the time since the request's arrival at this router
     * @param ran since when an earlier try of the client may have executed the transaction, or null
     */
    public TransactionHandle accept(
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
        t.type.work += toSeconds(t.type.usual);
        if (tenant >= 0 && tenants.get(tenant).quota > 0 && tenants.get(tenant).allowance-- < 1) {
            tenants.get(tenant).allowance++;
            t.spare = true;
        }
        if (t.type.read == Consistency.SESSION) {
            if (token == null) {
                t.need = session < 0 ? NEVER : written[session];
            } else if (!token.isZero()) {
                // One millisecond is added, as both the token and the position are rounded.
                t.need = now.minus(token).plusMillis(1);
            }
        }
        probeCredit =
                Math.min(nodes.size(), probeCredit + Math.min(1, PROBE_COST / set.probeCost()));
        t.group.spill = Math.min(SPILL_BURST, t.group.spill + (t.type.routed() ? SPILL : 0));
        // Its time passed in the receive queue of this overloaded router.
        boolean overdue = t.spare && waited.compareTo(beat) > 0;
        if (overdue || !resendable(t) || !submit(t)) {
            hold(t);
        }
        return t;
    }

    /** State of one accepted transaction. */
    private final class Txn implements TransactionHandle {
        final int id;
        final Type type;
        final Group group;
        final int session;
        final Duration expiry;

        /** When it is answered if it is still queued. */
        final Duration giveUp;

        /** Position that a replica must have applied to serve this session's read. */
        Duration need = NEVER;

        int submissions;

        /** Whether the client has its final answer or disconnected. */
        boolean closed;

        /** Whether an earlier submission failed, so that the primary may serve the read. */
        boolean fellBack;

        /** Low priority: past its SLA time, or beyond its tenant's quota. */
        boolean spare;

        /** Since when it may have been executed; null if it was certainly not. */
        Duration ranAt;

        Duration sentAt;

        /** Total pause of this process when it was sent. */
        Duration sentAway;

        /** Whether its pending submission searches for the primary. */
        boolean searches;

        /** Node that last answered with an error. */
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
            // The timeout of a retry is all the time left to the client, which gives the age of the
            // first try.
            Duration age =
                    type.repeated(patience)
                            ? type.set.totalClientTimeout().minus(patience)
                            : Duration.ZERO;
            Duration useful = came.plus(type.sla).minus(age);
            Duration last = type.lateEarns ? expiry : min(expiry, useful);
            Duration held = came.plus(multiply(patience, HELD));
            giveUp = min(last.minus(type.usual), held).minus(beat.multipliedBy(2));
            spare = giveUp.compareTo(now) <= 0;
        }

        @Override
        public void submissionEnded(
                int node,
                SubmissionResult result,
                Duration took,
                boolean over,
                NodeReport note,
                NodeReport report) {
            Node n = nodes.get(node);
            n.out--;
            if (searches) {
                searches = false;
                group.searching = false;
            }
            // The measured time may include a pause of this process: assumes the node's typical
            // time,
            // limited to the range that the pause permits.
            Duration least = took.minus(away.minus(sentAway));
            judge(n, type, result, max(least, min(took, multiply(type.usual, n.pace))));
            if (result == SubmissionResult.ERROR || result == SubmissionResult.COMMITTED) {
                blame(n, result == SubmissionResult.ERROR);
            }
            NodeReport seen = note;
            if (result == SubmissionResult.COMMITTED
                    && type.read == Consistency.WRITE
                    && note.position() != null) {
                // The commit's position is rounded up and an applied position down, so one
                // millisecond less counts as applied.
                seen = new NodeReport(note.position().minusMillis(1), note.role());
                if (session >= 0) {
                    written[session] = max(written[session], note.position());
                }
            }
            nodeReported(node, seen, report);
            if (result == SubmissionResult.COMMITTED
                    && note.role() == NodeRole.REPLICA
                    && note.position() != null) {
                double still = n.behind.compareTo(multiply(took, 0.5)) > 0 ? 1 : 0;
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
            // Running nodes refuse connections: this router closes its idle ones, since other
            // routers
            // wait for them. Exceptions are connections that fail by timeout, as they are
            // slow to open again, and connections that are likely to be reused soon.
            if (n.out == 0
                    && now.compareTo(scarceAt.plus(multiply(set.dialTimeout(), SCARCE))) < 0
                    && n.gap.compareTo(multiply(typical, PATIENCE)) > 0) {
                outlet.release(n.id);
            }
        }

        /**
         * Attributes an error to the node if another node then commits the transaction, and to the
         * transaction if the other node fails too. Guards against excluding nodes for errors that
         * occur on every node. A primary that fails writes only is not detected by this; that needs
         * another primary of its group.
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
                    type.read == Consistency.STRONG
                            || type.read == Consistency.BOUNDED_STALENESS
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

    /** Continues a transaction whose submission ended without a final answer for the client. */
    private void goOn(Txn t, Node n, SubmissionResult result) {
        if (result == SubmissionResult.TIMED_OUT || result == SubmissionResult.MOOT) {
            // Reported to the client, not submitted again: the statement would be as slow on
            // another node, and the client can retry.
            finish(t, Duration.ZERO);
            return;
        }
        // While most errors are caused by the transactions, falling back would double the load of
        // the primary; a random share still falls back, to detect when that changes.
        boolean own = ownFault > 0.5 && chance.nextDouble() > FAIL_GAIN;
        boolean lostRole = t.type.read == Consistency.WRITE && n.denied.equals(now);
        if (result == SubmissionResult.ERROR && (t.errors > 1 || own && !lostRole)) {
            finish(t, t.type.sla);
            return;
        }
        if (t.type.read == Consistency.WRITE && result == SubmissionResult.MISS) {
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

    /**
     * Returns whether another submission cannot apply the transaction twice: it was never executed,
     * is idempotent, or its nodes still recognize its idempotency key.
     */
    private boolean remembered(Txn t) {
        Repeatability effect = t.type.set.repeatability();
        return t.ranAt == null
                || effect == Repeatability.IDEMPOTENT
                || effect == Repeatability.DEDUPLICATED
                        && now.plus(set.clockStep())
                                        .compareTo(t.ranAt.plus(t.type.set.deduplicationWindow()))
                                < 0;
    }

    /** Returns the concurrency limit for the transaction's priority. */
    private double room(Node n, Txn t) {
        return t.spare ? n.room * SPARE_ROOM : n.room;
    }

    /** Queues a transaction; rejects one of low priority instead. */
    private void hold(Txn t) {
        if (t.spare && resendable(t)) {
            finish(t, set.maxRetryDelay());
        } else if (!over(t)) {
            int at = t.group.held.size();
            while (at > 0 && t.group.held.get(at - 1).type.rank() < t.type.rank()) {
                at--;
            }
            t.group.held.add(at, t);
            seek(t.group);
        }
    }

    /** Answers a transaction whose queue time is over or that may not be submitted again. */
    private boolean over(Txn t) {
        boolean over = !resendable(t) || now.compareTo(t.giveUp) >= 0;
        if (over) {
            finish(t, t.type.sla);
        }
        return over;
    }

    /** Answers the client: a retry is harmless, or else the outcome is unknown. */
    private void finish(Txn t, Duration pause) {
        t.closed = true;
        boolean harmless =
                t.ranAt == null
                        || t.type.set.repeatability() == Repeatability.IDEMPOTENT
                        || t.type.set.repeatability() == Repeatability.DEDUPLICATED
                                && !t.type.set.deduplicatedByGroup();
        if (harmless) {
            outlet.decline(t.id, min(reckoning.back(pause, chance), set.maxRetryDelay()));
        } else {
            outlet.reportUnknownOutcome(t.id);
        }
    }

    /** Submits the group's queued transactions where possible, and answers expired ones. */
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

    // ---- selection of nodes

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
                t.type.lateEarns || t.type.read == Consistency.WRITE
                        ? left
                        : min(left, multiply(t.type.usual, PATIENCE));
        t.submissions++;
        t.sentAt = now;
        t.sentAway = away;
        if (!onTrial(n)) {
            n.trials = 1;
        } else {
            // Random, so that routers do not all try a recovering node at the same moment.
            double gap = TRIAL_GAP * Math.min(n.trials++, TRIALS) * (1 + chance.nextDouble() / 2);
            n.tryAt = now.plus(multiply(set.dialTimeout(), gap));
        }
        if (n.out++ == 0) {
            n.quiet = now;
        }
        n.gap = n.sentAt.equals(NEVER) ? n.gap : now.minus(n.sentAt);
        n.sentAt = now;
        n.coldCredit -= toSeconds(cost(t.type));
        outlet.submit(t.id, n.id, limit);
        return true;
    }

    private Node primaryFor(Txn t) {
        Node pri = primary(t.group);
        if (pri != null && open(pri, 2 * room(pri, t))) {
            return pri;
        }
        return t.type.read == Consistency.WRITE && (pri == null || !trusted(pri))
                ? search(t)
                : null;
    }

    /**
     * Selects a node while no trusted primary is known: one write at a time is sent to the members
     * in turn, with a pause after each round.
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
            g.searchAt = now.plus(multiply(set.dialTimeout(), TRIAL_GAP));
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
        Duration need = t.type.read == Consistency.SESSION ? t.need : now.minus(t.type.bound);
        for (Node n : g.members) {
            if (n == pri || !open(n, room(n, t))) {
                continue;
            }
            boolean fresh = n.position.compareTo(need) >= 0 || keepsUp(n, need);
            if (fresh || t.type.read == Consistency.EVENTUAL) {
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
     * Returns whether a replica may be current enough although its known position is not. Applies
     * only if nodes reject reads that they are too far behind for. A replica qualifies if its last
     * measured lag fits the read twice over, or was measured too long ago. Guards against positions
     * that a router with few transactions learns late; the cost is a rejected read when a replica
     * starts to lag.
     */
    private boolean keepsUp(Node n, Duration need) {
        return set.nodesRejectStaleReads()
                && (now.minus(multiply(n.behind, 2)).compareTo(need) >= 0
                        || n.toldAt.plus(anyBound).compareTo(now) < 0);
    }

    /**
     * Selects a node for a read that stalls replication: the replica with the largest lag, on which
     * all routers agree without coordination. That replica stays behind while the others keep up.
     * Guards against stalling every replica in turn, which leaves none for reads that must be
     * current. Such reads use at most the share of replicas that matches their share of the work,
     * and are queued beyond that.
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
            if (open(n, room(n, t)) && (!cold(n) || n.coldCredit >= toSeconds(t.type.usual))) {
                return n;
            }
        }
        return null;
    }

    /**
     * Returns the estimated load of a node.
     *
     * @param others the estimated submissions of other routers: random with mean one, so that idle
     *     routers do not all choose the same replica
     */
    private double busy(Node n, double others) {
        return (n.out + others) / n.size * n.pace * (n.far ? FAR : 1) * (n.doubted ? DOUBTED : 1);
    }

    /** Returns whether the member list permits new transactions to the node. */
    private boolean listed(Node n) {
        return n.standing == MemberState.READY
                || n.standing == MemberState.GONE && set.unlistedNodesStayOpen();
    }

    /**
     * Returns whether a node may be sent another transaction now. An unreachable node must first
     * answer a probe, which delays no transaction. A node that accepts connections but is silent or
     * failing gets single trial transactions at growing intervals.
     */
    private boolean open(Node n, double room) {
        if (!listed(n) || cold(n) && n.coldCredit <= 0) {
            return false;
        }
        if (onTrial(n)) {
            return n.out == 0 && !(n.lost && set.probesEnabled()) && now.compareTo(n.tryAt) >= 0;
        }
        return n.out < room
                && (room >= 1
                        || now.compareTo(
                                        n.sentAt.plus(
                                                multiply(typical, 1 / Math.max(room, roomLeast))))
                                >= 0);
    }

    // ---- primary of a group

    /** Returns the member most recently known to be the primary, or null. */
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

    /** Records that a node was the primary at a time, unless newer information contradicts. */
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

    /** Records that a node was a replica at a time. */
    private void deny(Node n, Duration when) {
        n.denied = max(n.denied, when);
        if (n.claimed.compareTo(when) <= 0) {
            n.claimed = NEVER;
        }
    }

    /**
     * Applies the state that a node reported about itself.
     *
     * @param note the state at this moment
     * @param report the state at some earlier time
     */
    public void nodeReported(int node, NodeReport note, NodeReport report) {
        Node n = nodes.get(node);
        if (note.role() == NodeRole.PRIMARY) {
            claim(n, now);
        } else if (note.role() == NodeRole.REPLICA) {
            deny(n, now);
        }
        // A primary's position is the time of its report; a replica's position is older than its
        // report.
        if (report.position() != null && report.role() == NodeRole.PRIMARY) {
            claim(n, report.position());
        } else if (report.position() != null && report.role() == NodeRole.REPLICA) {
            deny(n, report.position());
        }
        if (note.position() != null) {
            n.position = max(n.position, note.position());
            n.behind = now.minus(n.position);
            n.toldAt = now;
        }
        n.position = report.position() == null ? n.position : max(n.position, report.position());
    }

    // ---- health

    /** Updates a node's health and concurrency limit with the result of a submission. */
    private void judge(Node n, Type type, SubmissionResult result, Duration took) {
        if (result == SubmissionResult.WITHDRAWN
                || result == SubmissionResult.MOOT
                || result == SubmissionResult.UNSENT) {
            return;
        }
        boolean bad =
                result == SubmissionResult.TIMED_OUT
                        || result == SubmissionResult.UNREACHABLE
                        || result == SubmissionResult.RESET;
        // Connections also break on healthy nodes, so a reset counts half; a node that is down
        // refuses the next connection.
        double gain =
                result == SubmissionResult.ERROR || result == SubmissionResult.SPOILT
                        ? 0
                        : result == SubmissionResult.UNREACHABLE
                                ? LOST_GAIN
                                : result == SubmissionResult.RESET ? FAIL_GAIN / 2 : FAIL_GAIN;
        n.failures += gain * ((bad ? 1 : 0) - n.failures);
        // A node that has only rejected work for this long counts as hung with a full queue.
        double since = ratio(now.minus(n.answeredAt), multiply(slowest(), PATIENCE));
        if (!bad && result != SubmissionResult.FULL) {
            n.quiet = now;
            n.silent = false;
            n.doubted = false;
            n.wellAt = now;
        } else if (result == SubmissionResult.FULL && since > 1) {
            n.silent = true;
        }
        n.atOnce =
                result == SubmissionResult.UNREACHABLE
                        ? took.compareTo(multiply(set.dialTimeout(), 0.5)) < 0
                        : n.atOnce;
        if (result == SubmissionResult.UNREACHABLE && failing(n)) {
            n.lost = true;
        } else if (!bad && n.lost) {
            back(n);
        }
        n.heardAt = bad ? n.heardAt : now;
        // The rarer the answers, the more weight each one has.
        double weight = Math.max(GAIN, Math.min(1, since));
        if (result == SubmissionResult.COMMITTED) {
            reckoning.did(toSeconds(cost(type)), part(n));
            n.pace += weight * (Math.min(4, ratio(took, type.usual)) - n.pace);
            Duration usual = type.usual.plus(multiply(took.minus(type.usual), GAIN / 10));
            type.usual = min(usual, multiply(type.sla, 0.5));
        }
        // More timeouts at this node than at most others indicate queued work there; otherwise they
        // indicate lost messages.
        boolean jammed =
                result == SubmissionResult.TIMED_OUT
                        && (n.strain > STRAINED / 2 || n.failures > median + FAIL_GAIN / 2);
        if (result == SubmissionResult.COMMITTED || jammed) {
            n.strain += weight * (Math.min(2, ratio(took, type.sla)) - n.strain);
            n.answeredAt = now;
        }
        // The limit is reduced from its actual use: the pending submissions or, without any, the
        // rate of submissions.
        if (result == SubmissionResult.FULL || n.strain > STRAINED) {
            if (result == SubmissionResult.FULL || now.compareTo(n.cutAt.plus(type.usual)) >= 0) {
                n.cutAt = now;
                double used = n.out > 0 ? n.out : Math.min(1, ratio(typical, n.gap));
                double cut = result == SubmissionResult.FULL || jammed ? FULL_CUT : ROOM_CUT;
                // If the whole fleet is as slow, the limit stays at the fleet's peak without
                // overload; a lower one would leave nodes idle.
                boolean alone = result == SubmissionResult.FULL || n.strain > strain * ALIKE;
                double least = alone ? roomLeast : Math.max(roomLeast, inWork * n.size);
                n.room = Math.max(Math.min(n.room, least), Math.min(n.room, used) * cut);
            }
        } else if (result == SubmissionResult.COMMITTED && n.out + 1 >= n.room * 0.8) {
            n.room += Math.min(n.room, 1 / n.room) * GAIN;
        }
    }

    /**
     * Records that an unreachable node answers again. The node counts as restarted and cold, even
     * before the member list says so, unless it answered its first probe (it only refused new
     * connections), applied the log throughout the outage, or is still the primary. A node that
     * restarts unnoticed and catches up counts as warm until the list reports its start.
     */
    private void back(Node n) {
        n.lost = false;
        Duration away = now.minus(n.heardAt);
        boolean followed =
                n.claimed.compareTo(LISTED) > 0
                        ? away.compareTo(multiply(set.warmUpTime(), UP)) > 0
                        : n.position.compareTo(now.minus(multiply(away, UP))) > 0;
        if (n.unheard) {
            // The network path failed: one answer restores trust, and no work is queued at the
            // node.
            n.tryAt = NEVER;
            n.trials = 1;
            n.failures = Math.min(n.failures, FAILING);
            n.room = Math.max(n.room, ROOM_START / set.routerCount());
            n.started = followed ? n.started : max(n.started, now);
            n.coldCredit = 0;
        }
        scarceAt = n.unheard || !n.atOnce ? scarceAt : now;
        n.unheard = false;
    }

    /**
     * Compares the failure rate with the fleet's median. The median is capped, so that nodes count
     * as failing even if most of the fleet fails.
     */
    private boolean failing(Node n) {
        return n.failures > Math.min(median, FAILING / 2) + FAILING;
    }

    /**
     * Returns whether the node is neither silent nor failing. The more submissions are pending, the
     * sooner an answer is expected.
     */
    private boolean trusted(Node n) {
        if (!n.silent && n.out > 0) {
            n.silent = mute(n, n.doubted ? DOUBT : 1);
        }
        return !n.silent && !failing(n);
    }

    /** Returns whether the node only gets trial transactions. */
    private boolean onTrial(Node n) {
        return !trusted(n) || n.doubted;
    }

    /** Returns whether pending submissions have been unanswered for this share of the limit. */
    private boolean mute(Node n, double part) {
        double wait = Math.max(SILENCE_LEAST, SILENCE / Math.max(1, n.out)) * part;
        return now.compareTo(n.quiet.plus(multiply(slowest(), wait))) > 0;
    }

    /**
     * Sets whether peers suspect a node, as found by gossip. A suspected node gets one trial
     * transaction after one to two dial timeouts, and its own answer ends the suspicion.
     */
    public void doubted(int node, boolean doubted) {
        Node n = nodes.get(node);
        if (doubted && !n.doubted) {
            n.tryAt = max(n.tryAt, now.plus(multiply(set.dialTimeout(), 1 + chance.nextDouble())));
        }
        n.doubted = doubted;
    }

    /**
     * Records that peers got answers from the node again: advances its next trial to a random
     * moment within one dial timeout, so that routers do not all try at once.
     */
    public void better(int node) {
        Node n = nodes.get(node);
        n.tryAt = min(n.tryAt, now.plus(multiply(set.dialTimeout(), chance.nextDouble())));
    }

    /**
     * Returns the health of a node as this router observes it. Suspicion by peers shortens the
     * silence time here, but is not returned as this router's own evidence.
     */
    public HealthObservation sees(int node) {
        Node n = nodes.get(node);
        boolean silent = !trusted(n) && n.silent && (n.out == 0 || mute(n, TOLD));
        boolean lately = n.wellAt.plus(multiply(slowest(), PATIENCE)).compareTo(now) > 0;
        return new HealthObservation(
                n.lost
                        ? HealthObservation.Health.LOST
                        : failing(n)
                                ? HealthObservation.Health.FAILING
                                : silent
                                        ? HealthObservation.Health.SILENT
                                        : lately && !n.silent
                                                ? HealthObservation.Health.WELL
                                                : HealthObservation.Health.UNKNOWN,
                n.wellAt,
                n.out > 0 && mute(n, TOLD) ? n.out : 0);
    }

    private Duration slowest() {
        Duration most = Duration.ZERO;
        for (Type t : types) {
            most = max(most, t.usual);
        }
        return most;
    }

    /** Returns whether the warm-up time since the node's start is not over. */
    private boolean cold(Node n) {
        return now.compareTo(n.started.plus(set.warmUpTime())) < 0;
    }

    /** Returns the minimum share of its full capacity that the node has reached by now. */
    private double part(Node n) {
        double age = cold(n) ? ratio(now.minus(n.started), set.warmUpTime()) : 1;
        return set.coldCapacityShare()
                + (1 - set.coldCapacityShare()) * Math.max(0, Math.min(1, age));
    }

    /**
     * Returns the work of one transaction. While all nodes are cold and little is known, a light
     * transaction counts as a typical one.
     */
    private Duration cost(Type type) {
        return reckoning.allCold() ? max(typical, type.usual) : type.usual;
    }

    // ---- periodic work

    /**
     * Runs the periodic work if due. The adapter calls this at the time that {@link
     * RoutingActions#scheduleWakeUp} set.
     */
    public void onWakeUp() {
        if (now.compareTo(beatAt.plus(beat)) < 0) {
            return;
        }
        double seconds = toSeconds(now.minus(beatAt));
        beatAt = now;
        outlet.scheduleWakeUp(beat);
        double warm = 0;
        double cold = 0;
        double listed = 0;
        double back = Math.max(ROOM_BACK, set.routerCount() / ROOM_BACK_ROUTERS);
        List<Double> shares = new ArrayList<>();
        List<Double> strains = new ArrayList<>();
        int out = 0;
        for (Node n : nodes) {
            if (n.group != null && (n.standing == MemberState.READY || listed(n) && !n.lost)) {
                warm += cold(n) ? 0 : n.size;
                shares.add(n.failures);
                strains.add(n.strain);
                out += cold(n) ? 0 : n.out;
            }
            listed += n.group != null ? n.size : 0;
            cold +=
                    n.group != null && n.standing == MemberState.READY && !n.lost && cold(n)
                            ? n.size
                            : 0;
            if (n.room < 1) {
                n.room *= Math.pow(2, seconds / (toSeconds(set.dialTimeout()) * back));
            }
        }
        median = Durations.median(shares);
        strain = Durations.median(strains);
        double kept = reckoning.kept(seconds);
        inWork = warm > 0 && strain < STRAINED ? Math.max(inWork * kept, out / warm) : inWork;
        boolean easy = strains.isEmpty() || strains.get(strains.size() - 1) < STRAINED / 2;
        reckoning.beat(
                seconds,
                new Reckoning.Seen(
                        warm, cold, listed, takeRate, toSeconds(typical), easy, inWork > 0));
        takeRate += Math.min(1, seconds) * (taken / seconds - takeRate);
        taken = 0;
        double work = 0;
        double txns = 0;
        double stalling = 0;
        double current = 0;
        for (Type t : types) {
            work += t.work;
            txns += t.work / toSeconds(t.usual);
            stalling += t.stalling(tightest) ? t.work : 0;
            current +=
                    t.read == Consistency.BOUNDED_STALENESS || t.read == Consistency.SESSION
                            ? t.work
                            : 0;
            t.work *= kept;
        }
        stallPart = stalling / Math.max(1e-9, stalling + current);
        typical = txns > 0 ? Duration.ofNanos((long) (work / txns * 1e9)) : slowest();
        for (Tenant t : tenants) {
            double entitled = Math.max(t.quota / set.routerCount(), takeRate * t.quota / allQuotas);
            t.allowance =
                    Math.min(Math.max(QUOTA_BURST, entitled), t.allowance + entitled * seconds);
        }
        if (now.compareTo(coldAt) >= 0) {
            double piece = toSeconds(typical);
            Duration window = multiply(set.overloadTime(), COLD_WINDOW);
            coldAt = now.plus(window);
            for (Node n : nodes) {
                if (cold(n)) {
                    double safe =
                            part(n)
                                    * reckoning.rate()
                                    * n.size
                                    * COLD_SHARE
                                    * set.overloadMultiple();
                    // Unused credit expires at random, on average after the time in which excess
                    // load overloads a node, so that many routers that spend their credit at once
                    // send no more than was granted in that time.
                    boolean lapses = chance.nextDouble() < COLD_WINDOW;
                    double dealt =
                            Math.floor(safe * toSeconds(window) / piece + chance.nextDouble());
                    n.coldCredit =
                            (lapses ? Math.min(0, n.coldCredit) : n.coldCredit) + dealt * piece;
                }
            }
        }
        if (set.memberListOnRequest()
                && !following
                && now.compareTo(askedAt.plus(multiply(set.memberListValidity(), 0.25))) > 0) {
            askedAt = now;
            outlet.watchMemberList();
        }
        lookAround();
        groups.values().forEach(this::place);
    }

    /**
     * Probes each new node once, and later those whose position is older than the bound of
     * eventually consistent reads. The latter uses at most half of the probe credit: a router with
     * few transactions keeps the rest for queued reads that need a position.
     */
    private void lookAround() {
        for (Node n : nodes) {
            boolean may = n.probedAt.equals(NEVER) || probeCredit > nodes.size() / 2.0;
            if (n.group != null
                    && may
                    && max(n.position, n.claimed).plus(anyBound).compareTo(now) < 0) {
                probe(n, anyBound);
            }
        }
    }

    /**
     * Probes nodes on behalf of queued transactions: all members if no trusted primary is known,
     * otherwise two random replicas that could take a transaction. Probing all replicas would use
     * up the probe credit of a router with few transactions.
     */
    private void seek(Group g) {
        Node pri = primary(g);
        Duration gap = multiply(set.dialTimeout(), SEEK_GAP);
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

    /** Sends a probe if the credit and the minimum interval since the last probe permit. */
    private boolean probe(Node n, Duration gap) {
        if (!set.probesEnabled()
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

    /** Records the result of a health check. */
    public void probed(int node, boolean answered, NodeReport report) {
        Node n = nodes.get(node);
        n.probing = false;
        n.unheard |= n.lost && !answered;
        if (answered) {
            nodeReported(node, NodeReport.EMPTY, report);
            if (n.lost) {
                back(n);
            }
            n.heardAt = now;
            place(n.group);
        }
    }
}
