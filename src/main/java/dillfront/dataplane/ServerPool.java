package dillfront.dataplane;

import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The connection pool of one database server: this data plane's connections to it, the borrowers
 * that wait for one, and the reachability of the server. A connection is borrowed for a statement
 * or a transaction.
 */
final class ServerPool {

    /** A connect that takes longer is abandoned; the server counts as unreachable. */
    static final int CONNECT_TIMEOUT_MS = 900;

    /**
     * A server that has sent nothing for this time while a response was due counts as timed out.
     */
    static final long UNRESPONSIVE_TIMEOUT_MS = 450;

    private static final long MIN_RECONNECT_BACKOFF_MS = 120;
    private static final long MAX_RECONNECT_BACKOFF_MS = 1_000;

    private static final long MIN_LAG_BACKOFF_MS = 50;
    private static final long MAX_LAG_BACKOFF_MS = 800;

    /** The delay before the next connect to a server that refused a connection for its limit. */
    private static final long CONNECTION_LIMIT_DELAY_MS = 200;

    private static final long UNSET = -1;

    /** A statement or transaction that waits for a connection. */
    interface Borrower {

        /** Returns whether a connection is still needed. */
        boolean isPending();

        long priority();

        Map<String, String> sessionVariables();

        void onConnection(ServerConnection connection);

        /**
         * Called if there is no connection for now: the server is unreachable or no longer used.
         */
        void onUnavailable(String reason);
    }

    final DataPlaneNode node;
    final DatabaseService service;
    final String id;
    final String address;
    final String zone;
    final boolean isLocalRegion;
    boolean draining;
    private long drainingSinceMillis;
    boolean removed;

    /** Whether the server reported itself as primary in its last heartbeat. */
    boolean reportsPrimary;

    /** The highest log position in the server's responses; null before the first one. */
    LogPosition knownPosition;

    final List<ServerConnection> idleConnections = new ArrayList<>();
    final List<ServerConnection> connections = new ArrayList<>();
    private final List<Borrower> waitingBorrowers = new ArrayList<>();
    int connectsInProgress;
    int busyConnections;

    /** The ratio of the response time to the usual one, smoothed; 1 under normal load. */
    double slowdown = 1;

    long lastResponseMillis;
    long laggingUntilMillis;
    private long lagBackoffMillis = MIN_LAG_BACKOFF_MS;
    long downSinceMillis = UNSET;
    private long reconnectAtMillis;
    private long reconnectBackoffMillis = MIN_RECONNECT_BACKOFF_MS;

    /** Until this time, no connection is opened, as the server has reached its connection limit. */
    private long connectionLimitUntilMillis;

    ServerPool(
            DataPlaneNode node, DatabaseService service, String id, String address, String zone) {
        this.node = node;
        this.service = service;
        this.id = id;
        this.address = address;
        this.zone = zone;
        isLocalRegion = node.settings.isSameRegion(zone);
        lastResponseMillis = node.environment.nowMillis();
    }

    /** Returns whether new work may be sent to the server: it is reachable and not draining. */
    boolean isUsable() {
        return !removed && !draining && isReachable();
    }

    boolean isReachable() {
        return !removed && downSinceMillis < 0 && !isTimedOut();
    }

    /** Returns whether a response has been due for too long and nothing was received since. */
    boolean isTimedOut() {
        if (busyConnections == 0) {
            return false;
        }
        long oldest = Long.MAX_VALUE;
        for (ServerConnection connection : connections) {
            oldest = Math.min(oldest, connection.oldestSentMillis());
        }
        return oldest != Long.MAX_VALUE
                && node.environment.nowMillis() - Math.max(oldest, lastResponseMillis)
                        > UNRESPONSIVE_TIMEOUT_MS;
    }

    void onResponse() {
        lastResponseMillis = node.environment.nowMillis();
        if (downSinceMillis >= 0) {
            downSinceMillis = UNSET;
            reconnectBackoffMillis = MIN_RECONNECT_BACKOFF_MS;
            service.notifyWaiters();
        }
    }

    void onLagging() {
        laggingUntilMillis = node.environment.nowMillis() + lagBackoffMillis;
        lagBackoffMillis = Math.min(MAX_LAG_BACKOFF_MS, lagBackoffMillis * 2);
    }

    void decayLagBackoff() {
        lagBackoffMillis = Math.max(MIN_LAG_BACKOFF_MS, lagBackoffMillis - 1);
    }

    /** Provides a connection, now or later; prefers the idle one with the lowest setup cost. */
    void borrow(Borrower borrower) {
        ServerConnection best = null;
        int lowestCost = Integer.MAX_VALUE;
        for (int i = idleConnections.size() - 1; i >= 0 && lowestCost > 0; i--) {
            int cost = idleConnections.get(i).setupCost(borrower.sessionVariables());
            if (cost < lowestCost) {
                lowestCost = cost;
                best = idleConnections.get(i);
            }
        }
        if (best != null) {
            idleConnections.remove(best);
            borrower.onConnection(best);
            return;
        }
        int position = waitingBorrowers.size();
        while (position > 0
                && waitingBorrowers.get(position - 1).priority() > borrower.priority()) {
            position--;
        }
        waitingBorrowers.add(position, borrower);
        openConnections();
    }

