package dillfront.dataplane;

/** The error codes of database servers that a data plane acts on; their names are the wire's. */
enum ServerError {
    /** It has no room now; not run. */
    BUSY,
    /** Its log lacks what the read needs; not run. */
    LAGGING,
    /** It is a replica and was asked to write; not run. */
    READONLY,
    /** It does not know a prepared name; not run. */
    UNKNOWN,
    /** Another server has this address; not run. */
    WRONGNODE,
    /** It takes no more connections; not run. */
    TOOMANY,
    /** It failed; may have run. */
    FAILED,
    /** Any other: it is passed on to the client. */
    OTHER;

    static ServerError of(String code) {
        for (ServerError error : values()) {
            if (error != OTHER && error.name().equals(code)) {
                return error;
            }
        }
        return OTHER;
    }
}
