package dillfront.core;

/**
 * Numbers for what the holder of a lease does, at the platform (fencing tokens) and in records: the
 * lease's own above, and within it one more each time. None is given twice, also where the lease
 * was out of hand for a moment and came back under its number.
 */
public final class Numbers {

    private final Register.Ground ground;
    private long lease;
    private long given;

    public Numbers(Register.Ground ground) {
        this.ground = ground;
    }

    /** From now on they are of this lease. */
    public void of(long number) {
        if (number != lease || ground.without(Defence.NUMBERS_ONCE)) {
            given = 0;
        }
        lease = number;
    }

    public long next() {
        return (lease << Lease.WITHIN) + ++given;
    }
}
