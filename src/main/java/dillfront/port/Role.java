package dillfront.port;

/** What a node said it was. */
public enum Role {
    PRIMARY,
    REPLICA
}
