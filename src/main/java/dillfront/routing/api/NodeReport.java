package dillfront.routing.api;

import java.time.Duration;

/**
 * State that a node reports about itself, in an answer or in a load report measured some time
 * earlier.
 *
 * @param position the log position up to which the node has applied every commit; null if unknown
 * @param role null if unknown
 */
public record NodeReport(Duration position, NodeRole role) {

    public static final NodeReport EMPTY = new NodeReport(null, null);
}
