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
public final class History {

    /** How a call ended. REFUSED is 409, for the number's other content, and nothing else. */
    public enum Outcome {
        ACKNOWLEDGED,
        REFUSED,
        UNKNOWN
    }

    /** What a read of an object that holds nothing yet returns. */
    public static final long NONE = -1;

    private static final int NEVER = Integer.MAX_VALUE;

    private static final class Operation {
        final String by;
        final boolean read;
        final long begunAt;
        final int begun;
        long number;
        String digest;
        Outcome outcome = Outcome.UNKNOWN;
        int ended = NEVER;
        long endedAt;

        Operation(String by, boolean read, long at, int moment) {
            this.by = by;
            this.read = read;
            begunAt = at;
            begun = moment;
        }

        @Override
        public String toString() {
            String what =
                    read
                            ? "read of " + (number == NONE ? "nothing" : number + "/" + digest)
                            : "order "
                                    + number
                                    + "/"
                                    + digest
                                    + " "
                                    + outcome.name().toLowerCase(Locale.ROOT);
            return by + ": " + what + " [" + begunAt + ", " + (ended == NEVER ? "" : endedAt) + "]";
        }
    }

    private final List<Operation> operations = new ArrayList<>();
    private int moments;

    /** An order is sent. Returns the number of the operation, for its end. */
    public int begin(long at, String by, long number, String digest) {
        Operation one = new Operation(by, false, at, moments++);
        one.number = number;
        one.digest = digest;
        operations.add(one);
        return operations.size() - 1;
    }

    /** A read is sent. */
    public int begin(long at, String by) {
        operations.add(new Operation(by, true, at, moments++));
        return operations.size() - 1;
    }

    /**
     * An order has its answer. Without a clear one it may still take effect; so may one that never
     * ends.
     */
    public void end(int operation, long at, Outcome outcome) {
        Operation one = ended(operation, at);
        one.outcome = outcome;
        if (outcome == Outcome.UNKNOWN) {
            one.ended = NEVER;
        }
    }

    /** A read has its answer; one that failed is not ended. */
    public void end(int operation, long at, long number, String digest) {
        Operation one = ended(operation, at);
        one.outcome = Outcome.ACKNOWLEDGED;
        one.number = number;
        one.digest = number == NONE ? "" : digest;
    }

    private Operation ended(int operation, long at) {
        Operation one = operations.get(operation);
        if (one.ended != NEVER || one.outcome != Outcome.UNKNOWN) {
            throw new IllegalStateException("ended twice: " + one);
        }
        one.ended = moments++;
        one.endedAt = at;
        return one;
    }

    public int size() {
        return operations.size();
    }

    /**
     * Null where it is linearizable; else what the first call whose answer no order of moments
     * explains was, and what came before it.
     */
    public String check() {
        if (linearizable(moments)) {
            return null;
        }
        // What was right at a moment was right before it: the first that breaks it lies at one end.
        int right = 0;
        int wrong = moments;
        while (wrong - right > 1) {
            int half = (right + wrong) >>> 1;
            if (linearizable(half)) {
                right = half;
            } else {
                wrong = half;
            }
        }
        Operation broke = null;
        for (Operation one : operations) {
            broke = one.ended == wrong - 1 ? one : broke;
        }
        StringBuilder text =
                new StringBuilder("not linearizable: ")
                        .append(broke)
                        .append(contradicts(broke))
                        .append("; before it");
        int told = 0;
        for (int i = operations.size() - 1; i >= 0 && told < 6; i--) {
            Operation one = operations.get(i);
            if (one != broke && one.begun < wrong && !(one.read && one.ended >= wrong)) {
                text.append(told++ == 0 ? ": " : "; ").append(one);
            }
        }
        return text.toString();
    }

    /** The plain cases by name. */
    private String contradicts(Operation broke) {
        for (Operation other : operations) {
            if (other == broke
                    || other.ended > broke.ended
                    || other.number != broke.number
                    || broke.number == NONE) {
                continue;
            }
            boolean same = other.digest.equals(broke.digest);
            if (!same
                    && other.outcome == Outcome.ACKNOWLEDGED
                    && broke.outcome == Outcome.ACKNOWLEDGED) {
                return " (two contents under one number: " + other + ")";
            } else if (same && other.outcome != broke.outcome) {
                return " (refused and in force: " + other + ")";
            }
        }
        return "";
    }

    /**
     * What happened before this moment, ends that came later taken for answers that are still
     * awaited.
     */
    private boolean linearizable(int until) {
        Search search = new Search();
        for (Operation one : operations) {
            boolean over = one.ended < until;
            if (one.begun < until && (over || !one.read)) {
                search.all.add(one);
                search.ends.add(over ? one.ended : NEVER);
                search.outcomes.add(over ? one.outcome : Outcome.UNKNOWN);
            }
        }
        return search.prepare() && search.from(new BitSet(), 0, NONE, "", Map.of());
    }

