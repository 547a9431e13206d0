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
public final class Skew {

    /**
     * Clock difference above which an update is rejected: an update delayed for longer cannot be
     * told from a new one.
     */
    public static final Duration MOST = Duration.ofSeconds(30);

    /** Upward drift of the least difference, as a part of the elapsed time. */
    private static final double DRIFT = 0.001;

    private final long[] least;
    private final long[] at;

    public Skew(int instances) {
        least = new long[instances];
        at = new long[instances];
        Arrays.fill(least, Long.MAX_VALUE);
    }

    /** Records a datagram sent by the origin itself, which only the network has delayed. */
    public void direct(int origin, Duration sent, Duration here) {
        long off = here.minus(sent).toNanos();
        if (Math.abs(off) <= MOST.toNanos()) {
            lower(origin, off, here);
        }
    }

    /**
     * Returns the age of an update arriving now; negative if the clocks are too far apart to tell.
     *
     * @param here local Unix time
     */
    public Duration age(int origin, Duration said, Duration here) {
        long off = here.minus(said).toNanos();
        if (Math.abs(off) > MOST.toNanos()) {
            return Duration.ofNanos(-1);
        }
        if (least[origin] == Long.MAX_VALUE) {
            return Duration.ofNanos(Math.max(0, off));
        }
        lower(origin, off, here);
        return Duration.ofNanos(off - least[origin]);
    }

    private void lower(int origin, long off, Duration here) {
        if (least[origin] != Long.MAX_VALUE) {
            least[origin] += (long) (Math.max(0, here.toNanos() - at[origin]) * DRIFT);
        }
        least[origin] = Math.min(least[origin], off);
        at[origin] = here.toNanos();
    }
}
