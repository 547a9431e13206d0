package dillfront.router.recovery;

import static dillfront.routing.api.Durations.multiply;
import static dillfront.routing.api.Durations.toSeconds;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * What nodes can do, as this router can tell: the work of a warm node of size one for this router,
 * in seconds of usual time a second. A cold node is sent its part of that, by its warmth; over all
 * routers it is then sent its part of what all do.
 *
 * <p>Usually it is what warm nodes did, a plain mean over about the time in which one warms, held
 * for a while: in a trouble that leaves txns undone nodes can do what they did before it. A router
 * that began while no node was warm knows no such figure. It learns from cold nodes instead: what
 * they did, by their warmth, and somewhat more while that strains them little; and, so that it can
 * begin, a part of what it is asked for. Guards against a fleet that comes back cold as a whole, as
 * from a loss of power, and is sent nothing until it is warm, since every router waits for a warm
 * node to show what one can do.
 *
 * <p>Safe in the sum over routers, however many are back: what is learned is never more than nodes
 * did and kept up with, and the part of what is asked for is of what this router is asked, less
 * what is asked again, over all nodes that were ever listed at once, so that the few that are back
 * first do not get the share of all. Played in virtual time ({@code lab.Dark}) with three times the
 * usual in the first second and clients that ask thrice, cold nodes come to 0.65 of what tips them.
 * Harm: a router of few txns seldom has one for the node that it was dealt a share for, so many
 * such routers learn slowly.
 *
 * <p>Pure: no clock, no chance, no I/O. What it remembers is gone with the process: warmth from
 * before permits nothing.
 */
public final class CapacityEstimator {

    /**
     * The part of what is asked for that a fleet which is cold as a whole may be sent, by its
     * warmth, before it did anything.
     */
    private static final double INITIAL_LOAD_PART = 1 / 4.0;

    /**
     * So many times what it did by its warmth, while that strains no node; and once it strains one.
     */
    private static final double UNSTRAINED_FACTOR = 1.5;

    private static final double STRAINED_FACTOR = 0.75;

    /**
     * A client that is declined then may come again after these parts of its usual pause, each as
     * likely as the next.
     */
    private static final double MIN_RETRY_FACTOR = 0.5;

    private static final double MAX_RETRY_FACTOR = 2;

    /**
     * The fleet at a beat; sizes are sums over nodes.
     *
     * @param warmSize nodes that are listed as ready and warm
     * @param coldSize nodes that are listed as ready, in reach, and cold
     * @param listedSize all that any list has named and that are not forgotten
     * @param requestedPerSecond how many txns this router is asked for a second
     * @param typicalSeconds the usual time of one, in seconds
     * @param unstrained no node is strained
     * @param warmNodeWorked a warm node has worked for this router since it began
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
     * By these settings from now on.
     *
     * @param warmUpTime how long a node warms
     * @param overloadTime for how long too much must be sent to a cold node to push it over
     */
    public void settings(Duration warmUpTime, Duration overloadTime) {
        warmUpSeconds = toSeconds(warmUpTime);
        overloadSeconds = toSeconds(overloadTime);
    }

    /** No node is warm, and none was since this router began. */
    public boolean allCold() {
        return allCold;
    }

    /**
     * After how long a client that is declined may come again. Where no node is warm and none was,
     * declines come together, as those of a crowd that power has brought back at once, and would
     * come again together: each is drawn by itself then.
     *
     * @param pause in an ordinary time
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
     * A node has committed a txn.
     *
     * @param work its usual time, in seconds; of a cold node in place of a warm one's
     * @param warmPart of a warm node's work that this node can do at the least; 1 if it is warm
     */
    public void recordCommit(double work, double warmPart) {
        commits++;
        workDone += warmPart >= 1 ? work : allCold ? work / warmPart : 0;
    }

    /** So many seconds have gone by since the last beat. */
    public void update(double seconds, FleetState state) {
        fleetSize = Math.max(fleetSize, state.listedSize);
        allCold = state.warmSize == 0 && !state.warmNodeWorked;
        fleetReturning = allCold && state.coldSize > 0;
        double size = allCold ? state.coldSize : state.warmSize;
        if (size > 0) {
            double decay = decayFactor(seconds);
            meanWeightSeconds = meanWeightSeconds * decay + seconds;
            // The plain mean rises no faster than it falls: else it stands far too high at a router
            // of few txns.
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

    /** Of what is asked: who is not served asks again, up to twice. */
    private double requestedWithoutRetries(double requested) {
        double retryPart = Math.max(0, 1 - servedPerSecond / Math.max(1e-9, requested));
        return requested / (1 + retryPart + retryPart * retryPart);
    }

    /** What is left after so long of what fades over about the time in which a node warms. */
    public double decayFactor(double seconds) {
        return Math.exp(-seconds / (warmUpSeconds + 2));
    }

    /** What a warm node of size one can do for this router, in usual times a second. */
    public double rate() {
        return rate;
    }
}
