package dillfront.router.pgwire;

/** The peer does not speak the protocol; the connection cannot go on. */
public final class FrameException extends Exception {

    private static final long serialVersionUID = 1L;

    public FrameException(String fault) {
        super(fault, null, false, false);
    }
}
