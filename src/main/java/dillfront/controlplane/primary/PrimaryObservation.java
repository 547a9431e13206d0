package dillfront.controlplane.primary;

/**
 * Summarizes how data planes see the primary of a service.
 *
 * @param primary the id of the server
 * @param reachable the number of data planes that reach the server
 * @param unreachable the number of data planes that do not reach the server
 * @param openTransactions the number of open transactions on the server
 */
public record PrimaryObservation(
        String primary, int reachable, int unreachable, int openTransactions) {

    /** Returns the observation without any reports. */
    public static PrimaryObservation none(String primary) {
        return new PrimaryObservation(primary, 0, 0, 0);
    }

    /** Returns the sum of two observations of the same primary. */
    public PrimaryObservation merge(PrimaryObservation other) {
        return new PrimaryObservation(
                primary,
                reachable + other.reachable,
                unreachable + other.unreachable,
                openTransactions + other.openTransactions);
    }
}
