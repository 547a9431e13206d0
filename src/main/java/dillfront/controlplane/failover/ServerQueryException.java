package dillfront.controlplane.failover;

/** A database server gave no status. May be retried: each query is a new connection. */
final class ServerQueryException extends Exception {

    private static final long serialVersionUID = 1;

    private final boolean serverAlive;

    /**
     * @param serverAlive the server runs and answers, but not this, or not now
     */
    ServerQueryException(String message, boolean serverAlive) {
        super(message);
        this.serverAlive = serverAlive;
    }

    boolean isServerAlive() {
        return serverAlive;
    }

    /** Whether a query that ended with this fault, or with none, shows that the server runs. */
    static boolean showsServerAlive(Throwable error) {
        return error == null
                || error instanceof ServerQueryException query && query.isServerAlive();
    }
}
