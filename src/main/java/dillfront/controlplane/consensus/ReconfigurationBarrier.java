package dillfront.controlplane.consensus;

import java.util.function.Predicate;

/**
 * When the second step of a change of members may be made: once a majority of the new members has
 * on its disks all of the server table and the primary records that a majority of both sets had
 * when it accepted the joint value. The lease holder knows that from their messages.
 */
public final class ReconfigurationBarrier {

    /** What processes have on their disks. */
    public interface DurableState {

        /** Whether that process has the table up to this version and this record. */
        boolean includes(String id, long registryVersion, long recordNumber);
    }

    private static final long UNKNOWN = -1;

    /** The ballot of the joint value, and the holder's table when a majority of both had that. */
    private Ballot jointBallot = Ballot.NONE;

    private long registryVersion = UNKNOWN;

    /** One set of members is in force. */
    public void reset() {
        registryVersion = UNKNOWN;
    }

    /**
     * @param joint the joint value
     * @param ballot under which it is decided
     * @param hasAccepted whether that process is known to have accepted it
     * @param currentVersion of the holder's table
     * @param newestRecord that the holder knows
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
