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
     * @param patient whether there is time left to wait
     */
    static RetryDecision evaluate(
            QueryResult result, boolean writes, int attempts, int maxAttempts, boolean patient) {
        switch (result.outcome()) {
            case NOT_SENT:
                return evaluateNotRun(attempts, patient);
            case CONNECTION_LOST:
                return evaluatePossiblyRun(
                        writes,
                        attempts,
                        maxAttempts,
                        patient,
                        writes ? RetryAction.UNCERTAIN : RetryAction.ABORTED);
            default:
                break;
        }
        switch (ServerError.of(result.errorCode())) {
            case BUSY:
                return new RetryDecision(
                        patient ? RetryAction.RETRY_AFTER_DELAY : RetryAction.REFUSE, true, false);
            case LAGGING:
                return new RetryDecision(
                        patient ? RetryAction.RETRY_IMMEDIATELY : RetryAction.REFUSE, true, false);
            case READONLY:
                return new RetryDecision(
                        patient ? RetryAction.RETRY_AFTER_DELAY : RetryAction.REFUSE, false, false);
            case UNKNOWN:
            case WRONGNODE:
            case TOOMANY:
                return evaluateNotRun(attempts, patient);
            case FAILED:
                return evaluatePossiblyRun(
                        writes, attempts, maxAttempts, patient, RetryAction.FORWARD_ERROR);
            default:
                return new RetryDecision(RetryAction.FORWARD_ERROR, false, false);
        }
    }

    private static RetryDecision evaluateNotRun(int attempts, boolean patient) {
        boolean again = patient && attempts < MAX_RETRIES_NOT_RUN;
        return new RetryDecision(
                again ? RetryAction.RETRY_AFTER_DELAY : RetryAction.REFUSE, true, patient);
    }

    private static RetryDecision evaluatePossiblyRun(
            boolean writes, int attempts, int maxAttempts, boolean patient, RetryAction otherwise) {
        boolean again = !writes && patient && attempts < Math.max(1, maxAttempts);
        return new RetryDecision(
                again ? RetryAction.RETRY_IMMEDIATELY : otherwise, !writes, !writes && patient);
    }
}
