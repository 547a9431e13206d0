package dillfront.routing.api;

/** What a node said it was. */
public enum NodeRole {
    PRIMARY,
    REPLICA
}
