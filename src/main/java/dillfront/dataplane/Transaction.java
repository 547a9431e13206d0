package dillfront.dataplane;

import dillfront.common.config.Configuration.ReadConsistency;
import dillfront.common.config.Configuration.Route;
import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;

/**
 * A client's transaction. The client is told at once that it is open; it is opened at a server
 * meanwhile, and its first statement waits for that. Until a statement of it has run, it may begin
 * anew at another server.
 */
final class Transaction extends Execution {

    private static final long RETRY_DELAY_MS = 20;
    private static final int MAX_RESTARTS = 4;

    private final boolean readOnly;

    /** Where it is open, for the count of open transactions; null while it is not. */
    private ServerPool countedServer;

    private boolean opening;

    /** A statement of it has run, or may have. */
    private boolean mayHaveRun;

    private boolean hasWritten;

    /** The statement that waits until it is open; null for none. */
    private StatementExecution waitingStatement;

    private Environment.Timer idleTimeout;

    Transaction(ClientSession session, boolean readOnly, String id, Route route) {
        super(session, id, route);
        this.readOnly = readOnly;
    }

    // ---- its idle time

    void startIdleTimeout(Runnable onTimeout) {
        cancelIdleTimeout();
        idleTimeout =
                node.environment.schedule(node.configuration().transactionIdleMillis(), onTimeout);
    }

    void cancelIdleTimeout() {
        if (idleTimeout != null) {
            idleTimeout.cancel();
        }
    }

    // ---- opening

    /** Opens it at a server. */
    void open() {
        if (isActive()) {
            opening = true;
            acquire();
        }
    }

    @Override
    boolean mayUseReplica() {
        return readOnly && route.consistency() != ReadConsistency.PRIMARY;
    }

    @Override
    void onNoServerAvailable() {
        awaitServiceChange();
    }

    @Override
    void onServerUnavailable(ServerPool unavailable) {
        excludedServers.add(unavailable);
        awaitServiceChange();
    }

    private long openDeadlineMillis() {
        return waitingStatement != null
                ? waitingStatement.waitDeadlineMillis()
                : waitDeadlineMillis();
    }

    /**
     * Waits for a change; given up with the statement that waits, or after a while where none does.
     */
    private void awaitServiceChange() {
        if (now() >= openDeadlineMillis()
                || waitingStatement != null && !service().expectsPrimarySoon()) {
            opening = false;
            if (waitingStatement != null) {
                session.refuse(waitingStatement);
            }
            return;
        }
        excludedServers.clear();
        service().addWaiter(this::open);
    }

    @Override
    void onConnection(ServerPool server, ServerConnection borrowed, LogPosition position) {
        if (!readOnly || position != null || service().isConfirmedPrimary(server)) {
            begin(server, borrowed, position);
        } else {
            verifyPrimary(
                    borrowed,
                    () -> begin(server, borrowed, null),
                    () -> node.environment.schedule(RETRY_DELAY_MS, this::awaitServiceChange));
        }
    }

    private void begin(
            ServerPool server, ServerConnection serverConnection, LogPosition minPosition) {
        String beginStatement =
                (minPosition == null ? "" : "AFTER " + minPosition + " ")
                        + (readOnly ? "BEGIN READ" : "BEGIN");
        long sentMillis = now();
        serverConnection.query(
                session.variables(),
                null,
                id,
                beginStatement,
                sentMillis + route.timeoutMillis(),
                result -> onBegun(server, serverConnection, sentMillis, result));
    }

    private void onBegun(
            ServerPool server,
            ServerConnection serverConnection,
            long sentMillis,
            QueryResult result) {
        if (!isActive()) {
            returnConnection(serverConnection, result);
            return;
        }
        if (result.isCompleted()) {
            if (!readOnly) {
                service().primaryPositions.onPrimaryPosition(result.position(), sentMillis);
            }
            onOpened(server, serverConnection);
            return;
        }
        returnConnection(serverConnection, result);
        boolean lagging = result.hasFailedWith(ServerError.LAGGING);
        if (lagging) {
            node.counters.laggingReplies++;
            server.onLagging();
        }
        excludedServers.add(server);
        attempts++;
        node.environment.schedule(lagging ? 0 : RETRY_DELAY_MS, this::retryOpen);
    }

    private void retryOpen() {
        if (!isActive()) {
            return;
        }
        if (now() >= openDeadlineMillis()) {
            awaitServiceChange();
        } else {
            open();
        }
    }

    private void onOpened(ServerPool server, ServerConnection serverConnection) {
        opening = false;
        connection = serverConnection;
        countOpenAt(server);
        StatementExecution statement = waitingStatement;
        waitingStatement = null;
        if (statement != null && !statement.finished) {
            execute(statement);
        }
    }

    /** Counts it among the transactions that are open at the primary, where it is open there. */
    private void countOpenAt(ServerPool server) {
        DatabaseService service = service();
        if (countedServer != null && countedServer.id.equals(service.primary)) {
            service.openTransactions = Math.max(0, service.openTransactions - 1);
            if (service.moving && service.openTransactions == 0) {
                node.controlPlane.requestUpdate();
            }
        }
        countedServer = server;
        if (server != null && server.id.equals(service.primary)) {
            service.openTransactions++;
        }
    }

    // ---- statements

    /** Runs a statement of it, once it is open. */
    void run(StatementExecution statement) {
        if (connection != null) {
            execute(statement);
        } else {
            waitingStatement = statement;
            if (!opening) {
                open();
            }
        }
    }

