package dillfront.routing;

import static dillfront.routing.api.Durations.max;
import static dillfront.routing.api.Durations.min;
import static dillfront.routing.api.Durations.multiply;
import static dillfront.routing.api.Durations.ratio;
import static dillfront.routing.api.Durations.toSeconds;

import dillfront.router.recovery.CapacityEstimator;
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
public final class RoutingEngine {

    /**
     * Session indices run below this. Sessions may share one: they then see later writes than they
     * need.
     */
    public static final int SESSION_SLOTS = 1 << 13;

    private static final Duration NEVER = Duration.ofSeconds(Long.MIN_VALUE / 4);

    /** The time of what a list says of roles: older than all that a node says itself. */
    private static final Duration LISTED_AT = NEVER.plusSeconds(1);

    // Ratios. Beats are in steps of the clock; gaps in dial time-outs, the site's own idea of a
    // long wait.
    private static final int TICK_STEPS = 4;
    private static final double TRIAL_INTERVAL_CONNECT_TIMEOUTS = 4;
    private static final int MAX_TRIAL_BACKOFF = 4;
    private static final double MIN_PROBE_INTERVAL_CONNECT_TIMEOUTS = 0.25;
    private static final int MAX_REPLICAS_PROBED = 2;

    /**
     * What probing may cost of the service, as the settings price it: so many probes a txn at the
     * most.
     */
    private static final double MAX_PROBE_COST_PER_TRANSACTION = 0.01;

    /**
     * An any read asks for this many times the bound of bounded reads: 1 s where that is 200 ms.
     */
    private static final double EVENTUAL_BOUND_MULTIPLE = 5;

    /** Of the reads that could be routed, the share that may go to a calm primary. */
    private static final double MAX_PRIMARY_READ_SHARE = 0.5;

    private static final double MAX_PRIMARY_READ_BURST = 8;

    /** A primary is calm while its answers take less than this many times the fleet's usual. */
    private static final double MAX_LOW_LOAD_SLOWDOWN = 1.5;

    /** And while they take less than this part of what strains a node. */
    private static final double MAX_LOW_LOAD_OVERLOAD_SHARE = 0.9;

    /** How much busier a replica of this zone may be than one across zones. */
    private static final double OTHER_ZONE_LOAD_FACTOR = 1.5;

    /** How much busier a replica within an any read's bound may be than one that is past it. */
    private static final double STALE_REPLICA_LOAD_FACTOR = 1.5;

    /** For so many dial time-outs after a refused connection no free one is kept. */
    private static final double CONNECTION_SHORTAGE_CONNECT_TIMEOUTS = 16;

    /**
     * A repeat's length is this far off that of first tries, as a part of all the client's time.
     */
    private static final double RETRY_TIMEOUT_TOLERANCE = 0.04;

    /**
     * The share sent of the load that would push a cold node over: warm nodes may be nearly full.
     */
    private static final double WARM_UP_LOAD_SHARE = 0.6;

    /**
     * The budget is dealt out for this part of the time in which too much load pushes a cold node
     * over.
     */
    private static final double WARM_UP_GRANT_SHARE = 0.25;

    /**
     * A tenant may be ahead by so many txns, or by its second's worth: few come, and never evenly.
     */
    private static final double MIN_TENANT_BURST_TRANSACTIONS = 8;

    /** The part of a node's room that is open to what earns next to nothing. */
    private static final double LOW_PRIORITY_CONCURRENCY_SHARE = 0.5;

    /**
     * A submission waits this many times what its type usually takes, where late answers earn
     * nothing.
     */
    private static final double READ_TIMEOUT_TYPICAL_TIMES = 8;

    /** A node with n submissions out is silent after the larger of these, in usual times. */
    private static final double UNRESPONSIVE_TYPICAL_TIMES = 6;

    private static final double MIN_UNRESPONSIVE_TYPICAL_TIMES = 1.5;

    /**
     * Others doubt a node: its silence is believed after this part of that, and others are taken
     * first.
     */
    private static final double SUSPECTED_UNRESPONSIVE_SHARE = 0.5;

    private static final double SUSPECTED_LOAD_FACTOR = 4;

    /**
     * Silence that is told to others has lasted longer: a false alarm costs them more than this
     * router.
     */
    private static final double REPORTED_UNRESPONSIVE_MULTIPLE = 2;

    /** A node fails when its share of failures is this far above the fleet's median. */
    private static final double FAILING_RATE_MARGIN = 0.5;

    /**
     * The part of its absence that a node's position may be behind if it was never down; of cold
     * time.
     */
    private static final double RUNNING_OUTAGE_SHARE = 0.25;

    private static final double FAILURE_SMOOTHING = 0.2;
    private static final double UNREACHABLE_SMOOTHING = 0.4;
    private static final double RESPONSE_TIME_SMOOTHING = 0.2;

    /**
     * Answers slower than this part of the SLA time shrink the room at a node, faster ones widen
     * it.
     */
    private static final double OVERLOAD_SLA_RATIO = 0.45;

    /** A node is strained like the fleet up to this many times the fleet's median. */
    private static final double FLEET_OVERLOAD_MULTIPLE = 1.5;

    /**
     * Room for submissions at a node, over all routers; below one it is one in so many usual times.
     */
    private static final double INITIAL_CONCURRENCY = 24;

    private static final double MIN_CONCURRENCY = 0.3;
    private static final double OVERLOAD_DECREASE_FACTOR = 0.85;
    private static final double REJECTED_DECREASE_FACTOR = 0.5;

    /**
     * What waits is answered by this part of its client's time: an early answer leaves time to ask
     * again.
     */
    private static final double MAX_QUEUE_TIME_SHARE = 0.5;

    /**
     * Below one, room doubles in so many dial time-outs; more of them for many routers at a jammed
     * node.
     */
    private static final double MIN_DOUBLING_CONNECT_TIMEOUTS = 8;

    private static final double ROUTERS_PER_DOUBLING_CONNECT_TIMEOUT = 3;

    /** One row a txn type. */
    private static final class TypeState {
        final TransactionType settings;
        final Consistency consistency;
        final Duration stalenessBound;
        final Duration slaTime;
        final boolean lateAnswersHaveValue;

        /** How long a client's first try is given, by the running median of all tries. */
        Duration firstTryTimeout;

        Duration typicalTime;

        /**
         * The share of its answers that came from a replica which had applied nothing while it ran.
         */
        double stallShare = 1;

        /**
         * What was asked of it, in seconds of usual time, over about the time in which a node
         * warms.
         */
        double requestedSeconds;

        TypeState(TransactionType transactionType, Duration eventualBound) {
            settings = transactionType;
            consistency = transactionType.consistency();
            stalenessBound =
                    consistency == Consistency.EVENTUAL
                            ? eventualBound
                            : transactionType.stalenessBound();
            slaTime = transactionType.slaTime();
            lateAnswersHaveValue = transactionType.lateValueShare() > 0;
            typicalTime = multiply(slaTime, 0.25);
        }

        boolean detectRetry(Duration clientTimeout) {
            Duration difference =
                    clientTimeout.minus(firstTryTimeout == null ? clientTimeout : firstTryTimeout);
            firstTryTimeout =
                    clientTimeout
                            .minus(difference)
                            .plus(
                                    multiply(
                                            settings.totalClientTimeout(),
                                            Math.signum(difference.toNanos())
                                                    * RETRY_TIMEOUT_TOLERANCE
                                                    / 8));
            return difference
                            .abs()
                            .compareTo(
                                    multiply(
                                            settings.totalClientTimeout(), RETRY_TIMEOUT_TOLERANCE))
                    > 0;
        }

