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
 * Routes transactions to database nodes. Each router has one instance, which does no I/O; {@link
 * dillfront.routing.api} holds its interface types.
 *
 * <p>The caller sets the clock with {@link #setTime}, then makes one call per event: {@link
 * #updateMembers}, {@link #accept}, {@link #probeCompleted}, {@link #onWakeUp}, and on the {@link
 * TransactionHandle} of a transaction {@link TransactionHandle#submissionEnded} and {@link
 * TransactionHandle#clientDisconnected}. The instance requests its actions from the {@link
 * RoutingActions} during the call. Times are durations since the zero of log positions, so that
 * positions and times compare directly.
 *
 * <p>Writes and strongly consistent reads go to the primary. Other reads go to the least loaded
 * replica that is known to be current enough, and a limited share of them to the primary while its
 * load is low. A read that a replica fails falls back to the primary; a timeout is reported to the
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
    private static final Duration LISTED_AT = NEVER.plusSeconds(1);

    /** Interval of the periodic work, in steps of the clock. */
    private static final int TICK_STEPS = 4;

    /**
     * Base interval between trial transactions to a node on trial, and between searches for a
     * primary, in connect timeouts.
     */
    private static final double TRIAL_INTERVAL_CONNECT_TIMEOUTS = 4;

    /** The interval between trials grows up to this multiple of its base. */
    private static final int MAX_TRIAL_BACKOFF = 4;

    /** Minimum interval between probes on behalf of queued transactions, in connect timeouts. */
    private static final double MIN_PROBE_INTERVAL_CONNECT_TIMEOUTS = 0.25;

    /** Replicas probed at a time on behalf of queued transactions. */
    private static final int MAX_REPLICAS_PROBED = 2;

    /** Cost of probes allowed per accepted transaction, in transactions. */
    private static final double MAX_PROBE_COST_PER_TRANSACTION = 0.01;

    /**
     * Preferred staleness bound of eventually consistent reads, in multiples of the tightest bound
     * of bounded reads: 1 s where that is 200 ms.
     */
    private static final double EVENTUAL_BOUND_MULTIPLE = 5;

    /** Maximum share of the replica reads that a primary with low load may serve. */
    private static final double MAX_PRIMARY_READ_SHARE = 0.5;

    /** Maximum number of replica reads that may go to the primary at once. */
    private static final double MAX_PRIMARY_READ_BURST = 8;

    /** A primary serves replica reads below this multiple of the fleet's typical response time. */
    private static final double MAX_LOW_LOAD_SLOWDOWN = 1.5;

    /** A primary serves replica reads below this share of the overload threshold. */
    private static final double MAX_LOW_LOAD_OVERLOAD_SHARE = 0.9;

    /** Load factor of nodes in other zones; prefers nodes of this zone up to that ratio of load. */
    private static final double OTHER_ZONE_LOAD_FACTOR = 1.5;

    /** Load factor of replicas beyond the bound of an eventually consistent read. */
    private static final double STALE_REPLICA_LOAD_FACTOR = 1.5;

    /** How long idle connections are closed after a refused connection, in connect timeouts. */
    private static final double CONNECTION_SHORTAGE_CONNECT_TIMEOUTS = 16;

    /**
     * A client timeout is treated as that of a retry if it differs from the timeout of first
     * attempts by more than this share of the client's total time.
     */
    private static final double RETRY_TIMEOUT_TOLERANCE = 0.04;

    /**
     * Share sent to a node that warms up of the load that would overload it. The margin covers
     * estimates taken from warm nodes that were not fully loaded.
     */
    private static final double WARM_UP_LOAD_SHARE = 0.6;

    /**
     * Interval at which nodes that warm up are granted work, as a share of the time for which
     * excess load must last to overload them.
     */
    private static final double WARM_UP_GRANT_SHARE = 0.25;

    /**
     * Minimum burst of transactions that a tenant may send beyond its quota; the other limit is its
     * quota of one second. Guards against rejecting the uneven arrivals of small tenants.
     */
    private static final double MIN_TENANT_BURST_TRANSACTIONS = 8;

    /** Share of a node's concurrency limit that low-priority transactions may use. */
    private static final double LOW_PRIORITY_CONCURRENCY_SHARE = 0.5;

    /**
     * Time limit of a read submission, in typical response times of its type, where late answers
     * have no value.
     */
    private static final double READ_TIMEOUT_TYPICAL_TIMES = 8;

    /**
     * A node with n pending submissions counts as unresponsive after this many typical response
     * times divided by n, but not before the minimum below.
     */
    private static final double UNRESPONSIVE_TYPICAL_TIMES = 6;

    /** Minimum time without an answer for an unresponsive node, in typical response times. */
    private static final double MIN_UNRESPONSIVE_TYPICAL_TIMES = 1.5;

    /** Share of that time after which a node that peers suspect counts as unresponsive. */
    private static final double SUSPECTED_UNRESPONSIVE_SHARE = 0.5;

    /** Load factor of nodes that peers suspect. */
    private static final double SUSPECTED_LOAD_FACTOR = 4;

    /**
     * Multiple of that time after which an unresponsive node is reported to peers. A false alarm
     * costs all of them more than it costs this router.
     */
    private static final double REPORTED_UNRESPONSIVE_MULTIPLE = 2;

    /** A node is failing if its failure rate exceeds the fleet's median by this much. */
    private static final double FAILING_RATE_MARGIN = 0.5;

    /**
     * A replica counts as running throughout an outage if its position lags by at most this share
     * of the outage; a primary, if the outage was longer than this share of the warm-up time.
     */
    private static final double RUNNING_OUTAGE_SHARE = 0.25;

    /** Smoothing factor of failure rates. */
    private static final double FAILURE_SMOOTHING = 0.2;

    /** Smoothing factor of failure rates for failed connection attempts. */
    private static final double UNREACHABLE_SMOOTHING = 0.4;

    /** Smoothing factor of response times. */
    private static final double RESPONSE_TIME_SMOOTHING = 0.2;

    /**
     * A node is overloaded if its response times exceed this share of the SLA time. Its concurrency
     * limit shrinks above this threshold and grows below it.
     */
    private static final double OVERLOAD_SLA_RATIO = 0.45;

    /** An overloaded node is as slow as the fleet up to this multiple of the fleet's median. */
    private static final double FLEET_OVERLOAD_MULTIPLE = 1.5;

    /**
     * Initial concurrency limit of a node, over all routers. A limit below 1 permits one submission
     * per 1/limit typical response times.
     */
    private static final double INITIAL_CONCURRENCY = 24;

    /** Minimum concurrency limit of a node, over all routers. */
    private static final double MIN_CONCURRENCY = 0.3;

    /** Factor applied to the concurrency limit of an overloaded node. */
    private static final double OVERLOAD_DECREASE_FACTOR = 0.85;

    /**
     * Factor applied to the concurrency limit of a node that rejects work or whose work times out.
     */
    private static final double REJECTED_DECREASE_FACTOR = 0.5;

    /**
     * Share of the client's timeout that a transaction may spend in the queue; the rest leaves the
     * client time to retry.
     */
    private static final double MAX_QUEUE_TIME_SHARE = 0.5;

    /** Minimum time in which a concurrency limit below 1 doubles, in connect timeouts. */
    private static final double MIN_DOUBLING_CONNECT_TIMEOUTS = 8;

    /**
     * Routers per connect timeout of that doubling time. With many routers the limits grow more
     * slowly, so that an overloaded node is not flooded by all of them.
     */
    private static final double ROUTERS_PER_DOUBLING_CONNECT_TIMEOUT = 3;

    /** Learned state of one transaction type. */
    private static final class TypeState {
        final TransactionType settings;
        final Consistency consistency;
        final Duration stalenessBound;
        final Duration slaTime;
        final boolean lateAnswersHaveValue;

        /** Client timeout of first attempts: the running median over all attempts. */
        Duration firstTryTimeout;

        /** Typical response time. */
        Duration typicalTime;

        /** Smoothed share of answers from replicas that applied no log during the read. */
        double stallShare = 1;

        /**
         * Requested work, in seconds of typical response time; decays over about the warm-up time
         * of a node.
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

        /**
         * Updates the median client timeout, and returns whether this timeout is that of a retry.
         */
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

        /** Returns whether replicas may serve this type. */
        boolean isReplicaRead() {
            return consistency == Consistency.EVENTUAL
                    || consistency == Consistency.BOUNDED_STALENESS
                    || consistency == Consistency.SESSION;
        }

        /**
         * Returns the value per typical response time, by which queued transactions are ordered.
         */
        double valuePerTime() {
            return settings.value() / (typicalTime.toNanos() + 1);
        }

        /**
         * Returns whether its reads keep a replica from applying the log beyond the tightest bound.
         */
        boolean stallsReplication(Duration tightestBound) {
            return consistency == Consistency.EVENTUAL
                    && stallShare > 0.5
                    && typicalTime.compareTo(tightestBound) > 0;
        }
    }

    /** State of one node, by its index. The index is reused after the node is forgotten. */
    private static final class Node {
        final int index;
        Group group;
        boolean inOtherZone;
        double size = 1;
        MemberState listedState = MemberState.GONE;
        Duration startedAt = NEVER;
        Duration position = NEVER;

        /** Replication lag at its last measurement by an answer. */
        Duration measuredLag = Duration.ZERO;

        /** When an answer last measured the replication lag. */
        Duration lagMeasuredAt = NEVER;

        /** Latest time at which the node is known to have been the primary. */
        Duration lastPrimaryAt = NEVER;

        /** Latest time at which the node is known to have been a replica. */
        Duration lastReplicaAt = NEVER;

        /** Number of pending submissions. */
        int pending;

        /** While submissions are pending: since when the node has not answered. */
        Duration unansweredSince = NEVER;

        boolean unresponsive;

        /** Whether peers reported the node as faulty and it has not answered since. */
        boolean suspected;

        /** Whether the node is failing and its last connection attempt failed. */
        boolean unreachable;

        /** When the node last answered, or first appeared in the member list. */
        Duration lastAnswerAt = NEVER;

        /** Whether a probe also failed since the node became unreachable. */
        boolean probeFailed;

        /** Whether the last failed connection was refused in less than half the connect timeout. */
        boolean refusedAtOnce;

        /** Smoothed share of submissions that failed. */
        double failureRate;

        /** Smoothed ratio of response times to the SLA time of their types. */
        double slaRatio;

        /** Smoothed ratio of response times to the typical times of their types. */
        double slowdown = 1;

        /** Concurrency limit for this router's submissions; below 1, a limit on their rate. */
        double concurrencyLimit;

        Duration lastSubmissionAt = NEVER;

        /** Interval between the last two submissions. */
        Duration submissionInterval = Duration.ZERO;

        /** When a submission last updated the smoothed response times. */
        Duration responseTimeUpdatedAt = Duration.ZERO;

        /** When a submission last got an answer other than a rejection for lack of capacity. */
        Duration lastHealthyAt = NEVER;

        /** When the concurrency limit was last reduced. */
        Duration limitReducedAt = NEVER;

        /** Earliest time of the next trial transaction while the node is on trial. */
        Duration nextTrialAt = NEVER;

        /** Next multiple of the base interval between trials. */
        int trialBackoff = 1;

        Duration lastProbeAt = NEVER;
        boolean probePending;

        /** Work that may be sent during warm-up, in seconds of typical response time. */
        double warmUpCredit;

        Node(int index, int routerCount) {
            this.index = index;
            concurrencyLimit = Math.max(1, INITIAL_CONCURRENCY / routerCount);
        }
    }

    /** Quota and unused share of one tenant. */
    private static final class Tenant {
        final double quotaPerSecond;

        /** Transactions that the tenant may send at full priority now. */
        double credit;

        Tenant(double quotaPerSecond, int routerCount) {
            this.quotaPerSecond = quotaPerSecond;
            credit = Math.max(MIN_TENANT_BURST_TRANSACTIONS, quotaPerSecond / routerCount);
        }
    }

    /** Nodes that replicate one primary, and the transactions queued for them. */
    private static final class Group {
        /** Nodes of the current member list, by index. */
        final List<Node> members = new ArrayList<>();

        /** Queued transactions, highest value per response time first. */
        final List<Transaction> queue = new ArrayList<>();

        /** Number of replica reads that may go to the primary now. */
        double primaryReadCredit = MAX_PRIMARY_READ_BURST;

        /** Member that gets the next write of the search for a primary. */
        int searchIndex;

        /** Members that rejected a write in the current round of the search. */
        int searchMisses;

        /** Earliest time of the next round of the search. */
        Duration nextSearchAt = NEVER;

        /** When replicas were last probed on behalf of queued transactions. */
        Duration replicasProbedAt = NEVER;

        /** Whether a write of the search is pending. */
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

    /** Position of the last commit of each session slot. */
    private final Duration[] lastCommits = new Duration[SESSION_SLOTS];

    private Duration tickInterval;

    /** Tightest staleness bound of all bounded reads. */
    private Duration tightestBound;

    private Duration eventualBound;
    private double minConcurrency;
    private Duration now = Duration.ZERO;
    private Duration lastTickAt = NEVER;
    private boolean started;

    /** Total time since the start for which the calling process was paused. */
    private Duration totalPause = Duration.ZERO;

    /** Probes that may be sent. Transactions add to the credit, up to one probe per node. */
    private double probeCredit;

    /** Transactions accepted since the last tick. */
    private int acceptedSinceTick;

    /** Smoothed rate of accepted transactions, per second. */
    private double acceptedPerSecond;

    /**
     * Estimate of the nodes' capacity, in typical response times rather than transactions, since a
     * report may cost as much as twenty page views.
     */
    private final CapacityEstimator capacityEstimate = new CapacityEstimator();

    /** When nodes that warm up are granted work next. */
    private Duration nextWarmUpGrantAt = NEVER;

    /** Median failure rate of the nodes. */
    private double medianFailureRate;

    /** Median ratio of response times to SLA times. */
    private double medianSlaRatio;

    /** Peak of the pending submissions per warm node while the fleet was not overloaded; decays. */
    private double peakPending;

    /** Typical response time over all requested transactions. */
    private Duration typicalTime;

    /** Share of reads that stall replication in the work of those and of current reads. */
    private double stallingWorkShare;

    /**
     * Smoothed share of failed transactions, of those tried at a second node, that failed there.
     */
    private double transactionErrorShare;

    private Duration listRequestedAt = NEVER;
    private boolean watchingMemberList;

    /** When a node that had refused this router's connections last proved to be up. */
    private Duration connectionShortageAt = NEVER;

    /**
     * @param settings the settings of the deployment
     * @param actions receives every action
     */
    public RoutingEngine(RoutingSettings settings, RoutingActions actions, RandomGenerator random) {
        this.actions = actions;
        this.random = random;
        Arrays.fill(lastCommits, NEVER);
        applySettings(settings);
    }

    /**
     * Replaces the settings. Accepted transactions keep their type, and the state of nodes stays;
     * typical response times are learned anew. A changed zone takes effect with the next member
     * list.
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

    /** Sets the current time for the calls that follow. */
    public void setTime(Duration time) {
        now = time;
        if (!started) {
            started = true;
            lastTickAt = now;
            actions.scheduleWakeUp(tickInterval);
        }
    }

    /**
     * Records a pause of the calling process, during which it read no answers. Guards against a
     * router with part of a CPU core that mistakes its own pause for unresponsiveness of every
     * node.
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

    /** Applies a complete member list, or the changes of one. */
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
            // If nodes missing from the list stay open, a draining node stays closed until it is
            // listed as ready again.
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
     * Removes a node that left the list, so that its index can be reused and the table does not
     * grow. Returns false while the node is listed or has pending work. A node that stays open
     * without being listed is removed after it was unreachable for the warm-up time.
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

    /** Records that the member list's subscription failed, so that it is requested again. */
    public void memberListFailed() {
        watchingMemberList = false;
    }

    // ---- transactions

    /**
     * Accepts a transaction, which gets exactly one final answer unless its client disconnects.
     *
     * @param session the session's slot below {@link #SESSION_SLOTS}, or negative
     * @param clientTimeout the client's timeout, counted from its request's arrival
     * @param sinceLastWrite how long ago the session last wrote; null if requests carry no such
     *     token, zero if the session has not written
     * @param queueTime the time since the request's arrival at this router
     * @param earlierRunSince since when an earlier attempt of the client may have executed the
     *     transaction, or null
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
                // One millisecond is added, as both the token and the position are rounded.
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
        // Its time passed in the receive queue of this overloaded router.
        boolean overdue = transaction.lowPriority && queueTime.compareTo(tickInterval) > 0;
        if (overdue || !maySubmitAgain(transaction) || !submit(transaction)) {
            enqueue(transaction);
        }
        return transaction;
    }

    /** State of one accepted transaction. */
    private final class Transaction implements TransactionHandle {
        final int id;
        final TypeState type;
        final Group group;
        final int session;
        final Duration expiresAt;

        /** When it is answered if it is still queued. */
        final Duration queueExpiresAt;

        /** Position that a replica must have applied to serve this session's read. */
        Duration requiredPosition = NEVER;

        int submissions;

        /** Whether the client has its final answer or disconnected. */
        boolean finished;

        /** Whether an earlier submission failed, so that the primary may serve the read. */
        boolean fellBack;

        /** Low priority: past its SLA time, or beyond its tenant's quota. */
        boolean lowPriority;

        /** Since when it may have been executed; null if it was certainly not. */
        Duration mayHaveRunSince;

        Duration submittedAt;

        /** Total pause of this process when it was sent. */
        Duration pauseAtSubmission;

        /** Whether its pending submission searches for the primary. */
        boolean searchesPrimary;

        /** Node that last answered with an error. */
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
            // The timeout of a retry is all the time left to the client, which gives the age of the
            // first attempt.
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
            // The measured time may include a pause of this process: assumes the node's typical
            // time, limited to the range that the pause permits.
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
                // The commit's position is rounded up and an applied position down, so one
                // millisecond less counts as applied.
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
            // Running nodes refuse connections: this router closes its idle ones, since other
            // routers wait for them. Exceptions are connections that fail by timeout, as they are
            // slow to open again, and connections that are likely to be reused soon.
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
         * Attributes an error to the node if another node then commits the transaction, and to the
         * transaction if the other node fails too. Guards against excluding nodes for errors that
         * occur on every node. A primary that fails writes only is not detected by this; that needs
         * another primary of its group.
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

    /** Continues a transaction whose submission ended without a final answer for the client. */
    private void continueTransaction(Transaction transaction, Node node, SubmissionResult result) {
        if (result == SubmissionResult.TIMED_OUT || result == SubmissionResult.MOOT) {
            // Reported to the client, not submitted again: the statement would be as slow on
            // another node, and the client can retry.
            finish(transaction, Duration.ZERO);
            return;
        }
        // While most errors are caused by the transactions, falling back would double the load of
        // the primary; a random share still falls back, to detect when that changes.
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

    /**
     * Returns whether another submission cannot apply the transaction twice: it was never executed,
     * is idempotent, or its nodes still recognize its idempotency key.
     */
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

    /** Returns the concurrency limit for the transaction's priority. */
    private double concurrencyLimit(Node node, Transaction transaction) {
        return transaction.lowPriority
                ? node.concurrencyLimit * LOW_PRIORITY_CONCURRENCY_SHARE
                : node.concurrencyLimit;
    }

    /** Queues a transaction; rejects one of low priority instead. */
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

    /** Answers a transaction whose queue time is over or that may not be submitted again. */
    private boolean finishIfExpired(Transaction transaction) {
        boolean expired =
                !maySubmitAgain(transaction) || now.compareTo(transaction.queueExpiresAt) >= 0;
        if (expired) {
            finish(transaction, transaction.type.slaTime);
        }
        return expired;
    }

    /** Answers the client: a retry is harmless, or else the outcome is unknown. */
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

    /** Submits the group's queued transactions where possible, and answers expired ones. */
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

    // ---- selection of nodes

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
            // Random, so that routers do not all send trials to a recovering node at once.
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
     * Selects a node while no trusted primary is known: one write at a time is sent to the members
     * in turn, with a pause after each round.
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
     * Returns whether a replica may be current enough although its known position is not. Applies
     * only if nodes reject reads that they are too far behind for. A replica qualifies if its last
     * measured lag fits the read twice over, or its last measurement is too old. Guards against
     * positions that a router with few transactions learns late; the cost is a rejected read when a
     * replica starts to lag.
     */
    private boolean mayBeCurrent(Node node, Duration requiredPosition) {
        return settings.nodesRejectStaleReads()
                && (now.minus(multiply(node.measuredLag, 2)).compareTo(requiredPosition) >= 0
                        || node.lagMeasuredAt.plus(eventualBound).compareTo(now) < 0);
    }

    /**
     * Selects a node for a read that stalls replication: the replica with the largest lag, on which
     * all routers agree without coordination. That replica stays behind while the others keep up.
     * Guards against stalling every replica in turn, which leaves none for reads that must be
     * current. Such reads use at most the share of replicas that matches their share of the work,
     * and are queued beyond that.
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
     * Returns the estimated load of a node.
     *
     * @param otherSubmissions the estimated submissions of other routers: random with mean one, so
     *     that idle routers do not all choose the same replica
     */
    private double estimateLoad(Node node, double otherSubmissions) {
        return (node.pending + otherSubmissions)
                / node.size
                * node.slowdown
                * (node.inOtherZone ? OTHER_ZONE_LOAD_FACTOR : 1)
                * (node.suspected ? SUSPECTED_LOAD_FACTOR : 1);
    }

    /** Returns whether the member list permits new transactions to the node. */
    private boolean isOpenByList(Node node) {
        return node.listedState == MemberState.READY
                || node.listedState == MemberState.GONE && settings.unlistedNodesStayOpen();
    }

    /**
     * Returns whether a node may be sent another transaction now. An unreachable node must first
     * answer a probe, which delays no transaction. A node that accepts connections but is
     * unresponsive or failing gets single trial transactions at growing intervals.
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

    // ---- primary of a group

    /** Returns the member most recently known to be the primary, or null. */
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

    /** Records that a node was the primary at a time, unless newer information contradicts. */
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

    /** Records that a node was a replica at a time. */
    private void recordReplica(Node node, Duration time) {
        node.lastReplicaAt = max(node.lastReplicaAt, time);
        if (node.lastPrimaryAt.compareTo(time) <= 0) {
            node.lastPrimaryAt = NEVER;
        }
    }

    /**
     * Applies the state that a node reported about itself.
     *
     * @param current the state at this moment
     * @param report the state at some earlier time
     */
    public void nodeReported(int nodeIndex, NodeReport current, NodeReport report) {
        Node node = nodes.get(nodeIndex);
        if (current.role() == NodeRole.PRIMARY) {
            recordPrimary(node, now);
        } else if (current.role() == NodeRole.REPLICA) {
            recordReplica(node, now);
        }
        // A primary's position is the time of its report; a replica's position is older than its
        // report.
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

    /** Updates a node's health and concurrency limit with the result of a submission. */
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
        // Connections also break on healthy nodes, so a reset counts half; a node that is down
        // refuses the next connection.
        double smoothing =
                result == SubmissionResult.ERROR || result == SubmissionResult.SPOILT
                        ? 0
                        : result == SubmissionResult.UNREACHABLE
                                ? UNREACHABLE_SMOOTHING
                                : result == SubmissionResult.RESET
                                        ? FAILURE_SMOOTHING / 2
                                        : FAILURE_SMOOTHING;
        node.failureRate += smoothing * ((failed ? 1 : 0) - node.failureRate);
        // A node that has only rejected work for this long counts as hung with a full queue.
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
        // The rarer the answers, the more weight each one has.
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
        // More timeouts at this node than at most others indicate queued work there; otherwise they
        // indicate lost messages.
        boolean queuedWork =
                result == SubmissionResult.TIMED_OUT
                        && (node.slaRatio > OVERLOAD_SLA_RATIO / 2
                                || node.failureRate > medianFailureRate + FAILURE_SMOOTHING / 2);
        if (result == SubmissionResult.COMMITTED || queuedWork) {
            node.slaRatio +=
                    weight * (Math.min(2, ratio(responseTime, type.slaTime)) - node.slaRatio);
            node.responseTimeUpdatedAt = now;
        }
        // The limit is reduced from its actual use: the pending submissions or, without any, the
        // rate of submissions.
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
                // If the whole fleet is as slow, the limit stays at the fleet's peak without
                // overload; a lower one would leave nodes idle.
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
     * Records that an unreachable node answers again. The node counts as restarted and warming up,
     * even before the member list says so, unless it answered its first probe (it only refused new
     * connections), applied the log throughout the outage, or is still the primary. A node that
     * restarts unnoticed and catches up counts as warm until the list reports its start.
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
            // The network path failed: one answer restores trust, and no work is queued at the
            // node.
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

    /**
     * Compares the failure rate with the fleet's median. The median is capped, so that nodes count
     * as failing even if most of the fleet fails.
     */
    private boolean isFailing(Node node) {
        return node.failureRate
                > Math.min(medianFailureRate, FAILING_RATE_MARGIN / 2) + FAILING_RATE_MARGIN;
    }

    /**
     * Returns whether the node is neither unresponsive nor failing. The more submissions are
     * pending, the sooner an answer is expected.
     */
    private boolean isTrusted(Node node) {
        if (!node.unresponsive && node.pending > 0) {
            node.unresponsive =
                    isUnresponsive(node, node.suspected ? SUSPECTED_UNRESPONSIVE_SHARE : 1);
        }
        return !node.unresponsive && !isFailing(node);
    }

    /** Returns whether the node only gets trial transactions. */
    private boolean isOnTrial(Node node) {
        return !isTrusted(node) || node.suspected;
    }

    /** Returns whether pending submissions have been unanswered for this share of the limit. */
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
     * Sets whether peers suspect a node, as found by gossip. A suspected node gets one trial
     * transaction after one to two connect timeouts, and its own answer ends the suspicion.
     */
    public void setSuspected(int nodeIndex, boolean suspected) {
        Node node = nodes.get(nodeIndex);
        if (suspected && !node.suspected) {
            node.nextTrialAt =
                    max(
                            node.nextTrialAt,
                            now.plus(multiply(settings.connectTimeout(), 1 + random.nextDouble())));
        }
        node.suspected = suspected;
    }

    /**
     * Records that peers got answers from the node again: advances its next trial to a random
     * moment within one connect timeout, so that routers do not all send trials at once.
     */
    public void advanceTrial(int nodeIndex) {
        Node node = nodes.get(nodeIndex);
        node.nextTrialAt =
                min(
                        node.nextTrialAt,
                        now.plus(multiply(settings.connectTimeout(), random.nextDouble())));
    }

    /**
     * Returns the health of a node as this router observes it. Suspicion by peers shortens the time
     * limit for answers here, but is not returned as this router's own evidence.
     */
    public HealthObservation observeHealth(int nodeIndex) {
        Node node = nodes.get(nodeIndex);
        boolean unresponsive =
                !isTrusted(node)
                        && node.unresponsive
                        && (node.pending == 0
                                || isUnresponsive(node, REPORTED_UNRESPONSIVE_MULTIPLE));
        boolean recentlyHealthy =
                node.lastHealthyAt
                                .plus(multiply(longestTypicalTime(), READ_TIMEOUT_TYPICAL_TIMES))
                                .compareTo(now)
                        > 0;
        return new HealthObservation(
                node.unreachable
                        ? HealthObservation.Health.LOST
                        : isFailing(node)
                                ? HealthObservation.Health.FAILING
                                : unresponsive
                                        ? HealthObservation.Health.SILENT
                                        : recentlyHealthy && !node.unresponsive
                                                ? HealthObservation.Health.WELL
                                                : HealthObservation.Health.UNKNOWN,
                node.lastHealthyAt,
                node.pending > 0 && isUnresponsive(node, REPORTED_UNRESPONSIVE_MULTIPLE)
                        ? node.pending
                        : 0);
    }

    private Duration longestTypicalTime() {
        Duration longest = Duration.ZERO;
        for (TypeState type : types) {
            longest = max(longest, type.typicalTime);
        }
        return longest;
    }

    /** Returns whether the warm-up time since the node's start is not over. */
    private boolean isWarmingUp(Node node) {
        return now.compareTo(node.startedAt.plus(settings.warmUpTime())) < 0;
    }

    /** Returns the minimum share of its full capacity that the node has reached by now. */
    private double capacityShare(Node node) {
        double warmUpProgress =
                isWarmingUp(node) ? ratio(now.minus(node.startedAt), settings.warmUpTime()) : 1;
        return settings.initialCapacityShare()
                + (1 - settings.initialCapacityShare()) * Math.max(0, Math.min(1, warmUpProgress));
    }

    /**
     * Returns the work of one transaction. While all nodes warm up and little is known, a light
     * transaction counts as a typical one.
     */
    private Duration transactionWork(TypeState type) {
        return capacityEstimate.allCold() ? max(typicalTime, type.typicalTime) : type.typicalTime;
    }

    // ---- periodic work

    /**
     * Runs the periodic work if due. The adapter calls this at the time that {@link
     * RoutingActions#scheduleWakeUp} set.
     */
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
        // Connect timeouts in which a concurrency limit below 1 doubles.
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
                    // Unused credit expires at random, on average after the time in which excess
                    // load overloads a node, so that many routers that spend their credit at once
                    // send no more than was granted in that time.
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
     * Probes each new node once, and later those whose position is older than the bound of
     * eventually consistent reads. The latter uses at most half of the probe credit: a router with
     * few transactions keeps the rest for queued reads that need a position.
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
     * Probes nodes on behalf of queued transactions: all members if no trusted primary is known,
     * otherwise two random replicas that could take a transaction. Probing all replicas would use
     * up the probe credit of a router with few transactions.
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

    /** Sends a probe if the credit and the minimum interval since the last probe permit. */
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

    /** Records the result of a health check. */
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
