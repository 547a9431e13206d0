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
        String word = blank < 0 ? text : text.substring(0, blank);
        String rest = blank < 0 ? "" : text.substring(blank + 1);
        switch (word) {
            case "BEGIN":
                return rest.isEmpty() && blank < 0
                        ? new Statement(Verb.BEGIN, "", "")
                        : rest.equals("READ") ? new Statement(Verb.BEGIN_READ, "", "") : MALFORMED;
            case "COMMIT":
                return blank < 0 ? new Statement(Verb.COMMIT, "", "") : MALFORMED;
            case "ROLLBACK":
                return blank < 0 ? new Statement(Verb.ROLLBACK, "", "") : MALFORMED;
            case "READ":
                return isOneWord(rest) ? new Statement(Verb.READ, "", rest) : MALFORMED;
            case "WRITE":
                return isTwoWords(rest) ? new Statement(Verb.WRITE, "", rest) : MALFORMED;
            case "SET":
                return isTwoWords(rest) ? named(Verb.SET, rest) : MALFORMED;
            case "PREPARE":
                {
                    Statement is = isTwoWords(rest) ? named(Verb.PREPARE, rest) : MALFORMED;
                    int gap = is.arguments().indexOf(' ');
                    boolean shaped =
                            gap > 0
                                    && (is.arguments().startsWith("READ ")
                                            || is.arguments().startsWith("WRITE "));
                    return shaped && isOneWord(is.arguments().substring(gap + 1)) ? is : MALFORMED;
                }
            case "EXECUTE":
                return isTwoWords(rest) ? named(Verb.EXECUTE, rest) : MALFORMED;
            case "DEALLOCATE":
                return isOneWord(rest) ? new Statement(Verb.DEALLOCATE, rest, "") : MALFORMED;
            default:
                return MALFORMED;
        }
    }

    private static boolean isOneWord(String rest) {
        return !rest.isEmpty() && rest.indexOf(' ') < 0;
    }

    private static boolean isTwoWords(String rest) {
        return rest.indexOf(' ') > 0 && rest.indexOf(' ') < rest.length() - 1;
    }

    private static Statement named(Verb verb, String rest) {
        int gap = rest.indexOf(' ');
        return new Statement(verb, rest.substring(0, gap), rest.substring(gap + 1));
    }
}
