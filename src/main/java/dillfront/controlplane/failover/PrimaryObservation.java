package dillfront.controlplane.failover;

/**
 * What fronts see of a service's primary: how many have it answer, how many in vain, what is open
 * there.
 */
public record PrimaryObservation(
        String primary, int reachable, int unreachable, int openTransactions) {

    static final PrimaryObservation NONE = new PrimaryObservation("", 0, 0, 0);

    /** What both observers see together; the primary is the same. */
    public PrimaryObservation merge(PrimaryObservation other) {
        return new PrimaryObservation(
                primary,
                reachable + other.reachable,
                unreachable + other.unreachable,
                openTransactions + other.openTransactions);
    }
}
