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
    static final long SILENCE_TIMEOUT_MS = 450;

    private static final long MIN_BACKOFF_MS = 120;
    private static final long MAX_BACKOFF_MS = 1_000;

    private static final long MIN_LAG_BACKOFF_MS = 50;
    private static final long MAX_LAG_BACKOFF_MS = 800;

    /** A server that refused a connection is not asked for another sooner. */
    private static final long FULL_PAUSE_MS = 200;

    private static final long NONE = -1;

    /** Waits for a connection. */
    interface Borrower {

        /**
         * @return whether it still wants one
         */
        boolean isInterested();

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

    final List<ServerConnection> idle = new ArrayList<>();
    final List<ServerConnection> connections = new ArrayList<>();
    private final List<Borrower> waiters = new ArrayList<>();
    int connecting;
    int busyConnections;

    /** How much slower than usual it answers: 1 in calm. */
    double slowdown = 1;

    long lastHeardMillis;
    long laggingUntilMillis;
    private long lagBackoffMillis = MIN_LAG_BACKOFF_MS;
    long downSinceMillis = NONE;
    private long reconnectAtMillis;
    private long reconnectBackoffMillis = MIN_BACKOFF_MS;

    /** It refuses more connections than this data plane has. */
    private long fullUntilMillis;

    ServerPool(
            DataPlaneNode node, DatabaseService service, String id, String address, String zone) {
        this.node = node;
        this.service = service;
        this.id = id;
        this.address = address;
        this.zone = zone;
        isLocalRegion = node.settings.isSameRegion(zone);
        lastHeardMillis = node.environment.nowMillis();
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
                && node.environment.nowMillis() - Math.max(oldest, lastHeardMillis)
                        > SILENCE_TIMEOUT_MS;
    }

    void onResponse() {
        lastHeardMillis = node.environment.nowMillis();
        if (downSinceMillis >= 0) {
            downSinceMillis = NONE;
            reconnectBackoffMillis = MIN_BACKOFF_MS;
            service.notifyWaiters();
        }
    }

    void onLagging() {
        laggingUntilMillis = node.environment.nowMillis() + lagBackoffMillis;
        lagBackoffMillis = Math.min(MAX_LAG_BACKOFF_MS, lagBackoffMillis * 2);
    }

    void onCaughtUp() {
        lagBackoffMillis = Math.max(MIN_LAG_BACKOFF_MS, lagBackoffMillis - 1);
    }

    /** Lends a connection, now or later: the one that needs the fewest statements first. */
    void borrow(Borrower borrower) {
        ServerConnection best = null;
        int least = Integer.MAX_VALUE;
        for (int i = idle.size() - 1; i >= 0 && least > 0; i--) {
            int cost = idle.get(i).setupCost(borrower.sessionVariables());
            if (cost < least) {
                least = cost;
                best = idle.get(i);
            }
        }
        if (best != null) {
            idle.remove(best);
            borrower.onConnection(best);
            return;
        }
        int at = waiters.size();
        while (at > 0 && waiters.get(at - 1).priority() > borrower.priority()) {
            at--;
        }
        waiters.add(at, borrower);
        openConnections();
    }

    /** No more connections than its share, and no more connects than are waited for. */
    private void openConnections() {
        waiters.removeIf(w -> !w.isInterested());
        long now = node.environment.nowMillis();
        while (!removed
                && connecting < waiters.size()
                && connections.size() < node.maxConnectionsPerServer(service)
                && now >= fullUntilMillis) {
            if (downSinceMillis >= 0 && (now < reconnectAtMillis || connecting > 0)) {
                break;
            }
            connecting++;
            ServerConnection opened = new ServerConnection(this);
            connections.add(opened);
            opened.connect();
        }
        if (connecting == 0 && downSinceMillis >= 0) {
            rejectBorrowers("down");
        } else if (connections.isEmpty() && now < fullUntilMillis) {
            rejectBorrowers("full");
        }
    }

    /** Tries whether the server is back, where it was out of reach. */
    void reconnectIfDue() {
        if (downSinceMillis >= 0
                && connecting == 0
                && node.environment.nowMillis() >= reconnectAtMillis
                && !acceptsNothingNew()) {
            connecting++;
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
        if (!idle.isEmpty() && (acceptsNothingNew() || isTimedOut())) {
            new ArrayList<>(idle).forEach(ServerConnection::close);
        }
        if (acceptsNothingNew()) {
            rejectBorrowers("leaves");
        }
    }

    /** Closes connections whose answers were lost: nobody waits for those any more. */
    void closeOverdue() {
        if (busyConnections > 0) {
            long now = node.environment.nowMillis();
            new ArrayList<>(connections).forEach(c -> c.closeIfOverdue(now));
        }
    }

    /** A connection was made, or is given back. */
    void release(ServerConnection connection) {
        if (acceptsNothingNew()) {
            rejectBorrowers("leaves");
            connection.close();
            return;
        }
        if (connections.size() > node.maxConnectionsPerServer(service) && waiters.isEmpty()) {
            connection.close();
            return;
        }
        Iterator<Borrower> next = waiters.iterator();
        while (next.hasNext()) {
            Borrower borrower = next.next();
            next.remove();
            if (borrower.isInterested()) {
                borrower.onConnection(connection);
                return;
            }
        }
        idle.add(connection);
    }

    void onConnectionClosed(ServerConnection connection, boolean wasConnected, String reason) {
        connections.remove(connection);
        idle.remove(connection);
        long now = node.environment.nowMillis();
        if (!wasConnected) {
            if (reason.equals("TOOMANY")) {
                fullUntilMillis = now + FULL_PAUSE_MS;
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
            reconnectBackoffMillis = Math.min(MAX_BACKOFF_MS, reconnectBackoffMillis * 2);
            if (connecting == 0) {
                rejectBorrowers("down");
            }
        } else if (!waiters.isEmpty()) {
            openConnections();
        }
    }

    /** All who wait look elsewhere. */
    void rejectBorrowers(String reason) {
        List<Borrower> rejected = new ArrayList<>(waiters);
        waiters.clear();
        rejected.forEach(
                w -> {
                    if (w.isInterested()) {
                        w.onUnavailable(reason);
                    }
                });
    }

    void remove() {
        removed = true;
        new ArrayList<>(idle).forEach(ServerConnection::close);
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
            new ArrayList<>(idle).forEach(ServerConnection::close);
            rejectBorrowers("draining");
        }
    }

    /** It drains, and what it received now could come too late. */
    boolean isDrainOver() {
        return draining
                && node.environment.nowMillis() > drainingSinceMillis + node.settings.drainMillis();
    }

    /** It drains or is removed, and is not to be used as the primary: nothing begins there. */
    boolean acceptsNothingNew() {
        return removed || draining && service.primary() != this;
    }

    /** How this data plane sees it: 1 answered just now, -1 out of reach, 0 not known. */
    int reachability() {
        if (downSinceMillis >= 0 || isTimedOut()) {
            return -1;
        }
        return node.environment.nowMillis() - lastHeardMillis < SILENCE_TIMEOUT_MS
                        && !connections.isEmpty()
                ? 1
                : 0;
    }

    Environment environment() {
        return node.environment;
    }
}
