package dillfront.dataplane;

import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;

/**
 * Tracks the bounds of the commits of one service that this data plane has acknowledged.
 *
 * <p>A commit is acknowledged once one replica has received it. As long as that replica is there, a
 * failover finds the commit in its log. A replica that departs takes its log with it, and the
 * commits received by no other replica are on the primary alone. Which of the concurrent commits
 * these are is unknown, so from the departure on a new primary must have all that may have been
 * acknowledged by then: the lower bound rises to the upper bound.
 */
final class AcknowledgedCommitTracker {

    private AcknowledgedCommits commits = AcknowledgedCommits.NONE;

    /** The server that acknowledged the last commit. */
    private String acknowledgedBy = "";

    /** Until this time a departed replica may still receive commits. */
    private long departureEndMillis = Long.MIN_VALUE;

    /** Returns the bounds of all acknowledged commits. */
    AcknowledgedCommits commits() {
        return commits;
    }

    /** Records the bounds that follow from the response of this server to a commit. */
    void onAcknowledged(String serverId, AcknowledgedCommits response, long nowMillis) {
        acknowledgedBy = serverId;
        commits = commits.merge(response);
        if (hasDeparting(nowMillis)) {
            commits = commits.requireUpTo(commits.upperBound());
        }
    }

    /**
     * Requires of a new primary all commits that the departed replica may have received.
     *
     * @param primary the id of the present primary
     * @param primaryPosition the highest known position of the present primary; null if none is
     *     known. If another server acknowledged the last commit, the log of the present primary
     *     holds all commits that were acknowledged before its promotion, and may be shorter than
     *     the upper bound.
     * @param endMillis the time until which the replica may still receive commits
     */
    void onReplicaDeparted(String primary, LogPosition primaryPosition, long endMillis) {
        departureEndMillis = Math.max(departureEndMillis, endMillis);
        if (acknowledgedBy.equals(primary)) {
            commits = commits.requireUpTo(commits.upperBound());
        } else if (primaryPosition != null) {
            commits = commits.requireUpTo(primaryPosition);
        }
    }

    /** Returns whether a departed replica may still receive commits. */
    boolean hasDeparting(long nowMillis) {
        return nowMillis < departureEndMillis;
    }
}
