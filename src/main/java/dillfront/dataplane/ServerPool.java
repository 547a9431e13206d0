package dillfront.dataplane;

import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * One database server of a service: this data plane's connections to it, who waits for one, and how
 * the server is seen. Connections are borrowed for a statement or a transaction and given back.
 */
final class ServerPool {

    /** A connect that takes longer is given up; the server is taken for out of reach. */
    static final int CONNECT_TIMEOUT_MS = 900;

    /** Nothing came for so long while an answer was outstanding: the server may be lost. */
    static final long UNRESPONSIVE_TIMEOUT_MS = 450;

    private static final long MIN_RECONNECT_BACKOFF_MS = 120;
    private static final long MAX_RECONNECT_BACKOFF_MS = 1_000;

    private static final long MIN_LAG_BACKOFF_MS = 50;
    private static final long MAX_LAG_BACKOFF_MS = 800;

    /** A server that refused a connection is not asked for another sooner. */
    private static final long CONNECTION_LIMIT_DELAY_MS = 200;

    private static final long UNSET = -1;

    /** Waits for a connection. */
    interface Borrower {

        /**
         * @return whether it still wants one
         */
        boolean isPending();

        long priority();

        Map<String, String> sessionVariables();

        void onConnection(ServerConnection connection);

        /** There will be none for now: the server is out of reach, or no longer to be used. */
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

    /** By its last heartbeat it is the primary. */
    boolean reportsPrimary;

    /** How far its log was at the least, by its answers; null before the first. */
    LogPosition knownPosition;

    final List<ServerConnection> idleConnections = new ArrayList<>();
    final List<ServerConnection> connections = new ArrayList<>();
    private final List<Borrower> waitingBorrowers = new ArrayList<>();
    int connectsInProgress;
    int busyConnections;

    /** How much slower than usual it answers: 1 in calm. */
    double slowdown = 1;

    long lastResponseMillis;
    long laggingUntilMillis;
    private long lagBackoffMillis = MIN_LAG_BACKOFF_MS;
    long downSinceMillis = UNSET;
    private long reconnectAtMillis;
    private long reconnectBackoffMillis = MIN_RECONNECT_BACKOFF_MS;

    /** It refuses more connections than this data plane has. */
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

    /** Whether new work may go there: a server that drains or timed out gets none. */
    boolean isUsable() {
        return !removed && !draining && isReachable();
    }

    boolean isReachable() {
        return !removed && downSinceMillis < 0 && !isTimedOut();
    }

    /** An answer is outstanding for long, and nothing at all came since. */
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

    /** Lends a connection, now or later: the one that needs the fewest statements first. */
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

    /** No more connections than its share, and no more connects than are waited for. */
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

    /** Tries whether the server is back, where it was out of reach. */
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
     * Of a server that timed out idle connections are closed: a write on one of them would be cut
     * later, and nobody could say whether it ran. A server that leaves may serve on for long, and
     * keeps none either.
     */
    void closeIdleIfUnusable() {
        if (!idleConnections.isEmpty() && (rejectsNewWork() || isTimedOut())) {
            new ArrayList<>(idleConnections).forEach(ServerConnection::close);
        }
        if (rejectsNewWork()) {
            rejectBorrowers("leaves");
        }
    }

    /** Closes connections whose answers were lost: nobody waits for those any more. */
    void closeOverdue() {
        if (busyConnections > 0) {
            long now = node.environment.nowMillis();
            new ArrayList<>(connections).forEach(connection -> connection.closeIfOverdue(now));
        }
    }

    /** A connection was made, or is given back. */
    void release(ServerConnection connection) {
        if (rejectsNewWork()) {
            rejectBorrowers("leaves");
            connection.close();
            return;
        }
        if (connections.size() > node.maxConnectionsPerServer(service)
                && waitingBorrowers.isEmpty()) {
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
                // Another server has its address: this one is gone, whatever the registry says yet.
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

    /** All who wait look elsewhere. */
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
     * The server announced its end: nothing new goes there, but to the primary, until another
     * server is or its drain time is nearly over.
     */
    void startDraining() {
        draining = true;
        drainingSinceMillis = node.environment.nowMillis();
        if (service.primary() != this) {
            new ArrayList<>(idleConnections).forEach(ServerConnection::close);
            rejectBorrowers("draining");
        }
    }

    /** It drains, and what it received now could come too late. */
    boolean isDrainTimeOver() {
        return draining
                && node.environment.nowMillis() > drainingSinceMillis + node.settings.drainMillis();
    }

    /** It drains or is removed, and is not to be used as the primary: nothing begins there. */
    boolean rejectsNewWork() {
        return removed || draining && service.primary() != this;
    }

    /** How this data plane sees it: 1 answered just now, -1 out of reach, 0 not known. */
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
