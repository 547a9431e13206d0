package dillfront.core;

import java.util.function.Predicate;

/**
 * When the new one of two sets may go on alone: once a majority of it has on its disks all that a
 * majority of each had when it accepted the joint value. Its holder has heard that from them.
 */
public final class Settling {

    /** What a process has on its disk. */
    public interface Disks {

        boolean has(String id, long change, long record);
    }

    /**
     * The ballot that made two sets count, and the holder's table when a majority of each had that.
     */
    private Ballot joint = Ballot.NONE;

    private long mark = -1;

    /** One set counts. */
    public void none() {
        mark = -1;
    }

    /**
     * @param ballot under which the joint value is decided
     * @param accepted whether that process is known to have accepted it
     * @param change of the holder's table, now
     * @param record the newest that the holder knows
     */
    public boolean may(
            Value is,
            Ballot ballot,
            Predicate<String> accepted,
            long change,
            long record,
            Disks disks) {
        if (!ballot.equals(joint) || mark < 0) {
            joint = ballot;
            mark = is.quorum(accepted) ? change : -1;
        }
        return mark >= 0 && is.settled().quorum(of -> disks.has(of, mark, record));
    }
}
