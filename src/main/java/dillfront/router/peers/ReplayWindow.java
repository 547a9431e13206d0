package dillfront.router.peers;

import java.time.Duration;
import java.util.Arrays;

/**
 * Detects replayed datagrams and limits signature checks, per sender. Sequence numbers rise from
 * the sender's start on; a late datagram is accepted once if its number is not much below the
 * highest one (RFC 4303, appendix A2). The window of a sender that was silent for 90 s is reset;
 * older datagrams are then rejected by their send time.
 */
final class ReplayWindow {

    private static final int WINDOW_SIZE = 64;
    private static final Duration RESET_AFTER = Duration.ofSeconds(90);

    /** Signature checks per second for one sender, and the burst size. */
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

    /**
     * Returns whether a datagram may be new. Nothing is recorded before its signature has been
     * verified.
     */
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
     * Limits the checks per claimed sender, so that forged datagrams in one peer's name exhaust
     * only that peer's share and not the CPU of this router.
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
