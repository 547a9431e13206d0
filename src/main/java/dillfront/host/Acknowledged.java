package dillfront.host;

/**
 * What is known of a service's acknowledged commits. An answer tells how far the log was when it
 * was given, which may be past the commit that it answers; but that commit stands behind all that
 * the log was known to hold when it was asked for.
 *
 * @param least an acknowledged commit stands here, or further: a log that ends before lacks it
 * @param most no acknowledged commit that is known of stands further: a log that is as long lacks
 *     none
 */
public record Acknowledged(Position least, Position most) {

    public static final Acknowledged NONE = new Acknowledged(Position.NONE, Position.NONE);

    /**
     * Of one answer.
     *
     * @param before how far the log was known to be when the commit was asked for
     * @param answered the position that came with the answer; null where none did
     */
    public static Acknowledged of(Position before, Position answered) {
        Position least =
                before == null ? Position.NONE : new Position(before.term(), before.number() + 1);
        return new Acknowledged(least, Position.later(least, answered));
    }

    public Acknowledged and(Acknowledged other) {
        return new Acknowledged(
                Position.later(least, other.least), Position.later(most, other.most));
    }

    @Override
    public String toString() {
        return least + " " + most;
    }

    /** What toString() wrote; NONE where it is something else. */
    public static Acknowledged of(String text) {
        int gap = text.indexOf(' ');
        Position least = gap < 0 ? null : Position.of(text.substring(0, gap));
        Position most = gap < 0 ? null : Position.of(text.substring(gap + 1));
        return least == null || most == null ? NONE : new Acknowledged(least, most);
    }
}
