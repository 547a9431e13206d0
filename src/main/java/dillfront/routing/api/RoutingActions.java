package dillfront.routing.api;

import java.time.Duration;

/** Where the decisions leave. Txns and nodes go by the small indices that the caller gave them. */
public interface RoutingActions {

    void submit(int transaction, int node, Duration timeout);

    /** The final answer that a further try is harmless. */
    void decline(int transaction, Duration retryDelay);

    /** The final answer that promises nothing. */
    void reportUnknownOutcome(int transaction);

    /** Closes the connections to a node that carry nothing. */
    void closeIdleConnections(int node);

    void probe(int node);

    /** Asks for the member list's changes from now on, where they come only when asked for. */
    void watchMemberList();

    void scheduleWakeUp(Duration delay);
}
