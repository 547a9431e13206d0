package dillfront.dataplane;

import dillfront.common.database.LogPosition;
import dillfront.common.database.ServerResponseReader.ServerResponse;
import java.util.List;

/**
 * What became of a statement that was sent to a database server.
 *
 * @param completionTag null where it failed
 * @param errorCode the server's own code; null unless the outcome is FAILED
 * @param transactionStatus I, T or E: idle, in a transaction, in a failed one
 * @param position of the server's log; null where the answer had none
 */
record QueryResult(
        Outcome outcome,
        List<String> rows,
        String completionTag,
        String errorCode,
        String errorMessage,
        char transactionStatus,
        LogPosition position) {

    static final char IDLE = 'I';
    static final char IN_TRANSACTION = 'T';

    /** How it ended. */
    enum Outcome {
        COMPLETED,
        /** The server refused it, or it failed there. */
        FAILED,
        /** The connection ended before the answer did: it may have run. */
        CONNECTION_LOST,
        /** The connection was over before anything was written. */
        NOT_SENT
    }

    static QueryResult of(ServerResponse response) {
        return new QueryResult(
                response.errorCode() == null ? Outcome.COMPLETED : Outcome.FAILED,
                response.rows(),
                response.completionTag(),
                response.errorCode(),
                response.errorMessage(),
                response.transactionStatus(),
                response.logPosition());
    }

    static QueryResult connectionLost(String reason) {
        return new QueryResult(Outcome.CONNECTION_LOST, List.of(), null, null, reason, IDLE, null);
    }

    static QueryResult notSent() {
        return new QueryResult(Outcome.NOT_SENT, List.of(), null, null, "", IDLE, null);
    }

    boolean isCompleted() {
        return outcome == Outcome.COMPLETED;
    }

    /** Whether the connection ended, be it before anything was written. */
    boolean isConnectionLost() {
        return outcome == Outcome.CONNECTION_LOST || outcome == Outcome.NOT_SENT;
    }

    boolean isIdle() {
        return transactionStatus == IDLE;
    }

    /** Whether the server refused it with this code. */
    boolean hasFailedWith(ServerError error) {
        return outcome == Outcome.FAILED && ServerError.of(errorCode) == error;
    }
}
