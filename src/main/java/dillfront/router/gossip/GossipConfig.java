package dillfront.router.gossip;

import java.time.Duration;

/**
 * Gossip settings from the operator's file.
 *
 * @param period time between two probes of one instance
 * @param bytesPerSecond mean send rate of one instance
 * @param maxDatagramBytes size of the largest datagram, in bytes
 * @param toleratedLiars number of instances that may make false claims without effect; at most a
 *     third of all
 * @param claimValidity validity of a claim unless it is repeated
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
