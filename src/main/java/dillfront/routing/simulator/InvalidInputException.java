package dillfront.routing.simulator;

/** Thrown for input that violates the simulator's protocol; the message names line and error. */
public final class InvalidInputException extends Exception {

    private static final long serialVersionUID = 1L;

    InvalidInputException(int line, String error) {
        super("line " + line + ": " + error);
    }
}
