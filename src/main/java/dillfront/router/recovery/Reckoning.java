package dillfront.router.recovery;

import static dillfront.routing.api.Spans.seconds;
import static dillfront.routing.api.Spans.times;

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
 * nodes to return do not get the share of all. In simulation ({@code lab.Dark}) with three times
 * the usual load in the first second and clients that retry twice, cold nodes reach 0.65 of the
 * load that overloads them. Its cost: a router with few transactions seldom has one for the node
 * whose share it holds, so many such routers learn slowly.
 *
 * <p>Pure: no clock, no random source, no I/O. The estimate is not stored: warmth from before a
 * restart permits nothing.
 */
public final class Reckoning {

    /**
     * Part of the requested load that an entirely cold fleet may be sent before it has done any
     * work, scaled by warmth.
     */
    private static final double SEED = 1 / 4.0;

    /**
     * Factor applied to the work that cold nodes did: while no node is strained, and once one is.
     */
    private static final double KEPT_UP = 1.5;

    private static final double STRAINS = 0.75;

    /** Bounds of the random factor applied to the usual retry delay of a declined client. */
    private static final double NEAREST = 0.5;

    private static final double FURTHEST = 2;

    /**
     * State of the fleet at a clock tick; sizes are sums over nodes.
     *
     * @param warm listed as ready, and warm
     * @param cold listed as ready, reachable and cold
     * @param listed ever listed and not removed
     * @param asked transactions requested from this router per second
     * @param typical usual service time of a transaction, in seconds
     * @param easy no node is strained
     * @param worked a warm node has worked for this router since it started
     */
    public record Seen(
            double warm,
            double cold,
            double listed,
            double asked,
            double typical,
            boolean easy,
            boolean worked) {}

    private double coldSeconds;
    private double windowSeconds;
    private double done;
    private double doneRate;
    private double doneWeight;
    private double rate;
    private int count;
    private double served;
    private double fleet;
    private boolean allCold;
    private boolean returning;

    /**
     * Applies changed settings.
     *
     * @param coldFor warm-up time of a node
     * @param tipAfter how long an excessive load must last to overload a cold node
     */
    public void settings(Duration coldFor, Duration tipAfter) {
        coldSeconds = seconds(coldFor);
        windowSeconds = seconds(tipAfter);
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
    public Duration back(Duration pause, RandomGenerator chance) {
        return returning
                ? times(pause, NEAREST + chance.nextDouble() * (FURTHEST - NEAREST))
                : pause;
    }

    /**
     * Records a committed transaction.
     *
     * @param work its usual service time, in seconds, on a warm node
     * @param part minimum part of a warm node's work that this node can do; 1 if it is warm
     */
    public void did(double work, double part) {
        count++;
        done += part >= 1 ? work : allCold ? work / part : 0;
    }

    /** Updates the estimate after the given time since the last tick. */
    public void beat(double seconds, Seen seen) {
        fleet = Math.max(fleet, seen.listed);
        allCold = seen.warm == 0 && !seen.worked;
        returning = allCold && seen.cold > 0;
        double by = allCold ? seen.cold : seen.warm;
        if (by > 0) {
            double kept = kept(seconds);
            doneWeight = doneWeight * kept + seconds;
            // The plain mean must not rise faster than it falls, or it would stand far too high at
            // a router with few transactions.
            doneWeight =
                    allCold ? Math.min(doneWeight, Math.max(seconds, windowSeconds)) : doneWeight;
            doneRate += (done / by - doneRate * seconds) / doneWeight;
            boolean sure = !allCold && doneWeight * 2 > coldSeconds;
            double seed = firstTries(seen.asked) * seen.typical * SEED / fleet;
            rate =
                    allCold
                            ? seen.easy
                                    ? doneRate * KEPT_UP + seed
                                    : Math.max(doneRate * STRAINS, seed)
                            : sure ? Math.max(doneRate, rate * (kept + 1) / 2) : doneRate;
        }
        served += Math.min(1, seconds) * (count / seconds - served);
        count = 0;
        done = 0;
    }

    /**
     * Estimates the requested load without retries: a client that is not served retries up to
     * twice.
     */
    private double firstTries(double asked) {
        double again = Math.max(0, 1 - served / Math.max(1e-9, asked));
        return asked / (1 + again + again * again);
    }

    /**
     * Returns the remaining part, after the given time, of a quantity that decays over about the
     * warm-up time.
     */
    public double kept(double seconds) {
        return Math.exp(-seconds / (coldSeconds + 2));
    }

    /**
     * Returns the work that a warm node of size one can do for this router, in usual service times
     * per second.
     */
    public double rate() {
        return rate;
    }
}
