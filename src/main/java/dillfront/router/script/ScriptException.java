package dillfront.router.script;

/** What is wrong with a script, and where: lines and columns count from one. */
public final class ScriptException extends Exception {
    private static final long serialVersionUID = 1;

    private final int line;
    private final int column;

    public ScriptException(int line, int column, String message) {
        super(message);
        this.line = line;
        this.column = column;
    }

    ScriptException(Token token, String message) {
        this(token.line(), token.column(), message);
    }

    public int line() {
        return line;
    }

    public int column() {
        return column;
    }
}
