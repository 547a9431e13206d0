package dillfront.router.identity;

/**
 * Someone who may be served.
 *
 * @param tenant index of his tenant in the settings; -1 where it has none
 * @param transactionsPerSecond txns a second that he may begin, over all his sessions here; 0 where
 *     that is not bounded
 * @param maxInFlight txns that he may have out at once here; 0 where that is not bounded
 */
public record Principal(
        String name, int tenant, Rights rights, double transactionsPerSecond, int maxInFlight) {}
