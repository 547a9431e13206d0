package dillfront.controlplane.failover;

import dillfront.common.config.Configuration;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.common.protocol.ServerStatus;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides whether a log holds all acknowledged commits, so that its server may be promoted.
 *
 * <p>A commit is acknowledged once one replica has received it. If all replicas that can have
 * received commits are stopped, the longest log therefore holds all acknowledged commits. If one of
 * them is missing, its log may be longer than all that are left, and a log must reach the upper
 * bound that the data planes report. No elapsed time replaces either proof.
 */
final class CommitCoverage {

    /** The result of a check. */
    enum Verdict {
        /** The log holds all acknowledged commits. */
        PROMOTABLE,
        /**
         * The log holds all acknowledged commits, but ends before the log of the primary that
         * stepped down. It is promoted if no longer log turns up soon.
         */
        PROMOTABLE_AFTER_WAIT,
        /** The log lacks an acknowledged commit, or may lack one. */
        INCOMPLETE
    }

    private final FailoverContext context;
    private final MoveState move;

    CommitCoverage(FailoverContext context, MoveState move) {
        this.context = context;
        this.move = move;
    }

    /**
     * Checks the longest log of the stopped servers.
     *
     * @param acknowledged the commits known to any data plane, connected or disconnected since
     */
    Verdict check(LogPosition logEnd, AcknowledgedCommits acknowledged) {
        if (!replicatesSynchronously()) {
            return Verdict.PROMOTABLE;
        }
        if (hasUnprovenDeparture(logEnd)) {
            return Verdict.INCOMPLETE;
        }
        if (logEnd.covers(acknowledged.upperBound())) {
            return Verdict.PROMOTABLE;
        }
        if (!logEnd.covers(acknowledged.lowerBound()) || !missingReplicas(logEnd).isEmpty()) {
            return Verdict.INCOMPLETE;
        }
        return move.finalPosition == null ? Verdict.PROMOTABLE : Verdict.PROMOTABLE_AFTER_WAIT;
    }

    /**
     * Returns whether a replica has left that may have taken the only copy of an acknowledged
     * commit along. The data plane that acknowledged the commit may be gone too, so the bounds that
     * data planes report are no proof. The log of a primary that stepped down is one.
     */
    private boolean hasUnprovenDeparture(LogPosition logEnd) {
        if (move.finalPosition != null && logEnd.covers(move.finalPosition)) {
            return false;
        }
        return context.state().registry().knownServersOf(move.service()).stream()
                .anyMatch(server -> isUnprovenDeparture(server, logEnd));
    }

    private boolean isUnprovenDeparture(DatabaseServer server, LogPosition logEnd) {
        ServerStatus stopped = move.stoppedStatuses.get(server.id());
        return server.hasLeft()
                && !server.id().equals(move.record.primary())
                && !context.departures().isProven(server)
                && !move.isLossAccepted()
                && (stopped == null || !logEnd.covers(stopped.position()));
    }

    /** Returns whether the service acknowledges a commit only after a replica has received it. */
    private boolean replicatesSynchronously() {
        Configuration.Service service =
                context.state().register().committedConfiguration().services().get(move.service());
        return service == null || service.synchronousReplicas() != 0;
    }

    /** Returns the ids of the replicas that may have received commits past the end of this log. */
    List<String> missingReplicas(LogPosition logEnd) {
        List<String> missing = new ArrayList<>();
        for (DatabaseServer server : context.state().registry().knownServersOf(move.service())) {
            if (!server.id().equals(move.record.primary()) && isMissing(server, logEnd)) {
                missing.add(server.id());
            }
        }
        return missing;
    }

    private boolean isMissing(DatabaseServer server, LogPosition logEnd) {
        ServerStatus stopped = move.stoppedStatuses.get(server.id());
        if (stopped == null) {
            // The data planes know of a departure once the server has ended, and the lower bound
            // covers what they had acknowledged before.
            return !context.hasEnded(server) || isUnprovenDeparture(server, logEnd);
        }
        return !logEnd.covers(stopped.position());
    }
}
