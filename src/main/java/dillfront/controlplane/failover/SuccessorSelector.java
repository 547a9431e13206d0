package dillfront.controlplane.failover;

import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.common.protocol.ServerStatus;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.primary.MissingCommits;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.List;
import java.util.Map;

/**
 * Chooses the successor of a lost or draining primary: the server with the longest log among those
 * with stopped replication, provided that the log cannot lack an acknowledged commit.
 */
final class SuccessorSelector {

    /**
     * Duration for which replicas resume receiving, if their logs may lack a commit, before they
     * are stopped again.
     */
    private static final long RECEIVE_DURATION_MS = 1_000;

    /** Maximum total wait for a log with commits that were not acknowledged. */
    private static final long MAX_UNACKNOWLEDGED_WAIT_MS = 4_000;

    private static final long LOG_INTERVAL_MS = 10_000;
    private static final long NEVER = -1;

    private final FailoverContext context;
    private final MoveState move;
    private final CommitCoverage coverage;
    private long waitSinceMillis = NEVER;
    private long loggedMillis = LeaseManager.NEVER_MILLIS;

    SuccessorSelector(FailoverContext context, MoveState move) {
        this.context = context;
        this.move = move;
        coverage = new CommitCoverage(context, move);
    }

    /** A server with the end of its log. */
    private record Candidate(String id, LogPosition logEnd, boolean draining) {

        boolean isBetterThan(Candidate other) {
            int comparison = other == null ? 1 : logEnd.compareTo(other.logEnd);
            return comparison > 0 || comparison == 0 && other.draining && !draining;
        }
    }

    /** Chooses a successor, or restarts the stop of replication if no server qualifies. */
    void poll() {
        Candidate best = bestCandidate();
        if (best != null && isBehindRejected(best)) {
            best = null;
        }
        AcknowledgedCommits acknowledged = move.acknowledged(context.state().acknowledgedCommits());
        if (best == null) {
            move.rejectedServers.clear();
            move.restartStopping();
            move.pausesReplicas = true;
            move.nextAttemptMillis = context.now() + FailoverContext.RETRY_MS;
            return;
        }
        CommitCoverage.Verdict verdict = coverage.check(best.logEnd(), acknowledged);
        if (!mayPromote(verdict)) {
            move.rejectedServers.clear();
            onMissingCommits(best.logEnd(), acknowledged, verdict);
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

    /**
     * Returns whether a rejected server, which is not running, has a longer log. The move waits for
     * that server.
     */
    private boolean isBehindRejected(Candidate best) {
        for (String id : move.rejectedServers) {
            ServerStatus status = move.stoppedStatuses.get(id);
            if (status != null && status.position().compareTo(best.logEnd()) > 0) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the log holds all acknowledged commits, and no wait remains. */
    private boolean mayPromote(CommitCoverage.Verdict verdict) {
        switch (verdict) {
            case PROMOTABLE:
                return true;
            case PROMOTABLE_AFTER_WAIT:
                waitSinceMillis = waitSinceMillis < 0 ? context.now() : waitSinceMillis;
                return context.now() > waitSinceMillis + MAX_UNACKNOWLEDGED_WAIT_MS;
            default:
                return false;
        }
    }

    /**
     * Resumes replication for {@link #RECEIVE_DURATION_MS} if no available log is known to contain
     * all acknowledged commits, because the old primary may still reach the replicas although no
     * control process reaches it. Then the replicas are stopped and compared again.
     */
    private void onMissingCommits(
            LogPosition longest, AcknowledgedCommits acknowledged, CommitCoverage.Verdict verdict) {
        logMissingCommits(longest, acknowledged);
        move.missingCommits =
                verdict == CommitCoverage.Verdict.PROMOTABLE_AFTER_WAIT
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

    private void logMissingCommits(LogPosition longest, AcknowledgedCommits acknowledged) {
        if (context.now() - loggedMillis <= LOG_INTERVAL_MS) {
            return;
        }
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
                                + " missing_replicas="
                                + coverage.missingReplicas(longest)
                                + " awaits="
                                + move.record.primary()
                                + " or another server with these commits");
    }
}
