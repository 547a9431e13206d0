package dillfront.controlplane.failover;

import dillfront.common.protocol.PrimaryRecord;
import dillfront.common.protocol.ServerStatus;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.primary.PrimaryObservation;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.ArrayList;
import java.util.List;

/**
 * Monitors the primary of one service while no move is in progress. Starts a failover if the
 * primary is lost, and a planned move if the primary is draining and another server has its
 * complete log.
 */
final class PrimaryMonitor {

    /** Starts moves. */
    interface MoveStarter {

        void startMove(PrimaryRecord record, boolean planned);
    }

    /**
     * Short, because a false suspicion is cheap: a primary that answers during a move remains the
     * primary.
     */
    private static final long SUSPECT_TIMEOUT_MS = 300;

    private static final long QUERY_GAP_MS = 250;

    /**
     * Initial pause between two comparisons of a replica's log with that of a draining primary. The
     * pause doubles up to a maximum.
     */
    private static final long COMPARE_GAP_MS = 60;

    private static final long MAX_COMPARE_GAP_MS = 500;

    private final FailoverContext context;
    private final MoveStarter mover;

    /** The number of consecutive queries that the suspected primary did not answer. */
    private int unansweredQueries;

    private boolean queryPending;
    private long queriedMillis = LeaseManager.NEVER_MILLIS;
    private boolean comparisonPending;
    private long comparedMillis = LeaseManager.NEVER_MILLIS;
    private long compareGapMillis = COMPARE_GAP_MS;

    private final ReportedPrimary reportedPrimary;

    PrimaryMonitor(FailoverContext context, MoveStarter mover) {
        this.context = context;
        this.mover = mover;
        reportedPrimary = new ReportedPrimary(context);
    }

    /** Resets the count of unanswered queries, because a move starts. */
    void onMoveStarted() {
        unansweredQueries = 0;
    }

    /**
     * Checks the recorded primary.
     *
     * @return whether the primary is suspected, so that data planes are asked for observations
     */
    boolean poll(PrimaryRecord record) {
        DatabaseServer primary = context.server(record.primary());
        boolean present = FailoverContext.isPresent(primary);
        if (reportedPrimary.isPending(record, () -> onReportConfirmed(record))) {
            return false;
        }
        if (!present) {
            mover.startMove(record, false);
            return false;
        }
        if (primary.isDraining()) {
            compareSuccessors(record, primary);
        }
        PrimaryObservation observation = context.observation(record.service(), record.primary());
        boolean mostlyUnreachable =
                observation.unreachable() > 0
                        && observation.unreachable() >= observation.reachable();
        if (!mostlyUnreachable && !context.hasMissedHeartbeats(primary)) {
            unansweredQueries = 0;
            return observation.unreachable() > 0;
        }
        if (!queryPending && context.now() >= queriedMillis + QUERY_GAP_MS) {
            query(record, primary);
        }
        return true;
    }

    /** Records a server that a delayed call of an earlier holder promoted. */
    private void onReportConfirmed(PrimaryRecord record) {
        if (context.isActing() && context.isCurrent(record)) {
            context.environment()
                    .trace(
                            "primary service="
                                    + record.service()
                                    + " server="
                                    + reportedPrimary.serverId()
                                    + " reported");
            context.storeRecord(
                    new PrimaryRecord(
                            record.service(),
                            context.nextFencingToken(),
                            reportedPrimary.serverId(),
                            false,
                            record.replicationPaused()));
        }
    }

    private void query(PrimaryRecord record, DatabaseServer primary) {
        queryPending = true;
        queriedMillis = context.now();
        context.queryStatus(primary, SUSPECT_TIMEOUT_MS)
                .whenComplete(
                        (status, error) -> {
                            queryPending = false;
                            queriedMillis = context.now();
                            unansweredQueries =
                                    ServerQueryException.showsServerAlive(error)
                                            ? 0
                                            : unansweredQueries + 1;
                            if (isLost(record, primary)
                                    && context.isActing()
                                    && context.isCurrent(record)) {
                                mover.startMove(record, false);
                            }
                        });
    }

    private boolean isLost(PrimaryRecord record, DatabaseServer primary) {
        PrimaryObservation observation = context.observation(record.service(), record.primary());
        boolean confirmedByOthers =
                observation.unreachable() > observation.reachable()
                        || observation.reachable() == 0 && context.hasMissedHeartbeats(primary);
        int requiredUnanswered =
                observation.unreachable() >= 2 && observation.reachable() == 0 ? 1 : 2;
        return unansweredQueries >= requiredUnanswered && confirmedByOthers;
    }

    /**
     * Starts a planned move once another server, which is not draining, has received the log that
     * the draining primary reported. Until then the primary continues.
     */
    private void compareSuccessors(PrimaryRecord record, DatabaseServer primary) {
        List<DatabaseServer> successors = new ArrayList<>();
        for (DatabaseServer server : context.state().registry().serversOf(record.service())) {
            if (!server.id().equals(record.primary())
                    && !server.isDraining()
                    && context.isInContactWithin(server, 2)) {
                successors.add(server);
            }
        }
        if (successors.isEmpty()
                || comparisonPending
                || context.now() < comparedMillis + compareGapMillis) {
            return;
        }
        comparisonPending = true;
        context.queryStatus(primary, FailoverContext.QUERY_TIMEOUT_MS)
                .whenComplete(
                        (primaryStatus, error) -> {
                            comparisonPending = false;
                            comparedMillis = context.now();
                            compareGapMillis = Math.min(MAX_COMPARE_GAP_MS, 2 * compareGapMillis);
                            if (error == null) {
                                successors.forEach(
                                        successor -> compare(record, primaryStatus, successor));
                            }
                        });
    }

    private void compare(
            PrimaryRecord record, ServerStatus primaryStatus, DatabaseServer successor) {
        context.queryStatus(successor, FailoverContext.QUERY_TIMEOUT_MS)
                .whenComplete(
                        (status, error) -> {
                            if (error == null
                                    && status.position().covers(primaryStatus.position())
                                    && context.isActing()
                                    && context.isCurrent(record)) {
                                mover.startMove(record, true);
                            }
                        });
    }
}
