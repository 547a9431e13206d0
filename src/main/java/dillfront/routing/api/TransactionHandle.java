package dillfront.routing.api;

import java.time.Duration;

/** A txn that was taken. Calls may go on after its final answer: they still tell of the node. */
public interface TransactionHandle {

    /**
     * A submission ended.
     *
     * @param answered the client has its final answer, by this ending or before it
     * @param current what the answer itself says, of the moment it was given
     * @param report a load report that came with it, some time old
     */
    void submissionEnded(
            int node,
            SubmissionResult result,
            Duration duration,
            boolean answered,
            NodeReport current,
            NodeReport report);

    /**
     * A submission could not be sent at once, since a connection had to be opened: whether it may
     * go now. If not, it is never sent, and ends as UNSENT.
     */
    boolean maySend(int node);

    /** The client went away; nothing is owed any more. */
    void clientDisconnected();
}
