package dillfront.routing.api;

/** What the member list says of a node. */
public enum MemberState {
    READY,
    DRAINING,
    GONE
}
