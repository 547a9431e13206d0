package dillfront.dataplane;

import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.common.protocol.PrimaryRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * One database service: its servers, its primary and the known state of its log. Selects the server
 * of each read.
 */
final class DatabaseService {

    private static final double MAX_PRIMARY_READ_TOKENS = 4;

    /** The maximum share of reads sent to the primary while replicas could serve them. */
    private static final double PRIMARY_READ_TOKENS_PER_READ = 0.25;

    /** The same if the primary is the only usable server in the local region. */
    private static final double PRIMARY_READ_TOKENS_PER_READ_WITHOUT_LOCAL_REPLICA = 0.6;

    /** The cost that a server in another region adds, in busy connections. */
    private static final double REMOTE_REGION_COST = 2;

    /**
     * The cost that the primary adds for a read that a replica could serve, in busy connections.
     */
    private static final double PRIMARY_COST = 1;

    /** A primary with a higher slowdown takes no reads that replicas could serve. */
    private static final double MAX_PRIMARY_SLOWDOWN = 1.5;

    /** A move that takes more heartbeat intervals than this is not expected to complete soon. */
    private static final double MAX_MOVE_HEARTBEAT_INTERVALS = 2;

    private static final long UNSET = -1;

    final String name;
    final DataPlaneNode node;

    /** Sorted by id, for a deterministic order. */
    final TreeMap<String, ServerPool> servers = new TreeMap<>();

    final PrimaryPositionHistory primaryPositions = new PrimaryPositionHistory();

    /** The id of the primary in the newest record; empty if there is none. */
    String primary = "";

    boolean moving;

    /** Whether open transactions may still commit on the old primary during the move. */
    private boolean drainsTransactions;

    /** Whether a commit is acknowledged only after a replica has received it. */
    boolean replicatesSynchronously = true;

    int connectionLimit = Integer.MAX_VALUE;

    /** The number of transactions that are open at the primary. */
    int openTransactions;

    private final AcknowledgedCommitTracker acknowledgedCommits = new AcknowledgedCommitTracker();

    /** The number of the newest record; -1 if there is none. */
    private long recordNumber = UNSET;

    /** The data loss that an operator accepted, from the newest record; null if there is none. */
    private AcceptedDataLoss acceptedLoss;

    /** Token bucket of the reads that may go to the primary while replicas could serve them. */
    private double primaryReadTokens = MAX_PRIMARY_READ_TOKENS;

    private long noPrimarySinceMillis = UNSET;
    private boolean noPrimaryReported;

    /** The reachability of the primary at the last check. */
    private int lastReachability;

    private final List<Runnable> waiters = new ArrayList<>();

    DatabaseService(DataPlaneNode node, String name) {
        this.node = node;
        this.name = name;
    }

    // ---- updates from the control plane

    /** Applies a primary record if its number is higher. */
    void onRecord(PrimaryRecord record) {
        if (record.number() > recordNumber) {
            recordNumber = record.number();
            primary = record.primary();
            moving = record.moving();
            drainsTransactions = record.drainsTransactions();
            acceptedLoss = record.acceptedLoss();
            notifyWaiters();
        }
    }

    /** Removes all servers except these. */
    void retainServers(Set<String> ids) {
        for (ServerPool server : List.copyOf(servers.values())) {
            if (!ids.contains(server.id)) {
                removeServer(server);
            }
        }
    }

    /** Removes a server that has left. */
    void removeServer(ServerPool server) {
        server.remove();
        servers.remove(server.id);
        if (!server.id.equals(primary)) {
            ServerPool primaryServer = servers.get(primary);
            acknowledgedCommits.onReplicaDeparted(
                    primary,
                    primaryServer == null ? null : primaryServer.knownPosition,
                    node.environment.nowMillis()
                            + AcknowledgedCommits.DEPARTURE_HEARTBEAT_INTERVALS
                                    * node.settings.heartbeatIntervalMillis());
        }
    }

    // ---- primary

