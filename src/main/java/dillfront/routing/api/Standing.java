package dillfront.routing.api;

/** What the member list says of a node. */
public enum Standing {
    READY,
    DRAINING,
    GONE
}
