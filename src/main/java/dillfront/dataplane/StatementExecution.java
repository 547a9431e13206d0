package dillfront.dataplane;

import dillfront.common.config.Configuration.ReadConsistency;
import dillfront.common.config.Configuration.Route;
import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import dillfront.dataplane.StatementRetryPolicy.RetryDecision;

/** Runs one client statement, on its own or inside the open transaction. */
final class StatementExecution extends Execution {

    /** The response is due this long before the client's time-out, so that it arrives in time. */
    private static final long RESPONSE_MARGIN_MS = 25;

    private static final long RETRY_DELAY_MS = 20;
    private static final int RETRY_JITTER_MS = 20;
    private static final int MAX_PRIMARY_CHECKS = 3;

    /** The statement as the client sent it, and its parsed arguments. */
    private static final int COPIES_OF_TEXT = 2;

    /** The ratio of a route's target latency to the usual latency of a server. */
    private static final double TARGET_TO_USUAL_LATENCY_RATIO = 12.0;

    private static final double MAX_SLOWDOWN = 8;
    private static final double SLOWDOWN_SMOOTHING = 0.1;

    final Statement statement;

    /** The statement as the client sent it. */
    private final String clientStatement;

    /**
     * The definition of the prepared statement that is executed, "READ shape" or "WRITE shape";
     * null if there is none.
     */
    private final String preparedDefinition;

    private final boolean writes;
    private final MemoryReservation memory = new MemoryReservation(node.memory());
    private Environment.Timer timeout;

    /** The registered waiter for a change of the service; null if there is none. */
    private Runnable waiter;

    /**
     * Creates the execution of a client statement.
     *
     * @param preparedDefinition the definition of the prepared statement that is executed; null if
     *     there is none
     */
    StatementExecution(
            ClientSession session,
            String id,
            String clientStatement,
            Statement statement,
            Route route,
            String preparedDefinition) {
        super(session, id, route);
        this.clientStatement = clientStatement;
        this.statement = statement;
        this.preparedDefinition = preparedDefinition;
        writes =
                preparedDefinition == null
                        ? statement.verb() == Statement.Verb.WRITE
                        : preparedDefinition.startsWith("WRITE ");
    }

    boolean writes() {
        return writes;
    }

    String preparedDefinition() {
        return preparedDefinition;
    }

    boolean isCommit() {
        return statement.verb() == Statement.Verb.COMMIT;
    }

    /** Returns the statement text for the server. */
    String serverStatement() {
        return preparedDefinition == null
                ? clientStatement
                : "EXECUTE "
                        + ServerConnection.preparedName(preparedDefinition)
                        + " "
                        + statement.arguments();
    }

    /**
     * Returns when the client's time-out ends. By then the client has a reply or is gone, and a
     * connection without a response is closed.
     */
    long deadlineMillis() {
        return receivedMillis + route.timeoutMillis();
    }

    /**
     * Reserves the memory of a large statement, and returns whether there is enough. A small one
     * needs no reservation: it would be refused for the memory of others.
     */
    boolean reserveMemory() {
        return memory.tryAddLarge((long) COPIES_OF_TEXT * clientStatement.length());
    }

    /** Starts the time-out of the statement. */
    void startTimeout(Runnable onTimeout) {
        long replyDeadlineMillis = deadlineMillis() - RESPONSE_MARGIN_MS;
        timeout = node.environment.schedule(Math.max(1, replyDeadlineMillis - now()), onTimeout);
    }

    /** Marks the statement as finished; releases its memory, its timer and its waiter. */
    void finish() {
        finished = true;
        memory.releaseAll();
        if (timeout != null) {
            timeout.cancel();
        }
        if (waiter != null) {
            service().removeWaiter(waiter);
        }
    }

    // ---- statements outside a transaction

    @Override
    boolean mayUseReplica() {
        return !writes && route.consistency() != ReadConsistency.PRIMARY;
    }

    @Override
    boolean mayCommit() {
        return writes;
    }

    @Override
    void onNoServerAvailable() {
        awaitServiceChange();
    }

    @Override
    void onServerUnavailable(ServerPool server) {
        DatabaseService service = service();
        if (server == service.primary() || server.id.equals(service.primary)) {
            awaitServiceChange();
            return;
        }
        excludedServers.add(server);
        node.environment.schedule(
                0,
                () -> {
                    if (isActive()) {
                        acquire();
                    }
                });
    }

    /**
     * Retries after the next change of the service. Refuses the statement if its wait is over or no
     * primary is expected soon.
     */
    private void awaitServiceChange() {
        if (!hasWaitTimeLeft() || !expectsServerSoon()) {
            session.refuse(this);
            return;
        }
        excludedServers.clear();
        waiter =
                () -> {
                    waiter = null;
                    if (isActive()) {
                        acquire();
                    }
                };
        service().addWaiter(waiter);
    }

