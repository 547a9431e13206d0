package dillfront.controlplane.failover;

/**
 * Thrown if a database server returns no status. The query may be retried, because each query uses
 * a new connection.
 */
final class ServerQueryException extends Exception {

    private static final long serialVersionUID = 1;

    private final boolean serverAlive;

    /**
     * Creates an exception.
     *
     * @param serverAlive whether the server is running and responding, although the query failed
     */
    ServerQueryException(String message, boolean serverAlive) {
        super(message);
        this.serverAlive = serverAlive;
    }

    boolean isServerAlive() {
        return serverAlive;
    }

    /**
     * Returns whether a query with this failure, or null for none, shows that the server is
     * running.
     */
    static boolean showsServerAlive(Throwable error) {
        return error == null
                || error instanceof ServerQueryException query && query.isServerAlive();
    }
}
