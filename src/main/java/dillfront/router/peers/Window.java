package dillfront.router.peers;

import java.time.Duration;
import java.util.Arrays;

/**
 * Which datagrams of each sender have been read, and how many a second may be looked at. A
 * datagram's number rises from its sender's start on; those that come late count once, if they are
 * not much older than the latest (RFC 4303, appendix A2). A sender that was not heard for a while
 * begins anew: what is older than that while is refused by its time.
 */
final class Window {

    private static final int LATE = 64;
    private static final Duration FORGOTTEN = Duration.ofSeconds(90);

    /** Checks of signatures for one sender, a second, and saved up at the most. */
    private static final double CHECKS = 40;

    private static final double CHECKS_SAVED = 120;

    private final long[] highest;
    private final long[] seen;
    private final long[] heardAt;
    private final double[] checks;
    private final long[] filledAt;

    Window(int peers) {
        highest = new long[peers];
        seen = new long[peers];
        heardAt = new long[peers];
        checks = new double[peers];
        filledAt = new long[peers];
        Arrays.fill(highest, -1);
        Arrays.fill(checks, CHECKS_SAVED);
    }

    /** Whether this one may be new. Nothing is remembered before its signature was found right. */
    boolean mayBeNew(int peer, long number, Duration now) {
        if (highest[peer] < 0
                || now.toNanos() - heardAt[peer] > FORGOTTEN.toNanos()
                || number > highest[peer]) {
            return true;
        }
        long behind = highest[peer] - number;
        return behind < LATE && (seen[peer] >>> behind & 1) == 0;
    }

    void read(int peer, long number, Duration now) {
        if (highest[peer] < 0 || now.toNanos() - heardAt[peer] > FORGOTTEN.toNanos()) {
            highest[peer] = number;
            seen[peer] = 1;
        } else if (number > highest[peer]) {
            long by = number - highest[peer];
            seen[peer] = by >= LATE ? 1 : seen[peer] << by | 1;
            highest[peer] = number;
        } else {
            seen[peer] |= 1L << highest[peer] - number;
        }
        heardAt[peer] = now.toNanos();
    }

    /**
     * Guards against a router that does nothing but check signatures: who names himself as a peer
     * costs only its share.
     */
    boolean mayCheck(int peer, Duration now) {
        double seconds = (now.toNanos() - filledAt[peer]) / 1e9;
        checks[peer] = Math.min(CHECKS_SAVED, checks[peer] + seconds * CHECKS);
        filledAt[peer] = now.toNanos();
        if (checks[peer] < 1) {
            return false;
        }
        checks[peer]--;
        return true;
    }
}
