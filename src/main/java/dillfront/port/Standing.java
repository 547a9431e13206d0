package dillfront.port;

/** What the member list says of a node. */
public enum Standing {
    READY,
    DRAINING,
    GONE
}
