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
    private static final double PATIENCE = 0.8;

    final ClientSession session;
    final DataPlaneNode node;

    /** The client's id of the statement. */
    final String id;

    final Route route;
    final long sinceMillis;

    /** Servers that were tried in vain since anything changed. */
    final List<ServerPool> tried = new ArrayList<>();

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
        sinceMillis = now();
    }

    final long now() {
        return node.environment.nowMillis();
    }

    final DatabaseService service() {
        return node.service(route.service());
    }

    final boolean isWanted() {
        return !finished && !session.isClosed();
    }

    /** Until when it may wait for a primary or a connection; then it is refused. */
    final long patienceEndMillis() {
        return sinceMillis + (long) (route.timeoutMillis() * PATIENCE);
    }

    final boolean isPatient() {
        return now() < patienceEndMillis();
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
    abstract void onNoServer();

    /** This server has no connection for it. */
    abstract void onServerUnavailable(ServerPool server);

    /** Borrows a connection, now or later, of a server where it may run. */
    final void acquire() {
        DatabaseService service = service();
        LogPosition position = mayUseReplica() ? requiredPosition(service) : null;
        ServerPool replica = mayUseReplica() ? service.selectForRead(position, tried) : null;
        ServerPool server = replica == null ? service.reachablePrimary() : replica;
        if (server == null) {
            onNoServer();
        } else {
            server.borrow(new ConnectionRequest(server, position));
        }
    }

    private final class ConnectionRequest implements ServerPool.Borrower {

        /** Priorities go before the time that was waited. */
        private static final long PRIORITY_STEP = 1_000_000_000L;

        private final ServerPool server;
        private final LogPosition position;

        ConnectionRequest(ServerPool server, LogPosition position) {
            this.server = server;
            this.position = position;
        }

        @Override
        public boolean isInterested() {
            return isWanted();
        }

        @Override
        public long priority() {
            return route.priority() * PRIORITY_STEP + sinceMillis;
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
        LogPosition floor = service.floors.positionSince(sinceMillis - route.maxStalenessMillis());
        if (floor == null) {
            return null;
        }
        boolean ownWrites = route.consistency() == ReadConsistency.READ_YOUR_WRITES;
        return service.withoutAcceptedLoss(
                ownWrites ? LogPosition.max(floor, session.lastWritePosition()) : floor);
    }

    /**
     * That a server leads is not certain by the record, so it is asked first, on the same
     * connection. A server that led after a read's first byte came has all that was acknowledged
     * before, whatever happens to it then.
     */
    final void verifyPrimary(ServerConnection on, Runnable ifPrimary, Runnable otherwise) {
        node.counters.primaryChecks++;
        on.query(
                "STATUS",
                result -> {
                    if (isWanted() && showsPrimary(result)) {
                        ifPrimary.run();
                        return;
                    }
                    giveBack(on, result);
                    if (isWanted()) {
                        otherwise.run();
                    }
                });
    }

    private static boolean showsPrimary(QueryResult result) {
        return result.isCompleted()
                && !result.rows().isEmpty()
                && result.rows().get(0).startsWith("primary ");
    }

    /** Gives a connection back after this answer, rolled back where a transaction is open there. */
    static void giveBack(ServerConnection on, QueryResult result) {
        if (on.isClosed()) {
            return;
        }
        if (result.isIdle()) {
            on.pool.release(on);
        } else {
            rollBack(on);
        }
    }

    /** Rolls back what is open on a connection, and gives it back. */
    static void rollBack(ServerConnection on) {
        on.query(
                "ROLLBACK",
                result -> {
                    if (on.isClosed()) {
                        return;
                    }
                    if (result.isIdle()) {
                        on.pool.release(on);
                    } else {
                        on.abort("not rolled back");
                    }
                });
    }
}
