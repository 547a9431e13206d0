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
public final class Reckoning {

    /**
     * The part of what is asked for that a fleet which is cold as a whole may be sent, by its
     * warmth, before it did anything.
     */
    private static final double SEED = 1 / 4.0;

    /**
     * So many times what it did by its warmth, while that strains no node; and once it strains one.
     */
    private static final double KEPT_UP = 1.5;

    private static final double STRAINS = 0.75;

    /**
     * A client that is declined then may come again after these parts of its usual pause, each as
     * likely as the next.
     */
    private static final double NEAREST = 0.5;

    private static final double FURTHEST = 2;

    /**
     * The fleet at a beat; sizes are sums over nodes.
     *
     * @param warm nodes that are listed as ready and warm
     * @param cold nodes that are listed as ready, in reach, and cold
     * @param listed all that any list has named and that are not forgotten
     * @param asked how many txns this router is asked for a second
     * @param typical the usual time of one, in seconds
     * @param easy no node is strained
     * @param worked a warm node has worked for this router since it began
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
     * By these settings from now on.
     *
     * @param coldFor how long a node warms
     * @param tipAfter for how long too much must be sent to a cold node to push it over
     */
    public void settings(Duration coldFor, Duration tipAfter) {
        coldSeconds = toSeconds(coldFor);
        windowSeconds = toSeconds(tipAfter);
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
    public Duration back(Duration pause, RandomGenerator chance) {
        return returning
                ? multiply(pause, NEAREST + chance.nextDouble() * (FURTHEST - NEAREST))
                : pause;
    }

    /**
     * A node has committed a txn.
     *
     * @param work its usual time, in seconds; of a cold node in place of a warm one's
     * @param part of a warm node's work that this node can do at the least; 1 if it is warm
     */
    public void did(double work, double part) {
        count++;
        done += part >= 1 ? work : allCold ? work / part : 0;
    }

    /** So many seconds have gone by since the last beat. */
    public void beat(double seconds, Seen seen) {
        fleet = Math.max(fleet, seen.listed);
        allCold = seen.warm == 0 && !seen.worked;
        returning = allCold && seen.cold > 0;
        double by = allCold ? seen.cold : seen.warm;
        if (by > 0) {
            double kept = kept(seconds);
            doneWeight = doneWeight * kept + seconds;
            // The plain mean rises no faster than it falls: else it stands far too high at a router
            // of few txns.
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

    /** Of what is asked: who is not served asks again, up to twice. */
    private double firstTries(double asked) {
        double again = Math.max(0, 1 - served / Math.max(1e-9, asked));
        return asked / (1 + again + again * again);
    }

    /** What is left after so long of what fades over about the time in which a node warms. */
    public double kept(double seconds) {
        return Math.exp(-seconds / (coldSeconds + 2));
    }

    /** What a warm node of size one can do for this router, in usual times a second. */
    public double rate() {
        return rate;
    }
}
