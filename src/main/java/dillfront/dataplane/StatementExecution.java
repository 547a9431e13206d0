package dillfront.dataplane;

import dillfront.common.config.Configuration.ReadConsistency;
import dillfront.common.config.Configuration.Route;
import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import dillfront.dataplane.StatementRetryPolicy.Verdict;

/** Runs one client statement, on its own or inside the open transaction. */
final class StatementExecution extends Execution {

    /** The response is due this long before the client's time-out, so that it arrives in time. */
    private static final long ANSWER_MARGIN_MS = 25;

    private static final long RETRY_PAUSE_MS = 20;
    private static final int RETRY_JITTER_MS = 20;
    private static final int MAX_PRIMARY_CHECKS = 3;

    /** The ratio of a route's target latency to the usual latency of a server. */
    private static final double USUAL_PART_OF_TARGET = 12.0;

    private static final double MAX_SLOWDOWN = 8;
    private static final double SLOWDOWN_SMOOTHING = 0.1;

    final Statement statement;

    /** The statement as the client sent it. */
    private final String text;

    /**
     * The definition of the prepared statement that is executed, "READ shape" or "WRITE shape";
     * null if there is none.
     */
    private final String shape;

    private final boolean writes;
    private Environment.Timer timeout;

    /** The registered waiter for a change of the service; null if there is none. */
    private Runnable waiter;

    /**
     * Creates the execution of a client statement.
     *
     * @param shape the definition of the prepared statement that is executed; null if there is none
     */
    StatementExecution(
            ClientSession session,
            String id,
            String text,
            Statement statement,
            Route route,
            String shape) {
        super(session, id, route);
        this.text = text;
        this.statement = statement;
        this.shape = shape;
        writes =
                shape == null
                        ? statement.verb() == Statement.Verb.WRITE
                        : shape.startsWith("WRITE ");
    }

    boolean writes() {
        return writes;
    }

    String shape() {
        return shape;
    }

    boolean isCommit() {
        return statement.verb() == Statement.Verb.COMMIT;
    }

    /** Returns the statement text for the server. */
    String line() {
        return shape == null
                ? text
                : "EXECUTE " + ServerConnection.preparedName(shape) + " " + statement.arguments();
    }

    /**
     * Returns when the client's time-out ends. By then the client has a reply or is gone, and a
     * connection without a response is closed.
     */
    long overdueMillis() {
        return sinceMillis + route.timeoutMillis();
    }

    /** Starts the time-out of the statement. */
    void startTimeout(Runnable onTimeout) {
        long untilMillis = overdueMillis() - ANSWER_MARGIN_MS;
        timeout = node.environment.schedule(Math.max(1, untilMillis - now()), onTimeout);
    }

    /** Marks the statement as finished; cancels its timer and its waiter. */
    void finish() {
        finished = true;
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
    void onNoServer() {
        awaitChange();
    }

    @Override
    void onServerUnavailable(ServerPool server) {
        DatabaseService service = service();
        if (server == service.primary() || server.id.equals(service.primary)) {
            awaitChange();
            return;
        }
        tried.add(server);
        node.environment.schedule(
                0,
                () -> {
                    if (isWanted()) {
                        acquire();
                    }
                });
    }

    /**
     * Retries after the next change of the service. Refuses the statement if its wait is over or no
     * primary is expected soon.
     */
    private void awaitChange() {
        if (!isPatient() || !service().expectsPrimarySoon()) {
            session.refuse(this);
            return;
        }
        tried.clear();
        waiter =
                () -> {
                    waiter = null;
                    if (isWanted()) {
                        acquire();
                    }
                };
        service().addWaiter(waiter);
    }

    @Override
    void onConnection(ServerPool server, ServerConnection borrowed, LogPosition position) {
        boolean bounded = mayUseReplica() && position != null;
        if (writes || bounded || service().isCertainPrimary(server)) {
            send(server, borrowed, bounded ? position : null);
            return;
        }
        connection = borrowed;
        verifyPrimary(
                borrowed,
                () -> send(server, borrowed, null),
                () -> {
                    connection = null;
                    if (attempts++ < MAX_PRIMARY_CHECKS && isPatient()) {
                        afterPause(this::acquire);
                    } else {
                        session.refuse(this);
                    }
                });
    }

    /**
     * Sends the statement.
     *
     * @param after the server rejects the read until its log covers this position; null for no such
     *     bound
     */
    private void send(ServerPool server, ServerConnection on, LogPosition after) {
        connection = on;
        long sentMillis = now();
        LogPosition before = server.knownPosition;
        on.query(
                session.variables(),
                shape,
                id,
                (after == null ? "" : "AFTER " + after + " ") + line(),
                overdueMillis(),
                result -> {
                    connection = null;
                    if (result.isCompleted()) {
                        onCompleted(server, on, sentMillis, before, result);
                        return;
                    }
                    giveBack(on, result);
                    if (isWanted()) {
                        onFailed(server, result);
                    }
                });
    }

    private void onCompleted(
            ServerPool server,
            ServerConnection on,
            long sentMillis,
            LogPosition before,
            QueryResult result) {
        server.onCaughtUp();
        DatabaseService service = service();
        boolean certain = service.isCertainPrimary(server);
        if (writes) {
            service.onAcknowledged(server, before, result.position());
        }
        if (writes || certain) {
            service.floors.onPrimaryPosition(result.position(), sentMillis);
        }
        giveBack(on, result);
        measure(server, sentMillis);
        if (!isWanted()) {
            return;
        }
        if (writes) {
            session.onWriteAcknowledged(result.position());
        }
        session.answer(this, result);
    }

    private void measure(ServerPool server, long sentMillis) {
        double usual = Math.max(1, route.targetLatencyMillis() / USUAL_PART_OF_TARGET);
        double slowdown = Math.min(MAX_SLOWDOWN, Math.max(0.5, (now() - sentMillis) / usual));
        server.slowdown += SLOWDOWN_SMOOTHING * (Math.max(1, slowdown) - server.slowdown);
    }

    /** Handles a failed attempt: retries where that is permitted, else replies with an error. */
    private void onFailed(ServerPool server, QueryResult result) {
        if (result.hasFailedWith(ServerError.LAGGING)) {
            node.counters.laggingReplies++;
            server.onLagging();
        }
        Verdict verdict =
                StatementRetryPolicy.decide(
                        result, writes, attempts, (int) route.maxAttempts(), isPatient());
        if (verdict.excludeServer()) {
            tried.add(server);
        }
        attempts += verdict.countAttempt() ? 1 : 0;
        switch (verdict.decision()) {
            case RETRY_AT_ONCE -> acquire();
            case RETRY_AFTER_PAUSE -> afterPause(this::acquire);
            case REFUSE -> session.refuse(this);
            case UNCERTAIN -> session.fail(this, "UNCERTAIN", "the connection ended");
            case ABORTED -> session.fail(this, "ABORTED", "the connection ended");
            default -> session.fail(this, result.errorCode(), result.errorMessage());
        }
    }

    /** Runs an action after the retry delay, unless the statement is finished by then. */
    void afterPause(Runnable action) {
        long pause = RETRY_PAUSE_MS + node.environment.random().nextInt(RETRY_JITTER_MS);
        node.environment.schedule(
                pause,
                () -> {
                    if (isWanted()) {
                        action.run();
                    }
                });
    }
}
