package dillfront.routing.api;

/** How a submission ended. */
public enum SubmissionResult {
    COMMITTED(true),
    ERROR(true),
    FULL(false),
    TIMED_OUT(true),
    UNREACHABLE(false),
    RESET(true),
    WITHDRAWN(true),
    MOOT(false),
    MISS(false),
    /**
     * What came back was in no form. The txn may have run; it says nothing of the node, which was
     * up.
     */
    SPOILT(true),
    /** It no longer stood when a connection was up. */
    UNSENT(false);

    private final boolean mayHaveRun;

    SubmissionResult(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** False where the ending proves that the txn never ran there. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
