package dillfront.routing.api;

/** How a submission of a transaction to a node ended. */
public enum SubmissionResult {
    COMMITTED(true),

    /** The node answered with a database error. */
    ERROR(true),

    /** The node rejected the transaction for lack of capacity. */
    FULL(false),

    TIMED_OUT(true),

    /** No connection could be opened, or it broke before the whole transaction was sent. */
    UNREACHABLE(false),

    /** The connection broke after the transaction was sent. */
    RESET(true),

    WITHDRAWN(true),
    MOOT(false),

    /** The node refused a write as a replica, or a read as too far behind. */
    MISS(false),

    /** The answer was malformed. The node was up, and the transaction may have been executed. */
    SPOILT(true),

    /** The submission was dropped, as it was no longer valid when its connection opened. */
    UNSENT(false);

    private final boolean mayHaveRun;

    SubmissionResult(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Returns false if the result proves that the node never executed the transaction. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