        boolean isReplicaRead() {
            return consistency == Consistency.EVENTUAL
                    || consistency == Consistency.BOUNDED_STALENESS
                    || consistency == Consistency.SESSION;
        }

        double valuePerTime() {
            return settings.value() / (typicalTime.toNanos() + 1);
        }

        /** It puts a replica out of the tightest bound: none applies the log while it holds one. */
        boolean stallsReplication(Duration tightestBound) {
            return consistency == Consistency.EVENTUAL
                    && stallShare > 0.5
                    && typicalTime.compareTo(tightestBound) > 0;
        }
    }

    /**
     * One row a machine in the list, and until nothing of it is out; used again once it is
     * forgotten.
     */
    private static final class Node {
        final int index;
        Group group;
        boolean inOtherZone;
        double size = 1;
        MemberState listedState = MemberState.GONE;
        Duration startedAt = NEVER;
        Duration position = NEVER;

        /** How far behind it was when an answer last told, and when that was. */
        Duration measuredLag = Duration.ZERO;

        Duration lagMeasuredAt = NEVER;

        /** The latest time at which it is known to have been the primary, and to have been none. */
        Duration lastPrimaryAt = NEVER;

        Duration lastReplicaAt = NEVER;
        int pending;

        /** While anything is out: since when nothing has been heard. */
        Duration unansweredSince = NEVER;

        boolean unresponsive;

        /** Others say that it is ill, and it has not answered since. */
        boolean suspected;

        boolean unreachable;

        /** When it last answered anything, or came into the list. */
        Duration lastAnswerAt = NEVER;

        /** A probe was lost too. */
        boolean probeFailed;

        /** Its last connection that failed did so at once, not by the dial time-out. */
        boolean refusedAtOnce;

        double failureRate;
        double slaRatio;
        double slowdown = 1;
        double concurrencyLimit;
        Duration lastSubmissionAt = NEVER;

        /** Between its last two sends. */
        Duration submissionInterval = Duration.ZERO;

        Duration responseTimeUpdatedAt = Duration.ZERO;
        Duration lastHealthyAt = NEVER;
        Duration limitReducedAt = NEVER;
        Duration nextTrialAt = NEVER;
        int trialBackoff = 1;
        Duration lastProbeAt = NEVER;
        boolean probePending;
        double warmUpCredit;

        Node(int index, int routerCount) {
            this.index = index;
            concurrencyLimit = Math.max(1, INITIAL_CONCURRENCY / routerCount);
        }
    }

    /** One row a tenant of the settings. */
    private static final class Tenant {
        final double quotaPerSecond;
        double credit;

        Tenant(double quotaPerSecond, int routerCount) {
            this.quotaPerSecond = quotaPerSecond;
            credit = Math.max(MIN_TENANT_BURST_TRANSACTIONS, quotaPerSecond / routerCount);
        }
    }

    private static final class Group {
        /** Those in the list now, sorted. */
        final List<Node> members = new ArrayList<>();

        /**
         * Txns waiting for a node, best value for its time first; each leaves at its give-up time.
         */
        final List<Transaction> queue = new ArrayList<>();

        double primaryReadCredit = MAX_PRIMARY_READ_BURST;

        /** The search for a primary by writes: whose turn, how many have missed, when to go on. */
        int searchIndex;

        int searchMisses;
        Duration nextSearchAt = NEVER;
        Duration replicasProbedAt = NEVER;
        boolean searchPending;
    }

    private RoutingSettings settings;
    private final RoutingActions actions;
    private final RandomGenerator random;
    private TypeState[] types;
    private List<Tenant> tenants;
    private double quotaSum;
    private final List<Node> nodes = new ArrayList<>();
    private final TreeMap<Integer, Group> groups = new TreeMap<>();

    /** The last commit of each session index; of fixed size. */
    private final Duration[] lastCommits = new Duration[SESSION_SLOTS];

    private Duration tickInterval;
    private Duration tightestBound;
    private Duration eventualBound;
    private double minConcurrency;
    private Duration now = Duration.ZERO;
    private Duration lastTickAt = NEVER;
    private boolean started;

    /** For how long the caller was away since the start, in all. */
    private Duration totalPause = Duration.ZERO;

    /** Probes that may be sent: filled by txns, at most one for each node. */
    private double probeCredit;

    private int acceptedSinceTick;
    private double acceptedPerSecond;

    /** What nodes can do, in usual times, since a report may be worth twenty views. */
    private final CapacityEstimator capacityEstimate = new CapacityEstimator();

    private Duration nextWarmUpGrantAt = NEVER;
    private double medianFailureRate;

    /**
     * How strained the fleet's median is, and what was out to a warm node at most while it was not.
     */
    private double medianSlaRatio;

    private double peakPending;

    /** The usual time of a txn, over all that were asked. */
    private Duration typicalTime;

    /** The part of stalling reads in the work of them and of reads that must be current. */
    private double stallingWorkShare;

    /** Of the errors that were tried at a second node, the share that came there too. */
    private double transactionErrorShare;

    private Duration listRequestedAt = NEVER;
    private boolean watchingMemberList;

    /** When a node that gave this router no connection last showed that it was up. */
    private Duration connectionShortageAt = NEVER;

    /**
     * @param settings the deployment's settings; the outlet gets every decision, at once or later
     */
    public RoutingEngine(RoutingSettings settings, RoutingActions actions, RandomGenerator random) {
        this.actions = actions;
        this.random = random;
        Arrays.fill(lastCommits, NEVER);
        applySettings(settings);
    }

    /**
     * Other settings from now on; their zones count from the next list. What was taken goes on by
     * the row of its own txn type, and what is known of nodes stays; what is usual for a txn type
     * is learned anew.
     */
    public void applySettings(RoutingSettings next) {
        settings = next;
        tickInterval = next.clockStep().multipliedBy(TICK_STEPS);
        tightestBound = null;
        for (TransactionType type : next.transactionTypes()) {
            Duration bound =
                    type.consistency() != Consistency.BOUNDED_STALENESS
                            ? tightestBound
                            : type.stalenessBound();
            tightestBound = tightestBound == null ? bound : min(bound, tightestBound);
        }
        tightestBound = tightestBound == null ? next.connectTimeout() : tightestBound;
        eventualBound = multiply(tightestBound, EVENTUAL_BOUND_MULTIPLE);
        types = new TypeState[next.transactionTypes().size()];
        for (int i = 0; i < types.length; i++) {
            types[i] = new TypeState(next.transactionTypes().get(i), eventualBound);
        }
        tenants = new ArrayList<>();
        double sum = 0;
        for (double quota : next.tenantQuotas()) {
            tenants.add(new Tenant(quota, next.routerCount()));
            sum += quota;
        }
        quotaSum = sum;
        minConcurrency = MIN_CONCURRENCY / next.routerCount();
        typicalTime = longestTypicalTime();
        capacityEstimate.settings(next.warmUpTime(), next.overloadTime());
        rebuildGroups();
    }

    /** Moves the clock; calls that follow happen at this time. */
    public void setTime(Duration time) {
        now = time;
        if (!started) {
            started = true;
            lastTickAt = now;
            actions.scheduleWakeUp(tickInterval);
        }
    }

