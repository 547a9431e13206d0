package dillfront.routing.api;

import java.time.Duration;

/**
 * What a node told of itself: in the note of an answer, or in a load report, which is some time
 * old.
 *
 * @param position up to where it has applied every commit; null where it did not say
 * @param role null where it did not say
 */
public record NodeReport(Duration position, NodeRole role) {

    public static final NodeReport EMPTY = new NodeReport(null, null);
}
