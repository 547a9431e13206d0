package dillfront.dataplane;

import dillfront.common.config.Configuration.ReadConsistency;
import dillfront.common.config.Configuration.Route;
import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;

/**
 * A client's transaction. BEGIN is acknowledged to the client at once, while the transaction is
 * opened at a server; its first statement waits for that. Until a statement has run, the
 * transaction can be restarted at another server.
 */
final class Transaction extends Execution {

    private static final long RETRY_DELAY_MS = 20;
    private static final int MAX_RESTARTS = 4;

    private final boolean readOnly;

    /** The server whose open transactions include this one; null if it is not open. */
    private ServerPool countedServer;

    private boolean opening;

    /** Whether a statement of the transaction has run or may have run. */
    private boolean mayHaveRun;

    private boolean hasWritten;

    /** The statement that waits for the transaction to open; null if there is none. */
    private StatementExecution waitingStatement;

    private Environment.Timer idleTimeout;

    Transaction(ClientSession session, boolean readOnly, String id, Route route) {
        super(session, id, route);
        this.readOnly = readOnly;
    }

    // ---- idle time-out

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

    /** Opens the transaction at a server. */
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
    boolean mayCommit() {
        return !readOnly;
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
     * Waits for a change of the service. Gives up together with the waiting statement, or after the
     * transaction's own wait if no statement waits.
     */
    private void awaitServiceChange() {
        if (now() >= openDeadlineMillis() || waitingStatement != null && !expectsServerSoon()) {
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

    /** Updates the number of transactions that are open at the primary. */
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

    /** Runs a statement of the transaction, once the transaction is open. */
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
            // The transaction was opened in time, but its first statement would arrive after the
            // drain time.
            restart(statement, 0);
            return;
        }
        if (statement.isCommit()
                && hasWritten
                && !service().mayAcknowledgeCommitsOf(serverConnection.pool)) {
            awaitConfirmation(statement, serverConnection);
            return;
        }
        boolean isFirst = !mayHaveRun;
        boolean wrote = hasWritten || statement.writes();
        statement.connection = serverConnection;
        mayHaveRun = true;
        hasWritten = wrote;
        long sentMillis = now();
        LogPosition requestPosition = serverConnection.pool.knownPosition;
        // Variables may have been set within the transaction. A RESET cannot be necessary here.
        serverConnection.query(
                session.variables(),
                statement.preparedDefinition(),
                statement.id,
                statement.serverStatement(),
                statement.deadlineMillis(),
                result -> {
                    statement.connection = null;
                    if (result.isCompleted() && statement.isCommit() && wrote) {
                        CommitConfirmation.await(
                                statement,
                                serverConnection,
                                requestPosition,
                                result,
                                outcome -> onCommitted(statement, sentMillis, result, outcome));
                        return;
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

    /**
     * Holds a COMMIT back while its success could not be acknowledged. It was not sent, so nothing
     * of the transaction is kept if the wait is over.
     */
    private void awaitConfirmation(StatementExecution statement, ServerConnection committing) {
        boolean mayBeConfirmed =
                committing.pool.id.equals(service().primary) && service().expectsConfirmationSoon();
        if (!mayBeConfirmed || !statement.hasWaitTimeLeft() || committing.isClosed()) {
            session.clearTransaction();
            release(true);
            session.fail(statement, "ABORTED", "no confirmed primary; nothing of it is kept");
            return;
        }
        service()
                .addWaiter(
                        () -> {
                            if (statement.isActive() && connection == committing) {
                                execute(statement);
                            }
                        });
    }

    private void onCommitted(
            StatementExecution statement,
            long sentMillis,
            QueryResult result,
            CommitConfirmation.Outcome outcome) {
        if (!statement.isActive() || !session.isCurrentTransaction(this)) {
            return;
        }
        if (outcome == CommitConfirmation.Outcome.CONFIRMED) {
            onCompleted(statement, sentMillis, result);
        } else {
            session.clearTransaction();
            release(!result.isIdle());
            session.fail(statement, "UNCERTAIN", "the primary was replaced");
        }
    }

    private void onCompleted(StatementExecution statement, long sentMillis, QueryResult result) {
        if (!readOnly && (!statement.isCommit() || hasWritten)) {
            // A former primary also commits a transaction that wrote nothing, so the position of
            // such a commit is not that of the primary.
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

    /**
     * Returns whether no effect of a first statement is kept, so that the transaction can be
     * restarted.
     */
    private static boolean canRestartAfter(QueryResult result) {
        if (result.isConnectionLost()) {
            return true;
        }
        return switch (ServerError.of(result.errorCode())) {
            case BUSY, READONLY, LAGGING, UNKNOWN -> true;
            default -> false;
        };
    }

    /**
     * Restarts the transaction, of which nothing has been kept, at a server that is selected anew.
     */
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

    // ---- end

    /**
     * Rolls the transaction back at the server and marks it as failed; the client must still end
     * it.
     */
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

    /** Called before the connection of the transaction is aborted. */
    void onConnectionAborting() {
        finished = true;
        connection = null;
        countOpenAt(null);
    }

    /** Releases the connection; the open transaction on it is rolled back first if requested. */
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
