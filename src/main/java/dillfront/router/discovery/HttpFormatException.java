package dillfront.router.discovery;

/** The answer cannot be read, nor what comes behind it. */
public final class HttpFormatException extends Exception {

    private static final long serialVersionUID = 1L;

    public HttpFormatException(String fault) {
        super(fault, null, false, false);
    }
}
