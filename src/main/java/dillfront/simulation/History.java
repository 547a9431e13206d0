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
public final class History {

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

    /**
     * Records the start of a write. Returns the index of the operation for the matching {@code
     * end}.
     */
    public int begin(long at, String by, long number, String digest) {
        Operation one = new Operation(by, false, at, moments++);
        one.number = number;
        one.digest = digest;
        operations.add(one);
        return operations.size() - 1;
    }

    /** Records the start of a read. */
    public int begin(long at, String by) {
        operations.add(new Operation(by, true, at, moments++));
        return operations.size() - 1;
    }

    /**
     * Records the end of a write. A write with an unknown outcome may still take effect, as may a
     * write that never ends.
     */
    public void end(int operation, long at, Outcome outcome) {
        Operation one = ended(operation, at);
        one.outcome = outcome;
        if (outcome == Outcome.UNKNOWN) {
            one.ended = NEVER;
        }
    }

    /** Records the end of a read. A read that failed is never ended. */
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
     * Returns null if the history is linearizable, else a description of the first call whose
     * answer no order of the operations explains, and of the calls before it.
     */
    public String check() {
        if (linearizable(moments)) {
            return null;
        }
        // A prefix of a linearizable history is linearizable, so a binary search finds the first
        // end that breaks it.
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

    /** Returns a description of the contradiction in the simple cases, else an empty text. */
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

    /** Checks the history up to a moment; operations that end later count as still pending. */
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
        /** In the order of their starts. */
        final List<Operation> all = new ArrayList<>();

        final List<Integer> ends = new ArrayList<>();
        final List<Outcome> outcomes = new ArrayList<>();

        /** The content of each revision number that an answer reveals. */
        final Map<Long, String> content = new HashMap<>();

        final Set<Long> refused = new HashSet<>();
        final Set<String> seen = new HashSet<>();

        /**
         * Returns whether the answers agree on one content per number. Removes writes without an
         * answer that explain no other answer.
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
                // The effect of a write is observable only through a read of it or the refusal of
                // another write; without these the write has no influence.
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
         * Returns whether all remaining operations can be completed from this state.
         *
         * @param first all operations before this index are done
         * @param bound contents of the numbers whose writes have taken effect
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
                    // Operations without an answer may never take effect.
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
                        // Another write of the same content has already taken effect, or the write
                        // has no answer and is too late to change anything.
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
