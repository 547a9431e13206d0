package dillfront.controlplane.failover;

import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.common.protocol.PrimaryRecord;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.primary.AcknowledgedCommitsTable;
import dillfront.controlplane.primary.MissingCommits;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** How far a {@link PrimaryMove} is; shared by its steps. */
final class MoveState {

    /** What is to be done next. */
    enum Step {
        /** Planned moves: wait until no transaction is open at the primary. */
        DRAIN_TRANSACTIONS,
        /**
         * Stop the primary or the replicas, so that no commit is acknowledged behind the choice.
         */
        STOP_REPLICATION,
        CHOOSE_SUCCESSOR,
        /** Call the platform. */
        PROMOTE,
        /** Wait until the successor leads. */
        AWAIT_PRIMARY
    }

    PrimaryRecord record;
    final boolean planned;

    /** The move was found as an earlier lease holder left it: a call of that may be on its way. */
    final boolean inherited;

    final long startedMillis;
    Step step = Step.DRAIN_TRANSACTIONS;

    /** A call or command is under way that the next step has to wait for. */
    boolean callPending;

    /** Not before this moment is the step tried again. */
    long nextAttemptMillis;

    // ---- stopping

    /** The primary has stepped down: this is the end of its log. */
    boolean steppedDown;

    LogPosition finalPosition;
    long steppedDownMillis;

    /** The replicas are paused: a planned move that took too long, or the primary is lost. */
    boolean pausesReplicas;

    /** Replicas may be paused. */
    boolean replicationPaused;

    /** The term of the PAUSE. */
    long pauseTerm;

    /** What servers that are stopped answered, by their ids. */
    final Map<String, ServerStatus> stoppedStatuses = new TreeMap<>();

    // ---- choosing

    /** Servers that the platform did not promote, as they do not run. */
    final TreeSet<String> rejectedServers = new TreeSet<>();

    /** What no log that is left holds; null while that is not so. */
    MissingCommits missingCommits;

    // ---- promoting

    /**
     * Once the platform was called for it, it is the only one that may lead, until the platform
     * says that the call is not carried out.
     */
    String successor;

    boolean promotionCalled;
    long promotionCalledMillis;
    long fencingToken;

    /** The successor reported that it leads before it was promoted: its report tells nothing. */
    boolean reportedPrimaryBeforePromotion;

    // ---- ending

    /** The primary is asked how far its log reaches. */
    boolean logEndQueryPending;

    /** Calls of earlier lease holders are fenced off at the platform, since this moment. */
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

    /** Whether the platform may have been called by this holder. */
    boolean isPromoting() {
        return step == Step.PROMOTE || step == Step.AWAIT_PRIMARY;
    }

    /** The servers are to be stopped and asked anew. */
    void restartStopping() {
        stoppedStatuses.clear();
        step = Step.STOP_REPLICATION;
    }

    /** What is known to be acknowledged, without what an operator gave up. */
    AcknowledgedCommits acknowledged(AcknowledgedCommitsTable table) {
        AcknowledgedCommits known = table.get(service());
        if (finalPosition != null) {
            known = known.merge(new AcknowledgedCommits(LogPosition.NONE, finalPosition));
        }
        return record.acceptedLoss() == null ? known : record.acceptedLoss().exclude(known);
    }
}