    /**
     * The caller itself was away for so long, and what nodes said meanwhile is only heard now.
     * Guards against a router on part of a core that takes its own pause for the silence of every
     * node at once.
     */
    public void recordPause(Duration pause) {
        totalPause = totalPause.plus(pause);
        nodes.forEach(
                node ->
                        node.unansweredSince =
                                node.pending > 0
                                        ? node.unansweredSince.plus(pause)
                                        : node.unansweredSince);
    }

    // ---- the member list

    /** Takes a member list: the complete one, or only what has changed. */
    public void updateMembers(boolean complete, List<NodeRow> rows) {
        if (complete) {
            nodes.forEach(
                    node ->
                            node.listedState =
                                    node.listedState == MemberState.DRAINING
                                            ? node.listedState
                                            : MemberState.GONE);
        }
        watchingMemberList = listRequestedAt.compareTo(NEVER) > 0;
        for (NodeRow row : rows) {
            while (nodes.size() <= row.node()) {
                nodes.add(new Node(nodes.size(), settings.routerCount()));
            }
            Node node = nodes.get(row.node());
            probeCredit += node.group == null ? 1 : 0;
            node.lastAnswerAt = node.group == null ? now : node.lastAnswerAt;
            // Where only draining binds, it binds until the node is listed as ready again.
            if (!settings.unlistedNodesStayOpen()
                    || node.listedState != MemberState.DRAINING
                    || row.standing() != MemberState.GONE) {
                node.listedState = row.standing();
            }
            node.inOtherZone = row.zone() != settings.zone();
            node.size = row.size() > 0 ? row.size() : 1;
            if (row.started() != null && row.started().compareTo(node.startedAt) > 0) {
                node.startedAt = row.started();
                node.warmUpCredit = 0;
            }
            node.group = groups.computeIfAbsent(row.group(), k -> new Group());
            node.lastPrimaryAt =
                    !row.primary() && node.lastPrimaryAt.equals(LISTED_AT)
                            ? NEVER
                            : node.lastPrimaryAt;
        }
        rebuildGroups();
        for (NodeRow row : rows) {
            if (row.primary()) {
                recordPrimary(nodes.get(row.node()), LISTED_AT);
            }
        }
        probeStaleNodes();
        groups.values().forEach(this::submitQueued);
    }

    private void rebuildGroups() {
        groups.values().forEach(group -> group.members.clear());
        for (Node node : nodes) {
            if (node.group != null
                    && (node.listedState != MemberState.GONE || settings.unlistedNodesStayOpen())) {
                node.group.members.add(node);
            }
        }
    }

    /**
     * A node has left the list: gives its row back if nothing is out there, so no table grows all
     * day. Where gone stays open, only once it has also been out of reach for the time in which one
     * warms.
     */
    public boolean forgetNode(int nodeIndex) {
        Node node = nodes.get(nodeIndex);
        boolean unreachableForWarmUp =
                node.unreachable
                        && node.lastAnswerAt.plus(settings.warmUpTime()).compareTo(now) < 0;
        if (isOpenByList(node) && !unreachableForWarmUp || node.pending > 0 || node.probePending) {
            return false;
        }
        if (node.group != null) {
            node.group.members.remove(node);
        }
        nodes.set(nodeIndex, new Node(nodeIndex, settings.routerCount()));
        return true;
    }

    public void memberListFailed() {
        watchingMemberList = false;
    }

    // ---- txns

    /**
     * Takes a txn, and owes it a final answer.
     *
     * @param session its index below SESSIONS, or negative
     * @param clientTimeout how long the client waits
     * @param sinceLastWrite how long ago its session last wrote; null where txns carry none, zero
     *     where it has not
     * @param queueTime how long it has lain here before this call; what it wanted of its time is
     *     over by then
     * @param earlierRunSince since when it may have run by an earlier try of its client
     *     (recovery.Doubts), or null
     */
    public TransactionHandle accept(
            int id,
            int type,
            int tenant,
            int session,
            int group,
            Duration clientTimeout,
            Duration sinceLastWrite,
            Duration queueTime,
            Duration earlierRunSince) {
        Transaction transaction =
                new Transaction(
                        id,
                        types[type],
                        groups.computeIfAbsent(group, k -> new Group()),
                        session,
                        clientTimeout,
                        queueTime,
                        earlierRunSince);
        acceptedSinceTick++;
        transaction.type.requestedSeconds += toSeconds(transaction.type.typicalTime);
        if (tenant >= 0
                && tenants.get(tenant).quotaPerSecond > 0
                && tenants.get(tenant).credit-- < 1) {
            tenants.get(tenant).credit++;
            transaction.lowPriority = true;
        }
        if (transaction.type.consistency == Consistency.SESSION) {
            if (sinceLastWrite == null) {
                transaction.requiredPosition = session < 0 ? NEVER : lastCommits[session];
            } else if (!sinceLastWrite.isZero()) {
                // Fixed at arrival; a millisecond for the rounding of both figures.
                transaction.requiredPosition = now.minus(sinceLastWrite).plusMillis(1);
            }
        }
        probeCredit =
                Math.min(
                        nodes.size(),
                        probeCredit
                                + Math.min(
                                        1, MAX_PROBE_COST_PER_TRANSACTION / settings.probeCost()));
        transaction.group.primaryReadCredit =
                Math.min(
                        MAX_PRIMARY_READ_BURST,
                        transaction.group.primaryReadCredit
                                + (transaction.type.isReplicaRead() ? MAX_PRIMARY_READ_SHARE : 0));
        // Its time went by in line at this router, which has more to do than it can.
        boolean overdue = transaction.lowPriority && queueTime.compareTo(tickInterval) > 0;
        if (overdue || !maySubmitAgain(transaction) || !submit(transaction)) {
            enqueue(transaction);
        }
        return transaction;
    }

    private final class Transaction implements TransactionHandle {
        final int id;
        final TypeState type;
        final Group group;
        final int session;
        final Duration expiresAt;
        final Duration queueExpiresAt;
        Duration requiredPosition = NEVER;
        int submissions;
        boolean finished;
        boolean fellBack;

        /** Earns next to nothing: past its SLA time already, or beyond its tenant's share. */
        boolean lowPriority;

        Duration mayHaveRunSince;
        Duration submittedAt;
        Duration pauseAtSubmission;
        boolean searchesPrimary;

        /** Where it last ended in an error, and how often. */
        Node erredNode;

        int errorCount;

        Transaction(
                int id,
                TypeState type,
                Group group,
                int session,
                Duration clientTimeout,
                Duration queueTime,
                Duration earlierRunSince) {
            mayHaveRunSince = earlierRunSince;
            this.id = id;
            this.type = type;
            this.group = group;
            this.session = session;
            Duration arrivedAt = now.minus(queueTime);
            expiresAt = arrivedAt.plus(clientTimeout);
            // A try of another length than the first has all that is left to the client: that tells
            // its age.
            Duration age =
                    type.detectRetry(clientTimeout)
                            ? type.settings.totalClientTimeout().minus(clientTimeout)
                            : Duration.ZERO;
            Duration usefulUntil = arrivedAt.plus(type.slaTime).minus(age);
            Duration latestAnswerAt =
                    type.lateAnswersHaveValue ? expiresAt : min(expiresAt, usefulUntil);
            Duration maxQueuedUntil = arrivedAt.plus(multiply(clientTimeout, MAX_QUEUE_TIME_SHARE));
            queueExpiresAt =
                    min(latestAnswerAt.minus(type.typicalTime), maxQueuedUntil)
                            .minus(tickInterval.multipliedBy(2));
            lowPriority = queueExpiresAt.compareTo(now) <= 0;
        }

