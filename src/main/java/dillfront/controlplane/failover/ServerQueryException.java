package dillfront.controlplane.failover;

/**
 * Thrown if a database server returns no status. The query may be retried, because each query uses
 * a new connection.
 */
final class ServerQueryException extends Exception {

    /** What a failed query shows about the server. */
    enum Evidence {
        /** The server is running and responding. */
        ALIVE,
        /** No process with the server's id runs at its address. */
        ENDED,
        /** The server, the network or this process may be the cause. */
        NONE
    }

    private static final long serialVersionUID = 1;

    private final Evidence evidence;

    ServerQueryException(String message, Evidence evidence) {
        super(message);
        this.evidence = evidence;
    }

    /**
     * Returns whether a query with this failure, or null for none, shows that the server is
     * running.
     */
    static boolean showsServerAlive(Throwable error) {
        return error == null || hasEvidence(error, Evidence.ALIVE);
    }

    /** Returns whether a query with this failure, or null for none, shows that the server ended. */
    static boolean showsServerEnded(Throwable error) {
        return hasEvidence(error, Evidence.ENDED);
    }

    private static boolean hasEvidence(Throwable error, Evidence expected) {
        return error instanceof ServerQueryException query && query.evidence == expected;
    }
}
