package dillfront.router.script;

/**
 * One word of a script.
 *
 * @param text as it stands there; of a string, what it says
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

    /** As an error names it. */
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
