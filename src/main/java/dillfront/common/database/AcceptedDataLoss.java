package dillfront.common.database;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Acknowledged commits of a service whose loss an operator has accepted, so that a server whose log
 * lacks them may become primary. The acceptance covers only the loss that the operator was shown:
 * positions after {@code keptUpTo} and up to {@code lostUpTo} are no longer required of any log,
 * newer positions still are.
 *
 * @param moveNumber the number of the record that started the primary move; unique per loss
 * @param logEnd where the longest remaining log ended when the operator was asked
 * @param acknowledged the acknowledged commits that were known at that time
 * @param unreachableServers the servers that were unreachable at that time; this move no longer
 *     waits for them, whatever their logs hold
 * @param keptUpTo no commit up to this position is lost: the end of that log, or of the log of a
 *     later primary
 * @param lostUpTo the last lost position, including the losses of an earlier acceptance that this
 *     one continues
 */
public record AcceptedDataLoss(
        long moveNumber,
        LogPosition logEnd,
        AcknowledgedCommits acknowledged,
        List<String> unreachableServers,
        LogPosition keptUpTo,
        LogPosition lostUpTo) {

    public AcceptedDataLoss {
        unreachableServers = List.copyOf(unreachableServers);
    }

    /**
     * Creates the acceptance of a loss. {@code before} is the loss accepted earlier for this
     * service, or null; its lost positions stay lost.
     */
    public static AcceptedDataLoss accept(
            long move,
            LogPosition log,
            AcknowledgedCommits lacked,
            List<String> servers,
            AcceptedDataLoss before) {
        return new AcceptedDataLoss(
                move,
                log,
                lacked,
                servers,
                log,
                before == null
                        ? lacked.upperBound()
                        : LogPosition.max(before.lostUpTo, lacked.upperBound()));
    }

    /** Returns whether this acceptance answers a question with these values. */
    public boolean matches(
            long ofMove, LogPosition ofLog, AcknowledgedCommits ofLacked, List<String> ofServers) {
        return moveNumber == ofMove
                && logEnd.equals(ofLog)
                && acknowledged.equals(ofLacked)
                && unreachableServers.equals(ofServers);
    }

    /**
     * Returns whether any commit is lost. None is if the primary turned out to hold all of them.
     */
    public boolean losesCommits() {
        return !keptUpTo.covers(lostUpTo);
    }

    /**
     * Returns the loss that remains once a server whose log ends at this position is primary: the
     * commits in its log are not lost.
     */
    public AcceptedDataLoss withLeaderAt(LogPosition end) {
        return new AcceptedDataLoss(
                moveNumber,
                logEnd,
                acknowledged,
                unreachableServers,
                LogPosition.max(keptUpTo, end),
                lostUpTo);
    }

    /**
     * Returns the part of a position that is still required: {@code keptUpTo} for a lost position,
     * else the position itself.
     */
    public LogPosition exclude(LogPosition of) {
        return of != null && !keptUpTo.covers(of) && lostUpTo.covers(of) ? keptUpTo : of;
    }

    public AcknowledgedCommits exclude(AcknowledgedCommits of) {
        return new AcknowledgedCommits(exclude(of.lowerBound()), exclude(of.upperBound()));
    }

    @Override
    public String toString() {
        StringBuilder text =
                new StringBuilder(
                        moveNumber
                                + " "
                                + logEnd
                                + " "
                                + acknowledged
                                + " "
                                + keptUpTo
                                + " "
                                + lostUpTo);
        unreachableServers.forEach(
                id -> text.append(' ').append(URLEncoder.encode(id, StandardCharsets.UTF_8)));
        return text.toString();
    }

    /** Parses the output of {@link #toString()}; returns null for any other text. */
    public static AcceptedDataLoss parse(String text) {
        String[] part = text.split(" ", -1);
        if (part.length < 6 || !part[0].matches("\\d{1,18}")) {
            return null;
        }
        LogPosition log = LogPosition.parse(part[1]);
        LogPosition lowerBound = LogPosition.parse(part[2]);
        LogPosition upperBound = LogPosition.parse(part[3]);
        LogPosition kept = LogPosition.parse(part[4]);
        LogPosition until = LogPosition.parse(part[5]);
        if (log == null
                || lowerBound == null
                || upperBound == null
                || kept == null
                || until == null) {
            return null;
        }
        List<String> servers = new ArrayList<>();
        for (int i = 6; i < part.length; i++) {
            try {
                servers.add(URLDecoder.decode(part[i], StandardCharsets.UTF_8));
            } catch (IllegalArgumentException none) {
                return null;
            }
        }
        return new AcceptedDataLoss(
                Long.parseLong(part[0]),
                log,
                new AcknowledgedCommits(lowerBound, upperBound),
                servers,
                kept,
                until);
    }
}
