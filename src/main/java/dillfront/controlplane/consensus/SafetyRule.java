package dillfront.controlplane.consensus;

/**
 * What keeps the control side sound, each by name, so that a small world can be run without one and
 * shown to break.
 */
public enum SafetyRule {
    /** A promise is on the disk before it is told. */
    PROMISE_ON_DISK,
    /** What is accepted is on the disk before it is told. */
    ACCEPTED_ON_DISK,
    /** A proposer's ballot is on its disk before it is told, so it is never used twice. */
    BALLOT_ON_DISK,
    /** Nothing is accepted below what was promised. */
    PROMISE_KEPT,
    /** A value is offered only once a majority has promised. */
    PROMISES_OF_MAJORITY,
    /** A proposer goes on from the value of the highest ballot that was accepted. */
    HIGHEST_ACCEPTED,
    /** Only acceptances of one ballot count together. */
    ONE_BALLOT,
    /** Sets change only on top of a decided value. */
    SETS_ON_DECIDED,
    /** Only the holder of the lease changes sets. */
    SETS_BY_HOLDER,
    /** While sets change, a majority of each is needed. */
    JOINT_MAJORITIES,
    /**
     * What is over counts for nothing: the set that goes still accepts the value that drops it, and
     * asks of an older epoch are refused.
     */
    OLDER_EPOCHS,
    /** One number has one content for ever. */
    ONE_CONTENT,
    /** Orders are answered by what is decided. */
    ANSWER_BY_DECIDED,
    /** After a loss of its disk a process is another. */
    NEW_ID,
    /** The founder has heard of every seed that it belongs to nothing. */
    FOUNDER_HEARS_ALL,
    /** Reads wait for answers of a majority that were asked for after they began. */
    FRESH_MAJORITY,
    /** A read counts a majority of the sets of the value that it returns. */
    READ_BY_ITS_SETS,
    /** A promise of the lease is on the disk before it is told. */
    LEASE_ON_DISK,
    /** After a start, whoever had the promise of the lease before may still hold it. */
    LEASE_AFTER_START,
    /** The holder counts from when it asked, not from when it was answered. */
    LEASE_FROM_ASKED,
    /** A voter's promise stands for its time, whoever else asks. */
    LEASE_PROMISE_STANDS,
    /**
     * While a voter's promise to another is on its way to the disk, it grants nothing more to the
     * one before.
     */
    LEASE_TURNS,
    /** Only a number that was never held binds nobody once it is given up. */
    LEASE_NEVER_HELD,
    /**
     * A voter whose promise binds nobody any more still promises no number up to those that may
     * have been held before.
     */
    LEASE_NUMBERS_RISE,
    /** What was asked for and given up is never asked for again, in no later life either. */
    LEASE_ASKED_ONCE,
    /**
     * A voter tells until when those before may have said that their lease runs, be it given back
     * or ended sooner.
     */
    LEASE_FORMER,
    /** What is said to be kept of the table of servers is on the disk. */
    ROWS_ON_DISK,
    /** How far another has this table counts only where it is said of this life. */
    ROWS_OF_THIS_LIFE,
    /**
     * A table is known as far as a word says only where its rows begin at what was known before.
     */
    ROWS_WITHOUT_GAP,
    /** A server goes from ready to draining to left, and never back. */
    ROWS_FORWARD,
    /**
     * A row is acknowledged by what was said to be kept under no newer set than the one gone by.
     */
    ROWS_UNDER_EPOCH,
    /** That a server leaves is kept like all else of it, also where it is not known. */
    ROWS_OF_LEAVES,
    /** A record that is said to be kept is on the disk. */
    RECORDS_ON_DISK,
    /** Records of one word go to the disk together: a number stands for all before it. */
    RECORDS_TOGETHER,
    /** Records are taken in only where they begin at what is known here. */
    RECORDS_WITHOUT_GAP,
    /** An older record never takes the place of a newer. */
    RECORDS_FORWARD,
    /**
     * A holder acts once a majority has answered since its lease began, and has nothing that it
     * lacks.
     */
    RECORDS_OF_MAJORITY,
    /** A number within a lease is given once. */
    NUMBERS_ONCE
}
