package dillfront.controlplane.lease;

import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.consensus.SafetyRule;

/**
 * Numbers for what the holder of a lease does, at the platform (fencing tokens) and in records: the
 * lease's own above, and within it one more each time. None is given twice, also where the lease
 * was out of hand for a moment and came back under its number.
 */
public final class FencingTokens {

    private final ReplicatedRegister.Context context;
    private long leaseNumber;
    private long issued;

    public FencingTokens(ReplicatedRegister.Context ground) {
        this.context = ground;
    }

    /** From now on they are of this lease. */
    public void startLease(long number) {
        if (number != leaseNumber || context.isDisabled(SafetyRule.NUMBERS_ONCE)) {
            issued = 0;
        }
        leaseNumber = number;
    }

    public long next() {
        return (leaseNumber << LeaseManager.NUMBER_BITS) + ++issued;
    }
}
