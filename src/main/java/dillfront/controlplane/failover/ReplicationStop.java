package dillfront.controlplane.failover;

import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.database.LogPosition;
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
final class ReplicationStop {

    /** Called when a server turns out to be the primary. */
    interface PrimaryFound {

        void onPrimaryFound(String serverId);
    }

    /**
     * Time for a replica to receive the end of the old primary's log, before the longest available
     * log is used.
     */
    private static final long CATCH_UP_MS = 2_500;

    private static final long CATCH_UP_QUERY_GAP_MS = 60;

    /** Silence before the loss of the primary after which a server is not waited for. */
    private static final long EXPIRED_AFTER_MS = 10_000;

    /**
     * Number of unanswered queries after which a server that announced its leave counts as ended.
     */
    private static final int ENDED_AFTER_QUERIES = 2;

    private static final long LOG_WAIT_AFTER_MS = 1_000;

    private final FailoverContext context;
    private final MoveState move;
    private final MoveQueries queries;
    private final PrimaryFound primaryFound;
    private final Runnable poll;
    private long waitLoggedMillis = LeaseManager.NEVER;

    ReplicationStop(
            FailoverContext context,
            MoveState move,
            MoveQueries queries,
            PrimaryFound primaryFound,
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
        if (!move.planned || move.forced) {
            pauseReplicas(primary);
        } else if (move.busy || context.now() < move.retryMillis) {
            return;
        } else if (!FailoverContext.isPresent(primary)) {
            move.forced = true;
        } else if (!move.steppedDown) {
            stepDown(primary);
        } else {
            awaitCatchUp();
        }
    }

    // ---- a planned move

    private void stepDown(DatabaseServer primary) {
        move.busy = true;
        context.query(
                        primary,
                        FailoverContext.QUERY_TIMEOUT_MS,
                        status -> "STEPDOWN " + status.nextTerm())
                .whenComplete(
                        (status, fault) -> {
                            move.busy = false;
                            move.retryMillis = context.now() + FailoverContext.RETRY_MS;
                            if (fault == null && !status.isPrimary()) {
                                move.steppedDown = true;
                                move.steppedDownMillis = context.now();
                                move.finalPosition = status.position();
                                move.retryMillis = 0;
                                poll.run();
                            } else if (context.now() > move.sinceMillis + CATCH_UP_MS) {
                                move.forced = true;
                            }
                        });
    }

