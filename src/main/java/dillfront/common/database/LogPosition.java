package dillfront.common.database;

/**
 * A place in the log of a database: TERM.NUMBER. Those of a later term are behind all of an earlier
 * one.
 */
public record LogPosition(long term, long index) implements Comparable<LogPosition> {

    public static final LogPosition NONE = new LogPosition(0, 0);

    /**
     * @return null where the text is no position
     */
    public static LogPosition parse(String text) {
        int dot = text.indexOf('.');
        if (dot < 1 || dot == text.length() - 1 || text.length() > 40) {
            return null;
        }
        try {
            LogPosition position =
                    new LogPosition(
                            Long.parseLong(text.substring(0, dot)),
                            Long.parseLong(text.substring(dot + 1)));
            return position.term < 0 || position.index < 0 ? null : position;
        } catch (NumberFormatException malformed) {
            return null;
        }
    }

    @Override
    public int compareTo(LogPosition other) {
        return term != other.term
                ? Long.compare(term, other.term)
                : Long.compare(index, other.index);
    }

    public boolean covers(LogPosition other) {
        return compareTo(other) >= 0;
    }

    public static LogPosition max(LogPosition a, LogPosition b) {
        return a == null || b != null && b.compareTo(a) > 0 ? b : a;
    }

    @Override
    public String toString() {
        return term + "." + index;
    }
}
