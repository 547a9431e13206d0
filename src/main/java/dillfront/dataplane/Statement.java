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
        int keywordEnd = text.indexOf(' ');
        String keyword = keywordEnd < 0 ? text : text.substring(0, keywordEnd);
        String arguments = keywordEnd < 0 ? "" : text.substring(keywordEnd + 1);
        switch (keyword) {
            case "BEGIN":
                return arguments.isEmpty() && keywordEnd < 0
                        ? new Statement(Verb.BEGIN, "", "")
                        : arguments.equals("READ")
                                ? new Statement(Verb.BEGIN_READ, "", "")
                                : MALFORMED;
            case "COMMIT":
                return keywordEnd < 0 ? new Statement(Verb.COMMIT, "", "") : MALFORMED;
            case "ROLLBACK":
                return keywordEnd < 0 ? new Statement(Verb.ROLLBACK, "", "") : MALFORMED;
            case "READ":
                return isSingleToken(arguments)
                        ? new Statement(Verb.READ, "", arguments)
                        : MALFORMED;
            case "WRITE":
                return hasTwoTokens(arguments)
                        ? new Statement(Verb.WRITE, "", arguments)
                        : MALFORMED;
            case "SET":
                return hasTwoTokens(arguments) ? withName(Verb.SET, arguments) : MALFORMED;
            case "PREPARE":
                {
                    Statement statement =
                            hasTwoTokens(arguments) ? withName(Verb.PREPARE, arguments) : MALFORMED;
                    int separator = statement.arguments().indexOf(' ');
                    boolean isReadOrWrite =
                            separator > 0
                                    && (statement.arguments().startsWith("READ ")
                                            || statement.arguments().startsWith("WRITE "));
                    return isReadOrWrite
                                    && isSingleToken(statement.arguments().substring(separator + 1))
                            ? statement
                            : MALFORMED;
                }
            case "EXECUTE":
                return hasTwoTokens(arguments) ? withName(Verb.EXECUTE, arguments) : MALFORMED;
            case "DEALLOCATE":
                return isSingleToken(arguments)
                        ? new Statement(Verb.DEALLOCATE, arguments, "")
                        : MALFORMED;
            default:
                return MALFORMED;
        }
    }

    private static boolean isSingleToken(String arguments) {
        return !arguments.isEmpty() && arguments.indexOf(' ') < 0;
    }

    private static boolean hasTwoTokens(String arguments) {
        return arguments.indexOf(' ') > 0 && arguments.indexOf(' ') < arguments.length() - 1;
    }

    private static Statement withName(Verb verb, String nameAndArguments) {
        int separator = nameAndArguments.indexOf(' ');
        return new Statement(
                verb,
                nameAndArguments.substring(0, separator),
                nameAndArguments.substring(separator + 1));
    }
}
