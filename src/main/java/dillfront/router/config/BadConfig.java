package dillfront.router.config;

/** The configuration cannot be used; the message names the fault. */
public final class BadConfig extends Exception {

    private static final long serialVersionUID = 1L;

    public BadConfig(String fault) {
        super(fault);
    }
}
