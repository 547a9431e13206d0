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
 * One service: its servers, which of them is the primary, and what is known of its log. Decides
 * which server takes a read.
 */
final class DatabaseService {

    private static final double MAX_PRIMARY_READ_TOKENS = 4;

    /** The share of reads that may go to the primary though a replica could serve them. */
    private static final double PRIMARY_READ_TOKENS_PER_READ = 0.25;

    /** The same where the primary is in the own region and no replica is. */
    private static final double PRIMARY_READ_TOKENS_PER_READ_WITHOUT_LOCAL_REPLICA = 0.6;

    /** How much busier a server in the own region may be than one in another. */
    private static final double REMOTE_REGION_COST = 2;

    /** What a primary must be less busy by to take what a replica could. */
    private static final double PRIMARY_COST = 1;

    /** A primary that answers this much slower than usual takes no spilled reads. */
    private static final double MAX_PRIMARY_SLOWDOWN = 1.5;

    /** A move takes no longer than so many heartbeats of the servers; else nobody knows. */
    private static final double MAX_MOVE_HEARTBEAT_INTERVALS = 2;

    private static final long UNSET = -1;

    final String name;
    final DataPlaneNode node;

    /** By id, so that every order is the same each time. */
    final TreeMap<String, ServerPool> servers = new TreeMap<>();

    final PrimaryPositionHistory primaryPositions = new PrimaryPositionHistory();

    /** The primary by the newest record; empty where there is none. */
    String primary = "";

    boolean moving;
    int connectionLimit = Integer.MAX_VALUE;

    /** Transactions that are open at the primary. */
    int openTransactions;

    /** Of the commits whose answers came here. */
    AcknowledgedCommits acknowledged = AcknowledgedCommits.NONE;

    /** The number of the newest record; -1 for none. */
    private long recordNumber = UNSET;

    /** What an operator gave up, as the record says; null for nothing. */
    private AcceptedDataLoss acceptedLoss;

    /** Reads that may go to the primary though a replica could serve them. */
    private double primaryReadTokens = MAX_PRIMARY_READ_TOKENS;

    private long noPrimarySinceMillis = UNSET;
    private boolean noPrimaryReported;

    /** What the control plane was last told of the primary. */
    private int lastReachability;

    private final List<Runnable> waiters = new ArrayList<>();

    DatabaseService(DataPlaneNode node, String name) {
        this.node = node;
        this.name = name;
    }

    // ---- what the control plane says

    /** Takes a primary record over where it is newer. */
    void onRecord(PrimaryRecord record) {
        if (record.number() > recordNumber) {
            recordNumber = record.number();
            primary = record.primary();
            moving = record.moving();
            acceptedLoss = record.acceptedLoss();
            notifyWaiters();
        }
    }

    /** There are no servers but these. */
    void retainServers(Set<String> ids) {
        for (ServerPool server : List.copyOf(servers.values())) {
            if (!ids.contains(server.id)) {
                server.remove();
                servers.remove(server.id);
            }
        }
    }

    // ---- the primary

    /** The server to write to; null while none is known, or a move is under way. */
    ServerPool primary() {
        if (moving) {
            return null;
        }
        ServerPool server = recordNumber < 0 ? reportedPrimary() : servers.get(primary);
        return server == null || server.removed || server.isDrainTimeOver() ? null : server;
    }

    /** The primary where it answers; else null. */
    ServerPool reachablePrimary() {
        ServerPool server = primary();
        return server == null || !server.isReachable() ? null : server;
    }

    /**
     * Before there is a record: the server that reports it itself, which is no more than a guess.
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

    /** Whether it is certain that this server leads, whatever else happens. */
    boolean isConfirmedPrimary(ServerPool server) {
        return !moving
                && server.id.equals(primary)
                && node.environment.nowMillis() < node.controlPlane.primariesConfirmedUntilMillis();
    }

    /**
     * Whether a primary may be there soon; else what needs one is refused at once, and not held for
     * its time.
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

    /** Whether the primary is seen otherwise than the control plane was told. */
    boolean checkReachabilityChange() {
        ServerPool server = servers.get(primary);
        int reachability = server == null ? 0 : server.reachability();
        boolean changed = reachability < 0 != lastReachability < 0;
        lastReachability = reachability;
        return changed;
    }

    /** A replica leaves and takes its log along: what was acknowledged is told meanwhile. */
    boolean hasDrainingServer() {
        for (ServerPool server : servers.values()) {
            if (server.draining) {
                return true;
            }
        }
        return false;
    }

    // ---- reads

    /**
     * The server for a read that a replica may serve: the least busy of those that should have what
     * it needs; a bounded share goes to the primary, while that is less busy still.
     *
     * @param position what its log must hold; null where that is not known
     * @param excluded servers that were tried before
     * @return null where no replica will do
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

    /** What a read has to wait for, of what it would: no log has what was given up. */
    LogPosition withoutAcceptedLoss(LogPosition position) {
        return acceptedLoss == null ? position : acceptedLoss.exclude(position);
    }

    /**
     * This server answered a commit. Behind a loss its log may be shorter than what was given up;
     * what it acknowledges stands past that all the same, in a later term, and is not given up with
     * it.
     *
     * @param requestPosition how far its log was known to be when the commit was sent
     */
    void onAcknowledged(
            ServerPool server, LogPosition requestPosition, LogPosition responsePosition) {
        boolean followsLoss =
                acceptedLoss != null && acceptedLoss.losesCommits() && server.id.equals(primary);
        LogPosition lowerPosition =
                followsLoss
                        ? LogPosition.max(requestPosition, acceptedLoss.lostUpTo())
                        : requestPosition;
        acknowledged =
                acknowledged.merge(AcknowledgedCommits.ofResponse(lowerPosition, responsePosition));
    }

    // ---- who waits for a change

    /** Runs once something has changed that a waiting statement should look at. */
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
