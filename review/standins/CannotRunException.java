package review;

/** The case could not be played, so nothing is said of the rule. */
final class CannotRunException extends Exception {
    private static final long serialVersionUID = 1;

    CannotRunException(String message) {
        super(message);
    }
}
