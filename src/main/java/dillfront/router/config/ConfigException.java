package dillfront.router.config;

/** Thrown if the configuration is invalid; the message names the fault. */
public final class ConfigException extends Exception {

    private static final long serialVersionUID = 1L;

    public ConfigException(String fault) {
        super(fault);
    }
}
