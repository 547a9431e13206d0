package dillfront.routing.api;

/** How current the data read by a transaction type must be; writes go to the primary only. */
public enum Consistency {
    /** Any replica, preferably within a multiple of the tightest staleness bound. */
    EVENTUAL,

    /** A replica within the staleness bound of the transaction type. */
    BOUNDED_STALENESS,

    /** A replica that has applied the session's last write. */
    SESSION,

    /** The primary. */
    STRONG,

    /** The primary, as the transaction writes. */
    WRITE
}
