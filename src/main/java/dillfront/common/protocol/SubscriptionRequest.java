package dillfront.common.protocol;

import dillfront.common.database.AcknowledgedCommits;
import java.util.List;

/**
 * A data plane's long poll. The request states what the data plane has, and is answered once there
 * is an update.
 *
 * @param requestId increases with each request; the response repeats it
 * @param incarnation the incarnation of the control process whose server table the data plane has
 * @param registryVersion the version of that table
 * @param configurationRevision the revision of the data plane's configuration; -1 for none
 * @param configurationDigest the digest of the data plane's configuration; null if it was sent
 *     before on this connection
 * @param fullConfiguration whether the full configuration is requested because a delta could not be
 *     applied
 * @param waitsForQuorum whether the request waits while the control process is isolated from a
 *     majority, because the data plane knows no better process; otherwise it is answered with other
 *     addresses
 * @param recordNumber the newest primary record that the data plane has; -1 for none
 * @param suspectsVersion the newest list of suspected primaries that the data plane has; -1 for
 *     none
 */
public record SubscriptionRequest(
        String nodeName,
        String zoneName,
        long requestId,
        String incarnation,
        long registryVersion,
        long configurationRevision,
        Long configurationDigest,
        boolean fullConfiguration,
        boolean waitsForQuorum,
        long recordNumber,
        long suspectsVersion,
        List<PrimaryView> primaries) {

    public SubscriptionRequest {
        primaries = List.copyOf(primaries);
    }

    /**
     * A data plane's observation of one service's primary.
     *
     * @param openTransactions the number of the data plane's open transactions on the primary
     * @param reachability positive if the primary answers, negative if it is unreachable, 0 if that
     *     is unknown
     * @param acknowledged the bounds of the commits whose acknowledgement the data plane received
     */
    public record PrimaryView(
            String service,
            long openTransactions,
            String primary,
            long reachability,
            AcknowledgedCommits acknowledged) {}
}
