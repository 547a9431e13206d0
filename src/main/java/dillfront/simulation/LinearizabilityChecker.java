package dillfront.simulation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Records the configuration calls of operators and checks that they are linearizable: each call can
 * be assigned one moment between its start and its end such that a single register that executes
 * the calls in that order gives the same answers.
 *
 * <p>The register: one revision number has one content permanently. A write with a number above the
 * current one replaces the current value, a write with an older number changes nothing, and both
 * are acknowledged. A write whose number already has another content is refused. A read returns the
 * current value. A write without a definite answer takes effect at any moment after its start, or
 * never; a read without an answer carries no information. The order of the calls of {@code begin}
 * and {@code end} is the order of time; {@code at} is used for messages only.
 *
 * <p>The search is exact: the algorithm of Wing and Gong with the memoization of Lowe. Operations
 * that change nothing are applied as soon as they fit; only writes that change the register are
 * tried in turn.
 */
public final class LinearizabilityChecker {

    /**
     * Outcome of a call. REFUSED is status 409, a conflict with another content of the same number,
     * and nothing else.
     */
    public enum Outcome {
        ACKNOWLEDGED,
        REFUSED,
        UNKNOWN
    }

    /** Revision number that a read returns when the register is empty. */
    public static final long NONE = -1;

    private static final int NOT_ENDED = Integer.MAX_VALUE;

    private static final class Operation {
        final String client;
        final boolean isRead;
        final long startMillis;
        final int startMoment;
        long number;
        String digest;
        Outcome outcome = Outcome.UNKNOWN;
        int endMoment = NOT_ENDED;
        long endMillis;

        Operation(String client, boolean isRead, long millis, int moment) {
            this.client = client;
            this.isRead = isRead;
            startMillis = millis;
            startMoment = moment;
        }

        @Override
        public String toString() {
            String description =
                    isRead
                            ? "read of " + (number == NONE ? "nothing" : number + "/" + digest)
                            : "order "
                                    + number
                                    + "/"
                                    + digest
                                    + " "
                                    + outcome.name().toLowerCase(Locale.ROOT);
            return client
                    + ": "
                    + description
                    + " ["
                    + startMillis
                    + ", "
                    + (endMoment == NOT_ENDED ? "" : endMillis)
                    + "]";
        }
    }

    private final List<Operation> operations = new ArrayList<>();
    private int nextMoment;

    /**
     * Records the start of a write. Returns the index of the operation for the matching {@code
     * end}.
     */
    public int begin(long at, String client, long number, String digest) {
        Operation operation = new Operation(client, false, at, nextMoment++);
        operation.number = number;
        operation.digest = digest;
        operations.add(operation);
        return operations.size() - 1;
    }

    /** Records the start of a read. */
    public int begin(long at, String client) {
        operations.add(new Operation(client, true, at, nextMoment++));
        return operations.size() - 1;
    }

    /**
     * Records the end of a write. A write with an unknown outcome may still take effect, as may a
     * write that never ends.
     */
    public void end(int operation, long at, Outcome outcome) {
        Operation ended = markEnded(operation, at);
        ended.outcome = outcome;
        if (outcome == Outcome.UNKNOWN) {
            ended.endMoment = NOT_ENDED;
        }
    }

    /** Records the end of a read. A read that failed is never ended. */
    public void end(int operation, long at, long number, String digest) {
        Operation ended = markEnded(operation, at);
        ended.outcome = Outcome.ACKNOWLEDGED;
        ended.number = number;
        ended.digest = number == NONE ? "" : digest;
    }

    private Operation markEnded(int operation, long at) {
        Operation result = operations.get(operation);
        if (result.endMoment != NOT_ENDED || result.outcome != Outcome.UNKNOWN) {
            throw new IllegalStateException("ended twice: " + result);
        }
        result.endMoment = nextMoment++;
        result.endMillis = at;
        return result;
    }

    public int size() {
        return operations.size();
    }