    /** Returns the server for writes; null if none is known or a move is in progress. */
    ServerPool primary() {
        if (moving) {
            return null;
        }
        ServerPool server = recordNumber < 0 ? reportedPrimary() : servers.get(primary);
        return server == null || server.removed || server.isDrainTimeOver() ? null : server;
    }

    /** Returns the primary if it is reachable; else null. */
    ServerPool reachablePrimary() {
        ServerPool server = primary();
        return server == null || !server.isReachable() ? null : server;
    }

    /**
     * Returns the only server that reports itself as primary. Used before the first record; the
     * result is unconfirmed.
     */
    private ServerPool reportedPrimary() {
        ServerPool reported = null;
        for (ServerPool server : servers.values()) {
            if (server.reportsPrimary) {
                if (reported != null) {
                    return null;
                }
                reported = server;
            }
        }
        return reported;
    }

    /** Returns whether this server is certain to be the primary at present. */
    boolean isConfirmedPrimary(ServerPool server) {
        return !moving && server.id.equals(primary) && arePrimariesConfirmed();
    }

    private boolean arePrimariesConfirmed() {
        return node.environment.nowMillis() < node.controlPlane.primariesConfirmedUntilMillis();
    }

    /**
     * Returns whether a commit that this server completes now may be acknowledged: no log is
     * compared for a failover yet, or the service promises nothing after the loss of its primary.
     */
    boolean mayAcknowledgeCommitsOf(ServerPool server) {
        return !replicatesSynchronously
                || server.id.equals(primary)
                        && (!moving || drainsTransactions)
                        && arePrimariesConfirmed();
    }

    /**
     * Returns whether commits can be expected to be acknowledged soon. If not, as no control
     * process confirms the primary, writes are refused at once.
     */
    boolean expectsConfirmationSoon() {
        return !replicatesSynchronously
                || node.environment.nowMillis()
                        < node.controlPlane.primariesConfirmedUntilMillis()
                                + MAX_MOVE_HEARTBEAT_INTERVALS
                                        * node.settings.heartbeatIntervalMillis();
    }

    /**
     * Returns whether a primary can be expected soon. If not, statements that need a primary are
     * refused at once instead of being held until their deadline.
     */
    boolean expectsPrimarySoon() {
        if (reachablePrimary() != null) {
            noPrimarySinceMillis = UNSET;
            noPrimaryReported = false;
            return true;
        }
        long now = node.environment.nowMillis();
        noPrimarySinceMillis = noPrimarySinceMillis < 0 ? now : noPrimarySinceMillis;
        long noPrimaryMillis = now - noPrimarySinceMillis;
        boolean primaryExpected =
                noPrimaryMillis
                        < MAX_MOVE_HEARTBEAT_INTERVALS * node.settings.heartbeatIntervalMillis();
        if (!primaryExpected && !noPrimaryReported) {
            node.environment.warn(
                    "no-primary service="
                            + name
                            + " for_ms="
                            + noPrimaryMillis
                            + " recorded="
                            + primary
                            + (moving ? " moving" : ""));
        }
        noPrimaryReported = !primaryExpected;
        return primaryExpected;
    }

    /** Returns whether the primary became reachable or unreachable since the last call. */
    boolean checkReachabilityChange() {
        ServerPool server = servers.get(primary);
        int reachability = server == null ? 0 : server.reachability();
        boolean changed = reachability < 0 != lastReachability < 0;
        lastReachability = reachability;
        return changed;
    }

    /** Returns the bounds of the commits that this data plane has acknowledged. */
    AcknowledgedCommits acknowledged() {
        return acknowledgedCommits.commits();
    }

    /**
     * Returns whether a server is draining or has just left. A replica that leaves takes its log
     * with it, so acknowledged commits are reported meanwhile.
     */
    boolean hasDepartingServer() {
        return acknowledgedCommits.hasDeparting(node.environment.nowMillis())
                || servers.values().stream().anyMatch(server -> server.draining);
    }

    // ---- reads

