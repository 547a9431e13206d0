package dillfront.routing.api;

/** Replication role that a node reports. */
public enum NodeRole {
    PRIMARY,
    REPLICA
}
