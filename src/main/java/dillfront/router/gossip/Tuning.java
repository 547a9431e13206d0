package dillfront.router.gossip;

import java.time.Duration;

/**
 * Gossip settings from the operator's file.
 *
 * @param period time between two probes of one instance
 * @param bytesPerSecond mean send rate of one instance
 * @param datagram size of the largest datagram, in bytes
 * @param liars number of instances that may make false claims without effect; at most a third of
 *     all
 * @param lasts validity of a claim unless it is repeated
 */
public record Tuning(Duration period, int bytesPerSecond, int datagram, int liars, Duration lasts) {

    public static final Tuning USUAL =
            new Tuning(Duration.ofSeconds(1), 3000, 1200, 1, Duration.ofSeconds(5));
}
