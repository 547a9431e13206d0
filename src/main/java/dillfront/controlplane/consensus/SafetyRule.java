package dillfront.controlplane.consensus;

/**
 * The safety rules of the control plane. Model checks disable one rule at a time and verify that
 * the violation is detected.
 */
public enum SafetyRule {
    /** A promise is on disk before the acceptor reports it. */
    PROMISE_ON_DISK,
    /** An accepted value is on disk before the acceptor reports it. */
    ACCEPTED_ON_DISK,
    /** A proposer's ballot is on disk before the proposer sends it, so no ballot is used twice. */
    BALLOT_ON_DISK,
    /** An acceptor accepts nothing below its promised ballot. */
    PROMISE_KEPT,
    /** A proposer sends a value only after a majority has promised. */
    PROMISES_OF_MAJORITY,
    /** A proposer builds on the value with the highest accepted ballot. */
    HIGHEST_ACCEPTED,
    /** Only acceptances of the same ballot count towards a majority. */
    ONE_BALLOT,
    /** The member set changes only on top of a decided value. */
    SETS_ON_DECIDED,
    /** Only the lease holder changes the member set. */
    SETS_BY_HOLDER,
    /** During a member change, a majority of both sets is required. */
    JOINT_MAJORITIES,
    /**
     * Former epochs do not count: the outgoing set must still accept the value that removes it, and
     * requests of an older epoch are rejected.
     */
    OLDER_EPOCHS,
    /** A configuration revision has the same content forever. */
    ONE_CONTENT,
    /** Configuration requests are answered according to the decided value. */
    ANSWER_BY_DECIDED,
    /** A process that lost its disk gets a new id. */
    NEW_ID,
    /**
     * The bootstrapping process has a reply from every seed that the seed belongs to no cluster.
     */
    FOUNDER_HEARS_ALL,
    /** A read waits for a majority to answer messages that were sent after the read began. */
    FRESH_MAJORITY,
    /** A read counts a majority of the member sets of the value that the read returns. */
    READ_BY_ITS_SETS,
    /** A lease promise is on disk before the member reports it. */
    LEASE_ON_DISK,
    /**
     * After a restart, a member assumes that the process with its lease promise may still hold the
     * lease.
     */
    LEASE_AFTER_START,
    /**
     * The lease holder measures the lease duration from when it sent the request, not from when the
     * reply arrived.
     */
    LEASE_FROM_ASKED,
    /** A member's lease promise binds for its whole duration, regardless of other requests. */
    LEASE_PROMISE_STANDS,
    /**
     * While a member writes a promise to another candidate, it does not extend its former promise.
     */
    LEASE_TURNS,
    /** An abandoned lease number stops binding members only if it was never held. */
    LEASE_NEVER_HELD,
    /**
     * A member whose promise no longer binds still rejects all lease numbers up to those that may
     * have been held.
     */
    LEASE_NUMBERS_RISE,
    /** An abandoned lease number is never requested again, including after a restart. */
    LEASE_ASKED_ONCE,
    /**
     * A member reports the latest time at which former lease holders may have claimed that their
     * leases end, even if a lease was released or ended earlier.
     */
    LEASE_FORMER,
    /** Registry entries are on disk before the process reports them as durable. */
    ROWS_ON_DISK,
    /**
     * A registry version reported by a peer counts only if the peer refers to the current
     * incarnation.
     */
    ROWS_OF_THIS_LIFE,
    /**
     * A registry message advances the known version only if its entries start at or before the
     * version that is already known.
     */
    ROWS_WITHOUT_GAP,
    /** A server's state only moves forward, from ready to draining to left. */
    ROWS_FORWARD,
    /**
     * A durable version reported by a member under a newer epoch than the local one does not count
     * towards an acknowledgement.
     */
    ROWS_UNDER_EPOCH,
    /** A server's leave is stored like its other state, even if the server is unknown. */
    ROWS_OF_LEAVES,
    /** Primary records are on disk before the process reports them as durable. */
    RECORDS_ON_DISK,
    /**
     * The primary records of one message are written together, because a number implies all records
     * before it.
     */
    RECORDS_TOGETHER,
    /**
     * Primary records are applied only if they start at or before the newest record that is already
     * known.
     */
    RECORDS_WITHOUT_GAP,
    /** An older primary record never replaces a newer one. */
    RECORDS_FORWARD,
    /**
     * A lease holder acts only after a majority has answered since its lease began and has no
     * primary records that the holder lacks.
     */
    RECORDS_OF_MAJORITY,
    /** A fencing token is issued only once within a lease. */
    NUMBERS_ONCE
}
