package dillfront.controlplane.failover;

import dillfront.common.protocol.PrimaryRecord;
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
    interface Mover {

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
    private final Mover mover;

    /** The number of consecutive queries that the suspected primary did not answer. */
    private int misses;

    private boolean querying;
    private long queriedMillis = LeaseManager.NEVER;
    private boolean comparing;
    private long comparedMillis = LeaseManager.NEVER;
    private long compareGapMillis = COMPARE_GAP_MS;

    PrimaryMonitor(FailoverContext context, Mover mover) {
        this.context = context;
        this.mover = mover;
    }

    /** Resets the count of unanswered queries, because a move starts. */
    void onMoveStarted() {
        misses = 0;
    }

    /**
     * Checks the recorded primary.
     *
     * @return whether the primary is suspected, so that data planes are asked for observations
     */
    boolean poll(PrimaryRecord record) {
        DatabaseServer primary = context.server(record.primary());
        DatabaseServer reported = context.reportedPrimary(record.service());
        boolean present = FailoverContext.isPresent(primary);
        if (reported != null
                && !reported.id().equals(record.primary())
                && (!present || !primary.isPrimary())) {
            // A delayed call of an earlier holder promoted this server, so it is recorded as the
            // primary.
            context.record(
                    new PrimaryRecord(
                            record.service(),
                            context.nextToken(),
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
        PrimaryObservation seen = context.observation(record.service(), record.primary());
        boolean outOfReach = seen.unreachable() > 0 && seen.unreachable() >= seen.reachable();
        if (!outOfReach && !context.isSilent(primary)) {
            misses = 0;
            return seen.unreachable() > 0;
        }
        if (!querying && context.now() >= queriedMillis + QUERY_GAP_MS) {
            query(record, primary);
        }
        return true;
    }

    private void query(PrimaryRecord record, DatabaseServer primary) {
        querying = true;
        queriedMillis = context.now();
        context.queryStatus(primary, SUSPECT_TIMEOUT_MS)
                .whenComplete(
                        (status, fault) -> {
                            querying = false;
                            queriedMillis = context.now();
                            misses = ServerQueryException.showsServerAlive(fault) ? 0 : misses + 1;
                            if (isLost(record, primary)
                                    && context.isActing()
                                    && context.isCurrent(record)) {
                                mover.startMove(record, false);
                            }
                        });
    }

    private boolean isLost(PrimaryRecord record, DatabaseServer primary) {
        PrimaryObservation seen = context.observation(record.service(), record.primary());
        boolean othersAgree =
                seen.unreachable() > seen.reachable()
                        || seen.reachable() == 0 && context.isSilent(primary);
        int enoughMisses = seen.unreachable() >= 2 && seen.reachable() == 0 ? 1 : 2;
        return misses >= enoughMisses && othersAgree;
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
                || comparing
                || context.now() < comparedMillis + compareGapMillis) {
            return;
        }
        comparing = true;
        context.queryStatus(primary, FailoverContext.QUERY_TIMEOUT_MS)
                .whenComplete(
                        (primaryStatus, fault) -> {
                            comparing = false;
                            comparedMillis = context.now();
                            compareGapMillis = Math.min(MAX_COMPARE_GAP_MS, 2 * compareGapMillis);
                            if (fault == null) {
                                successors.forEach(one -> compare(record, primaryStatus, one));
                            }
                        });
    }

    private void compare(
            PrimaryRecord record, ServerStatus primaryStatus, DatabaseServer successor) {
        context.queryStatus(successor, FailoverContext.QUERY_TIMEOUT_MS)
                .whenComplete(
                        (status, fault) -> {
                            if (fault == null
                                    && status.position().covers(primaryStatus.position())
                                    && context.isActing()
                                    && context.isCurrent(record)) {
                                mover.startMove(record, true);
                            }
                        });
    }
}
