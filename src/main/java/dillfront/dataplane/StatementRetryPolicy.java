package dillfront.dataplane;

/**
 * Decides how to proceed after a failed attempt of a statement outside a transaction. A statement
 * that has not run is retried while it may wait. A read that may have run is retried within the
 * attempts of its route; a write that may have run is never retried. Time-outs are never retried
 * and are not handled here.
 */
final class StatementRetryPolicy {

    private static final int MAX_ATTEMPTS_NOT_RUN = 2;

    /** The action after a failed attempt. */
    enum Decision {
        RETRY_AT_ONCE,
        RETRY_AFTER_PAUSE,
        /** The statement has not run: the client gets a suggested retry delay. */
        REFUSE,
        /** The server's error is forwarded to the client. */
        PASS_ON,
        /** Whether the statement ran is unknown. */
        UNCERTAIN,
        /** The connection of a read ended. */
        ABORTED
    }

    /**
     * The decision after a failed attempt.
     *
     * @param decision the action
     * @param excludeServer whether the server is excluded until something changes
     * @param countAttempt whether the attempt counts against the limit
     */
    record Verdict(Decision decision, boolean excludeServer, boolean countAttempt) {}

    private StatementRetryPolicy() {}

    /**
     * Decides how to proceed after a failed attempt.
     *
     * @param writes whether the statement writes
     * @param attempts the number of attempts counted before
     * @param maxAttempts the limit of the statement's route
     * @param patient whether the statement may still wait
     */
    static Verdict decide(
            QueryResult result, boolean writes, int attempts, int maxAttempts, boolean patient) {
        switch (result.outcome()) {
            case NOT_SENT:
                return notRun(attempts, patient);
            case CONNECTION_LOST:
                return mayHaveRun(
                        writes,
                        attempts,
                        maxAttempts,
                        patient,
                        writes ? Decision.UNCERTAIN : Decision.ABORTED);
            default:
                break;
        }
        switch (ServerError.of(result.errorCode())) {
            case BUSY:
                return new Verdict(
                        patient ? Decision.RETRY_AFTER_PAUSE : Decision.REFUSE, true, false);
            case LAGGING:
                return new Verdict(patient ? Decision.RETRY_AT_ONCE : Decision.REFUSE, true, false);
            case READONLY:
                return new Verdict(
                        patient ? Decision.RETRY_AFTER_PAUSE : Decision.REFUSE, false, false);
            case UNKNOWN:
            case WRONGNODE:
            case TOOMANY:
                return notRun(attempts, patient);
            case FAILED:
                return mayHaveRun(writes, attempts, maxAttempts, patient, Decision.PASS_ON);
            default:
                return new Verdict(Decision.PASS_ON, false, false);
        }
    }

    private static Verdict notRun(int attempts, boolean patient) {
        boolean again = patient && attempts < MAX_ATTEMPTS_NOT_RUN;
        return new Verdict(again ? Decision.RETRY_AFTER_PAUSE : Decision.REFUSE, true, patient);
    }

    private static Verdict mayHaveRun(
            boolean writes, int attempts, int maxAttempts, boolean patient, Decision otherwise) {
        boolean again = !writes && patient && attempts < Math.max(1, maxAttempts);
        return new Verdict(again ? Decision.RETRY_AT_ONCE : otherwise, !writes, !writes && patient);
    }
}
