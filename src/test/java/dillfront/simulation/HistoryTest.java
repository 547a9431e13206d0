package dillfront.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.simulation.History.Outcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class HistoryTest {

    private final History history = new History();
    private long at;

    private int order(long number, String digest) {
        return history.begin(at++, "a", number, digest);
    }

    private int read() {
        return history.begin(at++, "b");
    }

    private void ends(int operation, Outcome outcome) {
        history.end(operation, at++, outcome);
    }

    private void acknowledged(long number, String digest) {
        ends(order(number, digest), Outcome.ACKNOWLEDGED);
    }

    private void refused(long number, String digest) {
        ends(order(number, digest), Outcome.REFUSED);
    }

    private void reads(long number, String digest) {
        history.end(read(), at++, number, digest);
    }

    private void breaks(String... words) {
        String text = history.check();
        assertNotNull(text);
        for (String word : words) {
            assertTrue(text.contains(word), text);
        }
    }

    @Test
    void anEmptyHistoryAndOneAfterTheOtherAreFine() {
        assertNull(history.check());
        reads(History.NONE, "");
        acknowledged(1, "x");
        reads(1, "x");
        acknowledged(3, "y");
        acknowledged(1, "x");
        acknowledged(2, "z");
        refused(3, "x");
        refused(2, "x");
        reads(3, "y");
        acknowledged(3, "y");
        assertNull(history.check());
    }

    @Test
    void anOrderWithoutAnAnswerMayTakeEffectLateOrNever() {
        int lost = order(2, "x");
        ends(lost, Outcome.UNKNOWN);
        reads(History.NONE, "");
        acknowledged(1, "w");
        reads(1, "w");
        assertNull(history.check());
        reads(2, "x");
        assertNull(history.check());
        refused(2, "y");
        assertNull(history.check());
    }

    @Test
    void anOrderWithoutAnAnswerIsWhyAnotherIsRefused() {
        order(1, "x");
        order(1, "y");
        refused(1, "z");
        assertNull(history.check());
        // Either write may have taken effect, but not both.
        refused(1, "x");
        assertNull(history.check());
        refused(1, "y");
        breaks("order 1/y refused");
    }

    @Test
    void concurrentCallsMayGoEitherWay() {
        int x = order(1, "x");
        int y = order(2, "y");
        int old = read();
        int fresh = read();
        history.end(fresh, at++, 2, "y");
        history.end(old, at++, 1, "x");
        ends(y, Outcome.ACKNOWLEDGED);
        ends(x, Outcome.ACKNOWLEDGED);
        assertNull(history.check());
    }

    @Test
    void twoContentsUnderOneNumber() {
        acknowledged(1, "x");
        acknowledged(1, "y");
        breaks("two contents under one number", "order 1/y acknowledged");
    }

    @Test
    void twoContentsUnderANumberThatWasNeverInForce() {
        acknowledged(5, "v");
        acknowledged(1, "x");
        acknowledged(1, "y");
        breaks("two contents under one number");
    }

    @Test
    void anAcknowledgedOrderIsLost() {
        acknowledged(1, "x");
        acknowledged(2, "y");
        reads(1, "x");
        breaks("read of 1/x");
    }

    @Test
    void aReadGoesBack() {
        order(1, "x");
        order(2, "y");
        reads(2, "y");
        reads(1, "x");
        breaks("read of 1/x");
    }

    @Test
    void aReadGoesBackThoughTheOrderIsStillUnderWay() {
        int one = order(1, "x");
        reads(1, "x");
        reads(History.NONE, "");
        ends(one, Outcome.ACKNOWLEDGED);
        breaks("read of nothing");
    }

    @Test
    void refusedAfterItWasAcknowledged() {
        acknowledged(1, "x");
        refused(1, "x");
        breaks("refused and in force", "order 1/x refused");
    }

    @Test
    void inForceAfterItWasRefused() {
        order(1, "y");
        refused(1, "x");
        order(1, "x");
        reads(1, "x");
        breaks("refused and in force", "read of 1/x");
    }

    @Test
    void refusedBeforeAnythingElseHadTheNumber() {
        refused(1, "x");
        order(1, "y");
        breaks("order 1/x refused");
    }

    @Test
    void readBeforeItWasSent() {
        reads(1, "x");
        acknowledged(1, "x");
        breaks("read of 1/x");
    }

    @Test
    void anOlderNumberTakesNoPlace() {
        acknowledged(3, "x");
        acknowledged(2, "y");
        reads(2, "y");
        breaks("read of 2/y");
    }

    @Test
    void aReadThatBeganAfterTheAnswerMustHaveIt() {
        int early = read();
        acknowledged(1, "x");
        int late = read();
        history.end(early, at++, History.NONE, "");
        assertNull(history.check());
        history.end(late, at++, History.NONE, "");
        breaks("read of nothing");
    }

    @Test
    void aLongDayIsCheckedAtOnce() {
        SplittableRandom random = new SplittableRandom(7);
        List<Integer> open = new ArrayList<>();
        for (int n = 1; n <= 1_000; n++) {
            int order = order(n, "d" + n);
            if (n % 3 == 0) {
                ends(order, Outcome.UNKNOWN);
                ends(order(n, "d" + n), Outcome.ACKNOWLEDGED);
            } else if (n % 7 == 0) {
                ends(order, Outcome.UNKNOWN);
            } else {
                open.add(order);
            }
            while (open.size() > random.nextInt(8)) {
                ends(open.remove(random.nextInt(open.size())), Outcome.ACKNOWLEDGED);
            }
            if (open.isEmpty() && n % 7 != 0) {
                reads(n, "d" + n);
                refused(n, "other");
            }
        }
        open.forEach(order -> ends(order, Outcome.ACKNOWLEDGED));
        assertTimeoutPreemptively(Duration.ofSeconds(10), () -> assertNull(history.check()));
        reads(999, "d999");
        assertTimeoutPreemptively(Duration.ofSeconds(10), () -> breaks("read of 999/d999"));
    }

    /** Checks that the verdicts on small random histories equal those of an exhaustive search. */
    @Test
    void agreesWithAllOrdersTried() {
        int good = 0;
        int runs = 20_000;
        for (int seed = 0; seed < runs; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            History one = new History();
            List<Call> calls = new ArrayList<>();
            List<Integer> open = new ArrayList<>();
            int moment = 0;
            int size = 3 + random.nextInt(4);
            while (calls.size() < size || !open.isEmpty()) {
                if (calls.size() < size && (open.isEmpty() || random.nextInt(5) < 2)) {
                    Call call = new Call();
                    call.begun = moment++;
                    call.read = random.nextInt(3) == 0;
                    call.number = 1 + random.nextInt(3);
                    call.digest = random.nextInt(3) == 0 ? "y" : "x";
                    calls.add(call);
                    open.add(
                            call.read
                                    ? one.begin(0, "a")
                                    : one.begin(0, "a", call.number, call.digest));
                } else {
                    int id = open.remove(random.nextInt(open.size()));
                    Call call = calls.get(id);
                    call.ended = moment++;
                    if (call.read) {
                        if (random.nextInt(8) == 0) {
                            call.number = History.NONE;
                            call.digest = "";
                        }
                        one.end(id, 0, call.number, call.digest);
                        call.outcome = Outcome.ACKNOWLEDGED;
                    } else {
                        int dice = random.nextInt(6);
                        call.outcome =
                                dice < 3
                                        ? Outcome.ACKNOWLEDGED
                                        : dice < 4 ? Outcome.REFUSED : Outcome.UNKNOWN;
                        one.end(id, 0, call.outcome);
                        call.ended =
                                call.outcome == Outcome.UNKNOWN ? Integer.MAX_VALUE : call.ended;
                    }
                }
            }
            boolean fine = tried(calls, History.NONE, "", new HashMap<>());
            good += fine ? 1 : 0;
            assertEquals(fine, one.check() == null, "seed " + seed + ": " + one.check());
        }
        assertTrue(
                good > runs / 20 && good < runs * 19 / 20,
                good + " of " + runs + " were linearizable");
    }

    private static final class Call {
        int begun;
        int ended = Integer.MAX_VALUE;
        boolean read;
        long number;
        String digest;
        Outcome outcome;
    }

    private static boolean tried(
            List<Call> left, long held, String digest, Map<Long, String> bound) {
        int earliest = Integer.MAX_VALUE;
        boolean over = true;
        for (Call call : left) {
            earliest = Math.min(earliest, call.ended);
            over &= call.outcome == Outcome.UNKNOWN;
        }
        if (over) {
            return true;
        }
        for (Call call : left) {
            if (call.begun > earliest) {
                continue;
            }
            List<Call> rest = new ArrayList<>(left);
            rest.remove(call);
            if (call.read) {
                if (call.number == held
                        && call.digest.equals(digest)
                        && tried(rest, held, digest, bound)) {
                    return true;
                }
                continue;
            }
            String is = bound.get(call.number);
            boolean same = is == null || is.equals(call.digest);
            if (call.outcome == Outcome.REFUSED
                    ? same
                    : call.outcome == Outcome.ACKNOWLEDGED && !same) {
                continue;
            }
            Map<Long, String> then = new HashMap<>(bound);
            then.putIfAbsent(call.number, call.digest);
            boolean takes = is == null && call.number > held;
            if (tried(rest, takes ? call.number : held, takes ? call.digest : digest, then)) {
                return true;
            }
        }
        return false;
    }
}
