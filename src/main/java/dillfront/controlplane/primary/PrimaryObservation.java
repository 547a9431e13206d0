package dillfront.controlplane.primary;

/**
 * What data planes see of a service's primary.
 *
 * @param primary the id of the server
 * @param reachable how many data planes it answers
 * @param unreachable how many it does not
 * @param openTransactions how many transactions are open there
 */
public record PrimaryObservation(
        String primary, int reachable, int unreachable, int openTransactions) {

    /** What no data plane has told of yet. */
    public static PrimaryObservation none(String primary) {
        return new PrimaryObservation(primary, 0, 0, 0);
    }

    /** What both groups of data planes see together; the primary is the same. */
    public PrimaryObservation merge(PrimaryObservation other) {
        return new PrimaryObservation(
                primary,
                reachable + other.reachable,
                unreachable + other.unreachable,
                openTransactions + other.openTransactions);
    }
}