    /**
     * Opens connections up to this data plane's share, and no more than there are waiting
     * borrowers.
     */
    private void openConnections() {
        waitingBorrowers.removeIf(borrower -> !borrower.isPending());
        long now = node.environment.nowMillis();
        while (!removed
                && connectsInProgress < waitingBorrowers.size()
                && connections.size() < node.maxConnectionsPerServer(service)
                && now >= connectionLimitUntilMillis) {
            if (downSinceMillis >= 0 && (now < reconnectAtMillis || connectsInProgress > 0)) {
                break;
            }
            connectsInProgress++;
            ServerConnection opened = new ServerConnection(this);
            connections.add(opened);
            opened.connect();
        }
        if (connectsInProgress == 0 && downSinceMillis >= 0) {
            rejectBorrowers("down");
        } else if (connections.isEmpty() && now < connectionLimitUntilMillis) {
            rejectBorrowers("full");
        }
    }

    /** Checks whether an unreachable server accepts connections again. */
    void reconnectIfDue() {
        if (downSinceMillis >= 0
                && connectsInProgress == 0
                && node.environment.nowMillis() >= reconnectAtMillis
                && !rejectsNewWork()) {
            connectsInProgress++;
            ServerConnection opened = new ServerConnection(this);
            connections.add(opened);
            opened.connect();
        }
    }

    /**
     * Closes the idle connections of a server that timed out or is leaving. After a time-out, a
     * write on one of them would end with an unknown outcome. A server that is leaving may still
     * run for long, and should keep no connections.
     */
    void closeIdleIfUnusable() {
        if (!idleConnections.isEmpty() && (rejectsNewWork() || isTimedOut())) {
            new ArrayList<>(idleConnections).forEach(ServerConnection::close);
        }
        if (rejectsNewWork()) {
            rejectBorrowers("leaves");
        }
    }

    /** Closes connections whose response is overdue; no borrower waits for them any more. */
    void closeOverdue() {
        if (busyConnections > 0) {
            long now = node.environment.nowMillis();
            new ArrayList<>(connections).forEach(connection -> connection.closeIfOverdue(now));
        }
    }

    /** Takes a new or returned connection, and passes it to the next borrower. */
    void release(ServerConnection connection) {
        if (rejectsNewWork()) {
            rejectBorrowers("leaves");
            connection.close();
            return;
        }
        boolean exceedsLimit =
                connections.size() > node.maxConnectionsPerServer(service)
                        && waitingBorrowers.isEmpty();
        if (exceedsLimit || connection.holdsLargeVariables()) {
            connection.close();
            return;
        }
        Iterator<Borrower> iterator = waitingBorrowers.iterator();
        while (iterator.hasNext()) {
            Borrower borrower = iterator.next();
            iterator.remove();
            if (borrower.isPending()) {
                borrower.onConnection(connection);
                return;
            }
        }
        idleConnections.add(connection);
    }

    void onConnectionClosed(ServerConnection connection, boolean wasConnected, String reason) {
        connections.remove(connection);
        idleConnections.remove(connection);
        long now = node.environment.nowMillis();
        if (!wasConnected) {
            if (reason.equals("TOOMANY")) {
                connectionLimitUntilMillis = now + CONNECTION_LIMIT_DELAY_MS;
                onResponse();
                if (connections.isEmpty()) {
                    rejectBorrowers("full");
                }
                return;
            }
            if (reason.equals("WRONGNODE")) {
                // Another server has this address now: this server no longer exists, whatever the
                // registry says.
                remove();
                service.notifyWaiters();
                return;
            }
            if (downSinceMillis < 0) {
                downSinceMillis = now;
                service.notifyWaiters();
            }
            reconnectAtMillis =
                    now
                            + reconnectBackoffMillis
                            + node.environment.random().nextInt((int) reconnectBackoffMillis);
            reconnectBackoffMillis = Math.min(MAX_RECONNECT_BACKOFF_MS, reconnectBackoffMillis * 2);
            if (connectsInProgress == 0) {
                rejectBorrowers("down");
            }
        } else if (!waitingBorrowers.isEmpty()) {
            openConnections();
        }
    }

    /** Rejects all waiting borrowers, so that they select another server. */
    void rejectBorrowers(String reason) {
        List<Borrower> rejected = new ArrayList<>(waitingBorrowers);
        waitingBorrowers.clear();
        rejected.forEach(
                borrower -> {
                    if (borrower.isPending()) {
                        borrower.onUnavailable(reason);
                    }
                });
    }

    void remove() {
        removed = true;
        new ArrayList<>(idleConnections).forEach(ServerConnection::close);
        rejectBorrowers("gone");
    }

    /**
     * Called when the server announces that it is leaving. It gets no new work, unless it is the
     * primary: then it is used until another server is primary or its drain time is nearly over.
     *
     * @param ageMillis how long ago the server announced it
     */
    void startDraining(long ageMillis) {
        draining = true;
        drainingSinceMillis = node.environment.nowMillis() - ageMillis;
        if (service.primary() != this) {
            new ArrayList<>(idleConnections).forEach(ServerConnection::close);
            rejectBorrowers("draining");
        }
    }

    /** Returns whether the server is draining and new work could arrive there too late. */
    boolean isDrainTimeOver() {
        return draining
                && node.environment.nowMillis() > drainingSinceMillis + node.settings.drainMillis();
    }

    /**
     * Returns whether the server is removed, or draining and not used as primary: no new work is
     * sent there.
     */
    boolean rejectsNewWork() {
        return removed || draining && service.primary() != this;
    }

    /**
     * Returns the reachability of the server: 1 if it responded recently, -1 if it is unreachable,
     * 0 if unknown.
     */
    int reachability() {
        if (downSinceMillis >= 0 || isTimedOut()) {
            return -1;
        }
        return node.environment.nowMillis() - lastResponseMillis < UNRESPONSIVE_TIMEOUT_MS
                        && !connections.isEmpty()
                ? 1
                : 0;
    }

    Environment environment() {
        return node.environment;
    }
}
