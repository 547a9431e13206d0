package dillfront.controlplane.consensus;

import java.util.function.Predicate;

/**
 * When the new one of two sets may go on alone: once a majority of it has on its disks all that a
 * majority of each had when it accepted the joint value. Its holder has heard that from them.
 */
public final class ReconfigurationBarrier {

    /** What a process has on its disk. */
    public interface DurableState {

        boolean includes(String id, long change, long record);
    }

    /**
     * The ballot that made two sets count, and the holder's table when a majority of each had that.
     */
    private Ballot jointBallot = Ballot.NONE;

    private long registryVersion = -1;

    /** One set counts. */
    public void reset() {
        registryVersion = -1;
    }

    /**
     * @param ballot under which the joint value is decided
     * @param accepted whether that process is known to have accepted it
     * @param change of the holder's table, now
     * @param record the newest that the holder knows
     */
    public boolean canFinish(
            RegisterValue is,
            Ballot ballot,
            Predicate<String> accepted,
            long change,
            long record,
            DurableState disks) {
        if (!ballot.equals(jointBallot) || registryVersion < 0) {
            jointBallot = ballot;
            registryVersion = is.isQuorum(accepted) ? change : -1;
        }
        return registryVersion >= 0
                && is.withoutOutgoing().isQuorum(of -> disks.includes(of, registryVersion, record));
    }
}
