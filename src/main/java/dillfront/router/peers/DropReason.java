package dillfront.router.peers;

/** Why a datagram or a word was not taken, in the order of the looks at it. */
public enum DropReason {
    /** No datagram of this form: too short or long, another version, a length that does not fit. */
    FORM,
    /** Meant for another instance, or of this one itself. */
    NOT_MINE,
    /** Signed by a key that nobody in the ring has now. */
    KEY,
    /** Sent at a time too far from now by both clocks. */
    CLOCK,
    /** Read before, or older than those that were read last. */
    REPLAY,
    /** More than one sender may make this instance check a second. */
    FLOOD,
    /** The signature is not that of what was signed. */
    SIGNATURE,
    /** One of its words is not signed by who is said to have said it; the others count. */
    WORD
}