    private void execute(StatementExecution statement) {
        ServerConnection serverConnection = connection;
        if (!mayHaveRun && serverConnection.pool.rejectsNewWork()) {
            // Opened in time, but its first statement would be late.
            restart(statement, 0);
            return;
        }
        boolean isFirst = !mayHaveRun;
        boolean wrote = hasWritten || statement.writes();
        statement.connection = serverConnection;
        mayHaveRun = true;
        hasWritten = wrote;
        long sentMillis = now();
        LogPosition requestPosition = serverConnection.pool.knownPosition;
        // Variables may have been set within the transaction; what would need a RESET cannot come
        // here.
        serverConnection.query(
                session.variables(),
                statement.preparedDefinition(),
                statement.id,
                statement.serverStatement(),
                statement.deadlineMillis(),
                result -> {
                    statement.connection = null;
                    boolean committed = result.isCompleted() && statement.isCommit();
                    if (committed && wrote) {
                        service()
                                .onAcknowledged(
                                        serverConnection.pool, requestPosition, result.position());
                    }
                    if (!statement.isActive() || !session.isCurrentTransaction(this)) {
                        return;
                    }
                    if (result.isCompleted()) {
                        onCompleted(statement, sentMillis, result);
                    } else {
                        onFailed(statement, serverConnection, isFirst, result);
                    }
                });
    }

    private void onCompleted(StatementExecution statement, long sentMillis, QueryResult result) {
        if (!readOnly && (!statement.isCommit() || hasWritten)) {
            // One that wrote nothing is committed by a server that has lost the lead, too.
            service().primaryPositions.onPrimaryPosition(result.position(), sentMillis);
        }
        if (statement.isCommit()) {
            if (hasWritten) {
                session.onWriteAcknowledged(result.position());
            }
            session.clearTransaction();
            release(!result.isIdle());
        }
        session.complete(statement, result);
    }

    private void onFailed(
            StatementExecution statement,
            ServerConnection serverConnection,
            boolean isFirst,
            QueryResult result) {
        boolean busy = result.hasFailedWith(ServerError.BUSY);
        if (busy
                && result.transactionStatus() == QueryResult.IN_TRANSACTION
                && statement.hasWaitTimeLeft()) {
            statement.runAfterRetryDelay(() -> execute(statement));
        } else if (statement.isCommit()) {
            session.clearTransaction();
            release(!result.isIdle());
            failCommit(statement, result);
        } else if (isFirst
                && canRestartAfter(result)
                && statement.hasWaitTimeLeft()
                && statement.attempts++ < MAX_RESTARTS) {
            boolean connectionLost = result.isConnectionLost();
            if (connectionLost || result.hasFailedWith(ServerError.READONLY)) {
                excludedServers.add(serverConnection.pool);
            }
            restart(statement, connectionLost ? 0 : RETRY_DELAY_MS);
        } else {
            failAndRollBack();
            boolean connectionLost = result.isConnectionLost();
            session.fail(
                    statement,
                    connectionLost ? "ABORTED" : result.errorCode(),
                    connectionLost
                            ? "the connection ended; nothing of it is kept"
                            : result.errorMessage());
        }
    }

    private void failCommit(StatementExecution statement, QueryResult result) {
        if (result.outcome() == QueryResult.Outcome.FAILED) {
            session.fail(statement, result.errorCode(), result.errorMessage());
            return;
        }
        boolean wasSent = result.outcome() == QueryResult.Outcome.CONNECTION_LOST;
        session.fail(
                statement, hasWritten && wasSent ? "UNCERTAIN" : "ABORTED", "the connection ended");
    }

    /** Whether nothing of a first statement is kept: the transaction may begin anew. */
    private static boolean canRestartAfter(QueryResult result) {
        if (result.isConnectionLost()) {
            return true;
        }
        return switch (ServerError.of(result.errorCode())) {
            case BUSY, READONLY, LAGGING, UNKNOWN -> true;
            default -> false;
        };
    }

    /** Nothing of the transaction has been kept: it begins anew. */
    private void restart(StatementExecution statement, long delayMillis) {
        ServerConnection serverConnection = connection;
        mayHaveRun = false;
        hasWritten = false;
        connection = null;
        countOpenAt(null);
        if (!serverConnection.isClosed()) {
            rollBackAndRelease(serverConnection);
        }
        waitingStatement = statement;
        opening = true;
        node.environment.schedule(delayMillis, this::open);
    }

    // ---- the end

    /** What is open at the server is rolled back; the client's own end of it is still to come. */
    void failAndRollBack() {
        session.failTransaction();
        if (connection != null) {
            ServerConnection serverConnection = connection;
            connection = null;
            countOpenAt(null);
            if (!serverConnection.isClosed()) {
                rollBackAndRelease(serverConnection);
            }
        }
        finished = true;
    }

    /** Its connection is about to be aborted. */
    void onConnectionAborting() {
        finished = true;
        connection = null;
        countOpenAt(null);
    }

    /** Gives its connection back, rolled back where it is not at rest. */
    void release(boolean rollBack) {
        finished = true;
        ServerConnection serverConnection = connection;
        connection = null;
        if (countedServer != null) {
            countOpenAt(null);
        }
        if (serverConnection == null || serverConnection.isClosed()) {
            return;
        }
        if (rollBack) {
            rollBackAndRelease(serverConnection);
        } else {
            serverConnection.pool.release(serverConnection);
        }
    }
}
