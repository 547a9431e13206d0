package dillfront.port;

/** What a second run of a txn would do. */
public enum Effect {
    REPEATABLE,
    REFERENCED,
    ONCE_ONLY
}
