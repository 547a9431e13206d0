package dillfront.controlplane.consensus;

import dillfront.common.config.Configuration;
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
 * @param retired the outgoing set of the joint value that this one follows: it has to accept this
 *     one still; else empty
 * @param revisionDigests numbers of configurations that were decided, the newest ones, each with
 *     the digest of its content
 */
public record RegisterValue(
        long epoch,
        SortedSet<String> members,
        SortedSet<String> outgoing,
        SortedSet<String> retired,
        Configuration configuration,
        SortedMap<Long, Long> revisionDigests) {

    private static final int MAX_DIGESTS = 512;
    private static final SortedSet<String> NO_MEMBERS =
            Collections.unmodifiableSortedSet(new TreeSet<>());

    /** What became of an order, by a decided value. */
    public enum Outcome {
        /** It is in force, or was, or was overtaken. */
        ACCEPTED,
        /** Its number has another content. */
        CONFLICT,
        /** Nothing is decided of it. */
        PENDING
    }

    /** The first value of a system. */
    static RegisterValue initial(SortedSet<String> members) {
        return new RegisterValue(
                1, members, NO_MEMBERS, NO_MEMBERS, Configuration.NONE, new TreeMap<>());
    }

    static long digest(Configuration of) {
        return of.digest();
    }

    public boolean isJoint() {
        return !outgoing.isEmpty();
    }

    /** Whether those with this are a majority of each set that is in force. */
    public boolean isQuorum(Predicate<String> has) {
        return majority(members, has) && (outgoing.isEmpty() || majority(outgoing, has));
    }

    /** Whether they are enough for this value to be decided: also of the set that it drops. */
    public boolean isDecidedBy(Predicate<String> accepted) {
        return isQuorum(accepted) && (retired.isEmpty() || majority(retired, accepted));
    }

    private static boolean majority(SortedSet<String> of, Predicate<String> has) {
        int count = 0;
        for (String id : of) {
            count += has.test(id) ? 1 : 0;
        }
        return count > of.size() / 2;
    }

    /** The latest moment that a majority of each set has reached. */
    public long quorumReached(ToLongFunction<String> moment) {
        long all = quorumReached(members, moment);
        return outgoing.isEmpty() ? all : Math.min(all, quorumReached(outgoing, moment));
    }

    private static long quorumReached(SortedSet<String> of, ToLongFunction<String> moment) {
        long[] moments = of.stream().mapToLong(moment).sorted().toArray();
        return moments.length == 0
                ? Long.MIN_VALUE
                : moments[moments.length - 1 - moments.length / 2];
    }

    /** An order: above what is held it takes its place; a number has one content for ever. */
    RegisterValue withConfiguration(Configuration order) {
        if (revisionDigests.containsKey(order.revision())) {
            return this;
        }
        SortedMap<Long, Long> next = mergedDigests(Map.of(order.revision(), digest(order)));
        if (order.revision() > configuration.revision()) {
            return new RegisterValue(epoch, members, outgoing, retired, order, next);
        }
        // Overtaken before anything was decided under its number: from now on this is its content.
        return next.containsKey(order.revision())
                ? new RegisterValue(epoch, members, outgoing, retired, configuration, next)
                : this;
    }

    SortedMap<Long, Long> mergedDigests(Map<Long, Long> more) {
        TreeMap<Long, Long> next = new TreeMap<>(revisionDigests);
        next.putAll(more);
        while (next.size() > MAX_DIGESTS) {
            next.pollFirstEntry();
        }
        return next;
    }

    /** The same, as if this number had never had a content. */
    RegisterValue withoutRevision(long version) {
        TreeMap<Long, Long> left = new TreeMap<>(revisionDigests);
        left.remove(version);
        return new RegisterValue(epoch, members, outgoing, retired, configuration, left);
    }

    /** What this value, decided, says of an order. */
    public Outcome outcome(Configuration order) {
        Long digest = revisionDigests.get(order.revision());
        if (digest != null) {
            return digest == digest(order) ? Outcome.ACCEPTED : Outcome.CONFLICT;
        }
        boolean forgotten =
                revisionDigests.size() == MAX_DIGESTS
                        && order.revision() < revisionDigests.firstKey();
        return forgotten && order.revision() < configuration.revision()
                ? Outcome.ACCEPTED
                : Outcome.PENDING;
    }

    /** The step to another set: both count. */
    RegisterValue jointWith(SortedSet<String> next) {
        return new RegisterValue(
                epoch + 1, next, members, NO_MEMBERS, configuration, revisionDigests);
    }

    /** The step after it: the new one alone. */
    RegisterValue withoutOutgoing() {
        return new RegisterValue(
                epoch + 1, members, NO_MEMBERS, outgoing, configuration, revisionDigests);
    }

    /** The same, where all that dropped a set is known to be decided. */
    RegisterValue withoutRetired() {
        return retired.isEmpty()
                ? this
                : new RegisterValue(
                        epoch, members, outgoing, NO_MEMBERS, configuration, revisionDigests);
    }

    /** Ids from a text that holds them between commas. */
    public static SortedSet<String> parseIds(String text) {
        return text.isEmpty()
                ? NO_MEMBERS
                : Collections.unmodifiableSortedSet(new TreeSet<>(Arrays.asList(text.split(","))));
    }

    static String formatIds(SortedSet<String> ids) {
        return String.join(",", ids);
    }

    /** The address in an id. */
    public static String ipOf(String id) {
        int slash = id.indexOf('/');
        return slash < 0 ? id : id.substring(0, slash);
    }
}
