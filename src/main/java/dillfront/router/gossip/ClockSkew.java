package dillfront.router.gossip;

import java.time.Duration;
import java.util.Arrays;

/**
 * How old a word is when it arrives, though no two clocks agree. Of each origin the least
 * difference between its time on a datagram or word and the time of arrival here is kept; what a
 * later word needs beyond it is its age. The least difference drifts upwards slowly, so that a
 * clock that was set anew does not make all words of its owner old for good. Until a datagram has
 * come from the origin itself, the clocks are taken as equal: guards against words of others that
 * have been on their way for long, and would be the measure of those to come.
 */
public final class ClockSkew {

    /**
     * Clocks further apart than this are not believed: a word kept back for longer can't be told
     * from a new one.
     */
    public static final Duration MAX_DIFFERENCE = Duration.ofSeconds(30);

    /** How fast the least difference gives way, as a part of the time. */
    private static final double DRIFT = 0.001;

    private final long[] minOffsetNanos;
    private final long[] updatedAtNanos;

    public ClockSkew(int instances) {
        minOffsetNanos = new long[instances];
        updatedAtNanos = new long[instances];
        Arrays.fill(minOffsetNanos, Long.MAX_VALUE);
    }

    /** A datagram of its own, sent then, has just come: only the network lies between. */
    public void recordDirect(int origin, Duration sentAt, Duration local) {
        long offsetNanos = local.minus(sentAt).toNanos();
        if (Math.abs(offsetNanos) <= MAX_DIFFERENCE.toNanos()) {
            lowerMinimum(origin, offsetNanos, local);
        }
    }

    /**
     * The age of a word that arrives now; negative where it can't be told since the clocks are too
     * far apart.
     *
     * @param local this instance's Unix time
     */
    public Duration age(int origin, Duration createdAt, Duration local) {
        long offsetNanos = local.minus(createdAt).toNanos();
        if (Math.abs(offsetNanos) > MAX_DIFFERENCE.toNanos()) {
            return Duration.ofNanos(-1);
        }
        if (minOffsetNanos[origin] == Long.MAX_VALUE) {
            return Duration.ofNanos(Math.max(0, offsetNanos));
        }
        lowerMinimum(origin, offsetNanos, local);
        return Duration.ofNanos(offsetNanos - minOffsetNanos[origin]);
    }

    private void lowerMinimum(int origin, long offsetNanos, Duration local) {
        if (minOffsetNanos[origin] != Long.MAX_VALUE) {
            minOffsetNanos[origin] +=
                    (long) (Math.max(0, local.toNanos() - updatedAtNanos[origin]) * DRIFT);
        }
        minOffsetNanos[origin] = Math.min(minOffsetNanos[origin], offsetNanos);
        updatedAtNanos[origin] = local.toNanos();
    }
}