    /**
     * Returns null if the history is linearizable, else a description of the first call whose
     * answer no order of the operations explains, and of the calls before it.
     */
    public String check() {
        if (isLinearizable(nextMoment)) {
            return null;
        }
        // A prefix of a linearizable history is linearizable, so a binary search finds the first
        // end that breaks it.
        int validUntil = 0;
        int invalidFrom = nextMoment;
        while (invalidFrom - validUntil > 1) {
            int middle = (validUntil + invalidFrom) >>> 1;
            if (isLinearizable(middle)) {
                validUntil = middle;
            } else {
                invalidFrom = middle;
            }
        }
        Operation violation = null;
        for (Operation operation : operations) {
            violation = operation.endMoment == invalidFrom - 1 ? operation : violation;
        }
        StringBuilder text =
                new StringBuilder("not linearizable: ")
                        .append(violation)
                        .append(describeContradiction(violation))
                        .append("; before it");
        int shown = 0;
        for (int i = operations.size() - 1; i >= 0 && shown < 6; i--) {
            Operation operation = operations.get(i);
            if (operation != violation
                    && operation.startMoment < invalidFrom
                    && !(operation.isRead && operation.endMoment >= invalidFrom)) {
                text.append(shown++ == 0 ? ": " : "; ").append(operation);
            }
        }
        return text.toString();
    }

    /** Returns a description of the contradiction in the simple cases, else an empty text. */
    private String describeContradiction(Operation violation) {
        for (Operation other : operations) {
            if (other == violation
                    || other.endMoment > violation.endMoment
                    || other.number != violation.number
                    || violation.number == NONE) {
                continue;
            }
            boolean same = other.digest.equals(violation.digest);
            if (!same
                    && other.outcome == Outcome.ACKNOWLEDGED
                    && violation.outcome == Outcome.ACKNOWLEDGED) {
                return " (two contents under one number: " + other + ")";
            } else if (same && other.outcome != violation.outcome) {
                return " (refused and in force: " + other + ")";
            }
        }
        return "";
    }

    /** Checks the history up to a moment; operations that end later count as still pending. */
    private boolean isLinearizable(int until) {
        Search search = new Search();
        for (Operation operation : operations) {
            boolean answered = operation.endMoment < until;
            if (operation.startMoment < until && (answered || !operation.isRead)) {
                search.operations.add(operation);
                search.ends.add(answered ? operation.endMoment : NOT_ENDED);
                search.outcomes.add(answered ? operation.outcome : Outcome.UNKNOWN);
            }
        }
        return search.prepare() && search.canComplete(new BitSet(), 0, NONE, "", Map.of());
    }

    private static final class Search {
        /** In the order of their starts. */
        final List<Operation> operations = new ArrayList<>();

        final List<Integer> ends = new ArrayList<>();
        final List<Outcome> outcomes = new ArrayList<>();

        /** The content of each revision number that an answer reveals. */
        final Map<Long, String> contentByNumber = new HashMap<>();

        final Set<Long> refused = new HashSet<>();
        final Set<String> visited = new HashSet<>();

        /**
         * Returns whether the answers agree on one content per number. Removes writes without an
         * answer that explain no other answer.
         */
        boolean prepare() {
            Set<String> reads = new HashSet<>();
            for (int i = 0; i < operations.size(); i++) {
                Operation operation = operations.get(i);
                if (outcomes.get(i) == Outcome.ACKNOWLEDGED && operation.number != NONE) {
                    String previous =
                            contentByNumber.putIfAbsent(operation.number, operation.digest);
                    if (previous != null && !previous.equals(operation.digest)) {
                        return false;
                    }
                } else if (outcomes.get(i) == Outcome.REFUSED) {
                    refused.add(operation.number);
                }
                if (operation.isRead) {
                    reads.add(operation.number + "/" + operation.digest);
                }
            }
            for (int i = operations.size() - 1; i >= 0; i--) {
                Operation operation = operations.get(i);
                String known = contentByNumber.get(operation.number);
                boolean unanswered = outcomes.get(i) == Outcome.UNKNOWN;
                if (outcomes.get(i) == Outcome.REFUSED && operation.digest.equals(known)) {
                    return false;
                }
                // The effect of a write is observable only through a read of it or the refusal of
                // another write; without these the write has no influence.
                boolean explains =
                        reads.contains(operation.number + "/" + operation.digest)
                                || refused.contains(operation.number)
                                        && (known == null || known.equals(operation.digest));
                if (unanswered && !explains) {
                    operations.remove(i);
                    ends.remove(i);
                    outcomes.remove(i);
                }
            }
            return true;
        }