        @Override
        public void submissionEnded(
                int nodeIndex,
                SubmissionResult result,
                Duration measuredTime,
                boolean answered,
                NodeReport current,
                NodeReport report) {
            Node node = nodes.get(nodeIndex);
            node.pending--;
            if (searchesPrimary) {
                searchesPrimary = false;
                group.searchPending = false;
            }
            // Of a time in which this router was away, what is usual there is believed, within what
            // can be.
            Duration minTime = measuredTime.minus(totalPause.minus(pauseAtSubmission));
            recordResult(
                    node,
                    type,
                    result,
                    max(minTime, min(measuredTime, multiply(type.typicalTime, node.slowdown))));
            if (result == SubmissionResult.ERROR || result == SubmissionResult.COMMITTED) {
                attributeError(node, result == SubmissionResult.ERROR);
            }
            NodeReport applied = current;
            if (result == SubmissionResult.COMMITTED
                    && type.consistency == Consistency.WRITE
                    && current.position() != null) {
                // A commit is rounded up, a position down: what was applied is a millisecond less.
                applied = new NodeReport(current.position().minusMillis(1), current.role());
                if (session >= 0) {
                    lastCommits[session] = max(lastCommits[session], current.position());
                }
            }
            nodeReported(nodeIndex, applied, report);
            if (result == SubmissionResult.COMMITTED
                    && current.role() == NodeRole.REPLICA
                    && current.position() != null) {
                double stalled =
                        node.measuredLag.compareTo(multiply(measuredTime, 0.5)) > 0 ? 1 : 0;
                type.stallShare += RESPONSE_TIME_SMOOTHING * (stalled - type.stallShare);
            }
            if (result.mayHaveRun() && mayHaveRunSince == null) {
                mayHaveRunSince = submittedAt;
            }
            if (answered || finished) {
                finished = true;
            } else {
                continueTransaction(this, node, result);
            }
            submitQueued(node.group);
            // Nodes that are up take no more connections: what this router keeps open, others wait
            // for. Not
            // where connections fail by time-out: those are slow to make, and what is open is worth
            // keeping.
            // Nor what is soon used again, which would only be opened anew.
            if (node.pending == 0
                    && now.compareTo(
                                    connectionShortageAt.plus(
                                            multiply(
                                                    settings.connectTimeout(),
                                                    CONNECTION_SHORTAGE_CONNECT_TIMEOUTS)))
                            < 0
                    && node.submissionInterval.compareTo(
                                    multiply(typicalTime, READ_TIMEOUT_TYPICAL_TIMES))
                            > 0) {
                actions.closeIdleConnections(node.index);
            }
        }

        /**
         * An error is a node's when another node then commits the txn, and the txn's own when that
         * errs too. Guards against errors that come at any node alike: they cost no node its
         * standing. A node that errs on writes alone is never found out by this; only its group's
         * next primary would help there.
         */
        private void attributeError(Node node, boolean erred) {
            if (erredNode != null && erredNode != node) {
                transactionErrorShare +=
                        FAILURE_SMOOTHING * ((erred ? 1 : 0) - transactionErrorShare);
                erredNode.failureRate +=
                        erred ? 0 : FAILURE_SMOOTHING * (1 - erredNode.failureRate);
            }
            errorCount += erred ? 1 : 0;
            erredNode = erred ? node : null;
        }

        @Override
        public boolean maySend(int nodeIndex) {
            Node node = nodes.get(nodeIndex);
            boolean outdated =
                    type.consistency == Consistency.STRONG
                            || type.consistency == Consistency.BOUNDED_STALENESS
                                    && node.position.compareTo(now.minus(type.stalenessBound)) < 0
                                    && !mayBeCurrent(node, now.minus(type.stalenessBound));
            return !finished
                    && isOpenByList(node)
                    && isSafeToRepeat(this)
                    && (!outdated || node == findPrimary(group));
        }

        @Override
        public void clientDisconnected() {
            finished = true;
            group.queue.remove(this);
        }
    }

    /** After an ending that left the txn open. */
    private void continueTransaction(Transaction transaction, Node node, SubmissionResult result) {
        if (result == SubmissionResult.TIMED_OUT || result == SubmissionResult.MOOT) {
            // Surfaced, not re-run: the statement would be as slow elsewhere, and the client may
            // ask again.
            finish(transaction, Duration.ZERO);
            return;
        }
        // While errors are the txns' own, falling back would double what the primary gets; some
        // still try.
        boolean transactionsCauseErrors =
                transactionErrorShare > 0.5 && random.nextDouble() > FAILURE_SMOOTHING;
        boolean lostRole =
                transaction.type.consistency == Consistency.WRITE && node.lastReplicaAt.equals(now);
        if (result == SubmissionResult.ERROR
                && (transaction.errorCount > 1 || transactionsCauseErrors && !lostRole)) {
            finish(transaction, transaction.type.slaTime);
            return;
        }
        if (transaction.type.consistency == Consistency.WRITE && result == SubmissionResult.MISS) {
            transaction.group.searchMisses++;
            transaction.group.searchIndex++;
        }
        transaction.fellBack = true;
        if (!maySubmitAgain(transaction) || !submit(transaction)) {
            enqueue(transaction);
        }
    }

    private boolean maySubmitAgain(Transaction transaction) {
        return transaction.submissions < settings.maxSubmissions() && isSafeToRepeat(transaction);
    }

    /** Never ran, may run again, or its repeat would still be known. */
    private boolean isSafeToRepeat(Transaction transaction) {
        Repeatability repeatability = transaction.type.settings.repeatability();
        return transaction.mayHaveRunSince == null
                || repeatability == Repeatability.IDEMPOTENT
                || repeatability == Repeatability.DEDUPLICATED
                        && now.plus(settings.clockStep())
                                        .compareTo(
                                                transaction.mayHaveRunSince.plus(
                                                        transaction.type.settings
                                                                .deduplicationWindow()))
                                < 0;
    }

    /** What is spare takes room only where there is plenty, and is never held. */
    private double concurrencyLimit(Node node, Transaction transaction) {
        return transaction.lowPriority
                ? node.concurrencyLimit * LOW_PRIORITY_CONCURRENCY_SHARE
                : node.concurrencyLimit;
    }

    private void enqueue(Transaction transaction) {
        if (transaction.lowPriority && maySubmitAgain(transaction)) {
            finish(transaction, settings.maxRetryDelay());
        } else if (!finishIfExpired(transaction)) {
            int index = transaction.group.queue.size();
            while (index > 0
                    && transaction.group.queue.get(index - 1).type.valuePerTime()
                            < transaction.type.valuePerTime()) {
                index--;
            }
            transaction.group.queue.add(index, transaction);
            probeForQueue(transaction.group);
        }
    }

    /** Its time is up, or it may not go again: then it is answered. */
    private boolean finishIfExpired(Transaction transaction) {
        boolean expired =
                !maySubmitAgain(transaction) || now.compareTo(transaction.queueExpiresAt) >= 0;
        if (expired) {
            finish(transaction, transaction.type.slaTime);
        }
        return expired;
    }

