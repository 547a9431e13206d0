package dillfront.controlplane.failover;

import dillfront.controlplane.lease.LeaseManager;
import java.util.function.BooleanSupplier;

/**
 * For how long it is certain that no server leads a service other than the records say. The lease
 * holder's word passes to other control processes and from there to data planes, which ask a
 * primary first where this is over.
 */
public final class PrimaryCertainty {

    /** No longer than this after the lease holder last said so. */
    static final long MAX_DURATION_MS = 3_000;

    /**
     * Nor for longer than this past the end of the holder's lease. It is the most for which the
     * next holder's wait covers clocks that differ by a tenth: (2250 + 600) * 1.1 < 2500 + 700 /
     * 1.1.
     */
    static final long MAX_AFTER_LEASE_MS = 600;

    private final LeaseManager lease;
    private final BooleanSupplier isHolder;
    private long certainUntilMillis = LeaseManager.NEVER_MILLIS;

    /**
     * @param isHolder whether this process acts as the lease holder
     */
    public PrimaryCertainty(LeaseManager lease, BooleanSupplier isHolder) {
        this.lease = lease;
        this.isHolder = isHolder;
    }

    /** How long it is certain from now on; not above 0 where it is not. */
    public long remainingMillis(long nowMillis) {
        if (isHolder.getAsBoolean()) {
            return Math.min(
                    MAX_DURATION_MS, lease.validUntilMillis() - nowMillis + MAX_AFTER_LEASE_MS);
        }
        return certainUntilMillis - nowMillis;
    }

    /**
     * The lease holder said that its lease runs for so long.
     *
     * @param requestedMillis when this process sent the message that the holder answered: dated
     *     from before the holder looked at its clock, the certainty ends no later than by the
     *     holder's
     */
    public void onHolderMessage(long requestedMillis, long leaseRemainingMillis) {
        long remaining = Math.min(MAX_DURATION_MS, leaseRemainingMillis + MAX_AFTER_LEASE_MS);
        certainUntilMillis = Math.max(certainUntilMillis, requestedMillis + remaining);
    }
}
