package dillfront.controlplane.failover;

import dillfront.common.database.LogPosition;
import dillfront.common.protocol.ServerStatus;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.primary.MissingCommits;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Stops replication of a service, so that no commit is acknowledged after the successor is chosen.
 * In a planned move the primary steps down; otherwise each replica is paused, and the old primary
 * may turn out to be alive.
 */
final class ReplicationStopper {

    /** Called when a server turns out to be the primary. */
    interface PrimaryFoundListener {

        void onPrimaryFound(String serverId);
    }

    /**
     * Time for a replica to receive the end of the old primary's log, before the longest available
     * log is used.
     */
    private static final long CATCH_UP_TIMEOUT_MS = 2_500;

    private static final long CATCH_UP_QUERY_GAP_MS = 60;

    /** Silence before the loss of the primary after which a server is not waited for. */
    private static final long CONTACT_EXPIRY_MS = 10_000;

    /**
     * Number of unanswered queries after which a server that announced its leave counts as ended.
     */
    private static final int UNANSWERED_QUERIES_WHEN_ENDED = 2;

    private static final long AWAITED_LOG_DELAY_MS = 1_000;

    private final FailoverContext context;
    private final MoveState move;
    private final MoveQueries queries;
    private final PrimaryFoundListener primaryFound;
    private final Runnable poll;
    private long awaitedLoggedMillis = LeaseManager.NEVER_MILLIS;

    ReplicationStopper(
            FailoverContext context,
            MoveState move,
            MoveQueries queries,
            PrimaryFoundListener primaryFound,
            Runnable poll) {
        this.context = context;
        this.move = move;
        this.queries = queries;
        this.primaryFound = primaryFound;
        this.poll = poll;
    }

    /**
     * Advances the stop.
     *
     * @param primary the old primary; null if it is no longer known
     */
    void poll(DatabaseServer primary) {
        if (move.stopsByPause()) {
            pauseReplicas(primary);
        } else if (move.callPending || context.now() < move.nextAttemptMillis) {
            return;
        } else if (!FailoverContext.isPresent(primary)) {
            move.pausesReplicas = true;
        } else if (!move.steppedDown) {
            stepDown(primary);
        } else {
            awaitCatchUp();
        }
    }

    // ---- a planned move

    private void stepDown(DatabaseServer primary) {
        move.callPending = true;
        context.query(
                        primary,
                        FailoverContext.QUERY_TIMEOUT_MS,
                        status -> "STEPDOWN " + status.nextTerm())
                .whenComplete(
                        (status, error) -> {
                            move.callPending = false;
                            move.nextAttemptMillis = context.now() + FailoverContext.RETRY_MS;
                            if (error == null && !status.isPrimary()) {
                                move.steppedDown = true;
                                move.steppedDownMillis = context.now();
                                move.finalPosition = status.position();
                                move.nextAttemptMillis = 0;
                                poll.run();
                            } else if (context.now() > move.startedMillis + CATCH_UP_TIMEOUT_MS) {
                                move.pausesReplicas = true;
                            }
                        });
    }

    /**
     * Waits until a replica has received the old primary's final log position, which the successor
     * must have.
     */
    private void awaitCatchUp() {
        if (context.now() > move.steppedDownMillis + CATCH_UP_TIMEOUT_MS) {
            move.pausesReplicas = true;
            move.stoppedStatuses.clear();
            return;
        }
        for (DatabaseServer replica : replicas()) {
            boolean outOfContact =
                    context.now() - replica.lastContactMillis()
                            > 2 * context.heartbeatIntervalMillis();
            if (!replica.isDraining() && !outOfContact) {
                queries.query(
                        replica,
                        CATCH_UP_QUERY_GAP_MS,
                        null,
                        status -> onCatchUpStatus(replica, status));
            }
        }
    }

    private void onCatchUpStatus(DatabaseServer replica, ServerStatus status) {
        if (status.position().covers(move.finalPosition)
                && move.step == MoveState.Step.STOP_REPLICATION) {
            move.stoppedStatuses.clear();
            move.stoppedStatuses.put(replica.id(), status);
            move.step = MoveState.Step.CHOOSE_SUCCESSOR;
        }
    }

    // ---- a failover

    /** Queries the old primary, which remains the primary if it answers as such. */
    void queryPrimary(DatabaseServer primary) {
        if (FailoverContext.isPresent(primary)) {
            queries.query(
                    primary,
                    FailoverContext.RETRY_MS,
                    null,
                    status -> onPrimaryStatus(primary, status));
        }
    }

    private void pauseReplicas(DatabaseServer primary) {
        boolean primaryPresent = FailoverContext.isPresent(primary);
        queryPrimary(primary);
        if (context.now() < move.nextAttemptMillis) {
            return;
        }
        boolean allStopped = true;
        List<DatabaseServer> replicas = replicas();
        for (DatabaseServer replica : replicas) {
            allStopped &= isStoppedOrExcluded(replica, primary);
        }
        boolean awaitsPrimary =
                move.steppedDown
                        && primaryPresent
                        && !context.hasMissedHeartbeats(primary)
                        && !move.stoppedStatuses.containsKey(primary.id());
        if (allStopped
                && !awaitsPrimary
                && !replicas.isEmpty()
                && !move.stoppedStatuses.isEmpty()) {
            move.step = MoveState.Step.CHOOSE_SUCCESSOR;
            return;
        }
        reportMissingCommits();
        logAwaitedReplicas();
    }

