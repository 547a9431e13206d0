package dillfront.routing.api;

/** What a second run of a txn would do. */
public enum Effect {
    REPEATABLE,
    REFERENCED,
    ONCE_ONLY
}
