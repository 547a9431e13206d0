package dillfront.common.database;

/**
 * What is known of a service's acknowledged commits. An answer tells how far the log was when it
 * was given, which may be past the commit that it answers; but that commit stands behind all that
 * the log was known to hold when it was asked for.
 *
 * @param lowerBound an acknowledged commit stands here, or further: a log that ends before lacks it
 * @param upperBound no acknowledged commit that is known of stands further: a log that is as long
 *     lacks none
 */
public record AcknowledgedCommits(LogPosition lowerBound, LogPosition upperBound) {

    public static final AcknowledgedCommits NONE =
            new AcknowledgedCommits(LogPosition.NONE, LogPosition.NONE);

    /**
     * Of one answer.
     *
     * @param requestPosition how far the log was known to be when the commit was asked for
     * @param responsePosition the position that came with the answer; null where none did
     */
    public static AcknowledgedCommits ofResponse(
            LogPosition requestPosition, LogPosition responsePosition) {
        LogPosition lowerBound =
                requestPosition == null
                        ? LogPosition.NONE
                        : new LogPosition(requestPosition.term(), requestPosition.index() + 1);
        return new AcknowledgedCommits(lowerBound, LogPosition.max(lowerBound, responsePosition));
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

    /** What toString() wrote; NONE where it is something else. */
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
