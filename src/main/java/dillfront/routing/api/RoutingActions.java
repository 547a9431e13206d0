package dillfront.routing.api;

import java.time.Duration;

/**
 * Actions that the routing engine requests from its adapter. Transactions and nodes are identified
 * by the small indices that the caller assigned.
 */
public interface RoutingActions {

    /** Sends the transaction to a node, with a limit on the time until its answer. */
    void submit(int transaction, int node, Duration timeout);

    /** Answers the client that a retry is harmless, and is sensible after the given pause. */
    void decline(int transaction, Duration retryDelay);

    /** Answers the client that the outcome is unknown, so that a retry may apply a write twice. */
    void reportUnknownOutcome(int transaction);

    /** Closes the idle connections to a node. */
    void closeIdleConnections(int node);

    /** Sends a health check to a node. */
    void probe(int node);

    /** Subscribes to changes of the member list, where the discovery service requires a request. */
    void watchMemberList();

    /** Schedules the next call of {@link dillfront.routing.RoutingEngine#onWakeUp}. */
    void scheduleWakeUp(Duration delay);
}
