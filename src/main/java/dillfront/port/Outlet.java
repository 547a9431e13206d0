package dillfront.port;

import java.time.Duration;

/** Where the decisions leave. Txns and nodes go by the small indices that the caller gave them. */
public interface Outlet {

    void submit(int txn, int node, Duration limit);

    /** The final answer that a further try is harmless. */
    void decline(int txn, Duration pause);

    /** The final answer that promises nothing. */
    void rollBack(int txn);

    /** Ceases to wait for the submission of this number, counted from 0 for each txn. */
    void cancel(int txn, int submission);

    void probe(int node);

    /** Asks for the member list's changes from now on, where they come only when asked for. */
    void follow();

    void wake(Duration in);

    void log(String line);
}
