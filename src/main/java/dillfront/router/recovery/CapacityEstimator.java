package dillfront.router.recovery;

import static dillfront.routing.api.Durations.multiply;
import static dillfront.routing.api.Durations.toSeconds;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Estimates the capacity of the nodes as seen by this router: the work of a warm node of size one
 * for this router, in seconds of usual service time per second. A cold node is sent a part of that
 * according to its warmth; over all routers this amounts to its part of the work of all.
 *
 * <p>Normally the estimate is the mean work of warm nodes over about the warm-up time, held for a
 * while: in a failure that leaves transactions unfinished, nodes can still do what they did before.
 * A router that started while no node was warm has no such figure. It learns from cold nodes: the
 * work they did, scaled by their warmth, plus a margin while they are not strained, and initially a
 * part of the requested load. Otherwise a fleet that restarts cold as a whole, as after a power
 * loss, would be sent nothing, since every router would wait for a warm node.
 *
 * <p>Safe in the sum over routers, regardless of how many have restarted: the learned part never
 * exceeds what nodes did and kept up with, and the initial part is taken from the load of this
 * router, without retries, spread over all nodes that were ever listed at once, so that the first
 * nodes to return do not get the share of all. In simulation ({@link
 * dillfront.simulation.ColdStartSimulation}) with three times the usual load in the first second
 * and clients that try three times, cold nodes reach 0.65 of the load that overloads them. Its
 * cost: a router with few transactions seldom has one for the node whose share it holds; a fleet of
 * such routers learns slowly.
 *
 * <p>Pure: no clock, no random source, no I/O. The estimate is not stored: warmth from before a
 * restart permits nothing.
 */
public final class CapacityEstimator {

    /**
     * Part of the requested load that an entirely cold fleet may be sent before it has done any
     * work, scaled by warmth.
     */
    private static final double INITIAL_LOAD_PART = 1 / 4.0;

    /**
     * Factor applied to the work that cold nodes did: while no node is strained, and once one is.
     */
    private static final double UNSTRAINED_FACTOR = 1.5;

    private static final double STRAINED_FACTOR = 0.75;

    /** Bounds of the random factor applied to the usual retry delay of a declined client. */
    private static final double MIN_RETRY_FACTOR = 0.5;

    private static final double MAX_RETRY_FACTOR = 2;

    /**
     * State of the fleet at a clock tick; sizes are sums over nodes.
     *
     * @param warmSize listed as ready, and warm
     * @param coldSize listed as ready, reachable and cold
     * @param listedSize ever listed and not removed
     * @param requestedPerSecond transactions requested from this router per second
     * @param typicalSeconds usual service time of a transaction, in seconds
     * @param unstrained no node is strained
     * @param warmNodeWorked a warm node has worked for this router since it started
     */
    public record FleetState(
            double warmSize,
            double coldSize,
            double listedSize,
            double requestedPerSecond,
            double typicalSeconds,
            boolean unstrained,
            boolean warmNodeWorked) {}

    private double warmUpSeconds;
    private double overloadSeconds;
    private double workDone;
    private double meanWorkRate;
    private double meanWeightSeconds;
    private double rate;
    private int commits;
    private double servedPerSecond;
    private double fleetSize;
    private boolean allCold;
    private boolean fleetReturning;

    /**
     * Applies changed settings.
     *
     * @param warmUpTime warm-up time of a node
     * @param overloadTime how long an excessive load must last to overload a cold node
     */
    public void settings(Duration warmUpTime, Duration overloadTime) {
        warmUpSeconds = toSeconds(warmUpTime);
        overloadSeconds = toSeconds(overloadTime);
    }

    /** Returns whether no node is warm and none has been since this router started. */
    public boolean allCold() {
        return allCold;
    }

    /**
     * Returns the delay after which a declined client may retry. While the whole fleet is cold,
     * declines come together, as from a burst of clients after a power loss, and their retries
     * would too: each delay is then drawn at random.
     *
     * @param pause the usual delay
     */
    public Duration retryDelay(Duration pause, RandomGenerator random) {
        return fleetReturning
                ? multiply(
                        pause,
                        MIN_RETRY_FACTOR
                                + random.nextDouble() * (MAX_RETRY_FACTOR - MIN_RETRY_FACTOR))
                : pause;
    }

    /**
     * Records a committed transaction.
     *
     * @param work its usual service time, in seconds, on a warm node
     * @param warmPart minimum part of a warm node's work that this node can do; 1 if it is warm
     */
    public void recordCommit(double work, double warmPart) {
        commits++;
        workDone += warmPart >= 1 ? work : allCold ? work / warmPart : 0;
    }

    /** Updates the estimate after the given time since the last tick. */
    public void update(double seconds, FleetState state) {
        fleetSize = Math.max(fleetSize, state.listedSize);
        allCold = state.warmSize == 0 && !state.warmNodeWorked;
        fleetReturning = allCold && state.coldSize > 0;
        double size = allCold ? state.coldSize : state.warmSize;
        if (size > 0) {
            double decay = decayFactor(seconds);
            meanWeightSeconds = meanWeightSeconds * decay + seconds;
            // The plain mean must not rise faster than it falls, or it would stand far too high at
            // a router with few transactions.
            meanWeightSeconds =
                    allCold
                            ? Math.min(meanWeightSeconds, Math.max(seconds, overloadSeconds))
                            : meanWeightSeconds;
            meanWorkRate += (workDone / size - meanWorkRate * seconds) / meanWeightSeconds;
            boolean reliable = !allCold && meanWeightSeconds * 2 > warmUpSeconds;
            double initialRate =
                    requestedWithoutRetries(state.requestedPerSecond)
                            * state.typicalSeconds
                            * INITIAL_LOAD_PART
                            / fleetSize;
            rate =
                    allCold
                            ? state.unstrained
                                    ? meanWorkRate * UNSTRAINED_FACTOR + initialRate
                                    : Math.max(meanWorkRate * STRAINED_FACTOR, initialRate)
                            : reliable
                                    ? Math.max(meanWorkRate, rate * (decay + 1) / 2)
                                    : meanWorkRate;
        }
        servedPerSecond += Math.min(1, seconds) * (commits / seconds - servedPerSecond);
        commits = 0;
        workDone = 0;
    }

    /**
     * Estimates the requested load without retries: a client that is not served retries up to
     * twice.
     */
    private double requestedWithoutRetries(double requested) {
        double retryPart = Math.max(0, 1 - servedPerSecond / Math.max(1e-9, requested));
        return requested / (1 + retryPart + retryPart * retryPart);
    }

    /**
     * Returns the remaining part, after the given time, of a quantity that decays over about the
     * warm-up time.
     */
    public double decayFactor(double seconds) {
        return Math.exp(-seconds / (warmUpSeconds + 2));
    }

    /**
     * Returns the work that a warm node of size one can do for this router, in usual service times
     * per second.
     */
    public double rate() {
        return rate;
    }
}
