package dillfront.router.script;

/** A script is invalid or fails; line and column of the place count from one. */
public final class ScriptError extends Exception {
    private static final long serialVersionUID = 1;

    private final int line;
    private final int column;

    public ScriptError(int line, int column, String fault) {
        super(fault);
        this.line = line;
        this.column = column;
    }

    ScriptError(Token at, String fault) {
        this(at.line(), at.column(), fault);
    }

    public int line() {
        return line;
    }

    public int column() {
        return column;
    }
}
