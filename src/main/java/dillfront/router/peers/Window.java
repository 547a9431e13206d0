package dillfront.router.peers;

import java.time.Duration;
import java.util.Arrays;

/**
 * Detects replayed datagrams and limits signature checks, per sender. Sequence numbers rise from
 * the sender's start on; a late datagram is accepted once if its number is not much below the
 * highest one (RFC 4303, appendix A2). The window of a sender that was silent for 90 s is reset;
 * older datagrams are then rejected by their send time.
 */
final class Window {

    private static final int LATE = 64;
    private static final Duration FORGOTTEN = Duration.ofSeconds(90);

    /** Signature checks per second for one sender, and the burst size. */
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

    /**
     * Returns whether a datagram may be new. Nothing is recorded before its signature has been
     * verified.
     */
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
     * Limits the checks per claimed sender, so that forged datagrams in one peer's name exhaust
     * only that peer's share and not the CPU of this router.
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