    /** The final answer: declined where a retry is harmless, else rolled back. */
    private void finish(Transaction transaction, Duration retryDelay) {
        transaction.finished = true;
        boolean harmless =
                transaction.mayHaveRunSince == null
                        || transaction.type.settings.repeatability() == Repeatability.IDEMPOTENT
                        || transaction.type.settings.repeatability() == Repeatability.DEDUPLICATED
                                && !transaction.type.settings.deduplicatedByGroup();
        if (harmless) {
            actions.decline(
                    transaction.id,
                    min(capacityEstimate.retryDelay(retryDelay, random), settings.maxRetryDelay()));
        } else {
            actions.reportUnknownOutcome(transaction.id);
        }
    }

    /** Tries every held txn of a group again; ends those whose time is up. */
    private void submitQueued(Group group) {
        if (group.queue.isEmpty()) {
            return;
        }
        List<Transaction> waiting = new ArrayList<>(group.queue);
        for (Transaction transaction : waiting) {
            if (finishIfExpired(transaction) || submit(transaction)) {
                group.queue.remove(transaction);
            }
        }
        if (!group.queue.isEmpty()) {
            probeForQueue(group);
        }
    }

    // ---- where a txn goes

    private boolean submit(Transaction transaction) {
        Duration remaining = transaction.expiresAt.minus(now).minus(tickInterval);
        Node node =
                remaining.isNegative() || remaining.isZero()
                        ? null
                        : transaction.type.isReplicaRead()
                                ? selectReadNode(transaction)
                                : selectPrimary(transaction);
        if (node == null) {
            return false;
        }
        Duration timeout =
                transaction.type.lateAnswersHaveValue
                                || transaction.type.consistency == Consistency.WRITE
                        ? remaining
                        : min(
                                remaining,
                                multiply(transaction.type.typicalTime, READ_TIMEOUT_TYPICAL_TIMES));
        transaction.submissions++;
        transaction.submittedAt = now;
        transaction.pauseAtSubmission = totalPause;
        if (!isOnTrial(node)) {
            node.trialBackoff = 1;
        } else {
            // By chance, so that routers do not all try a node that comes back at the same moment.
            double trialInterval =
                    TRIAL_INTERVAL_CONNECT_TIMEOUTS
                            * Math.min(node.trialBackoff++, MAX_TRIAL_BACKOFF)
                            * (1 + random.nextDouble() / 2);
            node.nextTrialAt = now.plus(multiply(settings.connectTimeout(), trialInterval));
        }
        if (node.pending++ == 0) {
            node.unansweredSince = now;
        }
        node.submissionInterval =
                node.lastSubmissionAt.equals(NEVER)
                        ? node.submissionInterval
                        : now.minus(node.lastSubmissionAt);
        node.lastSubmissionAt = now;
        node.warmUpCredit -= toSeconds(transactionWork(transaction.type));
        actions.submit(transaction.id, node.index, timeout);
        return true;
    }

    private Node selectPrimary(Transaction transaction) {
        Node primary = findPrimary(transaction.group);
        if (primary != null
                && acceptsSubmission(primary, 2 * concurrencyLimit(primary, transaction))) {
            return primary;
        }
        return transaction.type.consistency == Consistency.WRITE
                        && (primary == null || !isTrusted(primary))
                ? selectSearchTarget(transaction)
                : null;
    }

    /**
     * No primary to be trusted: one write at a time asks the members in turn, and waits after each
     * round.
     */
    private Node selectSearchTarget(Transaction transaction) {
        Group group = transaction.group;
        if (group.searchPending
                || now.compareTo(group.nextSearchAt) < 0
                || transaction.submissions >= settings.maxSubmissions() / 2) {
            return null;
        }
        if (group.searchMisses >= group.members.size()) {
            group.searchMisses = 0;
            group.nextSearchAt =
                    now.plus(multiply(settings.connectTimeout(), TRIAL_INTERVAL_CONNECT_TIMEOUTS));
            return null;
        }
        for (int i = 0; i < group.members.size(); i++) {
            Node node = group.members.get((group.searchIndex + i) % group.members.size());
            if (acceptsSubmission(node, node.concurrencyLimit)) {
                group.searchIndex = (group.searchIndex + i) % group.members.size();
                group.searchPending = true;
                transaction.searchesPrimary = true;
                return node;
            }
        }
        return null;
    }

    private Node selectReadNode(Transaction transaction) {
        Group group = transaction.group;
        Node primary = findPrimary(group);
        if (transaction.type.stallsReplication(tightestBound)) {
            return selectFurthestLagging(transaction, primary);
        }
        Node best = null;
        double lowestLoad = Double.MAX_VALUE;
        Duration requiredPosition =
                transaction.type.consistency == Consistency.SESSION
                        ? transaction.requiredPosition
                        : now.minus(transaction.type.stalenessBound);
        for (Node node : group.members) {
            if (node == primary || !acceptsSubmission(node, concurrencyLimit(node, transaction))) {
                continue;
            }
            boolean current =
                    node.position.compareTo(requiredPosition) >= 0
                            || mayBeCurrent(node, requiredPosition);
            if (current || transaction.type.consistency == Consistency.EVENTUAL) {
                double load =
                        estimateLoad(node, -Math.log(1 - random.nextDouble()))
                                * (current ? 1 : STALE_REPLICA_LOAD_FACTOR);
                if (load < lowestLoad) {
                    best = node;
                    lowestLoad = load;
                }
            }
        }
        boolean primaryMayServe =
                primary != null
                        && !transaction.lowPriority
                        && primary.lastPrimaryAt.compareTo(LISTED_AT) > 0
                        && acceptsSubmission(primary, primary.concurrencyLimit)
                        && isTrusted(primary)
                        && primary.slowdown < MAX_LOW_LOAD_SLOWDOWN
                        && primary.slaRatio < OVERLOAD_SLA_RATIO * MAX_LOW_LOAD_OVERLOAD_SHARE
                        && !isWarmingUp(primary);
        if (primaryMayServe
                && (transaction.fellBack
                        || group.primaryReadCredit >= 1 && estimateLoad(primary, 1) < lowestLoad)) {
            group.primaryReadCredit = Math.max(0, group.primaryReadCredit - 1);
            return primary;
        }
        return best;
    }

    /**
     * Where nodes refuse reads that they are too far behind for, untouched, a replica may be tried
     * for any read, unless its last answer within an any read's bound showed it too far behind.
     * Guards against positions that are dear or late to learn, as they are for a router with few
     * txns; it costs a miss where a replica has just begun to lag.
     */
    private boolean mayBeCurrent(Node node, Duration requiredPosition) {
        return settings.nodesRejectStaleReads()
                && (now.minus(multiply(node.measuredLag, 2)).compareTo(requiredPosition) >= 0
                        || node.lagMeasuredAt.plus(eventualBound).compareTo(now) < 0);
    }

    /**
     * A read that stalls a replica goes to the one that is furthest behind: the routers agree on it
     * without a word, it stays behind while it gets them, and the others keep up. Guards against
     * reads that must be current finding no replica, as every one holds such a read now and then.
     * No more replicas are given up to such reads than is their part of the work; past that they
     * wait.
     */
    private Node selectFurthestLagging(Transaction transaction, Node primary) {
        List<Node> replicas = new ArrayList<>();
        for (Node node : transaction.group.members) {
            if (node != primary && isOpenByList(node) && isTrusted(node)) {
                replicas.add(node);
            }
        }
        replicas.sort(Comparator.comparing(node -> node.position));
        int maxReplicas = Math.max(1, (int) Math.round(replicas.size() * stallingWorkShare));
        for (Node node : replicas.subList(0, Math.min(maxReplicas, replicas.size()))) {
            if (acceptsSubmission(node, concurrencyLimit(node, transaction))
                    && (!isWarmingUp(node)
                            || node.warmUpCredit >= toSeconds(transaction.type.typicalTime))) {
                return node;
            }
        }
        return null;
    }

