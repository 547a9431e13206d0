package dillfront.controlplane.registry;

/**
 * How far two processes have each other's server table, as one of them sees it. Versions begin anew
 * with each incarnation of a process, and so does this with each incarnation of the peer.
 */
public final class ReplicationProgress {

    /** Up to which version the peer has this process's table: in memory, and on its disk. */
    long peerVersion;

    long peerDurableVersion;

    /** Up to which version this process has the peer's table: in memory, and on the disk. */
    long knownVersion;

    long knownDurableVersion;
}
