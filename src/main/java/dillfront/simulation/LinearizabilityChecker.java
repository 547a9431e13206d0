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
 * What operators asked of the configuration and what they were told, and whether that is
 * linearizable: whether each call can be given one moment between its beginning and its end, so
 * that one object that does them one after another says the same.
 *
 * <p>The object: one number has one content for ever; an order with a number above the one held
 * takes its place, one with an older number changes nothing, both are acknowledged; an order whose
 * number has another content is refused; a read returns what is held. An order without a clear
 * answer takes effect at any moment after its beginning, or never; a read without one says nothing.
 * The order of calls of {@code begin} and {@code end} is the order of time; {@code at} is for the
 * text alone.
 *
 * <p>The search is exact, as Wing and Gong's with the memory of Lowe's: what changes nothing is
 * taken as soon as it fits, and only orders that change the object are tried in turn.
 */
public final class LinearizabilityChecker {

    /** How a call ended. REFUSED is 409, for the number's other content, and nothing else. */
    public enum Outcome {
        ACKNOWLEDGED,
        REFUSED,
        UNKNOWN
    }

    /** What a read of an object that holds nothing yet returns. */
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

    /** An order is sent. Returns the number of the operation, for its end. */
    public int begin(long at, String client, long number, String digest) {
        Operation operation = new Operation(client, false, at, nextMoment++);
        operation.number = number;
        operation.digest = digest;
        operations.add(operation);
        return operations.size() - 1;
    }

    /** A read is sent. */
    public int begin(long at, String client) {
        operations.add(new Operation(client, true, at, nextMoment++));
        return operations.size() - 1;
    }

    /**
     * An order has its answer. Without a clear one it may still take effect; so may one that never
     * ends.
     */
    public void end(int operation, long at, Outcome outcome) {
        Operation ended = markEnded(operation, at);
        ended.outcome = outcome;
        if (outcome == Outcome.UNKNOWN) {
            ended.endMoment = NOT_ENDED;
        }
    }

    /** A read has its answer; one that failed is not ended. */
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
     * Null where it is linearizable; else what the first call whose answer no order of moments
     * explains was, and what came before it.
     */
    public String check() {
        if (isLinearizable(nextMoment)) {
            return null;
        }
        // What was right at a moment was right before it: the first that breaks it lies at one end.
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

    /** The plain cases by name. */
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

    /**
     * What happened before this moment, ends that came later taken for answers that are still
     * awaited.
     */
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
        /** In the order in which they began. */
        final List<Operation> operations = new ArrayList<>();

        final List<Integer> ends = new ArrayList<>();
        final List<Outcome> outcomes = new ArrayList<>();

        /** The content of a number, where an answer tells it. */
        final Map<Long, String> contentByNumber = new HashMap<>();

        final Set<Long> refused = new HashSet<>();
        final Set<String> visited = new HashSet<>();

        /**
         * Whether the answers agree on one content a number; orders without an answer that explain
         * nothing are left out.
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
                // Its effect is seen by a read of it, or by a refusal of another; without these it
                // is none.
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
         * Whether all that is left can be done from here.
         *
         * @param from all before this are done
         * @param writtenContents contents of numbers that no answer tells, once they took effect;
         *     of the others, only those that did
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
                    // What no answer came to may never happen.
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
                        // Done already by another of the same content; or without an answer, and
                        // too late to do anything.
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
