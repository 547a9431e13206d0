package dillfront.router.gossip;

import static dillfront.routing.api.Durations.multiply;

import dillfront.routing.api.HealthObservation;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * What this router tells others of nodes: only what it sees itself, when it begins, again while
 * there is new evidence, and once more when it is over. Says nothing new where enough others have
 * said it already, nor of more than a few nodes a second: a router that finds everything ill is
 * more likely ill itself.
 */
public final class ClaimReporter {

    /** Said again after this part of the time for which claims stand, while it lasts. */
    private static final double REPEAT_INTERVAL_PART = 0.5;

    /** New claims, in the time for which claims stand. */
    private static final int MAX_NEW_CLAIMS = 16;

    /** Takes what is to be said. */
    public interface ClaimPublisher {
        void publish(int node, Symptom symptom, int evidence, Duration symptomDuration);
    }

    private static final class NodeState {
        boolean unhealthy;
        boolean published;
        Duration unhealthySince = Duration.ZERO;
        Duration publishedAt = Duration.ZERO;
    }

    private final Duration claimValidity;
    private final List<NodeState> nodes = new ArrayList<>();
    private double allowance = MAX_NEW_CLAIMS;
    private Duration allowanceUpdatedAt = Duration.ZERO;

    public ClaimReporter(GossipConfig config) {
        claimValidity = config.claimValidity();
    }

    /**
     * @param alreadyReported others have said it already, so that one more voice adds nothing
     */
    public void observe(
            int node,
            HealthObservation sight,
            boolean alreadyReported,
            Duration now,
            ClaimPublisher publisher) {
        while (nodes.size() <= node) {
            nodes.add(new NodeState());
        }
        allowance =
                Math.min(
                        MAX_NEW_CLAIMS,
                        allowance
                                + MAX_NEW_CLAIMS
                                        * (double) now.minus(allowanceUpdatedAt).toNanos()
                                        / claimValidity.toNanos());
        allowanceUpdatedAt = now;
        NodeState state = nodes.get(node);
        if (!sight.isFaulty()) {
            if (state.published && sight.health() == HealthObservation.Health.WELL) {
                publisher.publish(node, Symptom.WELL, 0, Duration.ZERO);
                state.published = false;
            }
            state.unhealthy = false;
            return;
        }
        state.unhealthySince = state.unhealthy ? state.unhealthySince : now;
        boolean due =
                !state.unhealthy
                        || now.minus(state.publishedAt)
                                                .compareTo(
                                                        multiply(
                                                                claimValidity,
                                                                REPEAT_INTERVAL_PART))
                                        >= 0
                                && sight.evidence() > 0;
        state.unhealthy = true;
        if (due && !alreadyReported && allowance >= 1) {
            allowance--;
            state.published = true;
            state.publishedAt = now;
            publisher.publish(
                    node,
                    switch (sight.health()) {
                        case LOST -> Symptom.UNREACHABLE;
                        case FAILING -> Symptom.REFUSING;
                        default -> Symptom.HUNG;
                    },
                    sight.evidence(),
                    now.minus(state.unhealthySince));
        }
    }

    public void removeNode(int node) {
        if (node < nodes.size()) {
            nodes.set(node, new NodeState());
        }
    }
}
