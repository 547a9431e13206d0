package dillfront.routing.api;

import java.time.Duration;

/**
 * Reports the progress of one accepted transaction to the routing engine. Submissions may end after
 * the client has its final answer; their results still update the node's health.
 */
public interface TransactionHandle {

    /**
     * Records the end of a submission to a node.
     *
     * @param answered whether the client has its final answer, from this submission or an earlier
     *     one
     * @param current the node's state at the moment of its answer
     * @param report the node's state in the load report attached to the answer, measured some time
     *     earlier
     */
    void submissionEnded(
            int node,
            SubmissionResult result,
            Duration duration,
            boolean answered,
            NodeReport current,
            NodeReport report);

    /**
     * Checks again whether a submission may be sent after it waited for a new connection. If not,
     * the adapter drops it and reports {@link SubmissionResult#UNSENT}.
     */
    boolean maySend(int node);

    /** Records that the client disconnected and needs no answer. */
    void clientDisconnected();
}
