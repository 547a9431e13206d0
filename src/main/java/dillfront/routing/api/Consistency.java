package dillfront.routing.api;

/**
 * How current the data must be that a txn type is answered from; a write goes to the primary alone.
 */
public enum Consistency {
    EVENTUAL,
    BOUNDED_STALENESS,
    SESSION,
    STRONG,
    WRITE
}
