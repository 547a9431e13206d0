package dillfront.controlplane.consensus;

/**
 * The number of a round of agreement. Rounds are compared first, then proposers, so no two
 * proposers share a ballot. {@link #NONE} is below all.
 *
 * @param proposer the id of the process that leads the round
 */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {

    public static final Ballot NONE = new Ballot(0, "");

    @Override
    public int compareTo(Ballot other) {
        int roundOrder = Long.compare(round, other.round);
        return roundOrder != 0 ? roundOrder : proposer.compareTo(other.proposer);
    }

    boolean isAbove(Ballot other) {
        return compareTo(other) > 0;
    }

    static Ballot max(Ballot a, Ballot b) {
        return a.isAbove(b) ? a : b;
    }

    /** The form on disk and in messages. */
    String encode() {
        return round + " " + proposer;
    }

    /**
     * Reads what {@link #encode} made.
     *
     * @return {@link #NONE} for a text without a blank, the empty one among them
     * @throws NumberFormatException where the round is no number
     */
    public static Ballot parse(String text) {
        int space = text.indexOf(' ');
        return space < 0
                ? NONE
                : new Ballot(Long.parseLong(text.substring(0, space)), text.substring(space + 1));
    }

    @Override
    public String toString() {
        return encode();
    }
}
