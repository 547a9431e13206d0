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
 * Stops replication of a service that moves, so that nothing can be acknowledged behind the choice
 * of the successor. In a planned move the primary steps down of its own will; else each replica is
 * paused, and the old primary may turn out to live.
 */
final class ReplicationStopper {

    /** What follows where a server turns out to lead. */
    interface PrimaryFoundListener {

        void onPrimaryFound(String serverId);
    }

    /**
     * A replica gets so long to receive what the old primary had last, before the longest log is
     * taken as it is.
     */
    private static final long CATCH_UP_TIMEOUT_MS = 2_500;

    private static final long CATCH_UP_QUERY_GAP_MS = 60;

    /** A server that was silent for so long before its primary was lost is not waited for. */
    private static final long CONTACT_EXPIRY_MS = 10_000;

    /** A server that announced its leave has ended where so many queries got no answer. */
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
     * Goes on with it.
     *
     * @param primary the old one; null where it is not known any more
     */
    void poll(DatabaseServer primary) {
        if (!move.planned || move.pausesReplicas) {
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

    /** What the old primary had last is what the successor must have. */
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

    private void pauseReplicas(DatabaseServer primary) {
        boolean primaryPresent = FailoverContext.isPresent(primary);
        if (primaryPresent) {
            queries.query(
                    primary,
                    FailoverContext.RETRY_MS,
                    null,
                    status -> onPrimaryStatus(primary, status));
        }
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
            // It was not lost: it goes on leading, and replicas receive again.
            context.environment()
                    .trace("primary-alive service=" + move.service() + " primary=" + primary.id());
            primaryFound.onPrimaryFound(primary.id());
        }
    }

    /** Whether this replica needs not be waited for; else it is paused. */
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
     * The PAUSE is above the newest term of the service, which a replica that received nothing for
     * long does not know itself.
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
            // It knows of no later term, but its service does: that one is passed over until it is
            // high enough.
            move.pauseTerm++;
            queries.cancelPause(replica);
        }
    }

    /**
     * An operator said that this move does not wait for it; it does once that one is heard again.
     */
    private boolean isExcludedByOperator(DatabaseServer replica) {
        AcceptedDataLoss loss = move.record.acceptedLoss();
        return loss != null
                && loss.moveNumber() == move.record.moveNumber()
                && loss.unreachableServers().contains(replica.id())
                && context.hasMissedHeartbeats(replica);
    }

    /**
     * Where all servers that can be heard are stopped, and others that may have more were silent
     * for long, it is for an operator to give those up.
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
