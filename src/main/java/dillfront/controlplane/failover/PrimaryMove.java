package dillfront.controlplane.failover;

import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.database.LogPosition;
import dillfront.common.protocol.PrimaryRecord;
import dillfront.controlplane.failover.MoveState.Step;
import dillfront.controlplane.failover.PlatformClient.PromotionResult;
import dillfront.controlplane.peer.PeerState;
import dillfront.controlplane.primary.MissingCommits;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.List;

/**
 * One service on its way to another primary, by the steps of {@link MoveState.Step}: a failover, or
 * a planned move away from a primary that drains.
 *
 * <p>Invariants: nothing is done before a majority has the record of the move; a successor is
 * chosen only once no data plane can take the old primary for the present one; once the platform
 * was called for a successor, no other is, until the platform says that the call is not carried
 * out.
 */
final class PrimaryMove {

    /** Keeps the moves that are under way. */
    interface Owner {

        boolean isActive(PrimaryMove move);

        /** The move ended with this record. */
        void onCompleted(PrimaryMove move, PrimaryRecord record);

        /** Something has changed: all moves are to be looked at. */
        void poll();
    }

    /** Open transactions may end before a planned move, for so long. */
    private static final long DRAIN_TIMEOUT_MS = 900;

    /** What was certain to data planes is over so long after its time. */
    private static final long CERTAINTY_MARGIN_MS = 100;

    /** From the platform's acceptance until the successor is asked whether it leads. */
    private static final long FIRST_PRIMARY_QUERY_DELAY_MS = 350;

    private static final long PRIMARY_QUERY_GAP_MS = 150;

    /** A successor that does not lead by then: the platform is called again. */
    private static final long PRIMARY_TIMEOUT_MS = 4_000;

    /** The platform takes some hundred milliseconds from a call to the new primary. */
    private static final long MAX_PROMOTION_DELAY_MS = 1_500;

    private final FailoverContext context;
    private final Owner owner;
    private final MoveState state;
    private final MoveQueries queries;
    private final ReplicationStopper replicationStopper;
    private final SuccessorSelector successorSelector;

    /** After calls of an earlier holder were fenced off, servers were asked anew. */
    private boolean restartedAfterFencing;

    /**
     * @param inherited the move was found as an earlier lease holder left it
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
    }

    String service() {
        return state.service();
    }

    PrimaryRecord record() {
        return state.record;
    }

    /** What no log that is left holds; null while that is not so. */
    MissingCommits missingCommits() {
        return state.missingCommits;
    }

    private boolean isActive() {
        return owner.isActive(this);
    }

    /** Advances the move; called often. */
    void poll() {
        if (!context.mayAct() || !isRecordedByMajority() || state.logEndQueryPending) {
            return;
        }
        DatabaseServer primary = context.server(state.record.primary());
        DatabaseServer reported = context.reportedPrimary(service());
        if (reported != null
                && !reported.id().equals(state.record.primary())
                && (!FailoverContext.isPresent(primary) || !primary.isPrimary())) {
            onPrimaryFound(reported.id());
        }
        if (!isActive()
                || state.logEndQueryPending
                || !state.isPromoting() && mayPlatformStillPromote()) {
            // It is over, or as good as over: no other server is promoted.
            return;
        }
        if (state.formerCallsFenced && !restartedAfterFencing && !state.isPromoting()) {
            // What was heard of logs and primaries may be outdated, now that the earlier holder's
            // call is carried out.
            restartedAfterFencing = true;
            state.restartStopping();
        }
        runStep(primary);
    }

    private void runStep(DatabaseServer primary) {
        switch (state.step) {
            case DRAIN_TRANSACTIONS:
                if (areTransactionsDrained()) {
                    state.step = Step.STOP_REPLICATION;
                    replicationStopper.poll(primary);
                }
                break;
            case STOP_REPLICATION:
                replicationStopper.poll(primary);
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

    /** Whether a majority of control processes has the record. */
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

    /**
     * Whether no data plane takes the old primary for certain any more: each has said so, or its
     * time is over.
     */
    private boolean hasNoTrustInOldPrimary() {
        // Of earlier lease holders nothing is certain for longer than this past their lease's end.
        long formerTrustEndMillis =
                Math.max(context.leaseStartMillis(), context.state().lease().formerLeaseEndMillis())
                        + PrimaryCertainty.MAX_AFTER_LEASE_MS
                        + CERTAINTY_MARGIN_MS;
        long latestExpiredMillis =
                context.now() - PrimaryCertainty.MAX_DURATION_MS - CERTAINTY_MARGIN_MS;
        if (context.now() < formerTrustEndMillis
                || state.startedMillis > latestExpiredMillis
                        && !context.dataPlanes().allHaveRecord(state.record.number())) {
            return false;
        }
        for (PeerState peer : context.state().cluster().peers()) {
            if (!hasNoTrustAtPeer(peer, latestExpiredMillis)) {
                return false;
            }
        }
        return true;
    }

    /**
     * What a peer passes on as certain, it asked for in a message that came here; with the last of
     * them that is over too. So it is with what it passed on in an earlier incarnation, of which it
     * cannot say that its data planes have heard since.
     */
    private boolean hasNoTrustAtPeer(PeerState peer, long latestExpiredMillis) {
        boolean confirmed = peer.acknowledgedMove(service()) >= state.record.number();
        return (confirmed
                        || Math.min(peer.lastContactMillis(), state.startedMillis)
                                <= latestExpiredMillis)
                && Math.min(peer.previousIncarnationContactMillis(), state.startedMillis)
                        <= latestExpiredMillis;
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
            // The platform is asked again: only where it does not run another may be chosen.
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
     * This server leads, whoever made it so. Not while another is promoted: what it acknowledged
     * would be lost once that one leads. And where an earlier lease holder may have called the
     * platform, its call is fenced off first, while data planes still hold what they have; what the
     * platform had begun by then is waited for: that this server leads now is no proof that it
     * will.
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

    /** The platform may still carry out what an earlier lease holder asked for. */
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

    /** What the primary holds is not given up; where that is not known, nothing is. */
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
     * An operator gives commits up: the move goes on without them, and without who may have them.
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
