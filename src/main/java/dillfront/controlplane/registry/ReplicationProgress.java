package dillfront.controlplane.registry;

/**
 * How far two processes have each other's table of servers, as one of them sees it. A table is
 * named by its number of changes, which begins anew with each life of its process: so does this,
 * with each life of the other.
 */
public final class ReplicationProgress {

    /** How far the other has this one's table: in memory, and on its disk. */
    long peerVersion;

    long peerDurableVersion;

    /** How far this one has the other's: in memory, and on the disk. */
    long knownVersion;

    long knownDurableVersion;
}
