package dillfront.controlplane.failover;

import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.database.LogPosition;
import dillfront.common.protocol.PrimaryRecord;
import dillfront.controlplane.failover.MoveState.Step;
import dillfront.controlplane.failover.PlatformClient.PromotionResult;
import dillfront.controlplane.primary.MissingCommits;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.List;

/**
 * Moves the primary of one service through the steps of {@link MoveState.Step}. A move is a
 * failover, or a planned move away from a draining primary.
 *
 * <p>Invariants: no action is taken before a majority has the record of the move; a successor is
 * chosen only after no data plane can still trust the old primary; once the promotion of a
 * successor is requested, no other server is promoted until the platform reports that it does not
 * carry out the request.
 */
final class PrimaryMove {

    /** Owns the moves in progress. */
    interface Owner {

        boolean isActive(PrimaryMove move);

        /** Called when a move has ended with this record. */
        void onCompleted(PrimaryMove move, PrimaryRecord record);

        /** Advances all moves after a change. */
        void poll();
    }

    /** Time for open transactions to end before a planned move continues. */
    private static final long DRAIN_TIMEOUT_MS = 900;

    /** Delay from the platform's acceptance to the first query of the successor. */
    private static final long FIRST_PRIMARY_QUERY_DELAY_MS = 350;

    private static final long PRIMARY_QUERY_GAP_MS = 150;

    /** Time after which the platform is called again if the successor is not the primary. */
    private static final long PRIMARY_TIMEOUT_MS = 4_000;

    /**
     * Upper bound for the time from a platform call to the new primary, which typically takes a few
     * hundred milliseconds.
     */
    private static final long MAX_PROMOTION_DELAY_MS = 1_500;

    private final FailoverContext context;
    private final Owner owner;
    private final MoveState state;
    private final MoveQueries queries;
    private final ReplicationStopper replicationStopper;
    private final SuccessorSelector successorSelector;
    private final ReportedPrimary reportedPrimary;
    private final OldPrimaryTrust trust;

    /** Whether servers were queried again after calls of earlier holders were fenced off. */
    private boolean restartedAfterFencing;

    /**
     * Creates a move.
     *
     * @param inherited whether an earlier lease holder started the move
     */
    PrimaryMove(
            FailoverContext context,
            Owner owner,
            PrimaryRecord record,
            boolean planned,
            boolean inherited) {
        this.context = context;
        this.owner = owner;
        state = new MoveState(record, planned, inherited, context.now());
        queries = new MoveQueries(context, this::isActive, owner::poll);
        replicationStopper =
                new ReplicationStopper(context, state, queries, this::onPrimaryFound, owner::poll);
        successorSelector = new SuccessorSelector(context, state);
        reportedPrimary = new ReportedPrimary(context);
        trust = new OldPrimaryTrust(context, record);
    }

    String service() {
        return state.service();
    }

    PrimaryRecord record() {
        return state.record;
    }

    /** Returns the acknowledged commits that no available log contains; null for none. */
    MissingCommits missingCommits() {
        return state.missingCommits;
    }

    private boolean isActive() {
        return owner.isActive(this);
    }

    /** Advances the move. Called periodically. */
    void poll() {
        if (!context.mayAct() || !isRecordedByMajority() || state.logEndQueryPending) {
            return;
        }
        if (reportedPrimary.isPending(state.record, this::onReportConfirmed)
                || !isActive()
                || state.logEndQueryPending
                || !state.isPromoting() && mayPlatformStillPromote()) {
            // The move has ended or may end with the reported primary: no other server is promoted.
            return;
        }
        if (state.formerCallsFenced && !restartedAfterFencing && !state.isPromoting()) {
            // Statuses of servers may be outdated after the platform carried out a call of an
            // earlier holder.
            restartedAfterFencing = true;
            state.restartStopping();
        }
        runStep(context.server(state.record.primary()));
    }

    private void onReportConfirmed() {
        if (isActive() && context.isActing()) {
            onPrimaryFound(reportedPrimary.serverId());
            owner.poll();
        }
    }

