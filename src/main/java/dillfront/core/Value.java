package dillfront.core;

import dillfront.host.Configuration;
import java.util.Arrays;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * What the register holds: the set of members and the configuration, one value.
 *
 * @param epoch one more with each change of the sets
 * @param members ids of the processes whose disks count
 * @param outgoing the set before, while both count (joint); else empty
 * @param dropped the outgoing set of the joint value that this one follows: it has to accept this
 *     one still; else empty
 * @param past numbers of configurations that were decided, the newest ones, each with the digest of
 *     its content
 */
public record Value(
        long epoch,
        SortedSet<String> members,
        SortedSet<String> outgoing,
        SortedSet<String> dropped,
        Configuration configuration,
        SortedMap<Long, Long> past) {

    private static final int MOST_PAST = 512;
    private static final SortedSet<String> NOBODY =
            Collections.unmodifiableSortedSet(new TreeSet<>());

    /** What became of an order, by a decided value. */
    public enum Outcome {
        /** It is in force, or was, or was overtaken. */
        TAKEN,
        /** Its number has another content. */
        CONFLICT,
        /** Nothing is decided of it. */
        OPEN
    }

    /** The first value of a system. */
    static Value founded(SortedSet<String> members) {
        return new Value(1, members, NOBODY, NOBODY, Configuration.NONE, new TreeMap<>());
    }

    static long digest(Configuration of) {
        return of.digest();
    }

    public boolean joint() {
        return !outgoing.isEmpty();
    }

    /** Whether those with this are a majority of each set that is in force. */
    public boolean quorum(Predicate<String> has) {
        return majority(members, has) && (outgoing.isEmpty() || majority(outgoing, has));
    }

    /** Whether they are enough for this value to be decided: also of the set that it drops. */
    public boolean decidedBy(Predicate<String> accepted) {
        return quorum(accepted) && (dropped.isEmpty() || majority(dropped, accepted));
    }

    private static boolean majority(SortedSet<String> of, Predicate<String> has) {
        int count = 0;
        for (String id : of) {
            count += has.test(id) ? 1 : 0;
        }
        return count > of.size() / 2;
    }

    /** The latest moment that a majority of each set has reached. */
    public long reached(ToLongFunction<String> moment) {
        long all = reached(members, moment);
        return outgoing.isEmpty() ? all : Math.min(all, reached(outgoing, moment));
    }

    private static long reached(SortedSet<String> of, ToLongFunction<String> moment) {
        long[] moments = of.stream().mapToLong(moment).sorted().toArray();
        return moments.length == 0
                ? Long.MIN_VALUE
                : moments[moments.length - 1 - moments.length / 2];
    }

    /** An order: above what is held it takes its place; a number has one content for ever. */
    Value with(Configuration order) {
        if (past.containsKey(order.version())) {
            return this;
        }
        SortedMap<Long, Long> next = pastWith(Map.of(order.version(), digest(order)));
        if (order.version() > configuration.version()) {
            return new Value(epoch, members, outgoing, dropped, order, next);
        }
        // Overtaken before anything was decided under its number: from now on this is its content.
        return next.containsKey(order.version())
                ? new Value(epoch, members, outgoing, dropped, configuration, next)
                : this;
    }

    SortedMap<Long, Long> pastWith(Map<Long, Long> more) {
        TreeMap<Long, Long> next = new TreeMap<>(past);
        next.putAll(more);
        while (next.size() > MOST_PAST) {
            next.pollFirstEntry();
        }
        return next;
    }

    /** The same, as if this number had never had a content. */
    Value without(long version) {
        TreeMap<Long, Long> left = new TreeMap<>(past);
        left.remove(version);
        return new Value(epoch, members, outgoing, dropped, configuration, left);
    }

    /** What this value, decided, says of an order. */
    public Outcome outcome(Configuration order) {
        Long digest = past.get(order.version());
        if (digest != null) {
            return digest == digest(order) ? Outcome.TAKEN : Outcome.CONFLICT;
        }
        boolean forgotten = past.size() == MOST_PAST && order.version() < past.firstKey();
        return forgotten && order.version() < configuration.version()
                ? Outcome.TAKEN
                : Outcome.OPEN;
    }

    /** The step to another set: both count. */
    Value towards(SortedSet<String> next) {
        return new Value(epoch + 1, next, members, NOBODY, configuration, past);
    }

    /** The step after it: the new one alone. */
    Value settled() {
        return new Value(epoch + 1, members, NOBODY, outgoing, configuration, past);
    }

    /** The same, where all that dropped a set is known to be decided. */
    Value clean() {
        return dropped.isEmpty()
                ? this
                : new Value(epoch, members, outgoing, NOBODY, configuration, past);
    }

    /** Ids from a text that holds them between commas. */
    static SortedSet<String> ids(String text) {
        return text.isEmpty()
                ? NOBODY
                : Collections.unmodifiableSortedSet(new TreeSet<>(Arrays.asList(text.split(","))));
    }

    static String text(SortedSet<String> ids) {
        return String.join(",", ids);
    }

    /** The address in an id. */
    static String ip(String id) {
        int slash = id.indexOf('/');
        return slash < 0 ? id : id.substring(0, slash);
    }
}
