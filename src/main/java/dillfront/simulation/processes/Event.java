package dillfront.simulation.processes;

/**
 * Records one event of a rig as its simulated components observed it. All events form one ordered
 * list. Times in {@code atNanos} count from the start of the harness. An incarnation is one process
 * of a router, written as the router's name and its start count, {@code r1#2}; a subscription is an
 * incarnation at one agent, {@code r1#2<a0}.
 */
public sealed interface Event {

    /** A router process or a node was started. */
    record Started(String incarnation) implements Event {}

    /** A router process or a node ended: killed, or shut down in order. */
    record Ended(String incarnation, boolean killed) implements Event {}

    /**
     * An agent sent one list entry to a router. The lifecycle is the one in the list, or {@code
     * absent} for a node that a full list omits.
     */
    record ListEntrySent(
            long atNanos,
            String subscription,
            long generation,
            String node,
            String lifecycle,
            long startedMs)
            implements Event {}

    /**
     * A router acknowledged the agent's list up to this generation. All statements that the router
     * sent before have been read.
     */
    record ListAcknowledged(long atNanos, String subscription, long generation) implements Event {}

    /** A node received a complete statement. */
    record StatementReceived(
            long atNanos,
            String incarnation,
            String node,
            long nodeStartedMs,
            String txn,
            String type,
            String key)
            implements Event {}

    /**
     * A write took effect in its group, identified by its idempotency key, or by its id if it has
     * none.
     */
    record WriteApplied(String node, int group, String txn, String type, String key)
            implements Event {}

    /**
     * A node served a read at {@code servedMs} from data as of {@code positionMs}, both in Unix
     * milliseconds.
     */
    record ReadServed(String node, String txn, String type, long positionMs, long servedMs)
            implements Event {}

    /**
     * A cold node's load within the overload window, as a ratio of its overload limit. From 1 on
     * the node is overloaded.
     */
    record WarmupLoad(String node, double limitRatio) implements Event {}

    /**
     * A client sent a complete query to a router. {@code sessionWriteMs} is the Unix time of the
     * session's last write, or 0.
     */
    record QuerySent(
            long atNanos,
            String txn,
            String type,
            int group,
            String key,
            long timeoutMs,
            long sessionWriteMs,
            String incarnation)
            implements Event {}

    /**
     * A client received a complete response ({@code committed}, {@code declined} or {@code
     * rolled-back}), or its connection ended ({@code broken}) or was never established ({@code
     * unreached}).
     */
    record QueryEnded(long atNanos, String txn, String outcome, String responseText)
            implements Event {}
}
