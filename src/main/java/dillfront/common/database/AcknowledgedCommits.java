package dillfront.common.database;

/**
 * Bounds of the acknowledged commits of a service. A response carries the log position at the time
 * of the response, which may be past the commit itself; the commit lies after every position that
 * was known when it was requested. Concurrent commits therefore share a lower bound, and a log that
 * ends between the bounds may lack some of them.
 *
 * @param lowerBound the position that the log of a new primary must reach: a log that ends before
 *     it lacks an acknowledged commit, or may lack one that only a departed replica had received
 * @param upperBound no known acknowledged commit lies later: a log of this length lacks none
 */
public record AcknowledgedCommits(LogPosition lowerBound, LogPosition upperBound) {

    /**
     * The number of heartbeat intervals for which a server that left may still receive commits, and
     * within which the data planes learn of its departure.
     */
    public static final int DEPARTURE_HEARTBEAT_INTERVALS = 3;

    public static final AcknowledgedCommits NONE =
            new AcknowledgedCommits(LogPosition.NONE, LogPosition.NONE);

    /**
     * Returns the bounds that follow from one response.
     *
     * @param requestPosition the last known log position when the commit was requested
     * @param responsePosition the log position in the response; null if it had none
     */
    public static AcknowledgedCommits ofResponse(
            LogPosition requestPosition, LogPosition responsePosition) {
        LogPosition lowerBound =
                requestPosition == null
                        ? LogPosition.NONE
                        : new LogPosition(requestPosition.term(), requestPosition.index() + 1);
        return new AcknowledgedCommits(lowerBound, LogPosition.max(lowerBound, responsePosition));
    }

    /**
     * Returns bounds whose lower bound is at least this position, or the upper bound if that is
     * earlier.
     */
    public AcknowledgedCommits requireUpTo(LogPosition position) {
        LogPosition required = upperBound.covers(position) ? position : upperBound;
        return new AcknowledgedCommits(LogPosition.max(lowerBound, required), upperBound);
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
        int separator = text.indexOf(' ');
        LogPosition lowerBound =
                separator < 0 ? null : LogPosition.parse(text.substring(0, separator));
        LogPosition upperBound =
                separator < 0 ? null : LogPosition.parse(text.substring(separator + 1));
        return lowerBound == null || upperBound == null
                ? NONE
                : new AcknowledgedCommits(lowerBound, upperBound);
    }
}
