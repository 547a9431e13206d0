package dillfront.dataplane;

import dillfront.common.config.Configuration.ReadConsistency;
import dillfront.common.config.Configuration.Route;
import dillfront.common.database.LogPosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What a client's session has a server connection borrowed for: one statement by itself, or a
 * transaction.
 */
abstract class Execution {

    /** The part of its time that a statement may wait for a primary or a connection. */
    private static final double MAX_WAIT_SHARE_OF_TIMEOUT = 0.8;

    final ClientSession session;
    final DataPlaneNode node;

    /** The client's id of the statement. */
    final String id;

    final Route route;
    final long receivedMillis;

    /** Servers that were tried in vain since anything changed. */
    final List<ServerPool> excludedServers = new ArrayList<>();

    int attempts;

    /** The connection on which it runs; null while it has none. */
    ServerConnection connection;

    /** It was answered, or is not wanted any more. */
    boolean finished;

    Execution(ClientSession session, String id, Route route) {
        this.session = session;
        this.id = id;
        this.route = route;
        node = session.node();
        receivedMillis = now();
    }

    final long now() {
        return node.environment.nowMillis();
    }

    final DatabaseService service() {
        return node.service(route.service());
    }

    final boolean isActive() {
        return !finished && !session.isClosed();
    }

    /** Until when it may wait for a primary or a connection; then it is refused. */
    final long waitDeadlineMillis() {
        return receivedMillis + (long) (route.timeoutMillis() * MAX_WAIT_SHARE_OF_TIMEOUT);
    }

    final boolean hasWaitTimeLeft() {
        return now() < waitDeadlineMillis();
    }

    /** Whether it only reads, and its route lets a replica serve reads. */
    abstract boolean mayUseReplica();

    /**
     * A connection was borrowed for it.
     *
     * @param position what the server's log must hold; null where that is not known
     */
    abstract void onConnection(ServerPool server, ServerConnection borrowed, LogPosition position);

    /** There is no server for it now. */
    abstract void onNoServerAvailable();

    /** This server has no connection for it. */
    abstract void onServerUnavailable(ServerPool server);

    /** Borrows a connection, now or later, of a server where it may run. */
    final void acquire() {
        DatabaseService service = service();
        LogPosition position = mayUseReplica() ? requiredPosition(service) : null;
        ServerPool replica =
                mayUseReplica() ? service.selectForRead(position, excludedServers) : null;
        ServerPool server = replica == null ? service.reachablePrimary() : replica;
        if (server == null) {
            onNoServerAvailable();
        } else {
            server.borrow(new ConnectionRequest(server, position));
        }
    }

    private final class ConnectionRequest implements ServerPool.Borrower {

        /** Priorities go before the time that was waited. */
        private static final long PRIORITY_WEIGHT = 1_000_000_000L;

        private final ServerPool server;
        private final LogPosition position;

        ConnectionRequest(ServerPool server, LogPosition position) {
            this.server = server;
            this.position = position;
        }

        @Override
        public boolean isPending() {
            return isActive();
        }

        @Override
        public long priority() {
            return route.priority() * PRIORITY_WEIGHT + receivedMillis;
        }

        @Override
        public Map<String, String> sessionVariables() {
            return session.variables();
        }

        @Override
        public void onConnection(ServerConnection borrowed) {
            Execution.this.onConnection(server, borrowed, position);
        }

        @Override
        public void onUnavailable(String reason) {
            onServerUnavailable(server);
        }
    }

    /** What a log must hold for its reads; null where that is not known. */
    private LogPosition requiredPosition(DatabaseService service) {
        LogPosition stalenessPosition =
                service.primaryPositions.lowestPositionSince(
                        receivedMillis - route.maxStalenessMillis());
        if (stalenessPosition == null) {
            return null;
        }
        boolean readsOwnWrites = route.consistency() == ReadConsistency.READ_YOUR_WRITES;
        return service.withoutAcceptedLoss(
                readsOwnWrites
                        ? LogPosition.max(stalenessPosition, session.lastWritePosition())
                        : stalenessPosition);
    }

    /**
     * That a server leads is not certain by the record, so it is asked first, on the same
     * connection. A server that led after a read's first byte came has all that was acknowledged
     * before, whatever happens to it then.
     */
    final void verifyPrimary(
            ServerConnection serverConnection, Runnable ifPrimary, Runnable ifNotPrimary) {
        node.counters.primaryChecks++;
        serverConnection.query(
                "STATUS",
                result -> {
                    if (isActive() && isPrimaryStatus(result)) {
                        ifPrimary.run();
                        return;
                    }
                    returnConnection(serverConnection, result);
                    if (isActive()) {
                        ifNotPrimary.run();
                    }
                });
    }

    private static boolean isPrimaryStatus(QueryResult result) {
        return result.isCompleted()
                && !result.rows().isEmpty()
                && result.rows().get(0).startsWith("primary ");
    }

    /** Gives a connection back after this answer, rolled back where a transaction is open there. */
    static void returnConnection(ServerConnection serverConnection, QueryResult result) {
        if (serverConnection.isClosed()) {
            return;
        }
        if (result.isIdle()) {
            serverConnection.pool.release(serverConnection);
        } else {
            rollBackAndRelease(serverConnection);
        }
    }

    /** Rolls back what is open on a connection, and gives it back. */
    static void rollBackAndRelease(ServerConnection serverConnection) {
        serverConnection.query(
                "ROLLBACK",
                result -> {
                    if (serverConnection.isClosed()) {
                        return;
                    }
                    if (result.isIdle()) {
                        serverConnection.pool.release(serverConnection);
                    } else {
                        serverConnection.abort("not rolled back");
                    }
                });
    }
}