    /**
     * What waits at a node, with more for what other routers have there: by chance, one in the
     * mean. A router that has nothing out knows no order among its replicas, and many such must not
     * all choose the same.
     */
    private double estimateLoad(Node node, double otherSubmissions) {
        return (node.pending + otherSubmissions)
                / node.size
                * node.slowdown
                * (node.inOtherZone ? OTHER_ZONE_LOAD_FACTOR : 1)
                * (node.suspected ? SUSPECTED_LOAD_FACTOR : 1);
    }

    private boolean isOpenByList(Node node) {
        return node.listedState == MemberState.READY
                || node.listedState == MemberState.GONE && settings.unlistedNodesStayOpen();
    }

    /**
     * Whether a node may be sent one more txn now. One out of reach must first answer a probe,
     * which costs no txn its time; one that is reached but answers nothing gets a txn to try, at
     * growing gaps.
     */
    private boolean acceptsSubmission(Node node, double limit) {
        if (!isOpenByList(node) || isWarmingUp(node) && node.warmUpCredit <= 0) {
            return false;
        }
        if (isOnTrial(node)) {
            return node.pending == 0
                    && !(node.unreachable && settings.probesEnabled())
                    && now.compareTo(node.nextTrialAt) >= 0;
        }
        return node.pending < limit
                && (limit >= 1
                        || now.compareTo(
                                        node.lastSubmissionAt.plus(
                                                multiply(
                                                        typicalTime,
                                                        1 / Math.max(limit, minConcurrency))))
                                >= 0);
    }

    // ---- who is the primary

    private Node findPrimary(Group group) {
        Node primary = null;
        for (Node node : group.members) {
            if (node.lastPrimaryAt.compareTo(NEVER) > 0
                    && (primary == null
                            || node.lastPrimaryAt.compareTo(primary.lastPrimaryAt) > 0)) {
                primary = node;
            }
        }
        return primary;
    }

    private void recordPrimary(Node node, Duration time) {
        if (node.group == null
                || time.compareTo(node.lastReplicaAt) <= 0
                || time.compareTo(node.lastPrimaryAt) < 0) {
            return;
        }
        for (Node other : node.group.members) {
            if (other != node && other.lastPrimaryAt.compareTo(time) >= 0) {
                return;
            }
        }
        node.group.members.forEach(other -> other.lastPrimaryAt = NEVER);
        node.lastPrimaryAt = time;
        if (time.compareTo(LISTED_AT) > 0) {
            node.group.searchMisses = 0;
            node.group.searchIndex = Math.max(0, node.group.members.indexOf(node));
        }
    }

    private void recordReplica(Node node, Duration time) {
        node.lastReplicaAt = max(node.lastReplicaAt, time);
        if (node.lastPrimaryAt.compareTo(time) <= 0) {
            node.lastPrimaryAt = NEVER;
        }
    }

    /** What a node says of itself: in a note, of this moment; in a report, of some time ago. */
    public void nodeReported(int nodeIndex, NodeReport current, NodeReport report) {
        Node node = nodes.get(nodeIndex);
        if (current.role() == NodeRole.PRIMARY) {
            recordPrimary(node, now);
        } else if (current.role() == NodeRole.REPLICA) {
            recordReplica(node, now);
        }
        // A primary stands at the present, so its position is the report's time; a replica's is
        // older.
        if (report.position() != null && report.role() == NodeRole.PRIMARY) {
            recordPrimary(node, report.position());
        } else if (report.position() != null && report.role() == NodeRole.REPLICA) {
            recordReplica(node, report.position());
        }
        if (current.position() != null) {
            node.position = max(node.position, current.position());
            node.measuredLag = now.minus(node.position);
            node.lagMeasuredAt = now;
        }
        node.position =
                report.position() == null ? node.position : max(node.position, report.position());
    }

    // ---- health

    private void recordResult(
            Node node, TypeState type, SubmissionResult result, Duration responseTime) {
        if (result == SubmissionResult.WITHDRAWN
                || result == SubmissionResult.MOOT
                || result == SubmissionResult.UNSENT) {
            return;
        }
        boolean failed =
                result == SubmissionResult.TIMED_OUT
                        || result == SubmissionResult.UNREACHABLE
                        || result == SubmissionResult.RESET;
        // Connections break at any node alike, so a reset tells little; what has died refuses the
        // next one.
        double smoothing =
                result == SubmissionResult.ERROR || result == SubmissionResult.SPOILT
                        ? 0
                        : result == SubmissionResult.UNREACHABLE
                                ? UNREACHABLE_SMOOTHING
                                : result == SubmissionResult.RESET
                                        ? FAILURE_SMOOTHING / 2
                                        : FAILURE_SMOOTHING;
        node.failureRate += smoothing * ((failed ? 1 : 0) - node.failureRate);
        // One that only turns work away does none: it has hung with its queue full, or might as
        // well have.
        double sinceUpdate =
                ratio(
                        now.minus(node.responseTimeUpdatedAt),
                        multiply(longestTypicalTime(), READ_TIMEOUT_TYPICAL_TIMES));
        if (!failed && result != SubmissionResult.FULL) {
            node.unansweredSince = now;
            node.unresponsive = false;
            node.suspected = false;
            node.lastHealthyAt = now;
        } else if (result == SubmissionResult.FULL && sinceUpdate > 1) {
            node.unresponsive = true;
        }
        node.refusedAtOnce =
                result == SubmissionResult.UNREACHABLE
                        ? responseTime.compareTo(multiply(settings.connectTimeout(), 0.5)) < 0
                        : node.refusedAtOnce;
        if (result == SubmissionResult.UNREACHABLE && isFailing(node)) {
            node.unreachable = true;
        } else if (!failed && node.unreachable) {
            recordReachable(node);
        }
        node.lastAnswerAt = failed ? node.lastAnswerAt : now;
        // Where answers are rare, each tells of all the time since the last.
        double weight = Math.max(RESPONSE_TIME_SMOOTHING, Math.min(1, sinceUpdate));
        if (result == SubmissionResult.COMMITTED) {
            capacityEstimate.recordCommit(toSeconds(transactionWork(type)), capacityShare(node));
            node.slowdown +=
                    weight * (Math.min(4, ratio(responseTime, type.typicalTime)) - node.slowdown);
            Duration smoothedTime =
                    type.typicalTime.plus(
                            multiply(
                                    responseTime.minus(type.typicalTime),
                                    RESPONSE_TIME_SMOOTHING / 10));
            type.typicalTime = min(smoothedTime, multiply(type.slaTime, 0.5));
        }
        // Time-outs at one node more than at most tell of work waiting there; else they tell of
        // losses.
        boolean queuedWork =
                result == SubmissionResult.TIMED_OUT
                        && (node.slaRatio > OVERLOAD_SLA_RATIO / 2
                                || node.failureRate > medianFailureRate + FAILURE_SMOOTHING / 2);
        if (result == SubmissionResult.COMMITTED || queuedWork) {
            node.slaRatio +=
                    weight * (Math.min(2, ratio(responseTime, type.slaTime)) - node.slaRatio);
            node.responseTimeUpdatedAt = now;
        }
        // Room is cut from what was used: by what is out or, where that is nothing, by how often
        // one is sent.
        if (result == SubmissionResult.FULL || node.slaRatio > OVERLOAD_SLA_RATIO) {
            if (result == SubmissionResult.FULL
                    || now.compareTo(node.limitReducedAt.plus(type.typicalTime)) >= 0) {
                node.limitReducedAt = now;
                double used =
                        node.pending > 0
                                ? node.pending
                                : Math.min(1, ratio(typicalTime, node.submissionInterval));
                double decreaseFactor =
                        result == SubmissionResult.FULL || queuedWork
                                ? REJECTED_DECREASE_FACTOR
                                : OVERLOAD_DECREASE_FACTOR;
                // Slow like all the fleet: less at once than it did without strain would leave it
                // idle.
                boolean onlyThisNode =
                        result == SubmissionResult.FULL
                                || node.slaRatio > medianSlaRatio * FLEET_OVERLOAD_MULTIPLE;
                double minLimit =
                        onlyThisNode
                                ? minConcurrency
                                : Math.max(minConcurrency, peakPending * node.size);
                node.concurrencyLimit =
                        Math.max(
                                Math.min(node.concurrencyLimit, minLimit),
                                Math.min(node.concurrencyLimit, used) * decreaseFactor);
            }
        } else if (result == SubmissionResult.COMMITTED
                && node.pending + 1 >= node.concurrencyLimit * 0.8) {
            node.concurrencyLimit +=
                    Math.min(node.concurrencyLimit, 1 / node.concurrencyLimit)
                            * RESPONSE_TIME_SMOOTHING;
        }
    }

