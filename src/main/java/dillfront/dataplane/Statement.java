package dillfront.dataplane;

/** The text of a client's QUERY, as far as the front must know it. */
record Statement(Verb verb, String name, String rest) {

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

    private static final Statement BAD = new Statement(Verb.MALFORMED, "", "");

    static Statement of(String text) {
        int blank = text.indexOf(' ');
        String word = blank < 0 ? text : text.substring(0, blank);
        String rest = blank < 0 ? "" : text.substring(blank + 1);
        switch (word) {
            case "BEGIN":
                return rest.isEmpty() && blank < 0
                        ? new Statement(Verb.BEGIN, "", "")
                        : rest.equals("READ") ? new Statement(Verb.BEGIN_READ, "", "") : BAD;
            case "COMMIT":
                return blank < 0 ? new Statement(Verb.COMMIT, "", "") : BAD;
            case "ROLLBACK":
                return blank < 0 ? new Statement(Verb.ROLLBACK, "", "") : BAD;
            case "READ":
                return one(rest) ? new Statement(Verb.READ, "", rest) : BAD;
            case "WRITE":
                return two(rest) ? new Statement(Verb.WRITE, "", rest) : BAD;
            case "SET":
                return two(rest) ? named(Verb.SET, rest) : BAD;
            case "PREPARE":
                {
                    Statement is = two(rest) ? named(Verb.PREPARE, rest) : BAD;
                    int gap = is.rest().indexOf(' ');
                    boolean shaped =
                            gap > 0
                                    && (is.rest().startsWith("READ ")
                                            || is.rest().startsWith("WRITE "));
                    return shaped && one(is.rest().substring(gap + 1)) ? is : BAD;
                }
            case "EXECUTE":
                return two(rest) ? named(Verb.EXECUTE, rest) : BAD;
            case "DEALLOCATE":
                return one(rest) ? new Statement(Verb.DEALLOCATE, rest, "") : BAD;
            default:
                return BAD;
        }
    }

    private static boolean one(String rest) {
        return !rest.isEmpty() && rest.indexOf(' ') < 0;
    }

    private static boolean two(String rest) {
        return rest.indexOf(' ') > 0 && rest.indexOf(' ') < rest.length() - 1;
    }

    private static Statement named(Verb verb, String rest) {
        int gap = rest.indexOf(' ');
        return new Statement(verb, rest.substring(0, gap), rest.substring(gap + 1));
    }
}
