package dillfront.routing.api;

/** What a second run of a txn would do. */
public enum Repeatability {
    IDEMPOTENT,
    DEDUPLICATED,
    NOT_REPEATABLE
}
