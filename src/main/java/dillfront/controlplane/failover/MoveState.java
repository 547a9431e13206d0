package dillfront.controlplane.failover;

import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.common.protocol.PrimaryRecord;
import dillfront.common.protocol.ServerStatus;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.primary.AcknowledgedCommitsTable;
import dillfront.controlplane.primary.MissingCommits;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The progress of a {@link PrimaryMove}, shared by the classes that run its steps. */
final class MoveState {

    /** The next step of a move. */
    enum Step {
        /** Planned moves: wait until the primary has no open transactions. */
        DRAIN_TRANSACTIONS,
        /**
         * Stop the primary or the replicas, so that no commit is acknowledged after the successor
         * is chosen.
         */
        STOP_REPLICATION,
        CHOOSE_SUCCESSOR,
        /** Request the promotion from the platform. */
        PROMOTE,
        /** Wait until the successor is the primary. */
        AWAIT_PRIMARY
    }

    PrimaryRecord record;
    final boolean planned;

    /**
     * Whether an earlier lease holder started the move, so one of its platform calls may still be
     * in flight.
     */
    final boolean inherited;

    final long startedMillis;

    Step step = Step.DRAIN_TRANSACTIONS;

    /** Whether a call or command is in progress that the next step must wait for. */
    boolean callPending;

    /** The earliest time of the next attempt of the step. */
    long nextAttemptMillis;

    // ---- stopping

    /** Whether the primary has stepped down; {@link #finalPosition} is the end of its log then. */
    boolean steppedDown;

    LogPosition finalPosition;
    long steppedDownMillis;

    /**
     * Whether the replicas are paused, because a planned move took too long or the primary is lost.
     */
    boolean pausesReplicas;

    /** Whether replicas may be paused. */
    boolean replicationPaused;

    /** The term of the PAUSE command. */
    long pauseTerm;

    /** The statuses of stopped servers, by server id. */
    final Map<String, ServerStatus> stoppedStatuses = new TreeMap<>();

    // ---- choosing

    /** Servers whose promotion the platform rejected, because they are not running. */
    final TreeSet<String> rejectedServers = new TreeSet<>();

    /** The acknowledged commits that no available log contains; null for none. */
    MissingCommits missingCommits;

    // ---- promoting

    /**
     * The chosen successor. Once its promotion is requested, no other server may become the primary
     * until the platform reports that it does not carry out the request.
     */
    String successor;

    boolean promotionCalled;
    long promotionCalledMillis;
    long fencingToken;

    /**
     * Whether the successor reported itself as the primary before its promotion, so its reports are
     * no evidence.
     */
    boolean reportedPrimaryBeforePromotion;

    // ---- ending

    /** Whether a query for the end of the new primary's log is in progress. */
    boolean logEndQueryPending;

    /** Whether the platform rejects calls of earlier lease holders, and since when. */
    boolean formerCallsFenced;

    long formerCallsFencedMillis = LeaseManager.NEVER_MILLIS;
    long nextFencingAttemptMillis;

    MoveState(PrimaryRecord record, boolean planned, boolean inherited, long nowMillis) {
        this.record = record;
        this.planned = planned;
        this.inherited = inherited;
        replicationPaused = record.replicationPaused() || inherited;
        startedMillis = nowMillis;
    }

    String service() {
        return record.service();
    }

    /** Returns whether this lease holder may have requested the promotion. */
    boolean isPromoting() {
        return step == Step.PROMOTE || step == Step.AWAIT_PRIMARY;
    }

    /** Returns whether the replicas are paused, instead of the primary stepping down. */
    boolean stopsByPause() {
        return !planned || pausesReplicas;
    }

    /** Returns whether an operator accepted in this move that commits are lost. */
    boolean isLossAccepted() {
        AcceptedDataLoss loss = record.acceptedLoss();
        return loss != null && loss.moveNumber() == record.moveNumber();
    }

    /** Discards the statuses, so that all servers are stopped and queried again. */
    void restartStopping() {
        stoppedStatuses.clear();
        step = Step.STOP_REPLICATION;
    }

    /** Returns the known acknowledged commits, without those whose loss an operator accepted. */
    AcknowledgedCommits acknowledged(AcknowledgedCommitsTable table) {
        AcknowledgedCommits known = table.get(service());
        if (finalPosition != null) {
            known = known.merge(new AcknowledgedCommits(LogPosition.NONE, finalPosition));
        }
        return record.acceptedLoss() == null ? known : record.acceptedLoss().exclude(known);
    }
}
