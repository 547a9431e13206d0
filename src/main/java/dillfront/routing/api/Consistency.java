package dillfront.routing.api;

/** How current the data read by a transaction type must be; writes go to the primary only. */
public enum Consistency {
    /** Any replica, preferably within a multiple of the tightest staleness bound. */
    ANY,

    /** A replica within the staleness bound of the transaction type. */
    BOUNDED,

    /** A replica that has applied the session's last write. */
    SESSION,

    /** The primary. */
    FRESH,

    /** The primary, as the transaction writes. */
    WRITE
}