    private void runStep(DatabaseServer primary) {
        switch (state.step) {
            case DRAIN_TRANSACTIONS:
                if (areTransactionsDrained()) {
                    state.step = Step.STOP_REPLICATION;
                    stopReplication(primary);
                }
                break;
            case STOP_REPLICATION:
                stopReplication(primary);
                break;
            case CHOOSE_SUCCESSOR:
                if (hasNoTrustInOldPrimary()) {
                    successorSelector.poll();
                    if (state.step == Step.PROMOTE) {
                        promote();
                    }
                }
                break;
            case PROMOTE:
                promote();
                break;
            case AWAIT_PRIMARY:
                awaitPrimary();
                break;
            default:
                throw new IllegalStateException("step " + state.step);
        }
    }

    /**
     * Stops replication. Replicas are paused only once the data planes acknowledge no more commits
     * of the old primary. Each acknowledged commit then is in the log of a replica, and what a
     * replica receives later, because it joins, restarts or is resumed, was not acknowledged.
     */
    private void stopReplication(DatabaseServer primary) {
        if (!state.stopsByPause()) {
            replicationStopper.poll(primary);
        } else if (state.record.drainsTransactions()) {
            endTransactionDrain();
        } else if (hasNoTrustInOldPrimary()) {
            replicationStopper.poll(primary);
        } else {
            replicationStopper.queryPrimary(primary);
        }
    }

    /** Records that commits of open transactions are not acknowledged any more. */
    private void endTransactionDrain() {
        state.record = state.record.endTransactionDrain(context.nextFencingToken());
        trust.start(state.record);
        context.storeRecord(state.record);
        context.state().peerUpdates().request();
    }

    /** Returns whether a majority of control processes has the record. */
    private boolean isRecordedByMajority() {
        long number = state.record.number();
        return context.state()
                .cluster()
                .isQuorum(
                        context.state().records().durableNumber() >= number,
                        peer -> peer.recordNumber() >= number);
    }

    private boolean areTransactionsDrained() {
        if (context.now() > state.startedMillis + DRAIN_TIMEOUT_MS || !state.planned) {
            return true;
        }
        return hasNoTrustInOldPrimary()
                && context.observation(service(), state.record.primary()).openTransactions() == 0;
    }

    /** Returns whether no data plane acknowledges commits of the old primary any more. */
    private boolean hasNoTrustInOldPrimary() {
        return trust.hasEnded(state.record);
    }

    // ---- promoting

    private void promote() {
        if (state.callPending || context.now() < state.nextAttemptMillis || !context.mayAct()) {
            return;
        }
        state.callPending = true;
        state.promotionCalled = true;
        state.promotionCalledMillis = context.now();
        context.environment()
                .trace(
                        "promote service="
                                + service()
                                + " server="
                                + state.successor
                                + " fencing_token="
                                + state.fencingToken);
        context.platform()
                .promote(service(), state.successor, state.fencingToken)
                .whenComplete(this::onPromoted);
    }

    private void onPromoted(PromotionResult result, Throwable error) {
        state.callPending = false;
        state.nextAttemptMillis = context.now() + FailoverContext.RETRY_MS;
        if (error != null) {
            return;
        }
        if (result == PromotionResult.ACCEPTED) {
            state.step = Step.AWAIT_PRIMARY;
            state.nextAttemptMillis = context.now() + FIRST_PRIMARY_QUERY_DELAY_MS;
        } else if (result == PromotionResult.REJECTED) {
            state.promotionCalled = false;
            state.rejectedServers.add(state.successor);
            state.step = Step.CHOOSE_SUCCESSOR;
        }
    }

    private void awaitPrimary() {
        DatabaseServer successor = context.server(state.successor);
        if (!FailoverContext.isPresent(successor)
                || context.now() > state.promotionCalledMillis + PRIMARY_TIMEOUT_MS) {
            // Another server may be chosen only if the platform reports that the successor is not
            // running, so the platform is called again.
            state.step = Step.PROMOTE;
        } else if (successor.isPrimary() && !state.reportedPrimaryBeforePromotion) {
            complete(successor.id());
        } else if (context.now() >= state.nextAttemptMillis) {
            queries.query(
                    successor,
                    PRIMARY_QUERY_GAP_MS,
                    null,
                    status -> {
                        if (status.isPrimary()) {
                            complete(successor.id());
                        }
                    });
        }
    }

    // ---- ending

