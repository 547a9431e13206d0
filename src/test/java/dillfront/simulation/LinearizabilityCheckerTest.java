package dillfront.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.simulation.LinearizabilityChecker.Outcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class LinearizabilityCheckerTest {

    private final LinearizabilityChecker checker = new LinearizabilityChecker();
    private long at;

    private int startWrite(long number, String digest) {
        return checker.begin(at++, "a", number, digest);
    }

    private int startRead() {
        return checker.begin(at++, "b");
    }

    private void endWrite(int operation, Outcome outcome) {
        checker.end(operation, at++, outcome);
    }

    private void acknowledgedWrite(long number, String digest) {
        endWrite(startWrite(number, digest), Outcome.ACKNOWLEDGED);
    }

    private void refusedWrite(long number, String digest) {
        endWrite(startWrite(number, digest), Outcome.REFUSED);
    }

    private void completedRead(long number, String digest) {
        checker.end(startRead(), at++, number, digest);
    }

    private void assertViolation(String... expected) {
        String text = checker.check();
        assertNotNull(text);
        for (String part : expected) {
            assertTrue(text.contains(part), text);
        }
    }

    @Test
    void acceptsEmptyAndSequentialHistories() {
        assertNull(checker.check());
        completedRead(LinearizabilityChecker.NONE, "");
        acknowledgedWrite(1, "x");
        completedRead(1, "x");
        acknowledgedWrite(3, "y");
        acknowledgedWrite(1, "x");
        acknowledgedWrite(2, "z");
        refusedWrite(3, "x");
        refusedWrite(2, "x");
        completedRead(3, "y");
        acknowledgedWrite(3, "y");
        assertNull(checker.check());
    }

    @Test
    void acceptsLateOrNoEffectOfUnansweredWrite() {
        int unanswered = startWrite(2, "x");
        endWrite(unanswered, Outcome.UNKNOWN);
        completedRead(LinearizabilityChecker.NONE, "");
        acknowledgedWrite(1, "w");
        completedRead(1, "w");
        assertNull(checker.check());
        completedRead(2, "x");
        assertNull(checker.check());
        refusedWrite(2, "y");
        assertNull(checker.check());
    }

    @Test
    void acceptsRefusalExplainedByUnansweredWrite() {
        startWrite(1, "x");
        startWrite(1, "y");
        refusedWrite(1, "z");
        assertNull(checker.check());
        // Both were perhaps in force, never both.
        refusedWrite(1, "x");
        assertNull(checker.check());
        refusedWrite(1, "y");
        assertViolation("order 1/y refused");
    }

    @Test
    void acceptsConcurrentCallsInEitherOrder() {
        int x = startWrite(1, "x");
        int y = startWrite(2, "y");
        int old = startRead();
        int fresh = startRead();
        checker.end(fresh, at++, 2, "y");
        checker.end(old, at++, 1, "x");
        endWrite(y, Outcome.ACKNOWLEDGED);
        endWrite(x, Outcome.ACKNOWLEDGED);
        assertNull(checker.check());
    }

    @Test
    void rejectsTwoContentsOfOneNumber() {
        acknowledgedWrite(1, "x");
        acknowledgedWrite(1, "y");
        assertViolation("two contents under one number", "order 1/y acknowledged");
    }

    @Test
    void rejectsTwoContentsOfOvertakenNumber() {
        acknowledgedWrite(5, "v");
        acknowledgedWrite(1, "x");
        acknowledgedWrite(1, "y");
        assertViolation("two contents under one number");
    }

    @Test
    void rejectsLossOfAcknowledgedWrite() {
        acknowledgedWrite(1, "x");
        acknowledgedWrite(2, "y");
        completedRead(1, "x");
        assertViolation("read of 1/x");
    }

    @Test
    void rejectsReadOfOlderValue() {
        startWrite(1, "x");
        startWrite(2, "y");
        completedRead(2, "y");
        completedRead(1, "x");
        assertViolation("read of 1/x");
    }

    @Test
    void rejectsReadOfOlderValueDuringWrite() {
        int one = startWrite(1, "x");
        completedRead(1, "x");
        completedRead(LinearizabilityChecker.NONE, "");
        endWrite(one, Outcome.ACKNOWLEDGED);
        assertViolation("read of nothing");
    }

    @Test
    void rejectsRefusalAfterAcknowledgement() {
        acknowledgedWrite(1, "x");
        refusedWrite(1, "x");
        assertViolation("refused and in force", "order 1/x refused");
    }

    @Test
    void rejectsEffectAfterRefusal() {
        startWrite(1, "y");
        refusedWrite(1, "x");
        startWrite(1, "x");
        completedRead(1, "x");
        assertViolation("refused and in force", "read of 1/x");
    }

    @Test
    void rejectsRefusalWithoutConflictingWrite() {
        refusedWrite(1, "x");
        startWrite(1, "y");
        assertViolation("order 1/x refused");
    }

    @Test
    void rejectsReadBeforeWrite() {
        completedRead(1, "x");
        acknowledgedWrite(1, "x");
        assertViolation("read of 1/x");
    }

    @Test
    void rejectsReplacementByOlderNumber() {
        acknowledgedWrite(3, "x");
        acknowledgedWrite(2, "y");
        completedRead(2, "y");
        assertViolation("read of 2/y");
    }

    @Test
    void rejectsReadThatMissesAcknowledgedWrite() {
        int early = startRead();
        acknowledgedWrite(1, "x");
        int late = startRead();
        checker.end(early, at++, LinearizabilityChecker.NONE, "");
        assertNull(checker.check());
        checker.end(late, at++, LinearizabilityChecker.NONE, "");
        assertViolation("read of nothing");
    }

    @Test
    void checksLongHistoryWithinTenSeconds() {
        SplittableRandom random = new SplittableRandom(7);
        List<Integer> open = new ArrayList<>();
        for (int number = 1; number <= 1_000; number++) {
            int write = startWrite(number, "d" + number);
            if (number % 3 == 0) {
                endWrite(write, Outcome.UNKNOWN);
                endWrite(startWrite(number, "d" + number), Outcome.ACKNOWLEDGED);
            } else if (number % 7 == 0) {
                endWrite(write, Outcome.UNKNOWN);
            } else {
                open.add(write);
            }
            while (open.size() > random.nextInt(8)) {
                endWrite(open.remove(random.nextInt(open.size())), Outcome.ACKNOWLEDGED);
            }
            if (open.isEmpty() && number % 7 != 0) {
                completedRead(number, "d" + number);
                refusedWrite(number, "other");
            }
        }
        open.forEach(write -> endWrite(write, Outcome.ACKNOWLEDGED));
        assertTimeoutPreemptively(Duration.ofSeconds(10), () -> assertNull(checker.check()));
        completedRead(999, "d999");
        assertTimeoutPreemptively(
                Duration.ofSeconds(10), () -> assertViolation("read of 999/d999"));
    }

    /** What it says of small random histories is what trying all orders says. */
    @Test
    void agreesWithExhaustiveSearch() {
        int linearizable = 0;
        int runs = 20_000;
        for (int seed = 0; seed < runs; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            LinearizabilityChecker candidate = new LinearizabilityChecker();
            List<Call> calls = new ArrayList<>();
            List<Integer> open = new ArrayList<>();
            int moment = 0;
            int size = 3 + random.nextInt(4);
            while (calls.size() < size || !open.isEmpty()) {
                if (calls.size() < size && (open.isEmpty() || random.nextInt(5) < 2)) {
                    Call call = new Call();
                    call.startMoment = moment++;
                    call.isRead = random.nextInt(3) == 0;
                    call.number = 1 + random.nextInt(3);
                    call.digest = random.nextInt(3) == 0 ? "y" : "x";
                    calls.add(call);
                    open.add(
                            call.isRead
                                    ? candidate.begin(0, "a")
                                    : candidate.begin(0, "a", call.number, call.digest));
                } else {
                    int id = open.remove(random.nextInt(open.size()));
                    Call call = calls.get(id);
                    call.endMoment = moment++;
                    if (call.isRead) {
                        if (random.nextInt(8) == 0) {
                            call.number = LinearizabilityChecker.NONE;
                            call.digest = "";
                        }
                        candidate.end(id, 0, call.number, call.digest);
                        call.outcome = Outcome.ACKNOWLEDGED;
                    } else {
                        int dice = random.nextInt(6);
                        call.outcome =
                                dice < 3
                                        ? Outcome.ACKNOWLEDGED
                                        : dice < 4 ? Outcome.REFUSED : Outcome.UNKNOWN;
                        candidate.end(id, 0, call.outcome);
                        call.endMoment =
                                call.outcome == Outcome.UNKNOWN
                                        ? Integer.MAX_VALUE
                                        : call.endMoment;
                    }
                }
            }
            boolean valid = hasValidOrder(calls, LinearizabilityChecker.NONE, "", new HashMap<>());
            linearizable += valid ? 1 : 0;
            assertEquals(
                    valid, candidate.check() == null, "seed " + seed + ": " + candidate.check());
        }
        assertTrue(
                linearizable > runs / 20 && linearizable < runs * 19 / 20,
                linearizable + " of " + runs + " were linearizable");
    }

    private static final class Call {
        int startMoment;
        int endMoment = Integer.MAX_VALUE;
        boolean isRead;
        long number;
        String digest;
        Outcome outcome;
    }

    private static boolean hasValidOrder(
            List<Call> remaining, long current, String digest, Map<Long, String> writtenContents) {
        int earliest = Integer.MAX_VALUE;
        boolean onlyUnanswered = true;
        for (Call call : remaining) {
            earliest = Math.min(earliest, call.endMoment);
            onlyUnanswered &= call.outcome == Outcome.UNKNOWN;
        }
        if (onlyUnanswered) {
            return true;
        }
        for (Call call : remaining) {
            if (call.startMoment > earliest) {
                continue;
            }
            List<Call> rest = new ArrayList<>(remaining);
            rest.remove(call);
            if (call.isRead) {
                if (call.number == current
                        && call.digest.equals(digest)
                        && hasValidOrder(rest, current, digest, writtenContents)) {
                    return true;
                }
                continue;
            }
            String written = writtenContents.get(call.number);
            boolean same = written == null || written.equals(call.digest);
            if (call.outcome == Outcome.REFUSED
                    ? same
                    : call.outcome == Outcome.ACKNOWLEDGED && !same) {
                continue;
            }
            Map<Long, String> nextContents = new HashMap<>(writtenContents);
            nextContents.putIfAbsent(call.number, call.digest);
            boolean replaces = written == null && call.number > current;
            if (hasValidOrder(
                    rest,
                    replaces ? call.number : current,
                    replaces ? call.digest : digest,
                    nextContents)) {
                return true;
            }
        }
        return false;
    }
}