        /**
         * Returns whether all remaining operations can be completed from this state.
         *
         * @param firstIndex all operations before this index are done
         * @param writtenContents contents of the numbers whose writes have taken effect
         */
        boolean canComplete(
                BitSet completed,
                int firstIndex,
                long current,
                String digest,
                Map<Long, String> writtenContents) {
            BitSet done = (BitSet) completed.clone();
            int index = firstIndex;
            List<Integer> candidates = new ArrayList<>();
            boolean progress = true;
            while (progress) {
                progress = false;
                candidates.clear();
                int earliest = NOT_ENDED;
                boolean answersRemain = false;
                for (int i = index;
                        i < operations.size() && operations.get(i).startMoment < earliest;
                        i++) {
                    if (!done.get(i)) {
                        answersRemain |= outcomes.get(i) != Outcome.UNKNOWN;
                        earliest = Math.min(earliest, ends.get(i));
                    }
                }
                if (!answersRemain) {
                    // Operations without an answer may never take effect.
                    return true;
                }
                for (int i = index;
                        i < operations.size() && operations.get(i).startMoment < earliest;
                        i++) {
                    if (done.get(i)) {
                        continue;
                    }
                    Operation operation = operations.get(i);
                    String written = writtenContents.get(operation.number);
                    boolean applies;
                    if (operation.isRead) {
                        if (operation.number < current) {
                            return false;
                        }
                        applies = operation.number == current && operation.digest.equals(digest);
                    } else if (outcomes.get(i) == Outcome.REFUSED) {
                        applies = written != null && !written.equals(operation.digest);
                    } else {
                        // Another write of the same content has already taken effect, or the write
                        // has no answer and is too late to change anything.
                        applies =
                                written != null
                                                && (written.equals(operation.digest)
                                                        || outcomes.get(i) == Outcome.UNKNOWN)
                                        || outcomes.get(i) == Outcome.UNKNOWN
                                                && operation.number < current
                                                && !refused.contains(operation.number);
                        if (!applies && written == null) {
                            candidates.add(i);
                        }
                    }
                    if (applies) {
                        done.set(i);
                        progress = true;
                    }
                }
                index = done.nextClearBit(index);
            }
            if (!visited.add(
                    index
                            + ":"
                            + done.get(index, Math.max(index, done.length()))
                            + current
                            + "/"
                            + digest
                            + new TreeSet<>(
                                    writtenContents.keySet().stream()
                                            .filter(
                                                    n ->
                                                            refused.contains(n)
                                                                    && contentByNumber.get(n)
                                                                            == null)
                                            .map(n -> n + writtenContents.get(n))
                                            .toList()))) {
                return false;
            }
            candidates.sort(Comparator.comparingLong(i -> operations.get(i).number));
            for (int i : candidates) {
                Operation operation = operations.get(i);
                Map<Long, String> nextContents = new HashMap<>(writtenContents);
                nextContents.put(operation.number, operation.digest);
                done.set(i);
                boolean replaces = operation.number > current;
                if (canComplete(
                        done,
                        index,
                        replaces ? operation.number : current,
                        replaces ? operation.digest : digest,
                        nextContents)) {
                    return true;
                }
                done.clear(i);
            }
            return false;
        }
    }
}
