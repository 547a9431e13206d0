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

    private static final long RETRY_PAUSE_MS = 20;
    private static final int MAX_RESTARTS = 4;

    private final boolean readOnly;

    /** The server whose open transactions include this one; null if it is not open. */
    private ServerPool server;

    private boolean opening;

    /** Whether a statement of the transaction has run or may have run. */
    private boolean hasRun;

    private boolean hasWritten;

    /** The statement that waits for the transaction to open; null if there is none. */
    private StatementExecution first;

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
        if (isWanted()) {
            opening = true;
            acquire();
        }
    }

    @Override
    boolean mayUseReplica() {
        return readOnly && route.consistency() != ReadConsistency.PRIMARY;
    }

    @Override
    void onNoServer() {
        openLater();
    }

    @Override
    void onServerUnavailable(ServerPool unavailable) {
        tried.add(unavailable);
        openLater();
    }

    private long openPatienceEndMillis() {
        return first != null ? first.patienceEndMillis() : patienceEndMillis();
    }

    /**
     * Waits for a change of the service. Gives up together with the waiting statement, or after the
     * transaction's own wait if no statement waits.
     */
    private void openLater() {
        if (now() >= openPatienceEndMillis() || first != null && !service().expectsPrimarySoon()) {
            opening = false;
            if (first != null) {
                session.refuse(first);
            }
            return;
        }
        tried.clear();
        service().addWaiter(this::open);
    }

    @Override
    void onConnection(ServerPool from, ServerConnection borrowed, LogPosition position) {
        if (!readOnly || position != null || service().isCertainPrimary(from)) {
            begin(from, borrowed, position);
        } else {
            verifyPrimary(
                    borrowed,
                    () -> begin(from, borrowed, null),
                    () -> node.environment.schedule(RETRY_PAUSE_MS, this::openLater));
        }
    }

    private void begin(ServerPool from, ServerConnection on, LogPosition after) {
        String line =
                (after == null ? "" : "AFTER " + after + " ") + (readOnly ? "BEGIN READ" : "BEGIN");
        long sentMillis = now();
        on.query(
                session.variables(),
                null,
                id,
                line,
                sentMillis + route.timeoutMillis(),
                result -> onBegun(from, on, sentMillis, result));
    }

    private void onBegun(
            ServerPool from, ServerConnection on, long sentMillis, QueryResult result) {
        if (!isWanted()) {
            giveBack(on, result);
            return;
        }
        if (result.isCompleted()) {
            if (!readOnly) {
                service().floors.onPrimaryPosition(result.position(), sentMillis);
            }
            onOpened(from, on);
            return;
        }
        giveBack(on, result);
        boolean lagging = result.hasFailedWith(ServerError.LAGGING);
        if (lagging) {
            node.counters.laggingReplies++;
            from.onLagging();
        }
        tried.add(from);
        attempts++;
        node.environment.schedule(lagging ? 0 : RETRY_PAUSE_MS, this::openAgain);
    }

    private void openAgain() {
        if (!isWanted()) {
            return;
        }
        if (now() >= openPatienceEndMillis()) {
            openLater();
        } else {
            open();
        }
    }

    private void onOpened(ServerPool at, ServerConnection on) {
        opening = false;
        connection = on;
        countAt(at);
        StatementExecution waiting = first;
        first = null;
        if (waiting != null && !waiting.finished) {
            execute(waiting);
        }
    }

    /** Updates the number of transactions that are open at the primary. */
    private void countAt(ServerPool next) {
        DatabaseService service = service();
        if (server != null && server.id.equals(service.primary)) {
            service.openTransactions = Math.max(0, service.openTransactions - 1);
            if (service.moving && service.openTransactions == 0) {
                node.controlPlane.requestUpdate();
            }
        }
        server = next;
        if (next != null && next.id.equals(service.primary)) {
            service.openTransactions++;
        }
    }

    // ---- statements

    /** Runs a statement of the transaction, once the transaction is open. */
    void run(StatementExecution statement) {
        if (connection != null) {
            execute(statement);
        } else {
            first = statement;
            if (!opening) {
                open();
            }
        }
    }

    private void execute(StatementExecution statement) {
        ServerConnection on = connection;
        if (!hasRun && on.pool.acceptsNothingNew()) {
            // The transaction was opened in time, but its first statement would arrive after the
            // drain time.
            restart(statement, 0);
            return;
        }
        boolean isFirst = !hasRun;
        boolean wrote = hasWritten || statement.writes();
        statement.connection = on;
        hasRun = true;
        hasWritten = wrote;
        long sentMillis = now();
        LogPosition before = on.pool.knownPosition;
        // Variables may have been set within the transaction. A RESET cannot be necessary here.
        on.query(
                session.variables(),
                statement.shape(),
                statement.id,
                statement.line(),
                statement.overdueMillis(),
                result -> {
                    statement.connection = null;
                    boolean committed = result.isCompleted() && statement.isCommit();
                    if (committed && wrote) {
                        service().onAcknowledged(on.pool, before, result.position());
                    }
                    if (!statement.isWanted() || !session.isIn(this)) {
                        return;
                    }
                    if (result.isCompleted()) {
                        onCompleted(statement, sentMillis, result);
                    } else {
                        onFailed(statement, on, isFirst, result);
                    }
                });
    }

    private void onCompleted(StatementExecution statement, long sentMillis, QueryResult result) {
        if (!readOnly && (!statement.isCommit() || hasWritten)) {
            // A former primary also commits a transaction that wrote nothing, so the position of
            // such a commit is not that of the primary.
            service().floors.onPrimaryPosition(result.position(), sentMillis);
        }
        if (statement.isCommit()) {
            if (hasWritten) {
                session.onWriteAcknowledged(result.position());
            }
            session.leaveTransaction();
            release(!result.isIdle());
        }
        session.answer(statement, result);
    }

    private void onFailed(
            StatementExecution statement,
            ServerConnection on,
            boolean isFirst,
            QueryResult result) {
        boolean busy = result.hasFailedWith(ServerError.BUSY);
        if (busy
                && result.transactionStatus() == QueryResult.IN_TRANSACTION
                && statement.isPatient()) {
            statement.afterPause(() -> execute(statement));
        } else if (statement.isCommit()) {
            session.leaveTransaction();
            release(!result.isIdle());
            failCommit(statement, result);
        } else if (isFirst
                && hasNotRun(result)
                && statement.isPatient()
                && statement.attempts++ < MAX_RESTARTS) {
            boolean lost = result.isConnectionLost();
            if (lost || result.hasFailedWith(ServerError.READONLY)) {
                tried.add(on.pool);
            }
            restart(statement, lost ? 0 : RETRY_PAUSE_MS);
        } else {
            failAtServer();
            boolean lost = result.isConnectionLost();
            session.fail(
                    statement,
                    lost ? "ABORTED" : result.errorCode(),
                    lost ? "the connection ended; nothing of it is kept" : result.errorMessage());
        }
    }

    private void failCommit(StatementExecution statement, QueryResult result) {
        if (result.outcome() == QueryResult.Outcome.FAILED) {
            session.fail(statement, result.errorCode(), result.errorMessage());
            return;
        }
        boolean sent = result.outcome() == QueryResult.Outcome.CONNECTION_LOST;
        session.fail(
                statement, hasWritten && sent ? "UNCERTAIN" : "ABORTED", "the connection ended");
    }

    /**
     * Returns whether no effect of a first statement is kept, so that the transaction can be
     * restarted.
     */
    private static boolean hasNotRun(QueryResult result) {
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
        ServerConnection on = connection;
        hasRun = false;
        hasWritten = false;
        connection = null;
        countAt(null);
        if (!on.isClosed()) {
            rollBack(on);
        }
        first = statement;
        opening = true;
        node.environment.schedule(delayMillis, this::open);
    }

    // ---- end

    /**
     * Rolls the transaction back at the server and marks it as failed; the client must still end
     * it.
     */
    void failAtServer() {
        session.failTransaction();
        if (connection != null) {
            ServerConnection on = connection;
            connection = null;
            countAt(null);
            if (!on.isClosed()) {
                rollBack(on);
            }
        }
        finished = true;
    }

    /** Called before the connection of the transaction is aborted. */
    void abandonConnection() {
        finished = true;
        connection = null;
        countAt(null);
    }

    /** Releases the connection; the open transaction on it is rolled back first if requested. */
    void release(boolean rollBack) {
        finished = true;
        ServerConnection on = connection;
        connection = null;
        if (server != null) {
            countAt(null);
        }
        if (on == null || on.isClosed()) {
            return;
        }
        if (rollBack) {
            rollBack(on);
        } else {
            on.pool.release(on);
        }
    }
}
