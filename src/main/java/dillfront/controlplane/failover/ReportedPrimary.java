package dillfront.controlplane.failover;

import dillfront.common.protocol.PrimaryRecord;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.registry.DatabaseServer;

/**
 * Confirms that a server of one service that reports itself as the primary, although another one is
 * recorded, is the primary. A report alone is no evidence: it may be the last one of a former
 * primary that crashed and has not reported its new role yet.
 */
final class ReportedPrimary {

    private static final long UNKNOWN = -1;

    private final FailoverContext context;
    private String serverId = "";

    /** The sequence number of the call with the report that was last queried. */
    private long queriedCall = UNKNOWN;

    private boolean queryPending;

    /** Whether the server answered the last query as the primary. */
    private boolean confirmed;

    private long nextQueryMillis = LeaseManager.NEVER_MILLIS;

    ReportedPrimary(FailoverContext context) {
        this.context = context;
    }

    /** Returns the id of the server that was last queried. */
    String serverId() {
        return serverId;
    }

    /**
     * Returns whether a server reports itself as the primary in place of the recorded one and is
     * being queried. A report that is not confirmed is not queried again.
     *
     * @param onConfirmed runs each time the server answers as the primary
     */
    boolean isPending(PrimaryRecord record, Runnable onConfirmed) {
        DatabaseServer recorded = context.server(record.primary());
        DatabaseServer reported = context.reportedPrimary(record.service());
        boolean replacesRecorded =
                reported != null
                        && !reported.id().equals(record.primary())
                        && (!FailoverContext.isPresent(recorded) || !recorded.isPrimary());
        boolean isNew =
                replacesRecorded
                        && (!reported.id().equals(serverId)
                                || reported.callSequence() > queriedCall);
        boolean isRepeated = replacesRecorded && confirmed && context.now() >= nextQueryMillis;
        if ((isNew || isRepeated) && !queryPending) {
            query(reported, onConfirmed);
        }
        return queryPending;
    }

    private void query(DatabaseServer reported, Runnable onConfirmed) {
        serverId = reported.id();
        queriedCall = reported.callSequence();
        queryPending = true;
        context.queryStatus(reported, FailoverContext.QUERY_TIMEOUT_MS)
                .whenComplete(
                        (status, error) -> {
                            queryPending = false;
                            confirmed = error == null && status.isPrimary();
                            nextQueryMillis = context.now() + FailoverContext.RETRY_MS;
                            if (confirmed) {
                                onConfirmed.run();
                            }
                        });
    }
}
