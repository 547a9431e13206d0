package dillfront.routing.simulator;

/** The input is not the simulator's wire; the message names the line and the fault. */
public final class InvalidInputException extends Exception {

    private static final long serialVersionUID = 1L;

    InvalidInputException(int line, String error) {
        super("line " + line + ": " + error);
    }
}
