package dillfront.router.gossip;

import static dillfront.routing.api.Durations.multiply;

import dillfront.routing.api.HealthObservation;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which of this router's own observations of nodes are published as claims: when a symptom
 * begins, again while there is new evidence, and once more when it has ended. A claim is left out
 * if enough peers have made it already. The number of claims is also limited, since a router that
 * finds every node unhealthy is more likely unhealthy itself.
 */
public final class ClaimReporter {

    /** Interval between repeated claims on a lasting symptom, as a part of a claim's validity. */
    private static final double REPEAT_INTERVAL_PART = 0.5;

    /** Maximum number of new claims per claim validity. */
    private static final int MAX_NEW_CLAIMS = 16;

    /** Receives the claims to publish. */
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
     * @param alreadyReported enough peers have made the claim, so one more adds nothing
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