    /**
     * Returns the server for a read that replicas may serve: the least busy server that should have
     * the required log position. A bounded share of reads goes to the primary if it is less busy
     * than every replica.
     *
     * @param position what the server's log must cover; null if unknown
     * @param excluded servers that are excluded as they have failed
     * @return null if no server is suitable
     */
    ServerPool selectForRead(LogPosition position, List<ServerPool> excluded) {
        ServerPool primaryServer = primary();
        primaryReadTokens =
                Math.min(
                        MAX_PRIMARY_READ_TOKENS,
                        primaryReadTokens + primaryReadTokensPerRead(primaryServer));
        ServerPool best = null;
        double lowestCost = Double.MAX_VALUE;
        for (ServerPool server : servers.values()) {
            boolean isPrimary = server == primaryServer;
            boolean eligible =
                    isPrimary
                            ? canReadFromPrimary(server, position)
                            : canReadFromReplica(server, position);
            if (server.isUsable() && !excluded.contains(server) && eligible) {
                double cost = cost(server) + (isPrimary ? PRIMARY_COST : 0);
                if (cost < lowestCost) {
                    lowestCost = cost;
                    best = server;
                }
            }
        }
        if (best != null && best == primaryServer && position != null) {
            primaryReadTokens -= 1;
        }
        return best;
    }

    private double primaryReadTokensPerRead(ServerPool primaryServer) {
        boolean onlyPrimaryIsLocal =
                primaryServer != null
                        && primaryServer.isLocalRegion
                        && servers.values().stream()
                                .noneMatch(
                                        server ->
                                                server != primaryServer
                                                        && server.isLocalRegion
                                                        && server.isUsable());
        return onlyPrimaryIsLocal
                ? PRIMARY_READ_TOKENS_PER_READ_WITHOUT_LOCAL_REPLICA
                : PRIMARY_READ_TOKENS_PER_READ;
    }

    private boolean canReadFromReplica(ServerPool replica, LogPosition position) {
        return position != null && replica.laggingUntilMillis <= node.environment.nowMillis();
    }

    private boolean canReadFromPrimary(ServerPool primaryServer, LogPosition position) {
        return position == null
                || primaryReadTokens >= 1 && primaryServer.slowdown <= MAX_PRIMARY_SLOWDOWN;
    }

    private static double cost(ServerPool server) {
        return (server.busyConnections + 0.5) * server.slowdown
                + (server.isLocalRegion ? 0 : REMOTE_REGION_COST);
    }

    /**
     * Returns the position that a read must wait for: no log has the commits of an accepted loss.
     */
    LogPosition withoutAcceptedLoss(LogPosition position) {
        return acceptedLoss == null ? position : acceptedLoss.exclude(position);
    }

    /**
     * Records the response to a commit. After an accepted loss, the log of the new primary may be
     * shorter than the lost positions; its commits still belong after them, in a later term, and
     * are not part of the loss.
     *
     * @param requestPosition the last known log position when the commit was sent
     */
    void onAcknowledged(
            ServerPool server, LogPosition requestPosition, LogPosition responsePosition) {
        boolean followsLoss =
                acceptedLoss != null && acceptedLoss.losesCommits() && server.id.equals(primary);
        LogPosition lowerPosition =
                followsLoss
                        ? LogPosition.max(requestPosition, acceptedLoss.lostUpTo())
                        : requestPosition;
        acknowledgedCommits.onAcknowledged(
                server.id,
                AcknowledgedCommits.ofResponse(lowerPosition, responsePosition),
                node.environment.nowMillis());
    }

    // ---- waiters

    /** Registers an action that runs after the next change that may unblock a waiting statement. */
    void addWaiter(Runnable waiter) {
        waiters.add(waiter);
    }

    void removeWaiter(Runnable waiter) {
        waiters.remove(waiter);
    }

    void notifyWaiters() {
        if (!waiters.isEmpty()) {
            List<Runnable> notified = new ArrayList<>(waiters);
            waiters.clear();
            notified.forEach(Runnable::run);
        }
    }
}
