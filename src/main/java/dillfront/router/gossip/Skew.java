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
public final class Skew {

    /**
     * Clocks further apart than this are not believed: a word kept back for longer can't be told
     * from a new one.
     */
    public static final Duration MOST = Duration.ofSeconds(30);

    /** How fast the least difference gives way, as a part of the time. */
    private static final double DRIFT = 0.001;

    private final long[] least;
    private final long[] at;

    public Skew(int instances) {
        least = new long[instances];
        at = new long[instances];
        Arrays.fill(least, Long.MAX_VALUE);
    }

    /** A datagram of its own, sent then, has just come: only the network lies between. */
    public void direct(int origin, Duration sent, Duration here) {
        long off = here.minus(sent).toNanos();
        if (Math.abs(off) <= MOST.toNanos()) {
            lower(origin, off, here);
        }
    }

    /**
     * The age of a word that arrives now; negative where it can't be told since the clocks are too
     * far apart.
     *
     * @param here this instance's Unix time
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
