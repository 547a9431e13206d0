package dillfront.controlplane.failover;

import dillfront.common.config.Configuration;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.primary.MissingCommits;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.List;
import java.util.Map;

/**
 * Chooses the successor of a lost or draining primary: the longest log among the servers that are
 * stopped, where no acknowledged commit can be missing from it.
 */
final class SuccessorSelector {

    /** Where logs may lack a commit, they receive for so long before they are stopped again. */
    private static final long RECEIVE_DURATION_MS = 1_000;

    /** Where it is not known whether they do, for so long altogether. */
    private static final long MAX_UNCERTAIN_WAIT_MS = 4_000;

    private static final long LOG_INTERVAL_MS = 10_000;
    private static final long NEVER = -1;

    private final FailoverContext context;
    private final MoveState move;
    private long uncertainSinceMillis = NEVER;
    private long loggedMillis = LeaseManager.NEVER_MILLIS;

    SuccessorSelector(FailoverContext context, MoveState move) {
        this.context = context;
        this.move = move;
    }

    /** A server with its log. */
    private record Candidate(String id, LogPosition logEnd, boolean draining) {

        boolean isBetterThan(Candidate other) {
            int comparison = other == null ? 1 : logEnd.compareTo(other.logEnd);
            return comparison > 0 || comparison == 0 && other.draining && !draining;
        }
    }

    /** Chooses, or has replication stopped again where none can be chosen. */
    void poll() {
        Candidate best = bestCandidate();
        if (best != null && isBehindRejected(best)) {
            best = null;
        }
        AcknowledgedCommits acknowledged = move.acknowledged(context.state().acknowledgedCommits());
        if (best != null && !holdsAll(best.logEnd(), acknowledged)) {
            move.rejectedServers.clear();
            onMissingCommits(best.logEnd(), acknowledged);
            return;
        }
        if (best == null) {
            move.rejectedServers.clear();
            move.restartStopping();
            move.pausesReplicas = true;
            move.nextAttemptMillis = context.now() + FailoverContext.RETRY_MS;
            return;
        }
        move.missingCommits = null;
        move.successor = best.id();
        move.fencingToken = context.nextFencingToken();
        move.reportedPrimaryBeforePromotion = context.server(best.id()).isPrimary();
        move.step = MoveState.Step.PROMOTE;
    }

    private Candidate bestCandidate() {
        Candidate best = null;
        for (Map.Entry<String, ServerStatus> entry : move.stoppedStatuses.entrySet()) {
            DatabaseServer server = context.server(entry.getKey());
            if (FailoverContext.isPresent(server) && !move.rejectedServers.contains(server.id())) {
                Candidate candidate =
                        new Candidate(
                                server.id(), entry.getValue().position(), server.isDraining());
                best = candidate.isBetterThan(best) ? candidate : best;
            }
        }
        return best;
    }

    /** A server that does not run may hold more than the others: it is waited for. */
    private boolean isBehindRejected(Candidate best) {
        for (String id : move.rejectedServers) {
            ServerStatus status = move.stoppedStatuses.get(id);
            if (status != null && status.position().compareTo(best.logEnd()) > 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether a server with this log may be promoted: it lacks no acknowledged commit that any data
     * plane in contact, or gone since, knows of.
     */
    private boolean holdsAll(LogPosition logEnd, AcknowledgedCommits acknowledged) {
        Configuration.Service service =
                context.state().register().committedConfiguration().services().get(move.service());
        if (service != null && service.synchronousReplicas() == 0) {
            return true;
        }
        if (!logEnd.covers(acknowledged.lowerBound())) {
            return false;
        }
        if (logEnd.covers(acknowledged.upperBound())
                || move.finalPosition == null && !lacksReplica()) {
            return true;
        }
        uncertainSinceMillis = uncertainSinceMillis < 0 ? context.now() : uncertainSinceMillis;
        return context.now() > uncertainSinceMillis + MAX_UNCERTAIN_WAIT_MS;
    }

    /**
     * Whether a replica that counted for commits a moment before the primary was lost is not among
     * those that are stopped.
     */
    private boolean lacksReplica() {
        for (DatabaseServer server : context.state().registry().all()) {
            boolean counted =
                    !server.hasLeft()
                            || move.startedMillis - server.lastContactMillis()
                                    < 3 * context.heartbeatIntervalMillis();
            if (counted
                    && server.service().equals(move.service())
                    && !server.id().equals(move.record.primary())
                    && !move.stoppedStatuses.containsKey(server.id())) {
                return true;
            }
        }
        return false;
    }

    /**
     * No log that is left is known to hold all that was acknowledged: the replicas receive for a
     * while, in case the old primary reaches them though no control process reaches it; then they
     * are stopped and looked at again.
     */
    private void onMissingCommits(LogPosition longest, AcknowledgedCommits acknowledged) {
        if (context.now() - loggedMillis > LOG_INTERVAL_MS) {
            loggedMillis = context.now();
            context.environment()
                    .warn(
                            "commits-missing service="
                                    + move.service()
                                    + " longest_log="
                                    + longest
                                    + " acknowledged="
                                    + acknowledged.lowerBound()
                                    + ".."
                                    + acknowledged.upperBound()
                                    + " awaits="
                                    + move.record.primary()
                                    + ", or another server that has them");
        }
        // Behind the lower bound only commits can be missing that were under way together; those
        // are waited for no longer than MAX_UNSURE_MS.
        move.missingCommits =
                longest.covers(acknowledged.lowerBound())
                        ? null
                        : new MissingCommits(
                                move.service(),
                                move.record.moveNumber(),
                                longest,
                                acknowledged,
                                List.of(),
                                move.record.primary(),
                                move.missingCommits == null
                                        ? context.now()
                                        : move.missingCommits.sinceMillis());
        for (DatabaseServer server : context.state().registry().serversOf(move.service())) {
            context.query(server, FailoverContext.QUERY_TIMEOUT_MS, ReplicaResumer::resumeCommand);
        }
        move.restartStopping();
        move.pausesReplicas = true;
        move.nextAttemptMillis = context.now() + RECEIVE_DURATION_MS;
    }
}
