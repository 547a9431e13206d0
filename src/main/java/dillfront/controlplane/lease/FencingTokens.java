package dillfront.controlplane.lease;

import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.consensus.SafetyRule;

/**
 * Fencing tokens of a lease holder, for calls to the platform and for primary records: the lease's
 * number in the upper bits, and below it one more each time. None is given twice, also where the
 * lease was lost for a moment and came back under its number.
 */
public final class FencingTokens {

    private final ReplicatedRegister.Context context;
    private long leaseNumber;
    private long issued;

    public FencingTokens(ReplicatedRegister.Context context) {
        this.context = context;
    }

    /** Tokens are of this lease from now on. */
    public void startLease(long number) {
        if (number != leaseNumber || context.isDisabled(SafetyRule.NUMBERS_ONCE)) {
            issued = 0;
        }
        leaseNumber = number;
    }

    /** The next token: above all that were given before. */
    public long next() {
        return (leaseNumber << LeaseManager.NUMBER_BITS) + ++issued;
    }
}
