package dillfront.controlplane.registry;

/**
 * Tracks how far two processes have replicated each other's server table, as seen by one of them.
 * Versions restart with each incarnation of a process, so this state is reset with each incarnation
 * of the peer.
 */
public final class ReplicationProgress {

    /** The version of this process's table that the peer has in memory. */
    long peerVersion;

    long peerDurableVersion;

    /** The version of the peer's table that this process has in memory. */
    long knownVersion;

    long knownDurableVersion;
}
