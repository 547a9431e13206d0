package dillfront.router.script;

/**
 * One lexical token of a script.
 *
 * @param text the source text; for a string, its value without quotes and escapes
 */
record Token(Kind kind, String text, int line, int column) {

    enum Kind {
        NAME,
        NUMBER,
        STRING,
        OPERATOR,
        NEWLINE,
        INDENT,
        DEDENT,
        END
    }

    boolean matches(String expected) {
        return (kind == Kind.OPERATOR || kind == Kind.NAME) && text.equals(expected);
    }

    /** Returns the description for error messages. */
    String describe() {
        return switch (kind) {
            case NEWLINE -> "the end of the line";
            case INDENT -> "an indented line";
            case DEDENT -> "a line further left";
            case END -> "the end of the file";
            case STRING -> "a string";
            default -> "'" + text + "'";
        };
    }
}
