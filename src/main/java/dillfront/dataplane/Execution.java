package dillfront.dataplane;

import dillfront.common.config.Configuration.ReadConsistency;
import dillfront.common.config.Configuration.Route;
import dillfront.common.database.LogPosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A unit of work that borrows a server connection for a client session: a single statement or a
 * transaction.
 */
abstract class Execution {

    /**
     * The share of a statement's time-out that it may spend waiting for a primary or a connection.
     */
    private static final double MAX_WAIT_SHARE_OF_TIMEOUT = 0.8;

    final ClientSession session;
    final DataPlaneNode node;

    /** The client's id of the statement. */
    final String id;

    final Route route;
    final long receivedMillis;

    /** Servers that failed since the last change; they are not tried again. */
    final List<ServerPool> excludedServers = new ArrayList<>();

    int attempts;

    /** The borrowed connection; null if there is none. */
    ServerConnection connection;

    /** Whether the result was sent or is no longer needed. */
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

    /** Returns when the wait for a primary or a connection ends; the statement is refused then. */
    final long waitDeadlineMillis() {
        return receivedMillis + (long) (route.timeoutMillis() * MAX_WAIT_SHARE_OF_TIMEOUT);
    }

    final boolean hasWaitTimeLeft() {
        return now() < waitDeadlineMillis();
    }

    /** Returns whether the work only reads and its route permits reads from replicas. */
    abstract boolean mayUseReplica();

    /** Returns whether the work may end with a commit that has to be acknowledged. */
    abstract boolean mayCommit();

    /**
     * Called with the borrowed connection.
     *
     * @param position what the server's log must cover; null if unknown
     */
    abstract void onConnection(ServerPool server, ServerConnection borrowed, LogPosition position);

    /** Called if no server is available now. */
    abstract void onNoServerAvailable();

    /** Called if this server cannot provide a connection. */
    abstract void onServerUnavailable(ServerPool server);

    /** Selects a server and borrows a connection, waiting for one if necessary. */
    final void acquire() {
        DatabaseService service = service();
        LogPosition position = mayUseReplica() ? requiredPosition(service) : null;
        ServerPool replica =
                mayUseReplica() ? service.selectForRead(position, excludedServers) : null;
        ServerPool server = replica == null ? service.reachablePrimary() : replica;
        if (server == null || mayCommit() && !service.mayAcknowledgeCommitsOf(server)) {
            onNoServerAvailable();
        } else {
            server.borrow(new ConnectionRequest(server, position));
        }
    }

    /** Returns whether a server for this work can be expected soon. */
    final boolean expectsServerSoon() {
        return service().expectsPrimarySoon()
                && (!mayCommit() || service().expectsConfirmationSoon());
    }

    private final class ConnectionRequest implements ServerPool.Borrower {

        /** Lets the route's priority outweigh the waiting time, as 1e9 ms are more than 11 days. */
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

    /** Returns the log position that the reads require; null if unknown. */
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
     * Queries the status of the server before a read, on the same connection, as the primary record
     * is not confirmed. A server that was primary after the read's first byte arrived has every
     * commit that was acknowledged before that, even if it loses the role later.
     */
    final void verifyPrimary(
            ServerConnection serverConnection, Runnable ifPrimary, Runnable ifNotPrimary) {
        node.counters.primaryChecks++;
        serverConnection.query(
                "STATUS",
                result -> {
                    if (isActive() && result.isPrimaryStatus()) {
                        ifPrimary.run();
                        return;
                    }
                    returnConnection(serverConnection, result);
                    if (isActive()) {
                        ifNotPrimary.run();
                    }
                });
    }

    /** Releases a connection after a response; an open transaction on it is rolled back first. */
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

    /** Rolls back the open transaction on a connection and releases it. */
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
                        serverConnection.abort("rollback failed");
                    }
                });
    }
}
