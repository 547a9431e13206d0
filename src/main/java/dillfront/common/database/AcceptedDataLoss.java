package dillfront.common.database;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Acknowledged commits of a service that a person has given up, so that a log without them may
 * lead. It holds for what he was shown and for nothing newer: positions past `kept` up to `until`
 * are asked of no log any more.
 *
 * @param moveNumber the record with which the service began to move: no two losses have the same
 * @param logEnd where the longest log ended that was left when he was asked
 * @param acknowledged what was known to be acknowledged then
 * @param unreachableServers out of reach then, and not waited for any more while this move lasts,
 *     whatever they hold
 * @param keptUpTo no commit up to here is given up: the end of that log, or of the one that leads
 *     since
 * @param lostUpTo the last position that is given up, also by an earlier loss that this one goes on
 *     from
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
     * What a person gives up, beside what was given up of this service before (null for nothing).
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

    /** It is the answer to the same question. */
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

    /** Whether anything is given up: not where what leads turned out to hold all of it. */
    public boolean losesCommits() {
        return !keptUpTo.covers(lostUpTo);
    }

    /** Once a log that ends here leads: what that one holds is not given up. */
    public AcceptedDataLoss withPrimaryLogEnd(LogPosition primaryLogEnd) {
        return new AcceptedDataLoss(
                moveNumber,
                logEnd,
                acknowledged,
                unreachableServers,
                LogPosition.max(keptUpTo, primaryLogEnd),
                lostUpTo);
    }

    /** What of it is not given up. */
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

    /** What toString() wrote; null where it is something else. */
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
