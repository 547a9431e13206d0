package dillfront.dataplane;

import dillfront.common.database.LogPosition;
import dillfront.common.protocol.ServerStatus;
import java.util.function.Consumer;

/**
 * Withholds the success of a commit from the client until the server is certain to be the primary
 * still.
 *
 * <p>A failover compares the logs once no data plane is certain of the old primary any more. A
 * commit whose success arrives later may be missing in the log of the next primary, even if a
 * replica has received it: that replica may have joined or restarted since. Such a success is
 * passed on only after the server has been confirmed again in the term of the commit; the outcome
 * is reported as uncertain once another server is the primary.
 */
final class CommitConfirmation {

    /** What is known of a commit that the server reported as completed. */
    enum Outcome {
        /** A log that lacks the commit is not promoted. */
        CONFIRMED,
        /** Another server may have become the primary without the commit. */
        UNCERTAIN,
        /** The client has a response already, or is gone. */
        ABANDONED
    }

    private final StatementExecution statement;
    private final ServerPool server;
    private final ServerConnection connection;
    private final LogPosition requestPosition;
    private final QueryResult commit;
    private final Consumer<Outcome> onOutcome;

    private CommitConfirmation(
            StatementExecution statement,
            ServerConnection connection,
            LogPosition requestPosition,
            QueryResult commit,
            Consumer<Outcome> onOutcome) {
        this.statement = statement;
        this.connection = connection;
        this.requestPosition = requestPosition;
        this.commit = commit;
        this.onOutcome = onOutcome;
        server = connection.pool;
    }

    /**
     * Confirms a completed commit, at once while the server is certain to be the primary. The
     * connection remains the statement's until then, so that its time-out applies. A confirmed
     * commit is recorded as acknowledged.
     *
     * @param requestPosition the last known log position when the commit was sent
     * @param onOutcome called once
     */
    static void await(
            StatementExecution statement,
            ServerConnection connection,
            LogPosition requestPosition,
            QueryResult commit,
            Consumer<Outcome> onOutcome) {
        CommitConfirmation confirmation =
                new CommitConfirmation(statement, connection, requestPosition, commit, onOutcome);
        if (connection.pool.service.mayAcknowledgeCommitsOf(connection.pool)) {
            confirmation.finish(Outcome.CONFIRMED);
            return;
        }
        statement.node.counters.unconfirmedCommits++;
        statement.connection = connection;
        confirmation.check();
    }

    private void check() {
        DatabaseService service = server.service;
        if (!statement.isActive()) {
            finish(Outcome.ABANDONED);
        } else if (connection.isClosed() || !server.id.equals(service.primary)) {
            finish(Outcome.UNCERTAIN);
        } else if (service.mayAcknowledgeCommitsOf(server)) {
            connection.query("STATUS", this::onStatus);
        } else {
            service.addWaiter(this::check);
        }
    }

    /** The server may have lost the lead meanwhile, and gained it again in a later term. */
    private void onStatus(QueryResult result) {
        if (!statement.isActive()) {
            finish(Outcome.ABANDONED);
        } else if (result.hasFailedWith(ServerError.BUSY)) {
            server.service.addWaiter(this::check);
        } else if (!leadsSinceCommit(result.serverStatus())) {
            finish(Outcome.UNCERTAIN);
        } else if (server.service.mayAcknowledgeCommitsOf(server)) {
            finish(Outcome.CONFIRMED);
        } else {
            check();
        }
    }

    private boolean leadsSinceCommit(ServerStatus status) {
        return status != null
                && status.isPrimary()
                && commit.position() != null
                && status.term() == commit.position().term();
    }

    private void finish(Outcome outcome) {
        statement.connection = null;
        if (outcome == Outcome.CONFIRMED) {
            server.service.onAcknowledged(server, requestPosition, commit.position());
        }
        onOutcome.accept(outcome);
    }
}
