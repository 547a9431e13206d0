package dillfront.router.pgwire;

/** A query that is not in the clients' form; the connection can go on. */
public final class BadStatement extends Exception {

    private static final long serialVersionUID = 1L;

    public BadStatement(String fault) {
        super(fault, null, false, false);
    }
}
