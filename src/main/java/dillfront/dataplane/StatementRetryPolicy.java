package dillfront.dataplane;

/**
 * What follows where a statement outside a transaction came to nothing. A statement that has not
 * run is tried again while there is patience; a read that may have run is, within its route's
 * attempts; a write that may have run never is. Time-outs are not retried at all: they never come
 * here.
 */
final class StatementRetryPolicy {

    private static final int MAX_RETRIES_NOT_RUN = 2;

    /** What to do. */
    enum RetryAction {
        RETRY_IMMEDIATELY,
        RETRY_AFTER_DELAY,
        /** It has not run: the client is told when to come back. */
        REFUSE,
        /** The server's error goes to the client. */
        FORWARD_ERROR,
        /** Whether it ran is not known. */
        UNCERTAIN,
        /** A read whose connection ended. */
        ABORTED
    }

    /**
     * @param action what to do
     * @param excludeServer the server is not tried again until something changes
     * @param countAttempt the attempt counts
     */
    record RetryDecision(RetryAction action, boolean excludeServer, boolean countAttempt) {}

    private StatementRetryPolicy() {}

    /**
     * @param writes whether the statement writes
     * @param attempts that counted before
     * @param maxAttempts by its route
     * @param canWait whether there is time left to wait
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
