package dillfront.dataplane;

/**
 * Decides how to proceed after a failed attempt of a statement outside a transaction. A statement
 * that has not run is retried while it may wait. A read that may have run is retried within the
 * attempts of its route; a write that may have run is never retried. Time-outs are never retried
 * and are not handled here.
 */
final class StatementRetryPolicy {

    private static final int MAX_RETRIES_NOT_RUN = 2;

    /** The action after a failed attempt. */
    enum RetryAction {
        RETRY_IMMEDIATELY,
        RETRY_AFTER_DELAY,
        /** The statement has not run: the client gets a suggested retry delay. */
        REFUSE,
        /** The server's error is forwarded to the client. */
        FORWARD_ERROR,
        /** Whether the statement ran is unknown. */
        UNCERTAIN,
        /** The connection of a read ended. */
        ABORTED
    }

    /**
     * The decision after a failed attempt.
     *
     * @param action the action
     * @param excludeServer whether the server is excluded until something changes
     * @param countAttempt whether the attempt counts against the limit
     */
    record RetryDecision(RetryAction action, boolean excludeServer, boolean countAttempt) {}

    private StatementRetryPolicy() {}

    /**
     * Decides how to proceed after a failed attempt.
     *
     * @param writes whether the statement writes
     * @param attempts the number of attempts counted before
     * @param maxAttempts the limit of the statement's route
     * @param canWait whether the statement may still wait
     */
    static RetryDecision evaluate(
            QueryResult result, boolean writes, int attempts, int maxAttempts, boolean canWait) {
        switch (result.outcome()) {
            case NOT_SENT:
                return evaluateNotRun(attempts, canWait);
            case CONNECTION_LOST:
                return evaluatePossiblyRun(
                        writes,
                        attempts,
                        maxAttempts,
                        canWait,
                        writes ? RetryAction.UNCERTAIN : RetryAction.ABORTED);
            default:
                break;
        }
        switch (ServerError.of(result.errorCode())) {
            case BUSY:
                return new RetryDecision(
                        canWait ? RetryAction.RETRY_AFTER_DELAY : RetryAction.REFUSE, true, false);
            case LAGGING:
                return new RetryDecision(
                        canWait ? RetryAction.RETRY_IMMEDIATELY : RetryAction.REFUSE, true, false);
            case READONLY:
                return new RetryDecision(
                        canWait ? RetryAction.RETRY_AFTER_DELAY : RetryAction.REFUSE, false, false);
            case UNKNOWN:
            case WRONGNODE:
            case TOOMANY:
                return evaluateNotRun(attempts, canWait);
            case FAILED:
                return evaluatePossiblyRun(
                        writes, attempts, maxAttempts, canWait, RetryAction.FORWARD_ERROR);
            default:
                return new RetryDecision(RetryAction.FORWARD_ERROR, false, false);
        }
    }

    private static RetryDecision evaluateNotRun(int attempts, boolean canWait) {
        boolean retry = canWait && attempts < MAX_RETRIES_NOT_RUN;
        return new RetryDecision(
                retry ? RetryAction.RETRY_AFTER_DELAY : RetryAction.REFUSE, true, canWait);
    }

    private static RetryDecision evaluatePossiblyRun(
            boolean writes, int attempts, int maxAttempts, boolean canWait, RetryAction fallback) {
        boolean retry = !writes && canWait && attempts < Math.max(1, maxAttempts);
        return new RetryDecision(
                retry ? RetryAction.RETRY_IMMEDIATELY : fallback, !writes, !writes && canWait);
    }
}
