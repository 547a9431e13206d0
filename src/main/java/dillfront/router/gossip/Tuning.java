package dillfront.router.gossip;

import java.time.Duration;

/**
 * What the operator's file says of gossip.
 *
 * @param period between two probes of one instance
 * @param bytesPerSecond what one instance may send, in the mean
 * @param datagram bytes of the largest datagram
 * @param liars so many instances may say what they like without carrying a claim; at most a third
 *     of all
 * @param lasts how long a claim stands unless it is said again
 */
public record Tuning(Duration period, int bytesPerSecond, int datagram, int liars, Duration lasts) {

    public static final Tuning USUAL =
            new Tuning(Duration.ofSeconds(1), 3000, 1200, 1, Duration.ofSeconds(5));
}
