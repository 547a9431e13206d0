package dillfront.router.peers;

import java.time.Duration;
import java.util.Arrays;

/**
 * Which datagrams of each sender have been read, and how many a second may be looked at. A
 * datagram's number rises from its sender's start on; those that come late count once, if they are
 * not much older than the latest (RFC 4303, appendix A2). A sender that was not heard for a while
 * begins anew: what is older than that while is refused by its time.
 */
final class ReplayWindow {

    private static final int WINDOW_SIZE = 64;
    private static final Duration RESET_AFTER = Duration.ofSeconds(90);

    /** Checks of signatures for one sender, a second, and saved up at the most. */
    private static final double CHECKS_PER_SECOND = 40;

    private static final double MAX_SAVED_CHECKS = 120;

    private final long[] highest;
    private final long[] receivedBits;
    private final long[] receivedAtNanos;
    private final double[] checkTokens;
    private final long[] refilledAtNanos;

    ReplayWindow(int peers) {
        highest = new long[peers];
        receivedBits = new long[peers];
        receivedAtNanos = new long[peers];
        checkTokens = new double[peers];
        refilledAtNanos = new long[peers];
        Arrays.fill(highest, -1);
        Arrays.fill(checkTokens, MAX_SAVED_CHECKS);
    }

    /** Whether this one may be new. Nothing is remembered before its signature was found right. */
    boolean mayBeNew(int peer, long number, Duration now) {
        if (highest[peer] < 0
                || now.toNanos() - receivedAtNanos[peer] > RESET_AFTER.toNanos()
                || number > highest[peer]) {
            return true;
        }
        long behind = highest[peer] - number;
        return behind < WINDOW_SIZE && (receivedBits[peer] >>> behind & 1) == 0;
    }

    void recordReceived(int peer, long number, Duration now) {
        if (highest[peer] < 0 || now.toNanos() - receivedAtNanos[peer] > RESET_AFTER.toNanos()) {
            highest[peer] = number;
            receivedBits[peer] = 1;
        } else if (number > highest[peer]) {
            long advance = number - highest[peer];
            receivedBits[peer] = advance >= WINDOW_SIZE ? 1 : receivedBits[peer] << advance | 1;
            highest[peer] = number;
        } else {
            receivedBits[peer] |= 1L << highest[peer] - number;
        }
        receivedAtNanos[peer] = now.toNanos();
    }

    /**
     * Guards against a router that does nothing but check signatures: who names himself as a peer
     * costs only its share.
     */
    boolean tryTakeCheck(int peer, Duration now) {
        double seconds = (now.toNanos() - refilledAtNanos[peer]) / 1e9;
        checkTokens[peer] =
                Math.min(MAX_SAVED_CHECKS, checkTokens[peer] + seconds * CHECKS_PER_SECOND);
        refilledAtNanos[peer] = now.toNanos();
        if (checkTokens[peer] < 1) {
            return false;
        }
        checkTokens[peer]--;
        return true;
    }
}
