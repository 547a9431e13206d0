package dillfront.controlplane.consensus;

/** The number of a proposal: rounds go first, and no two proposers share one. NONE is below all. */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {

    public static final Ballot NONE = new Ballot(0, "");

    @Override
    public int compareTo(Ballot other) {
        int rounds = Long.compare(round, other.round);
        return rounds != 0 ? rounds : proposer.compareTo(other.proposer);
    }

    boolean isAbove(Ballot other) {
        return compareTo(other) > 0;
    }

    static Ballot max(Ballot a, Ballot b) {
        return a.isAbove(b) ? a : b;
    }

    String encode() {
        return round + " " + proposer;
    }

    /** As it stands on the disk or in a message; NONE for an empty text. */
    public static Ballot parse(String text) {
        int blank = text.indexOf(' ');
        return blank < 0
                ? NONE
                : new Ballot(Long.parseLong(text.substring(0, blank)), text.substring(blank + 1));
    }

    @Override
    public String toString() {
        return encode();
    }
}
