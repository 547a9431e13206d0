package dillfront.routing.api;

/** Whether a transaction may be executed a second time. */
public enum Repeatability {
    /** A second execution is harmless. */
    REPEATABLE,

    /** The nodes drop a second execution by its idempotency key within a time window. */
    REFERENCED,

    /** A second execution would apply the transaction twice. */
    ONCE_ONLY
}
