package dillfront.router.peers;

/** Reasons to drop a datagram or an update, in the order of the checks. */
public enum DropReason {
    /** Malformed datagram: wrong size, other version, or a count that does not match the size. */
    FORM,
    /** Sent to another instance, or by this one itself. */
    NOT_MINE,
    /** Signed with a key that is not registered or not valid now. */
    KEY,
    /** Send time too far from local time, by both clocks. */
    CLOCK,
    /** Received before, or older than the replay window. */
    REPLAY,
    /** Over the limit of signature checks per second for one sender. */
    FLOOD,
    /** The signature does not match the datagram. */
    SIGNATURE,
    /** An update that is not signed by its claimed origin; the other updates are still accepted. */
    WORD
}
