package dillfront.routing.simulator;

/** The input is not the simulator's wire; the message names the line and the fault. */
public final class BadInput extends Exception {

    private static final long serialVersionUID = 1L;

    BadInput(int line, String fault) {
        super("line " + line + ": " + fault);
    }
}
