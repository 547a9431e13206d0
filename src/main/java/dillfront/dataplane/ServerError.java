package dillfront.dataplane;

/**
 * The error codes of database servers that the data plane handles; the constant names are the codes
 * on the wire.
 */
enum ServerError {
    /** The server is at capacity; the statement was not run. */
    BUSY,
    /** The server's log lacks the position that the read requires; the read was not run. */
    LAGGING,
    /** The server is a replica and received a write; the write was not run. */
    READONLY,
    /** The server does not know a prepared statement; the statement was not run. */
    UNKNOWN,
    /** Another server has this address now; the statement was not run. */
    WRONGNODE,
    /** The server is at its connection limit; the statement was not run. */
    TOOMANY,
    /** The statement failed; it may have run. */
    FAILED,
    /** Any other code; it is forwarded to the client. */
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
