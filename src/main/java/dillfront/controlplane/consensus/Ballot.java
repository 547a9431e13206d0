package dillfront.controlplane.consensus;

/**
 * Identifies a round. Ballots are ordered by round and then by proposer, so two proposers never
 * share a ballot. {@link #NONE} is below all others.
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

    /** Returns the text format that is used on disk and in messages. */
    String encode() {
        return round + " " + proposer;
    }

    /**
     * Parses the result of {@link #encode}.
     *
     * @return {@link #NONE} for a text without a space, including the empty text
     * @throws NumberFormatException if the round is not a number
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
