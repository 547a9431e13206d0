package dillfront.routing.api;

import java.time.Duration;

/** A txn that was taken. Calls may go on after its final answer: they still tell of the node. */
public interface Handle {

    /**
     * A submission ended.
     *
     * @param closed the client has its final answer, by this ending or before it
     * @param note what the answer itself says, of the moment it was given
     * @param report a load report that came with it, some time old
     */
    void ended(int node, Result result, Duration took, boolean closed, Report note, Report report);

    /**
     * A submission could not be sent at once, since a connection had to be opened: whether it may
     * go now. If not, it is never sent, and ends as UNSENT.
     */
    boolean stands(int node);

    /** The client went away; nothing is owed any more. */
    void left();
}