    /**
     * Waits until a replica has received the old primary's final log position, which the successor
     * must have.
     */
    private void awaitCatchUp() {
        if (context.now() > move.steppedDownMillis + CATCH_UP_MS) {
            move.forced = true;
            move.statuses.clear();
            return;
        }
        for (DatabaseServer replica : replicas()) {
            boolean quiet =
                    context.now() - replica.lastContactMillis()
                            > 2 * context.heartbeatIntervalMillis();
            if (!replica.isDraining() && !quiet) {
                queries.ask(
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
            move.statuses.clear();
            move.statuses.put(replica.id(), status);
            move.step = MoveState.Step.CHOOSE_SUCCESSOR;
        }
    }

    // ---- a failover

    private void pauseReplicas(DatabaseServer primary) {
        boolean primaryPresent = FailoverContext.isPresent(primary);
        if (primaryPresent) {
            queries.ask(
                    primary,
                    FailoverContext.RETRY_MS,
                    null,
                    status -> onPrimaryStatus(primary, status));
        }
        if (context.now() < move.retryMillis) {
            return;
        }
        boolean complete = true;
        List<DatabaseServer> replicas = replicas();
        for (DatabaseServer replica : replicas) {
            complete &= isStopped(replica, primary);
        }
        boolean awaitsPrimary =
                move.steppedDown
                        && primaryPresent
                        && !context.isSilent(primary)
                        && !move.statuses.containsKey(primary.id());
        if (complete && !awaitsPrimary && !replicas.isEmpty() && !move.statuses.isEmpty()) {
            move.step = MoveState.Step.CHOOSE_SUCCESSOR;
            return;
        }
        findMissingCommits();
        logWait();
    }

    private void onPrimaryStatus(DatabaseServer primary, ServerStatus status) {
        if (!status.isPrimary() || move.steppedDown) {
            move.statuses.put(primary.id(), status);
        } else if (!move.isPromoting() && move.step != MoveState.Step.DRAIN_TRANSACTIONS) {
            // The primary was not lost: it remains the primary, and replicas are resumed.
            context.environment()
                    .trace("primary-alive service=" + move.service() + " primary=" + primary.id());
            primaryFound.onPrimaryFound(primary.id());
        }
    }

    /** Returns whether the move need not wait for this replica; otherwise pauses the replica. */
    private boolean isStopped(DatabaseServer replica, DatabaseServer primary) {
        if (move.statuses.containsKey(replica.id())) {
            return true;
        }
        long lostMillis =
                primary == null
                        ? context.now()
                        : Math.max(primary.lastContactMillis(), move.sinceMillis);
        boolean expired = lostMillis - replica.lastContactMillis() > EXPIRED_AFTER_MS;
        if (expired && !replica.isLeaving() || isExcludedByOperator(replica)) {
            return true;
        }
        boolean hasEnded =
                replica.isLeaving() && queries.unanswered(replica.id()) >= ENDED_AFTER_QUERIES;
        move.replicationPaused = true;
        queries.ask(
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
            move.statuses.put(replica.id(), status);
        } else {
            // The replica reports no later term, but its service has one, so the PAUSE was ignored.
            // The term is increased until it is high enough.
            move.pauseTerm++;
            queries.allowAtOnce(replica);
        }
    }

    /**
     * Returns whether an operator excluded the replica from this move. The exclusion ends when the
     * replica is in contact again.
     */
    private boolean isExcludedByOperator(DatabaseServer replica) {
        AcceptedDataLoss loss = move.record.acceptedLoss();
        return loss != null
                && loss.moveNumber() == move.record.moveNumber()
                && loss.unreachableServers().contains(replica.id())
                && context.isSilent(replica);
    }

    /**
     * Reports missing commits if all reachable servers are stopped and only servers with a long
     * silence may have more. An operator decides whether to give up on those servers.
     */
    private void findMissingCommits() {
        List<String> unreachable = new ArrayList<>();
        for (DatabaseServer replica : replicas()) {
            if (move.statuses.containsKey(replica.id()) || isExcludedByOperator(replica)) {
                continue;
            }
            long contactMillis = Math.max(replica.lastContactMillis(), context.resumedMillis());
            if (context.now() - contactMillis < EXPIRED_AFTER_MS) {
                boolean isOutdated =
                        move.missing != null && !move.missing.unreachableServers().isEmpty();
                move.missing = isOutdated ? null : move.missing;
                return;
            }
            unreachable.add(replica.id());
        }
        LogPosition longest = longestLog();
        if (longest != null && !unreachable.isEmpty()) {
            move.missing =
                    new MissingCommits(
                            move.service(),
                            move.record.moveNumber(),
                            longest,
                            move.acknowledged(context.state().acknowledgedCommits()),
                            unreachable,
                            move.record.primary(),
                            move.missing == null ? context.now() : move.missing.sinceMillis());
        }
    }

    private LogPosition longestLog() {
        LogPosition longest = null;
        for (Map.Entry<String, ServerStatus> one : move.statuses.entrySet()) {
            if (FailoverContext.isPresent(context.server(one.getKey()))) {
                longest = LogPosition.max(longest, one.getValue().position());
            }
        }
        return longest;
    }

    private void logWait() {
        if (context.now() > move.sinceMillis + LOG_WAIT_AFTER_MS
                && context.now() > waitLoggedMillis + EXPIRED_AFTER_MS) {
            waitLoggedMillis = context.now();
            List<String> awaited = new ArrayList<>();
            context.state()
                    .registry()
                    .serversOf(move.service())
                    .forEach(server -> awaited.add(server.id()));
            awaited.removeAll(move.statuses.keySet());
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
