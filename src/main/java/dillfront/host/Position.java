package dillfront.host;

/**
 * A place in the log of a database: TERM.NUMBER. Those of a later term are behind all of an earlier
 * one.
 */
public record Position(long term, long number) implements Comparable<Position> {

    public static final Position NONE = new Position(0, 0);

    /**
     * @return null where the text is no position
     */
    public static Position of(String text) {
        int dot = text.indexOf('.');
        if (dot < 1 || dot == text.length() - 1 || text.length() > 40) {
            return null;
        }
        try {
            Position is =
                    new Position(
                            Long.parseLong(text.substring(0, dot)),
                            Long.parseLong(text.substring(dot + 1)));
            return is.term < 0 || is.number < 0 ? null : is;
        } catch (NumberFormatException none) {
            return null;
        }
    }

    @Override
    public int compareTo(Position other) {
        return term != other.term
                ? Long.compare(term, other.term)
                : Long.compare(number, other.number);
    }

    public boolean covers(Position other) {
        return compareTo(other) >= 0;
    }

    public static Position later(Position a, Position b) {
        return a == null || b != null && b.compareTo(a) > 0 ? b : a;
    }

    @Override
    public String toString() {
        return term + "." + number;
    }
}
