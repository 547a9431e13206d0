package dillfront.routing.api;

/** Whether a transaction may be executed a second time. */
public enum Repeatability {
    /** A second execution is harmless. */
    IDEMPOTENT,

    /** The nodes drop a second execution by its idempotency key within a time window. */
    DEDUPLICATED,

    /** A second execution would apply the transaction twice. */
    NOT_REPEATABLE
}