    private void onPrimaryStatus(DatabaseServer primary, ServerStatus status) {
        if (!status.isPrimary() || move.steppedDown) {
            move.stoppedStatuses.put(primary.id(), status);
        } else if (!move.isPromoting() && move.step != MoveState.Step.DRAIN_TRANSACTIONS) {
            // The primary was not lost: it remains the primary, and replicas are resumed.
            context.environment()
                    .trace("primary-alive service=" + move.service() + " primary=" + primary.id());
            primaryFound.onPrimaryFound(primary.id());
        }
    }

    /** Returns whether the move need not wait for this replica; otherwise pauses the replica. */
    private boolean isStoppedOrExcluded(DatabaseServer replica, DatabaseServer primary) {
        if (move.stoppedStatuses.containsKey(replica.id())) {
            return true;
        }
        long lostMillis =
                primary == null
                        ? context.now()
                        : Math.max(primary.lastContactMillis(), move.startedMillis);
        boolean expired = lostMillis - replica.lastContactMillis() > CONTACT_EXPIRY_MS;
        if (expired && !replica.isLeaving() || isExcludedByOperator(replica)) {
            return true;
        }
        boolean hasEnded =
                replica.isLeaving()
                        && queries.unanswered(replica.id()) >= UNANSWERED_QUERIES_WHEN_ENDED;
        move.replicationPaused = true;
        queries.query(
                replica,
                FailoverContext.RETRY_MS,
                this::pauseCommand,
                status -> onReplicaStatus(replica, status));
        return hasEnded;
    }

    /**
     * Returns the PAUSE command. Its term is above the newest term of the service, which a replica
     * that has not received for long does not know.
     */
    private String pauseCommand(ServerStatus status) {
        long acknowledgedTerm =
                context.state().acknowledgedCommits().get(move.service()).upperBound().term();
        move.pauseTerm =
                Math.max(move.pauseTerm, Math.max(status.nextTerm(), acknowledgedTerm + 1));
        return queries.isActive() && context.mayAct() ? "PAUSE " + move.pauseTerm : null;
    }

    private void onReplicaStatus(DatabaseServer replica, ServerStatus status) {
        if (status.isPrimary()) {
            primaryFound.onPrimaryFound(replica.id());
        } else if (status.isPaused()) {
            move.stoppedStatuses.put(replica.id(), status);
        } else {
            // The replica reports no later term, but its service has one, so the PAUSE was ignored.
            // The term is increased until it is high enough.
            move.pauseTerm++;
            queries.cancelPause(replica);
        }
    }

    /**
     * Returns whether an operator excluded the replica from this move. The exclusion ends when the
     * replica is in contact again.
     */
    private boolean isExcludedByOperator(DatabaseServer replica) {
        return move.isLossAccepted()
                && move.record.acceptedLoss().unreachableServers().contains(replica.id())
                && context.hasMissedHeartbeats(replica);
    }

    /**
     * Reports missing commits if all reachable servers are stopped and only servers with a long
     * silence may have more. An operator decides whether to give up on those servers.
     */
    private void reportMissingCommits() {
        List<String> unreachable = new ArrayList<>();
        for (DatabaseServer replica : replicas()) {
            if (move.stoppedStatuses.containsKey(replica.id()) || isExcludedByOperator(replica)) {
                continue;
            }
            long contactMillis = Math.max(replica.lastContactMillis(), context.resumedMillis());
            if (context.now() - contactMillis < CONTACT_EXPIRY_MS) {
                boolean isOutdated =
                        move.missingCommits != null
                                && !move.missingCommits.unreachableServers().isEmpty();
                move.missingCommits = isOutdated ? null : move.missingCommits;
                return;
            }
            unreachable.add(replica.id());
        }
        LogPosition longest = longestLog();
        if (longest != null && !unreachable.isEmpty()) {
            move.missingCommits =
                    new MissingCommits(
                            move.service(),
                            move.record.moveNumber(),
                            longest,
                            move.acknowledged(context.state().acknowledgedCommits()),
                            unreachable,
                            move.record.primary(),
                            move.missingCommits == null
                                    ? context.now()
                                    : move.missingCommits.sinceMillis());
        }
    }

    private LogPosition longestLog() {
        LogPosition longest = null;
        for (Map.Entry<String, ServerStatus> entry : move.stoppedStatuses.entrySet()) {
            if (FailoverContext.isPresent(context.server(entry.getKey()))) {
                longest = LogPosition.max(longest, entry.getValue().position());
            }
        }
        return longest;
    }

    private void logAwaitedReplicas() {
        if (context.now() > move.startedMillis + AWAITED_LOG_DELAY_MS
                && context.now() > awaitedLoggedMillis + CONTACT_EXPIRY_MS) {
            awaitedLoggedMillis = context.now();
            List<String> awaited = new ArrayList<>();
            context.state()
                    .registry()
                    .serversOf(move.service())
                    .forEach(server -> awaited.add(server.id()));
            awaited.removeAll(move.stoppedStatuses.keySet());
            context.environment()
                    .trace(
                            "replicas-not-stopped service="
                                    + move.service()
                                    + " awaited="
                                    + awaited);
        }
    }

    private List<DatabaseServer> replicas() {
        List<DatabaseServer> replicas =
                new ArrayList<>(context.state().registry().serversOf(move.service()));
        replicas.removeIf(server -> server.id().equals(move.record.primary()));
        return replicas;
    }
}