    private static final class Search {
        /** In the order in which they began. */
        final List<Operation> all = new ArrayList<>();

        final List<Integer> ends = new ArrayList<>();
        final List<Outcome> outcomes = new ArrayList<>();

        /** The content of a number, where an answer tells it. */
        final Map<Long, String> content = new HashMap<>();

        final Set<Long> refused = new HashSet<>();
        final Set<String> seen = new HashSet<>();

        /**
         * Whether the answers agree on one content a number; orders without an answer that explain
         * nothing are left out.
         */
        boolean prepare() {
            Set<String> reads = new HashSet<>();
            for (int i = 0; i < all.size(); i++) {
                Operation one = all.get(i);
                if (outcomes.get(i) == Outcome.ACKNOWLEDGED && one.number != NONE) {
                    String other = content.putIfAbsent(one.number, one.digest);
                    if (other != null && !other.equals(one.digest)) {
                        return false;
                    }
                } else if (outcomes.get(i) == Outcome.REFUSED) {
                    refused.add(one.number);
                }
                if (one.read) {
                    reads.add(one.number + "/" + one.digest);
                }
            }
            for (int i = all.size() - 1; i >= 0; i--) {
                Operation one = all.get(i);
                String told = content.get(one.number);
                boolean may = outcomes.get(i) == Outcome.UNKNOWN;
                if (outcomes.get(i) == Outcome.REFUSED && one.digest.equals(told)) {
                    return false;
                }
                // Its effect is seen by a read of it, or by a refusal of another; without these it
                // is none.
                boolean explains =
                        reads.contains(one.number + "/" + one.digest)
                                || refused.contains(one.number)
                                        && (told == null || told.equals(one.digest));
                if (may && !explains) {
                    all.remove(i);
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
         * @param bound contents of numbers that no answer tells, once they took effect; of the
         *     others, only those that did
         */
        boolean from(BitSet before, int first, long held, String digest, Map<Long, String> bound) {
            BitSet done = (BitSet) before.clone();
            int from = first;
            List<Integer> changing = new ArrayList<>();
            boolean again = true;
            while (again) {
                again = false;
                changing.clear();
                int earliest = NEVER;
                boolean left = false;
                for (int i = from; i < all.size() && all.get(i).begun < earliest; i++) {
                    if (!done.get(i)) {
                        left |= outcomes.get(i) != Outcome.UNKNOWN;
                        earliest = Math.min(earliest, ends.get(i));
                    }
                }
                if (!left) {
                    // What no answer came to may never happen.
                    return true;
                }
                for (int i = from; i < all.size() && all.get(i).begun < earliest; i++) {
                    if (done.get(i)) {
                        continue;
                    }
                    Operation one = all.get(i);
                    String is = bound.get(one.number);
                    boolean fits;
                    if (one.read) {
                        if (one.number < held) {
                            return false;
                        }
                        fits = one.number == held && one.digest.equals(digest);
                    } else if (outcomes.get(i) == Outcome.REFUSED) {
                        fits = is != null && !is.equals(one.digest);
                    } else {
                        // Done already by another of the same content; or without an answer, and
                        // too late to do anything.
                        fits =
                                is != null
                                                && (is.equals(one.digest)
                                                        || outcomes.get(i) == Outcome.UNKNOWN)
                                        || outcomes.get(i) == Outcome.UNKNOWN
                                                && one.number < held
                                                && !refused.contains(one.number);
                        if (!fits && is == null) {
                            changing.add(i);
                        }
                    }
                    if (fits) {
                        done.set(i);
                        again = true;
                    }
                }
                from = done.nextClearBit(from);
            }
            if (!seen.add(
                    from
                            + ":"
                            + done.get(from, Math.max(from, done.length()))
                            + held
                            + "/"
                            + digest
                            + new TreeSet<>(
                                    bound.keySet().stream()
                                            .filter(
                                                    n ->
                                                            refused.contains(n)
                                                                    && content.get(n) == null)
                                            .map(n -> n + bound.get(n))
                                            .toList()))) {
                return false;
            }
            changing.sort(Comparator.comparingLong(i -> all.get(i).number));
            for (int i : changing) {
                Operation one = all.get(i);
                Map<Long, String> then = new HashMap<>(bound);
                then.put(one.number, one.digest);
                done.set(i);
                boolean takes = one.number > held;
                if (from(
                        done, from, takes ? one.number : held, takes ? one.digest : digest, then)) {
                    return true;
                }
                done.clear(i);
            }
            return false;
        }
    }
}