    /**
     * It was out of reach and answers again. Perhaps it is newly started, whatever the list says
     * yet; but not one that answered its first probe (it takes no more connections), that applied
     * the log all the while, or is still the primary. Harm: one that restarts unseen and catches up
     * is warm until it is listed.
     */
    private void recordReachable(Node node) {
        node.unreachable = false;
        Duration outage = now.minus(node.lastAnswerAt);
        boolean stayedRunning =
                node.lastPrimaryAt.compareTo(LISTED_AT) > 0
                        ? outage.compareTo(multiply(settings.warmUpTime(), RUNNING_OUTAGE_SHARE))
                                > 0
                        : node.position.compareTo(now.minus(multiply(outage, RUNNING_OUTAGE_SHARE)))
                                > 0;
        if (node.probeFailed) {
            // What failed was the way there: one answered txn is enough, and no work has waited
            // there since.
            node.nextTrialAt = NEVER;
            node.trialBackoff = 1;
            node.failureRate = Math.min(node.failureRate, FAILING_RATE_MARGIN);
            node.concurrencyLimit =
                    Math.max(node.concurrencyLimit, INITIAL_CONCURRENCY / settings.routerCount());
            node.startedAt = stayedRunning ? node.startedAt : max(node.startedAt, now);
            node.warmUpCredit = 0;
        }
        connectionShortageAt = node.probeFailed || !node.refusedAtOnce ? connectionShortageAt : now;
        node.probeFailed = false;
    }

    /** Against the median, but where most of the fleet fails the median excuses nobody. */
    private boolean isFailing(Node node) {
        return node.failureRate
                > Math.min(medianFailureRate, FAILING_RATE_MARGIN / 2) + FAILING_RATE_MARGIN;
    }

    /** Silence is judged by how much is out: the more, the sooner an answer should have come. */
    private boolean isTrusted(Node node) {
        if (!node.unresponsive && node.pending > 0) {
            node.unresponsive =
                    isUnresponsive(node, node.suspected ? SUSPECTED_UNRESPONSIVE_SHARE : 1);
        }
        return !node.unresponsive && !isFailing(node);
    }

    /** It gets single txns to try, at growing gaps. */
    private boolean isOnTrial(Node node) {
        return !isTrusted(node) || node.suspected;
    }

    private boolean isUnresponsive(Node node, double share) {
        double typicalTimes =
                Math.max(
                                MIN_UNRESPONSIVE_TYPICAL_TIMES,
                                UNRESPONSIVE_TYPICAL_TIMES / Math.max(1, node.pending))
                        * share;
        return now.compareTo(
                        node.unansweredSince.plus(multiply(longestTypicalTime(), typicalTimes)))
                > 0;
    }

    /**
     * What others say of a node is worth a doubt, by dillfront.gossip; or no longer. It gets one
     * txn to try, after a dial time-out or two, and its own answer then ends the doubt.
     */
    public void setSuspected(int node, boolean doubted) {
        Node n = nodes.get(node);
        if (doubted && !n.suspected) {
            n.nextTrialAt =
                    max(
                            n.nextTrialAt,
                            now.plus(multiply(settings.connectTimeout(), 1 + random.nextDouble())));
        }
        n.suspected = doubted;
    }

    /**
     * Others have had its answers again: worth a try before its time, each router at a moment of
     * its own.
     */
    public void advanceTrial(int nodeIndex) {
        Node node = nodes.get(nodeIndex);
        node.nextTrialAt =
                min(
                        node.nextTrialAt,
                        now.plus(multiply(settings.connectTimeout(), random.nextDouble())));
    }

    /**
     * Others' doubt makes silence suspect sooner; it goes not back to them as this router's
     * evidence.
     */
    public HealthObservation observeHealth(int node) {
        Node n = nodes.get(node);
        boolean silent =
                !isTrusted(n)
                        && n.unresponsive
                        && (n.pending == 0 || isUnresponsive(n, REPORTED_UNRESPONSIVE_MULTIPLE));
        boolean lately =
                n.lastHealthyAt
                                .plus(multiply(longestTypicalTime(), READ_TIMEOUT_TYPICAL_TIMES))
                                .compareTo(now)
                        > 0;
        return new HealthObservation(
                n.unreachable
                        ? HealthObservation.Health.LOST
                        : isFailing(n)
                                ? HealthObservation.Health.FAILING
                                : silent
                                        ? HealthObservation.Health.SILENT
                                        : lately && !n.unresponsive
                                                ? HealthObservation.Health.WELL
                                                : HealthObservation.Health.UNKNOWN,
                n.lastHealthyAt,
                n.pending > 0 && isUnresponsive(n, REPORTED_UNRESPONSIVE_MULTIPLE) ? n.pending : 0);
    }

    private Duration longestTypicalTime() {
        Duration longest = Duration.ZERO;
        for (TypeState type : types) {
            longest = max(longest, type.typicalTime);
        }
        return longest;
    }

    /**
     * Counted from its start: what it can do by then at the least, so the rule holds with room to
     * spare.
     */
    private boolean isWarmingUp(Node node) {
        return now.compareTo(node.startedAt.plus(settings.warmUpTime())) < 0;
    }

    /** The part of a warm node's work that it can do by now at the least. */
    private double capacityShare(Node node) {
        double warmUpProgress =
                isWarmingUp(node) ? ratio(now.minus(node.startedAt), settings.warmUpTime()) : 1;
        return settings.initialCapacityShare()
                + (1 - settings.initialCapacityShare()) * Math.max(0, Math.min(1, warmUpProgress));
    }

    /**
     * While little is known, a cold node's budget is charged as much for a light txn as for most.
     */
    private Duration transactionWork(TypeState type) {
        return capacityEstimate.allCold() ? max(typicalTime, type.typicalTime) : type.typicalTime;
    }

    // ---- the beat

