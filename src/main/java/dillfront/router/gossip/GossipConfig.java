package dillfront.router.gossip;

import java.time.Duration;

/**
 * What the operator's file says of gossip.
 *
 * @param period between two probes of one instance
 * @param bytesPerSecond what one instance may send, in the mean
 * @param maxDatagramBytes bytes of the largest datagram
 * @param toleratedLiars so many instances may say what they like without carrying a claim; at most
 *     a third of all
 * @param claimValidity how long a claim stands unless it is said again
 */
public record GossipConfig(
        Duration period,
        int bytesPerSecond,
        int maxDatagramBytes,
        int toleratedLiars,
        Duration claimValidity) {

    public static final GossipConfig DEFAULT =
            new GossipConfig(Duration.ofSeconds(1), 3000, 1200, 1, Duration.ofSeconds(5));
}
