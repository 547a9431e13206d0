package dillfront.router.pgwire;

/** Thrown if the peer violates the protocol; the connection must be closed. */
public final class FrameException extends Exception {

    private static final long serialVersionUID = 1L;

    public FrameException(String fault) {
        super(fault, null, false, false);
    }
}
