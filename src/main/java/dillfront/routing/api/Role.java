package dillfront.routing.api;

/** Replication role that a node reports. */
public enum Role {
    PRIMARY,
    REPLICA
}
