package dillfront.routing.api;

import java.time.Duration;

/** Where the decisions leave. Txns and nodes go by the small indices that the caller gave them. */
public interface Outlet {

    void submit(int txn, int node, Duration limit);

    /** The final answer that a further try is harmless. */
    void decline(int txn, Duration pause);

    /** The final answer that promises nothing. */
    void rollBack(int txn);

    /** Closes the connections to a node that carry nothing. */
    void release(int node);

    void probe(int node);

    /** Asks for the member list's changes from now on, where they come only when asked for. */
    void follow();

    void wake(Duration in);
}
