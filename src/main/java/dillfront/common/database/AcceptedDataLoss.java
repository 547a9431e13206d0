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

    /** It is the answer to the same question. */
    public boolean matches(
            long ofMove, LogPosition ofLog, AcknowledgedCommits ofLacked, List<String> ofServers) {
        return moveNumber == ofMove
                && logEnd.equals(ofLog)
                && acknowledged.equals(ofLacked)
                && unreachableServers.equals(ofServers);
    }

    /** Whether anything is given up: not where what leads turned out to hold all of it. */
    public boolean losesCommits() {
        return !keptUpTo.covers(lostUpTo);
    }

    /** Once a log that ends here leads: what that one holds is not given up. */
    public AcceptedDataLoss withPrimaryLogEnd(LogPosition end) {
        return new AcceptedDataLoss(
                moveNumber,
                logEnd,
                acknowledged,
                unreachableServers,
                LogPosition.max(keptUpTo, end),
                lostUpTo);
    }

    /** What of it is not given up. */
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

    /** What toString() wrote; null where it is something else. */
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
