package dillfront.dataplane;

/** The text of a client's QUERY, as far as the front must know it. */
record Statement(Verb verb, String name, String arguments) {

    enum Verb {
        BEGIN,
        BEGIN_READ,
        COMMIT,
        ROLLBACK,
        READ,
        WRITE,
        SET,
        PREPARE,
        EXECUTE,
        DEALLOCATE,
        MALFORMED
    }

    private static final Statement MALFORMED = new Statement(Verb.MALFORMED, "", "");

    static Statement parse(String text) {
        int blank = text.indexOf(' ');
        String keyword = blank < 0 ? text : text.substring(0, blank);
        String rest = blank < 0 ? "" : text.substring(blank + 1);
        switch (keyword) {
            case "BEGIN":
                return rest.isEmpty() && blank < 0
                        ? new Statement(Verb.BEGIN, "", "")
                        : rest.equals("READ") ? new Statement(Verb.BEGIN_READ, "", "") : MALFORMED;
            case "COMMIT":
                return blank < 0 ? new Statement(Verb.COMMIT, "", "") : MALFORMED;
            case "ROLLBACK":
                return blank < 0 ? new Statement(Verb.ROLLBACK, "", "") : MALFORMED;
            case "READ":
                return isSingleToken(rest) ? new Statement(Verb.READ, "", rest) : MALFORMED;
            case "WRITE":
                return hasTwoTokens(rest) ? new Statement(Verb.WRITE, "", rest) : MALFORMED;
            case "SET":
                return hasTwoTokens(rest) ? withName(Verb.SET, rest) : MALFORMED;
            case "PREPARE":
                {
                    Statement statement =
                            hasTwoTokens(rest) ? withName(Verb.PREPARE, rest) : MALFORMED;
                    int gap = statement.arguments().indexOf(' ');
                    boolean shaped =
                            gap > 0
                                    && (statement.arguments().startsWith("READ ")
                                            || statement.arguments().startsWith("WRITE "));
                    return shaped && isSingleToken(statement.arguments().substring(gap + 1))
                            ? statement
                            : MALFORMED;
                }
            case "EXECUTE":
                return hasTwoTokens(rest) ? withName(Verb.EXECUTE, rest) : MALFORMED;
            case "DEALLOCATE":
                return isSingleToken(rest) ? new Statement(Verb.DEALLOCATE, rest, "") : MALFORMED;
            default:
                return MALFORMED;
        }
    }

    private static boolean isSingleToken(String rest) {
        return !rest.isEmpty() && rest.indexOf(' ') < 0;
    }

    private static boolean hasTwoTokens(String rest) {
        return rest.indexOf(' ') > 0 && rest.indexOf(' ') < rest.length() - 1;
    }

    private static Statement withName(Verb verb, String rest) {
        int gap = rest.indexOf(' ');
        return new Statement(verb, rest.substring(0, gap), rest.substring(gap + 1));
    }
}
