package dillfront.controlplane.failover;

import dillfront.controlplane.lease.LeaseManager;
import java.util.function.BooleanSupplier;

/**
 * Computes how long the primary records can be trusted, i.e. how long it is certain that no server
 * other than the recorded one is the primary of a service. The lease holder's trust period is
 * passed to other control processes and from there to data planes, which query the primary first
 * once the period has expired.
 */
public final class PrimaryCertainty {

    /** Maximum trust period after the lease holder's last message. */
    static final long MAX_DURATION_MS = 3_000;

    /**
     * Maximum trust period past the end of the holder's lease. This is the highest value for which
     * the next holder's wait covers clock rates that differ by 10%: (2250 + 600) * 1.1 < 2500 + 700
     * / 1.1.
     */
    static final long MAX_AFTER_LEASE_MS = 600;

    private final LeaseManager lease;
    private final BooleanSupplier isHolder;
    private long certainUntilMillis = LeaseManager.NEVER_MILLIS;

    /**
     * Creates an instance for this process.
     *
     * @param isHolder whether this process acts as the lease holder
     */
    public PrimaryCertainty(LeaseManager lease, BooleanSupplier isHolder) {
        this.lease = lease;
        this.isHolder = isHolder;
    }

    /** Returns the remaining trust period; zero or negative if the period has expired. */
    public long remainingMillis(long nowMillis) {
        if (isHolder.getAsBoolean()) {
            return Math.min(
                    MAX_DURATION_MS, lease.validUntilMillis() - nowMillis + MAX_AFTER_LEASE_MS);
        }
        return certainUntilMillis - nowMillis;
    }

    /**
     * Handles the lease holder's report of its remaining lease time.
     *
     * @param requestedMillis when this process sent the message that the holder answered; the
     *     period is measured from before the holder read its clock, so the period ends no later
     *     than the holder's
     */
    public void onHolderMessage(long requestedMillis, long leaseRemainingMillis) {
        long remaining = Math.min(MAX_DURATION_MS, leaseRemainingMillis + MAX_AFTER_LEASE_MS);
        certainUntilMillis = Math.max(certainUntilMillis, requestedMillis + remaining);
    }
}
