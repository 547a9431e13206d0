package dillfront.router.pgwire;

/** Thrown if a query does not have the supported form; the connection stays usable. */
public final class StatementFormatException extends Exception {

    private static final long serialVersionUID = 1L;

    public StatementFormatException(String fault) {
        super(fault, null, false, false);
    }
}
