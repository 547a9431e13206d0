package dillfront.controlplane.failover;

import dillfront.common.protocol.PrimaryRecord;
import dillfront.controlplane.failover.PlatformClient.PromotionResult;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.registry.DatabaseServer;

/**
 * Records the first primary of a service: the server that reports that it is. Where other processes
 * held the lease before, their calls to the platform are fenced off first.
 */
final class InitialPrimaryRecorder {

    /** The platform may be out of reach: after so many calls in vain it is done without. */
    private static final int MAX_UNANSWERED_CALLS = 2;

    private static final long FIRST_LEASE_NUMBER = (1L << LeaseManager.NUMBER_BITS) + 1;

    private final FailoverContext context;
    private final String service;
    private boolean callPending;
    private int unansweredCalls;
    private long nextCallMillis;

    InitialPrimaryRecorder(FailoverContext context, String service) {
        this.context = context;
        this.service = service;
    }

    /** Goes on with it; called often while nothing is recorded. */
    void poll() {
        DatabaseServer primary = context.reportedPrimary(service);
        if (primary == null || callPending || context.now() < nextCallMillis) {
            return;
        }
        if (context.state().settings().firstStart()
                && context.leaseNumber() == FIRST_LEASE_NUMBER) {
            context.storeRecord(
                    new PrimaryRecord(
                            service, context.nextFencingToken(), primary.id(), false, false));
            return;
        }
        callPending = true;
        context.platform()
                .promote(service, primary.id(), context.nextFencingToken())
                .whenComplete((result, error) -> onResult(primary, result, error));
    }

    private void onResult(DatabaseServer primary, PromotionResult result, Throwable error) {
        callPending = false;
        nextCallMillis = context.now() + FailoverContext.RETRY_MS;
        unansweredCalls += error == null ? 0 : 1;
        boolean fenced = error == null && result == PromotionResult.ACCEPTED;
        boolean platformUnreachable = error != null && unansweredCalls >= MAX_UNANSWERED_CALLS;
        if (context.isActing()
                && context.state().records().get(service) == null
                && (fenced || platformUnreachable)) {
            unansweredCalls = 0;
            context.storeRecord(
                    new PrimaryRecord(
                            service, context.nextFencingToken(), primary.id(), false, true));
        }
    }
}
