package dillfront.router.identity;

/**
 * An authenticated user or application.
 *
 * @param tenant index of the tenant in the settings; -1 for none
 * @param transactionsPerSecond transactions per second over all its sessions on this router; 0 for
 *     no limit
 * @param maxInFlight transactions in flight over all its sessions on this router; 0 for no limit
 */
public record Principal(
        String name, int tenant, Rights rights, double transactionsPerSecond, int maxInFlight) {}
