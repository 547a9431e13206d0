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
 * What the register holds: the members and the configuration, as one value.
 *
 * @param epoch one more with each change of the members
 * @param members ids of the processes whose disks count
 * @param outgoing the members before, while both sets are in force (a joint value); else empty
 * @param retired the outgoing members of the joint value that this one follows: a majority of them
 *     still has to accept this value; else empty
 * @param revisionDigests revisions of configurations that were decided, the newest ones, each with
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
    private static final char ID_SEPARATOR = '/';

    /** What became of a proposed configuration, by a decided value. */
    public enum Outcome {
        /** It is in force, or was, or was overtaken by a higher revision. */
        ACCEPTED,
        /** Its revision has another content. */
        CONFLICT,
        /** Nothing is decided of it. */
        PENDING
    }

    /** The first value of a system. */
    static RegisterValue initial(SortedSet<String> members) {
        return new RegisterValue(
                1, members, NO_MEMBERS, NO_MEMBERS, Configuration.NONE, new TreeMap<>());
    }

    /** Whether two sets of members are in force. */
    public boolean isJoint() {
        return !outgoing.isEmpty();
    }

    /** Whether these processes are a majority of each set of members in force. */
    public boolean isQuorum(Predicate<String> included) {
        return isMajority(members, included)
                && (outgoing.isEmpty() || isMajority(outgoing, included));
    }

    /** Whether these acceptors are enough for this value to be decided. */
    public boolean isDecidedBy(Predicate<String> accepted) {
        return isQuorum(accepted) && (retired.isEmpty() || isMajority(retired, accepted));
    }

    private static boolean isMajority(SortedSet<String> members, Predicate<String> included) {
        int count = 0;
        for (String id : members) {
            count += included.test(id) ? 1 : 0;
        }
        return count > members.size() / 2;
    }

    /** The highest value of this quantity that a majority of each set of members has reached. */
    public long quorumReached(ToLongFunction<String> quantity) {
        long reached = majorityReached(members, quantity);
        return outgoing.isEmpty()
                ? reached
                : Math.min(reached, majorityReached(outgoing, quantity));
    }

    private static long majorityReached(
            SortedSet<String> members, ToLongFunction<String> quantity) {
        long[] sorted = members.stream().mapToLong(quantity).sorted().toArray();
        return sorted.length == 0 ? Long.MIN_VALUE : sorted[sorted.length - 1 - sorted.length / 2];
    }

    /** With this configuration where its revision is the highest; a revision has one content. */
    RegisterValue withConfiguration(Configuration proposed) {
        long revision = proposed.revision();
        if (revisionDigests.containsKey(revision)) {
            return this;
        }
        SortedMap<Long, Long> digests = mergedDigests(Map.of(revision, proposed.digest()));
        if (revision > configuration.revision()) {
            return new RegisterValue(epoch, members, outgoing, retired, proposed, digests);
        }
        // Overtaken before anything was decided under its revision: from now on this is its
        // content.
        return digests.containsKey(revision)
                ? new RegisterValue(epoch, members, outgoing, retired, configuration, digests)
                : this;
    }

    SortedMap<Long, Long> mergedDigests(Map<Long, Long> added) {
        TreeMap<Long, Long> digests = new TreeMap<>(revisionDigests);
        digests.putAll(added);
        while (digests.size() > MAX_DIGESTS) {
            digests.pollFirstEntry();
        }
        return digests;
    }

    /** As if this revision never had a content. */
    RegisterValue withoutRevision(long revision) {
        TreeMap<Long, Long> digests = new TreeMap<>(revisionDigests);
        digests.remove(revision);
        return new RegisterValue(epoch, members, outgoing, retired, configuration, digests);
    }

    /** What this value, decided, says of a proposed configuration. */
    public Outcome outcome(Configuration proposed) {
        Long digest = revisionDigests.get(proposed.revision());
        if (digest != null) {
            return digest == proposed.digest() ? Outcome.ACCEPTED : Outcome.CONFLICT;
        }
        boolean isDigestDropped =
                revisionDigests.size() == MAX_DIGESTS
                        && proposed.revision() < revisionDigests.firstKey();
        return isDigestDropped && proposed.revision() < configuration.revision()
                ? Outcome.ACCEPTED
                : Outcome.PENDING;
    }

    /** The first step to other members: both sets are in force. */
    RegisterValue withJointMembers(SortedSet<String> next) {
        return new RegisterValue(
                epoch + 1, next, members, NO_MEMBERS, configuration, revisionDigests);
    }

    /** The second step: the new members alone. */
    RegisterValue withoutOutgoing() {
        return new RegisterValue(
                epoch + 1, members, NO_MEMBERS, outgoing, configuration, revisionDigests);
    }

    /** The same, once the value that retired the former members is known to be decided. */
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

    /** The id of a process: its address, and what tells it from others that were there before. */
    public static String id(String ip, String suffix) {
        return ip + ID_SEPARATOR + suffix;
    }

    /** The address in an id. */
    public static String ipOf(String id) {
        int separator = id.indexOf(ID_SEPARATOR);
        return separator < 0 ? id : id.substring(0, separator);
    }
}