    /**
     * Ends the move with the server that is the primary, regardless of who promoted it. Not done
     * while another server is being promoted, because commits acknowledged by this server would be
     * lost after that promotion. If an earlier lease holder may have called the platform, its call
     * is fenced off first, while data planes are still bound by the record of the move. Then the
     * move waits for promotions that the platform had already begun: the current primary may still
     * be replaced by one of them.
     */
    private void onPrimaryFound(String serverId) {
        if (state.callPending || state.promotionCalled && !serverId.equals(state.successor)) {
            return;
        }
        if (state.inherited && !state.formerCallsFenced) {
            fenceFormerCalls(serverId);
        } else if (!mayPlatformStillPromote()) {
            complete(serverId);
        }
    }

    private void fenceFormerCalls(String serverId) {
        if (context.now() < state.nextFencingAttemptMillis) {
            return;
        }
        state.callPending = true;
        context.platform()
                .promote(service(), serverId, context.nextFencingToken())
                .whenComplete(
                        (result, error) -> {
                            state.callPending = false;
                            state.nextFencingAttemptMillis =
                                    context.now() + FailoverContext.RETRY_MS;
                            state.formerCallsFenced =
                                    error == null && result == PromotionResult.ACCEPTED;
                            state.formerCallsFencedMillis =
                                    state.formerCallsFenced
                                            ? context.now()
                                            : state.formerCallsFencedMillis;
                            if (state.formerCallsFenced && isActive() && context.isActing()) {
                                onPrimaryFound(serverId);
                            }
                        });
    }

    /** Returns whether the platform may still carry out a call of an earlier lease holder. */
    private boolean mayPlatformStillPromote() {
        return state.inherited
                && context.now() < state.formerCallsFencedMillis + MAX_PROMOTION_DELAY_MS;
    }

    private void complete(String primaryId) {
        if (state.logEndQueryPending || !isActive() || !context.isActing()) {
            return;
        }
        AcceptedDataLoss loss = state.record.acceptedLoss();
        DatabaseServer primary = context.server(primaryId);
        if (loss == null || !loss.losesCommits()) {
            complete(primaryId, loss);
        } else if (primary == null) {
            complete(primaryId, loss.withPrimaryLogEnd(loss.lostUpTo()));
        } else {
            completeWithLogEnd(primary, loss);
        }
    }

    /**
     * Excludes the commits that the primary has from the accepted loss. If the end of its log is
     * unknown, all commits count as retained.
     */
    private void completeWithLogEnd(DatabaseServer primary, AcceptedDataLoss loss) {
        state.logEndQueryPending = true;
        context.queryStatus(primary, FailoverContext.QUERY_TIMEOUT_MS)
                .whenComplete(
                        (status, error) -> {
                            state.logEndQueryPending = false;
                            if (isActive() && context.isActing()) {
                                boolean logEndKnown = error == null && status.isPrimary();
                                LogPosition logEnd =
                                        logEndKnown ? status.position() : loss.lostUpTo();
                                complete(primary.id(), loss.withPrimaryLogEnd(logEnd));
                            }
                        });
    }

    private void complete(String primaryId, AcceptedDataLoss loss) {
        context.environment()
                .trace(
                        "primary service="
                                + service()
                                + " server="
                                + primaryId
                                + " after_ms="
                                + (context.now() - state.startedMillis));
        owner.onCompleted(
                this,
                state.record.finishMove(
                        context.nextFencingToken(), primaryId, state.replicationPaused, loss));
    }

    /**
     * Continues the move without the commits whose loss an operator accepted, and without the
     * servers that may have them.
     */
    void acceptDataLoss(AcceptedDataLoss loss) {
        List<String> excludedServers = loss.unreachableServers();
        context.environment()
                .warn(
                        "data-loss-accepted service="
                                + service()
                                + " log_end="
                                + loss.logEnd()
                                + " acknowledged="
                                + loss.acknowledged().lowerBound()
                                + ".."
                                + loss.acknowledged().upperBound()
                                + " given_up_primary="
                                + state.record.primary()
                                + " given_up_servers="
                                + excludedServers);
        state.missingCommits = null;
        state.record = state.record.withAcceptedLoss(context.nextFencingToken(), loss);
        context.storeRecord(state.record);
        context.state().peerUpdates().request();
    }
}
