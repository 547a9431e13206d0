package dillfront.controlplane.failover;

import dillfront.common.protocol.PrimaryRecord;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.primary.PrimaryObservation;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.ArrayList;
import java.util.List;

/**
 * Watches the primary of one service while no move is under way: has it moved where it is lost, or
 * where it drains and another has all that it had.
 */
final class PrimaryMonitor {

    /** Begins moves. */
    interface MoveStarter {

        void startMove(PrimaryRecord record, boolean planned);
    }

    /**
     * Suspicion may be wrong at little cost: a primary that answers while its service moves leads
     * on.
     */
    private static final long SUSPECT_TIMEOUT_MS = 300;

    private static final long QUERY_GAP_MS = 250;

    /**
     * The pause between two comparisons of a replica's log with that of a primary that drains; it
     * doubles up to a bound.
     */
    private static final long COMPARE_GAP_MS = 60;

    private static final long MAX_COMPARE_GAP_MS = 500;

    private final FailoverContext context;
    private final MoveStarter mover;

    /** Queries in a row that the suspected primary did not answer. */
    private int unansweredQueries;

    private boolean queryPending;
    private long queriedMillis = LeaseManager.NEVER_MILLIS;
    private boolean comparisonPending;
    private long comparedMillis = LeaseManager.NEVER_MILLIS;
    private long compareGapMillis = COMPARE_GAP_MS;

    PrimaryMonitor(FailoverContext context, MoveStarter mover) {
        this.context = context;
        this.mover = mover;
    }

    /** A move begins: what was missed before counts no more. */
    void onMoveStarted() {
        unansweredQueries = 0;
    }

    /**
     * Looks after the recorded primary.
     *
     * @return whether it is suspected, so that data planes are to be asked what they see
     */
    boolean poll(PrimaryRecord record) {
        DatabaseServer primary = context.server(record.primary());
        DatabaseServer reported = context.reportedPrimary(record.service());
        boolean present = FailoverContext.isPresent(primary);
        if (reported != null
                && !reported.id().equals(record.primary())
                && (!present || !primary.isPrimary())) {
            // Promoted by a call of an earlier holder that arrived late: so it is.
            context.storeRecord(
                    new PrimaryRecord(
                            record.service(),
                            context.nextFencingToken(),
                            reported.id(),
                            false,
                            record.replicationPaused()));
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
     * A primary that drains leads on until another server, which stays, has received all that it
     * had when it was asked.
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
