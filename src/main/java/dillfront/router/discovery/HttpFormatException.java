package dillfront.router.discovery;

/** Thrown if an HTTP response is malformed; the rest of the stream cannot be read either. */
public final class HttpFormatException extends Exception {

    private static final long serialVersionUID = 1L;

    public HttpFormatException(String fault) {
        super(fault, null, false, false);
    }
}
