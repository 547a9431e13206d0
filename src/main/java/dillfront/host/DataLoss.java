package dillfront.host;

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
 * @param move the record with which the service began to move: no two losses have the same
 * @param log where the longest log ended that was left when he was asked
 * @param lacked what was known to be acknowledged then
 * @param servers out of reach then, and not waited for any more while this move lasts, whatever
 *     they hold
 * @param kept no commit up to here is given up: the end of that log, or of the one that leads since
 * @param until the last position that is given up, also by an earlier loss that this one goes on
 *     from
 */
public record DataLoss(
        long move,
        Position log,
        Acknowledged lacked,
        List<String> servers,
        Position kept,
        Position until) {

    public DataLoss {
        servers = List.copyOf(servers);
    }

    /**
     * What a person gives up, beside what was given up of this service before (null for nothing).
     */
    public static DataLoss of(
            long move, Position log, Acknowledged lacked, List<String> servers, DataLoss before) {
        return new DataLoss(
                move,
                log,
                lacked,
                servers,
                log,
                before == null ? lacked.most() : Position.later(before.until, lacked.most()));
    }

    /** It is the answer to the same question. */
    public boolean same(
            long ofMove, Position ofLog, Acknowledged ofLacked, List<String> ofServers) {
        return move == ofMove
                && log.equals(ofLog)
                && lacked.equals(ofLacked)
                && servers.equals(ofServers);
    }

    /** Whether anything is given up: not where what leads turned out to hold all of it. */
    public boolean any() {
        return !kept.covers(until);
    }

    /** Once a log that ends here leads: what that one holds is not given up. */
    public DataLoss leads(Position end) {
        return new DataLoss(move, log, lacked, servers, Position.later(kept, end), until);
    }

    /** What of it is not given up. */
    public Position without(Position of) {
        return of != null && !kept.covers(of) && until.covers(of) ? kept : of;
    }

    public Acknowledged without(Acknowledged of) {
        return new Acknowledged(without(of.least()), without(of.most()));
    }

    @Override
    public String toString() {
        StringBuilder text =
                new StringBuilder(move + " " + log + " " + lacked + " " + kept + " " + until);
        servers.forEach(
                id -> text.append(' ').append(URLEncoder.encode(id, StandardCharsets.UTF_8)));
        return text.toString();
    }

    /** What toString() wrote; null where it is something else. */
    public static DataLoss of(String text) {
        String[] part = text.split(" ", -1);
        if (part.length < 6 || !part[0].matches("\\d{1,18}")) {
            return null;
        }
        Position log = Position.of(part[1]);
        Position least = Position.of(part[2]);
        Position most = Position.of(part[3]);
        Position kept = Position.of(part[4]);
        Position until = Position.of(part[5]);
        if (log == null || least == null || most == null || kept == null || until == null) {
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
        return new DataLoss(
                Long.parseLong(part[0]), log, new Acknowledged(least, most), servers, kept, until);
    }
}