    /** Runs what was due by now; the adapter calls it at the time that it was asked to. */
    public void onWakeUp() {
        if (now.compareTo(lastTickAt.plus(tickInterval)) < 0) {
            return;
        }
        double seconds = toSeconds(now.minus(lastTickAt));
        lastTickAt = now;
        actions.scheduleWakeUp(tickInterval);
        double warmSize = 0;
        double warmingSize = 0;
        double totalSize = 0;
        double doubleAfter =
                Math.max(
                        MIN_DOUBLING_CONNECT_TIMEOUTS,
                        settings.routerCount() / ROUTERS_PER_DOUBLING_CONNECT_TIMEOUT);
        List<Double> failureRates = new ArrayList<>();
        List<Double> slaRatios = new ArrayList<>();
        int pending = 0;
        for (Node node : nodes) {
            if (node.group != null
                    && (node.listedState == MemberState.READY
                            || isOpenByList(node) && !node.unreachable)) {
                warmSize += isWarmingUp(node) ? 0 : node.size;
                failureRates.add(node.failureRate);
                slaRatios.add(node.slaRatio);
                pending += isWarmingUp(node) ? 0 : node.pending;
            }
            totalSize += node.group != null ? node.size : 0;
            warmingSize +=
                    node.group != null
                                    && node.listedState == MemberState.READY
                                    && !node.unreachable
                                    && isWarmingUp(node)
                            ? node.size
                            : 0;
            if (node.concurrencyLimit < 1) {
                node.concurrencyLimit *=
                        Math.pow(2, seconds / (toSeconds(settings.connectTimeout()) * doubleAfter));
            }
        }
        medianFailureRate = Durations.median(failureRates);
        medianSlaRatio = Durations.median(slaRatios);
        double decay = capacityEstimate.decayFactor(seconds);
        peakPending =
                warmSize > 0 && medianSlaRatio < OVERLOAD_SLA_RATIO
                        ? Math.max(peakPending * decay, pending / warmSize)
                        : peakPending;
        boolean noOverload =
                slaRatios.isEmpty() || slaRatios.get(slaRatios.size() - 1) < OVERLOAD_SLA_RATIO / 2;
        capacityEstimate.update(
                seconds,
                new CapacityEstimator.FleetState(
                        warmSize,
                        warmingSize,
                        totalSize,
                        acceptedPerSecond,
                        toSeconds(typicalTime),
                        noOverload,
                        peakPending > 0));
        acceptedPerSecond +=
                Math.min(1, seconds) * (acceptedSinceTick / seconds - acceptedPerSecond);
        acceptedSinceTick = 0;
        double work = 0;
        double transactions = 0;
        double stallingWork = 0;
        double currentReadWork = 0;
        for (TypeState t : types) {
            work += t.requestedSeconds;
            transactions += t.requestedSeconds / toSeconds(t.typicalTime);
            stallingWork += t.stallsReplication(tightestBound) ? t.requestedSeconds : 0;
            currentReadWork +=
                    t.consistency == Consistency.BOUNDED_STALENESS
                                    || t.consistency == Consistency.SESSION
                            ? t.requestedSeconds
                            : 0;
            t.requestedSeconds *= decay;
        }
        stallingWorkShare = stallingWork / Math.max(1e-9, stallingWork + currentReadWork);
        typicalTime =
                transactions > 0
                        ? Duration.ofNanos((long) (work / transactions * 1e9))
                        : longestTypicalTime();
        for (Tenant t : tenants) {
            double tenantRate =
                    Math.max(
                            t.quotaPerSecond / settings.routerCount(),
                            acceptedPerSecond * t.quotaPerSecond / quotaSum);
            t.credit =
                    Math.min(
                            Math.max(MIN_TENANT_BURST_TRANSACTIONS, tenantRate),
                            t.credit + tenantRate * seconds);
        }
        if (now.compareTo(nextWarmUpGrantAt) >= 0) {
            double typical = toSeconds(typicalTime);
            Duration window = multiply(settings.overloadTime(), WARM_UP_GRANT_SHARE);
            nextWarmUpGrantAt = now.plus(window);
            for (Node node : nodes) {
                if (isWarmingUp(node)) {
                    double maxRate =
                            capacityShare(node)
                                    * capacityEstimate.rate()
                                    * node.size
                                    * WARM_UP_LOAD_SHARE
                                    * settings.overloadMultiple();
                    // What is over lapses by chance, within that time in the mean: what many
                    // routers hold
                    // and might spend at once is then no more than they are dealt in it.
                    boolean expires = random.nextDouble() < WARM_UP_GRANT_SHARE;
                    double granted =
                            Math.floor(maxRate * toSeconds(window) / typical + random.nextDouble());
                    node.warmUpCredit =
                            (expires ? Math.min(0, node.warmUpCredit) : node.warmUpCredit)
                                    + granted * typical;
                }
            }
        }
        if (settings.memberListOnRequest()
                && !watchingMemberList
                && now.compareTo(
                                listRequestedAt.plus(multiply(settings.memberListValidity(), 0.25)))
                        > 0) {
            listRequestedAt = now;
            actions.watchMemberList();
        }
        probeStaleNodes();
        groups.values().forEach(this::submitQueued);
    }

    /**
     * A fresh router probes each node once, then those unheard for an any read's bound, while half
     * its credit is there: a router with few txns keeps the rest for the reads that wait for a
     * position.
     */
    private void probeStaleNodes() {
        for (Node node : nodes) {
            boolean hasCredit = node.lastProbeAt.equals(NEVER) || probeCredit > nodes.size() / 2.0;
            if (node.group != null
                    && hasCredit
                    && max(node.position, node.lastPrimaryAt).plus(eventualBound).compareTo(now)
                            < 0) {
                probe(node, eventualBound);
            }
        }
    }

    /**
     * Txns wait in this group. No primary to be trusted: all are asked. Else two replicas that
     * could take a txn, by chance: asking all would spend at once what a router with few txns can
     * pay.
     */
    private void probeForQueue(Group group) {
        Node primary = findPrimary(group);
        Duration minInterval =
                multiply(settings.connectTimeout(), MIN_PROBE_INTERVAL_CONNECT_TIMEOUTS);
        if (primary == null || !isTrusted(primary)) {
            group.members.forEach(node -> probe(node, minInterval));
        } else if (now.compareTo(group.replicasProbedAt.plus(minInterval)) >= 0) {
            group.replicasProbedAt = now;
            int first = random.nextInt(group.members.size());
            int probed = 0;
            for (int i = 0; i < group.members.size() && probed < MAX_REPLICAS_PROBED; i++) {
                Node node = group.members.get((first + i) % group.members.size());
                if (node != primary
                        && (node.unreachable || acceptsSubmission(node, node.concurrencyLimit))
                        && probe(node, minInterval)) {
                    probed++;
                }
            }
        }
    }

    private boolean probe(Node node, Duration minInterval) {
        if (!settings.probesEnabled()
                || !isOpenByList(node)
                || node.probePending
                || probeCredit < 1
                || now.compareTo(node.lastProbeAt.plus(minInterval)) < 0) {
            return false;
        }
        probeCredit--;
        node.probePending = true;
        node.lastProbeAt = now;
        actions.probe(node.index);
        return true;
    }

    /** Takes the outcome of a health check. */
    public void probeCompleted(int nodeIndex, boolean answered, NodeReport report) {
        Node node = nodes.get(nodeIndex);
        node.probePending = false;
        node.probeFailed |= node.unreachable && !answered;
        if (answered) {
            nodeReported(nodeIndex, NodeReport.EMPTY, report);
            if (node.unreachable) {
                recordReachable(node);
            }
            node.lastAnswerAt = now;
            submitQueued(node.group);
        }
    }
}
