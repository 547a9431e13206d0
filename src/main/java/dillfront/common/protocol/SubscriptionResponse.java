package dillfront.common.protocol;

import java.util.List;

/**
 * A control process's response to a {@link SubscriptionRequest}, with the updates that the data
 * plane lacks.
 *
 * @param requestId the id of the request that it answers
 * @param isolated whether the control process has no contact with a majority; its state may be
 *     outdated, and the data plane has to poll another one
 * @param registry null if the data plane has the current server table
 * @param configuration null if the data plane has the newest one
 * @param suspects null if the data plane has the newest list
 * @param dataPlanes the number of data planes that share the connection limits; -1 if unknown
 * @param primaryCertaintyMillis for how long after the request no server other than the recorded
 *     primary can be the primary; 0 if that is not certain
 * @param addresses the addresses of the control processes; null if unchanged on this connection
 */
public record SubscriptionResponse(
        long requestId,
        boolean isolated,
        RegistryUpdate registry,
        ConfigurationUpdate configuration,
        List<PrimaryRecord> records,
        SuspectsUpdate suspects,
        int dataPlanes,
        long primaryCertaintyMillis,
        List<ControlAddress> addresses) {

    /** Creates the response of an isolated process, which only names other control processes. */
    public static SubscriptionResponse isolated(long requestId, List<ControlAddress> addresses) {
        return new SubscriptionResponse(
                requestId, true, null, null, List.of(), null, -1, 0, addresses);
    }

    /**
     * An update of the server table.
     *
     * @param incarnation the incarnation of the process that owns the table; versions are relative
     *     to it
     * @param complete whether the update lists all servers; otherwise only the changed ones
     */
    public record RegistryUpdate(
            String incarnation, long version, boolean complete, List<ServerRow> servers) {}

    /**
     * The newest configuration in one of two forms; the other one is null.
     *
     * @param delta the delta from the data plane's configuration
     * @param compressed the full configuration, compressed
     */
    public record ConfigurationUpdate(long revision, byte[] delta, byte[] compressed) {}

    /**
     * The services whose primary the lease holder suspects; data planes report how they observe it.
     */
    public record SuspectsUpdate(long version, List<String> services) {}

    /**
     * The address of a control process.
     *
     * @param unresponsive whether the process that sent the response had no recent contact with it
     */
    public record ControlAddress(String ip, String zoneName, boolean unresponsive) {}
}
