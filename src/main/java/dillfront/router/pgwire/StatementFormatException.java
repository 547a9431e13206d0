package dillfront.router.pgwire;

/** A query that is not in the clients' form; the connection can go on. */
public final class StatementFormatException extends Exception {

    private static final long serialVersionUID = 1L;

    public StatementFormatException(String fault) {
        super(fault, null, false, false);
    }
}
