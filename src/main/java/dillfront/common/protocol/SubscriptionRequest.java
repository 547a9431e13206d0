package dillfront.common.protocol;

import dillfront.common.database.AcknowledgedCommits;
import java.util.List;

/**
 * A data plane's long poll: what it has, so that it is answered once there is more.
 *
 * @param requestId rises with each request; the response names the one that it answers
 * @param incarnation of the control process whose server table it has
 * @param registryVersion up to which change it has that table
 * @param configurationRevision -1 where it has no configuration
 * @param configurationDigest of the configuration that it has; null where it was sent before on
 *     this connection
 * @param fullConfiguration a delta did not fit: the configuration is to come whole
 * @param waitsForQuorum it knows no better control process: it would rather wait here until this
 *     one is in contact with a majority again than be told to look elsewhere
 * @param recordNumber the newest primary record that it has; -1 for none
 * @param suspectsVersion the newest list of suspected primaries that it has; -1 for none
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
     * How a data plane sees the primary of one service.
     *
     * @param openTransactions transactions that it has open there
     * @param reachability above 0: answers; below 0: is out of reach; 0: not known
     * @param acknowledged of the commits whose answers came to this data plane
     */
    public record PrimaryView(
            String service,
            long openTransactions,
            String primary,
            long reachability,
            AcknowledgedCommits acknowledged) {}
}
