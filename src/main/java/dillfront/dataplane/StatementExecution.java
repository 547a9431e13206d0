package dillfront.dataplane;

import dillfront.common.config.Configuration.ReadConsistency;
import dillfront.common.config.Configuration.Route;
import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import dillfront.dataplane.StatementRetryPolicy.RetryDecision;

/** One statement that is to be answered; it runs by itself, unless a transaction is open. */
final class StatementExecution extends Execution {

    /** It is answered so long before its time is over, so that the answer is there in time. */
    private static final long RESPONSE_MARGIN_MS = 25;

    private static final long RETRY_DELAY_MS = 20;
    private static final int RETRY_JITTER_MS = 20;
    private static final int MAX_PRIMARY_CHECKS = 3;

    /** A server takes this part of the target latency in calm. */
    private static final double TARGET_TO_USUAL_LATENCY_RATIO = 12.0;

    private static final double MAX_SLOWDOWN = 8;
    private static final double SLOWDOWN_SMOOTHING = 0.1;

    final Statement statement;

    /** As the client sent it. */
    private final String clientStatement;

    /** What it needs to have prepared, as "READ shape" or "WRITE shape"; null for nothing. */
    private final String preparedDefinition;

    private final boolean writes;
    private Environment.Timer timeout;

    /** Waits for a change of the service; null while it does not. */
    private Runnable waiter;

    /**
     * @param preparedDefinition of the prepared name that it executes; null for none
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

    /** What goes to the server. */
    String serverStatement() {
        return preparedDefinition == null
                ? clientStatement
                : "EXECUTE "
                        + ServerConnection.preparedName(preparedDefinition)
                        + " "
                        + statement.arguments();
    }

    /** The client was answered by then, or is gone: a connection that did not answer is left. */
    long deadlineMillis() {
        return receivedMillis + route.timeoutMillis();
    }

    /** Its time runs. */
    void startTimeout(Runnable onTimeout) {
        long replyDeadlineMillis = deadlineMillis() - RESPONSE_MARGIN_MS;
        timeout = node.environment.schedule(Math.max(1, replyDeadlineMillis - now()), onTimeout);
    }

    /** It is answered: it waits for nothing any more. */
    void finish() {
        finished = true;
        if (timeout != null) {
            timeout.cancel();
        }
        if (waiter != null) {
            service().removeWaiter(waiter);
        }
    }

    // ---- by itself

    @Override
    boolean mayUseReplica() {
        return !writes && route.consistency() != ReadConsistency.PRIMARY;
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

    /** Until something changes, as long as there is patience; then it is refused at once. */
    private void awaitServiceChange() {
        if (!hasWaitTimeLeft() || !service().expectsPrimarySoon()) {
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
     * @param minPosition the server refuses to read before its log holds this; null for no such
     *     bound
     */
    private void send(
            ServerPool server, ServerConnection serverConnection, LogPosition minPosition) {
        connection = serverConnection;
        long sentMillis = now();
        LogPosition requestPosition = server.knownPosition;
        serverConnection.query(
                session.variables(),
                preparedDefinition,
                id,
                (minPosition == null ? "" : "AFTER " + minPosition + " ") + serverStatement(),
                deadlineMillis(),
                result -> {
                    connection = null;
                    if (result.isCompleted()) {
                        onCompleted(server, serverConnection, sentMillis, requestPosition, result);
                        return;
                    }
                    returnConnection(serverConnection, result);
                    if (isActive()) {
                        onFailed(server, result);
                    }
                });
    }

    private void onCompleted(
            ServerPool server,
            ServerConnection serverConnection,
            long sentMillis,
            LogPosition requestPosition,
            QueryResult result) {
        server.decayLagBackoff();
        DatabaseService service = service();
        boolean confirmedPrimary = service.isConfirmedPrimary(server);
        if (writes) {
            service.onAcknowledged(server, requestPosition, result.position());
        }
        if (writes || confirmedPrimary) {
            service.primaryPositions.onPrimaryPosition(result.position(), sentMillis);
        }
        returnConnection(serverConnection, result);
        updateSlowdown(server, sentMillis);
        if (!isActive()) {
            return;
        }
        if (writes) {
            session.onWriteAcknowledged(result.position());
        }
        session.complete(this, result);
    }

    private void updateSlowdown(ServerPool server, long sentMillis) {
        double usualMillis =
                Math.max(1, route.targetLatencyMillis() / TARGET_TO_USUAL_LATENCY_RATIO);
        double latencyRatio =
                Math.min(MAX_SLOWDOWN, Math.max(0.5, (now() - sentMillis) / usualMillis));
        server.slowdown += SLOWDOWN_SMOOTHING * (Math.max(1, latencyRatio) - server.slowdown);
    }

    /** It came to nothing: again where that is allowed, else the client is told. */
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

    /** Runs this a moment later, where the statement is still wanted. */
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
