package dillfront.routing.api;

/** State of a node in the member list. */
public enum MemberState {
    READY,
    DRAINING,
    GONE
}