    @Override
    void onConnection(ServerPool server, ServerConnection borrowed, LogPosition position) {
        boolean bounded = mayUseReplica() && position != null;
        if (writes || bounded || service().isConfirmedPrimary(server)) {
            send(server, borrowed, bounded ? position : null);
            return;
        }
        connection = borrowed;
        verifyPrimary(
                borrowed,
                () -> send(server, borrowed, null),
                () -> {
                    connection = null;
                    if (attempts++ < MAX_PRIMARY_CHECKS && hasWaitTimeLeft()) {
                        runAfterRetryDelay(this::acquire);
                    } else {
                        session.refuse(this);
                    }
                });
    }

    /**
     * Sends the statement.
     *
     * @param minPosition the server rejects the read until its log covers this position; null for
     *     no such bound
     */
    private void send(
            ServerPool server, ServerConnection serverConnection, LogPosition minPosition) {
        connection = serverConnection;
        long sentMillis = now();
        boolean confirmedWhenSent = service().isConfirmedPrimary(server);
        LogPosition requestPosition = server.knownPosition;
        serverConnection.query(
                session.variables(),
                preparedDefinition,
                id,
                (minPosition == null ? "" : "AFTER " + minPosition + " ") + serverStatement(),
                deadlineMillis(),
                result -> {
                    connection = null;
                    if (!result.isCompleted()) {
                        returnConnection(serverConnection, result);
                        if (isActive()) {
                            onFailed(server, result);
                        }
                        return;
                    }
                    server.decayLagBackoff();
                    updateSlowdown(server, sentMillis);
                    if (writes) {
                        CommitConfirmation.await(
                                this,
                                serverConnection,
                                requestPosition,
                                result,
                                outcome ->
                                        onWritten(serverConnection, sentMillis, result, outcome));
                    } else {
                        onRead(serverConnection, sentMillis, confirmedWhenSent, result);
                    }
                });
    }

    /**
     * Completes a read.
     *
     * @param confirmedWhenSent whether the server was the confirmed primary when the read was sent,
     *     so that its position covers all commits acknowledged before; a replica that has become
     *     the primary since may have run the read before it had them
     */
    private void onRead(
            ServerConnection serverConnection,
            long sentMillis,
            boolean confirmedWhenSent,
            QueryResult result) {
        if (confirmedWhenSent) {
            service().primaryPositions.onPrimaryPosition(result.position(), sentMillis);
        }
        returnConnection(serverConnection, result);
        if (isActive()) {
            session.complete(this, result);
        }
    }

    private void onWritten(
            ServerConnection serverConnection,
            long sentMillis,
            QueryResult result,
            CommitConfirmation.Outcome outcome) {
        if (outcome == CommitConfirmation.Outcome.CONFIRMED) {
            service().primaryPositions.onPrimaryPosition(result.position(), sentMillis);
        }
        returnConnection(serverConnection, result);
        if (!isActive()) {
            return;
        }
        if (outcome == CommitConfirmation.Outcome.UNCERTAIN) {
            session.fail(this, "UNCERTAIN", "the primary was replaced");
        } else {
            session.onWriteAcknowledged(result.position());
            session.complete(this, result);
        }
    }

    private void updateSlowdown(ServerPool server, long sentMillis) {
        double usualMillis =
                Math.max(1, route.targetLatencyMillis() / TARGET_TO_USUAL_LATENCY_RATIO);
        double latencyRatio =
                Math.min(MAX_SLOWDOWN, Math.max(0.5, (now() - sentMillis) / usualMillis));
        server.slowdown += SLOWDOWN_SMOOTHING * (Math.max(1, latencyRatio) - server.slowdown);
    }

    /** Handles a failed attempt: retries where that is permitted, else replies with an error. */
    private void onFailed(ServerPool server, QueryResult result) {
        if (result.hasFailedWith(ServerError.LAGGING)) {
            node.counters.laggingReplies++;
            server.onLagging();
        }
        RetryDecision decision =
                StatementRetryPolicy.evaluate(
                        result, writes, attempts, (int) route.maxAttempts(), hasWaitTimeLeft());
        if (decision.excludeServer()) {
            excludedServers.add(server);
        }
        attempts += decision.countAttempt() ? 1 : 0;
        switch (decision.action()) {
            case RETRY_IMMEDIATELY -> acquire();
            case RETRY_AFTER_DELAY -> runAfterRetryDelay(this::acquire);
            case REFUSE -> session.refuse(this);
            case UNCERTAIN -> session.fail(this, "UNCERTAIN", "the connection ended");
            case ABORTED -> session.fail(this, "ABORTED", "the connection ended");
            default -> session.fail(this, result.errorCode(), result.errorMessage());
        }
    }

    /** Runs an action after the retry delay, unless the statement is finished by then. */
    void runAfterRetryDelay(Runnable action) {
        long delayMillis = RETRY_DELAY_MS + node.environment.random().nextInt(RETRY_JITTER_MS);
        node.environment.schedule(
                delayMillis,
                () -> {
                    if (isActive()) {
                        action.run();
                    }
                });
    }
}
