package dillfront.common.database;

/**
 * Bounds of the acknowledged commits of a service. A response carries the log position at the time
 * of the response, which may be past the commit itself; the commit lies after every position that
 * was known when it was requested.
 *
 * @param lowerBound an acknowledged commit lies at this position or later: a log that ends before
 *     it lacks that commit
 * @param upperBound no known acknowledged commit lies later: a log of this length lacks none
 */
public record AcknowledgedCommits(LogPosition lowerBound, LogPosition upperBound) {

    public static final AcknowledgedCommits NONE =
            new AcknowledgedCommits(LogPosition.NONE, LogPosition.NONE);

    /**
     * Returns the bounds that follow from one response.
     *
     * @param before the last known log position when the commit was requested
     * @param answered the log position in the response; null if it had none
     */
    public static AcknowledgedCommits ofResponse(LogPosition before, LogPosition answered) {
        LogPosition least =
                before == null
                        ? LogPosition.NONE
                        : new LogPosition(before.term(), before.index() + 1);
        return new AcknowledgedCommits(least, LogPosition.max(least, answered));
    }

    public AcknowledgedCommits merge(AcknowledgedCommits other) {
        return new AcknowledgedCommits(
                LogPosition.max(lowerBound, other.lowerBound),
                LogPosition.max(upperBound, other.upperBound));
    }

    @Override
    public String toString() {
        return lowerBound + " " + upperBound;
    }

    /** Parses the output of {@link #toString()}; returns {@link #NONE} for any other text. */
    public static AcknowledgedCommits parse(String text) {
        int gap = text.indexOf(' ');
        LogPosition least = gap < 0 ? null : LogPosition.parse(text.substring(0, gap));
        LogPosition most = gap < 0 ? null : LogPosition.parse(text.substring(gap + 1));
        return least == null || most == null ? NONE : new AcknowledgedCommits(least, most);
    }
}
