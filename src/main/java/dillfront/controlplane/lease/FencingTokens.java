package dillfront.controlplane.lease;

import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.consensus.SafetyRule;

/**
 * Issues the fencing tokens of a lease holder for platform calls and primary records. The upper
 * bits of a token are the lease number, the lower bits a counter. No token is issued twice, even if
 * the lease is lost temporarily and regained under the same number.
 */
public final class FencingTokens {

    private final ReplicatedRegister.Context context;
    private long leaseNumber;
    private long issued;

    public FencingTokens(ReplicatedRegister.Context context) {
        this.context = context;
    }

    /** Issues tokens of this lease from now on. */
    public void startLease(long number) {
        if (number != leaseNumber || context.isDisabled(SafetyRule.NUMBERS_ONCE)) {
            issued = 0;
        }
        leaseNumber = number;
    }

    /** Returns the next token, which is above all tokens issued before. */
    public long next() {
        return (leaseNumber << LeaseManager.NUMBER_BITS) + ++issued;
    }
}
