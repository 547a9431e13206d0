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
     * Creates the acceptance of a loss. {@code previous} is the loss accepted earlier for this
     * service, or null; its lost positions stay lost.
     */
    public static AcceptedDataLoss accept(
            long moveNumber,
            LogPosition logEnd,
            AcknowledgedCommits acknowledged,
            List<String> unreachableServers,
            AcceptedDataLoss previous) {
        return new AcceptedDataLoss(
                moveNumber,
                logEnd,
                acknowledged,
                unreachableServers,
                logEnd,
                previous == null
                        ? acknowledged.upperBound()
                        : LogPosition.max(previous.lostUpTo, acknowledged.upperBound()));
    }

    /** Returns whether this acceptance answers a question with these values. */
    public boolean matches(
            long otherMoveNumber,
            LogPosition otherLogEnd,
            AcknowledgedCommits otherAcknowledged,
            List<String> otherUnreachableServers) {
        return moveNumber == otherMoveNumber
                && logEnd.equals(otherLogEnd)
                && acknowledged.equals(otherAcknowledged)
                && unreachableServers.equals(otherUnreachableServers);
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
    public AcceptedDataLoss withPrimaryLogEnd(LogPosition primaryLogEnd) {
        return new AcceptedDataLoss(
                moveNumber,
                logEnd,
                acknowledged,
                unreachableServers,
                LogPosition.max(keptUpTo, primaryLogEnd),
                lostUpTo);
    }

    /**
     * Returns the part of a position that is still required: {@code keptUpTo} for a lost position,
     * else the position itself.
     */
    public LogPosition exclude(LogPosition original) {
        return original != null && !keptUpTo.covers(original) && lostUpTo.covers(original)
                ? keptUpTo
                : original;
    }

    public AcknowledgedCommits exclude(AcknowledgedCommits original) {
        return new AcknowledgedCommits(
                exclude(original.lowerBound()), exclude(original.upperBound()));
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
        String[] fields = text.split(" ", -1);
        if (fields.length < 6 || !fields[0].matches("\\d{1,18}")) {
            return null;
        }
        LogPosition logEnd = LogPosition.parse(fields[1]);
        LogPosition lowerBound = LogPosition.parse(fields[2]);
        LogPosition upperBound = LogPosition.parse(fields[3]);
        LogPosition keptUpTo = LogPosition.parse(fields[4]);
        LogPosition lostUpTo = LogPosition.parse(fields[5]);
        if (logEnd == null
                || lowerBound == null
                || upperBound == null
                || keptUpTo == null
                || lostUpTo == null) {
            return null;
        }
        List<String> servers = new ArrayList<>();
        for (int i = 6; i < fields.length; i++) {
            try {
                servers.add(URLDecoder.decode(fields[i], StandardCharsets.UTF_8));
            } catch (IllegalArgumentException malformed) {
                return null;
            }
        }
        return new AcceptedDataLoss(
                Long.parseLong(fields[0]),
                logEnd,
                new AcknowledgedCommits(lowerBound, upperBound),
                servers,
                keptUpTo,
                lostUpTo);
    }
}
