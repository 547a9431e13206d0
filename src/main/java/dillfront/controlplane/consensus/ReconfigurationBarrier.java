package dillfront.controlplane.consensus;

import java.util.function.Predicate;

/**
 * Decides when the second step of a member change is permitted: once a majority of the new members
 * has on disk all entries of the server registry and all primary records that a majority of both
 * sets had when it accepted the joint value. The lease holder tracks this by the members' messages.
 */
public final class ReconfigurationBarrier {

    /** The durable state of the processes. */
    public interface DurableState {

        /**
         * Returns whether the process has the registry up to this version and the primary records
         * up to this number on disk.
         */
        boolean includes(String id, long registryVersion, long recordNumber);
    }

    private static final long UNKNOWN = -1;

    /**
     * The ballot of the joint value, and the lease holder's registry version when a majority of
     * both sets was known to have accepted that value.
     */
    private Ballot jointBallot = Ballot.NONE;

    private long registryVersion = UNKNOWN;

    /** Resets the barrier, because a single member set is in force. */
    public void reset() {
        registryVersion = UNKNOWN;
    }

    /**
     * Returns whether the second step is permitted.
     *
     * @param joint the joint value
     * @param ballot the ballot under which the joint value is decided
     * @param hasAccepted whether a process is known to have accepted the joint value
     * @param currentVersion the lease holder's registry version
     * @param newestRecord the newest primary record number known to the lease holder
     */
    public boolean canFinish(
            RegisterValue joint,
            Ballot ballot,
            Predicate<String> hasAccepted,
            long currentVersion,
            long newestRecord,
            DurableState durable) {
        if (!ballot.equals(jointBallot) || registryVersion == UNKNOWN) {
            jointBallot = ballot;
            registryVersion = joint.isQuorum(hasAccepted) ? currentVersion : UNKNOWN;
        }
        return registryVersion != UNKNOWN
                && joint.withoutOutgoing()
                        .isQuorum(id -> durable.includes(id, registryVersion, newestRecord));
    }
}
