package dillfront.simulation.processes;

/**
 * One thing that happened in a rig, as its stand-ins saw it; in one list, in one order. Times are
 * nanoseconds of the stage. A router's life is one process of it: its name and how often it was
 * started, as {@code r1#2}.
 */
public sealed interface Event {

    /**
     * A process of a router was started, or was killed; whoever was told to end and did so ended
     * well.
     */
    record Started(String incarnation) implements Event {}

    /** What is to be done to the rig. */
    record Ended(String incarnation, boolean killed) implements Event {}

    /**
     * Discovery wrote this to a router. The standing is the list's word, or {@code absent} from a
     * whole list.
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
     * A router has shown that it read all up to this generation of this agent; all it sent before
     * that has been read.
     */
    record ListAcknowledged(long atNanos, String subscription, long generation) implements Event {}

    /** A node has read a whole statement. */
    record StatementReceived(
            long atNanos,
            String incarnation,
            String node,
            long nodeStartedMs,
            String txn,
            String type,
            String key)
            implements Event {}

    /** A write had its effect: of this group, by its key, or by its id where it has none. */
    record WriteApplied(String node, int group, String txn, String type, String key)
            implements Event {}

    /**
     * A read was answered from data as of this moment, in Unix milliseconds, when this was the
     * time.
     */
    record ReadServed(String node, String txn, String type, long positionMs, long servedMs)
            implements Event {}

    /**
     * A cold node got this share of what tips it, over the time that it takes; from 1 on it has
     * fallen over.
     */
    record WarmupLoad(String node, double limitRatio) implements Event {}

    /**
     * A client wrote the last byte of a query to this router. Its token is the time of its
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
     * A client read the last byte of an answer: committed, declined, rolled-back; or its connection
     * ended: broken.
     */
    record QueryEnded(long atNanos, String txn, String outcome, String responseText)
            implements Event {}
}
