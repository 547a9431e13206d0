package dillfront.controlplane.failover;

import dillfront.common.protocol.PrimaryRecord;
import dillfront.controlplane.failover.PlatformClient.PromotionResult;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.registry.DatabaseServer;

/**
 * Records the first primary of a service: the server that reports itself as the primary. If other
 * processes held the lease before, their platform calls are fenced off first.
 */
final class FirstPrimary {

    /** Number of unanswered platform calls after which the primary is recorded without fencing. */
    private static final int MAX_UNANSWERED = 2;

    private static final long FIRST_LEASE = (1L << LeaseManager.NUMBER_BITS) + 1;

    private final FailoverContext context;
    private final String service;
    private boolean calling;
    private int unanswered;
    private long retryMillis;

    FirstPrimary(FailoverContext context, String service) {
        this.context = context;
        this.service = service;
    }

    /** Advances the procedure. Called periodically while the service has no record. */
    void poll() {
        DatabaseServer primary = context.reportedPrimary(service);
        if (primary == null || calling || context.now() < retryMillis) {
            return;
        }
        if (context.state().settings().firstStart() && context.leaseNumber() == FIRST_LEASE) {
            context.record(
                    new PrimaryRecord(service, context.nextToken(), primary.id(), false, false));
            return;
        }
        calling = true;
        context.platform()
                .promote(service, primary.id(), context.nextToken())
                .whenComplete((result, fault) -> onResult(primary, result, fault));
    }

    private void onResult(DatabaseServer primary, PromotionResult result, Throwable fault) {
        calling = false;
        retryMillis = context.now() + FailoverContext.RETRY_MS;
        unanswered += fault == null ? 0 : 1;
        boolean fenced = fault == null && result == PromotionResult.ACCEPTED;
        boolean outOfReach = fault != null && unanswered >= MAX_UNANSWERED;
        if (context.isActing()
                && context.state().records().get(service) == null
                && (fenced || outOfReach)) {
            unanswered = 0;
            context.record(
                    new PrimaryRecord(service, context.nextToken(), primary.id(), false, true));
        }
    }
}
