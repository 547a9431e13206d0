package dillfront.simulation.processes;

/**
 * One thing that happened in a rig, as its stand-ins saw it; in one list, in one order. Times are
 * nanoseconds of the stage. A router's life is one process of it: its name and how often it was
 * started, as {@code r1#2}.
 */
public sealed interface Happening {

    /**
     * A process of a router was started, or was killed; whoever was told to end and did so ended
     * well.
     */
    record Started(String life) implements Happening {}

    /** What is to be done to the rig. */
    record Ended(String life, boolean killed) implements Happening {}

    /**
     * Discovery wrote this to a router. The standing is the list's word, or {@code absent} from a
     * whole list.
     */
    record Told(long at, String life, long generation, String node, String standing, long startedMs)
            implements Happening {}

    /**
     * A router has shown that it read all up to this generation of this agent; all it sent before
     * that has been read.
     */
    record Heard(long at, String life, long generation) implements Happening {}

    /** A node has read a whole statement. */
    record Sent(
            long at,
            String life,
            String node,
            long nodeStartedMs,
            String txn,
            String type,
            String key)
            implements Happening {}

    /** A write had its effect: of this group, by its key, or by its id where it has none. */
    record Ran(String node, int group, String txn, String type, String key) implements Happening {}

    /**
     * A read was answered from data as of this moment, in Unix milliseconds, when this was the
     * time.
     */
    record Read(String node, String txn, String type, long positionMs, long unixMs)
            implements Happening {}

    /**
     * A cold node got this share of what tips it, over the time that it takes; from 1 on it has
     * fallen over.
     */
    record Pressed(String node, double ofLimit) implements Happening {}

    /**
     * A client wrote the last byte of a query to this router. Its token is the time of its
     * session's last write, or 0.
     */
    record Asked(
            long at,
            String txn,
            String type,
            int group,
            String key,
            long waitMs,
            long afterMs,
            String life)
            implements Happening {}

    /**
     * A client read the last byte of an answer: committed, declined, rolled-back; or its connection
     * ended: broken.
     */
    record Answered(long at, String txn, String how, String text) implements Happening {}
}
