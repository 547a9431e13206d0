package dillfront.dataplane;

/**
 * What follows where a statement outside a transaction came to nothing. A statement that has not
 * run is tried again while there is patience; a read that may have run is, within its route's
 * attempts; a write that may have run never is. Time-outs are not retried at all: they never come
 * here.
 */
final class StatementRetryPolicy {

    private static final int MAX_ATTEMPTS_NOT_RUN = 2;

    /** What to do. */
    enum Decision {
        RETRY_AT_ONCE,
        RETRY_AFTER_PAUSE,
        /** It has not run: the client is told when to come back. */
        REFUSE,
        /** The server's error goes to the client. */
        PASS_ON,
        /** Whether it ran is not known. */
        UNCERTAIN,
        /** A read whose connection ended. */
        ABORTED
    }

    /**
     * @param decision what to do
     * @param excludeServer the server is not tried again until something changes
     * @param countAttempt the attempt counts
     */
    record Verdict(Decision decision, boolean excludeServer, boolean countAttempt) {}

    private StatementRetryPolicy() {}

    /**
     * @param writes whether the statement writes
     * @param attempts that counted before
     * @param maxAttempts by its route
     * @param patient whether there is time left to wait
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
