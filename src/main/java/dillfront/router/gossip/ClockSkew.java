package dillfront.router.gossip;

import java.time.Duration;
import java.util.Arrays;

/**
 * Estimates the age of updates on arrival without synchronized clocks. For each origin the least
 * difference between the time on a datagram or update and the local arrival time is kept; an
 * update's excess over that is its age. The least difference drifts upwards slowly, so that a clock
 * which was set back does not make all later updates of its owner look old. Until a datagram
 * arrives from the origin itself, both clocks are taken as equal: a forwarded update that was
 * delayed for long must not become the reference.
 */
public final class ClockSkew {

    /**
     * Clock difference above which an update is rejected: an update delayed for longer cannot be
     * distinguished from a new one.
     */
    public static final Duration MAX_DIFFERENCE = Duration.ofSeconds(30);

    /** Upward drift of the least difference, as a part of the elapsed time. */
    private static final double DRIFT = 0.001;

    private final long[] minOffsetNanos;
    private final long[] updatedAtNanos;

    public ClockSkew(int instances) {
        minOffsetNanos = new long[instances];
        updatedAtNanos = new long[instances];
        Arrays.fill(minOffsetNanos, Long.MAX_VALUE);
    }

    /** Records a datagram sent by the origin itself, which only the network has delayed. */
    public void recordDirect(int origin, Duration sentAt, Duration local) {
        long offsetNanos = local.minus(sentAt).toNanos();
        if (Math.abs(offsetNanos) <= MAX_DIFFERENCE.toNanos()) {
            lowerMinimum(origin, offsetNanos, local);
        }
    }

    /**
     * Returns the age of an update arriving now; negative if it is unknown because the clocks are
     * too far apart.
     *
     * @param local local Unix time
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
