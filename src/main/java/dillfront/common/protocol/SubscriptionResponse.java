package dillfront.common.protocol;

import java.util.List;

/**
 * A control process's answer to a {@link SubscriptionRequest}: what the data plane lacks.
 *
 * @param requestId the request that it answers
 * @param isolated the control process hears no majority: what it has may be old, and another is to
 *     be asked
 * @param registry null where the data plane has all
 * @param configuration null where the data plane has the newest
 * @param suspects null where the data plane has the newest list
 * @param dataPlanes how many data planes share the connection limits; -1 where not said
 * @param primaryCertaintyMillis for how long from the request on no server leads other than the
 *     records say; 0 for not at all
 * @param addresses where control processes are; null where the data plane was told so before
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

    /** An answer of a process that hears no majority, and nothing but where others may be. */
    public static SubscriptionResponse isolated(long requestId, List<ControlAddress> addresses) {
        return new SubscriptionResponse(
                requestId, true, null, null, List.of(), null, -1, 0, addresses);
    }

    /**
     * Changes of the server table.
     *
     * @param incarnation of the process whose table it is: versions count within it
     * @param complete all servers that there are; else those that changed
     */
    public record RegistryUpdate(
            String incarnation, long version, boolean complete, List<ServerRow> servers) {}

    /**
     * The newest configuration, in one of two forms; the other is null.
     *
     * @param delta what turns the configuration that the data plane has into this one
     * @param compressed the whole configuration
     */
    public record ConfigurationUpdate(long revision, byte[] delta, byte[] compressed) {}

    /**
     * Services whose primary the lease holder suspects: what data planes see of it is asked for.
     */
    public record SuspectsUpdate(long version, List<String> services) {}

    /**
     * Where a control process is.
     *
     * @param unresponsive nothing was heard from it of late
     */
    public record ControlAddress(String ip, String zoneName, boolean unresponsive) {}
}
