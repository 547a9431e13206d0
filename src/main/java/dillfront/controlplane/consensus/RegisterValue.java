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
 * The register's value: the member set and the configuration.
 *
 * @param epoch incremented by each step of a member change
 * @param members the ids of the processes whose acceptances count
 * @param outgoing the former members while both sets are in force (a joint value); otherwise empty
 * @param retired the outgoing members of the preceding joint value, a majority of which must still
 *     accept this value; otherwise empty
 * @param revisionDigests the newest decided configuration revisions, each with the digest of its
 *     content
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

    /** The outcome of a proposed configuration, according to a decided value. */
    public enum Outcome {
        /** The configuration is or was in force, or was superseded by a higher revision. */
        ACCEPTED,
        /** The revision is already used for another content. */
        CONFLICT,
        /** The outcome is not decided yet. */
        PENDING
    }

    /** Returns the initial value of a new cluster. */
    static RegisterValue initial(SortedSet<String> members) {
        return new RegisterValue(
                1, members, NO_MEMBERS, NO_MEMBERS, Configuration.NONE, new TreeMap<>());
    }

    /** Returns whether two member sets are in force. */
    public boolean isJoint() {
        return !outgoing.isEmpty();
    }

    /** Returns whether the processes form a majority of each member set in force. */
    public boolean isQuorum(Predicate<String> included) {
        return isMajority(members, included)
                && (outgoing.isEmpty() || isMajority(outgoing, included));
    }

    /** Returns whether acceptance by these processes decides this value. */
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

    /** Returns the highest value that a majority of each member set has reached. */
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

    /**
     * Returns this value with the configuration if its revision is the highest. A revision that
     * already has a content keeps that content.
     */
    RegisterValue withConfiguration(Configuration proposed) {
        long revision = proposed.revision();
        if (revisionDigests.containsKey(revision)) {
            return this;
        }
        SortedMap<Long, Long> digests = mergedDigests(Map.of(revision, proposed.digest()));
        if (revision > configuration.revision()) {
            return new RegisterValue(epoch, members, outgoing, retired, proposed, digests);
        }
        // A higher revision is in force and no content is decided for this one. Its digest is
        // recorded, so that the revision cannot get another content.
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

    /** Returns this value without the digest of the revision. */
    RegisterValue withoutRevision(long revision) {
        TreeMap<Long, Long> digests = new TreeMap<>(revisionDigests);
        digests.remove(revision);
        return new RegisterValue(epoch, members, outgoing, retired, configuration, digests);
    }

    /** Returns the outcome of a proposed configuration. This value must be decided. */
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

    /** Returns the joint value, the first step of a member change. */
    RegisterValue withJointMembers(SortedSet<String> next) {
        return new RegisterValue(
                epoch + 1, next, members, NO_MEMBERS, configuration, revisionDigests);
    }

    /** Returns the value without the outgoing members, the second step of a member change. */
    RegisterValue withoutOutgoing() {
        return new RegisterValue(
                epoch + 1, members, NO_MEMBERS, outgoing, configuration, revisionDigests);
    }

    /**
     * Returns this value without retired members. Permitted once the value that retired them is
     * known to be decided.
     */
    RegisterValue withoutRetired() {
        return retired.isEmpty()
                ? this
                : new RegisterValue(
                        epoch, members, outgoing, NO_MEMBERS, configuration, revisionDigests);
    }

    /** Parses comma-separated ids. */
    public static SortedSet<String> parseIds(String text) {
        return text.isEmpty()
                ? NO_MEMBERS
                : Collections.unmodifiableSortedSet(new TreeSet<>(Arrays.asList(text.split(","))));
    }

    static String formatIds(SortedSet<String> ids) {
        return String.join(",", ids);
    }

    /**
     * Returns the id of a process: its IP address and a suffix that distinguishes it from former
     * processes at that address.
     */
    public static String id(String ip, String suffix) {
        return ip + ID_SEPARATOR + suffix;
    }

    /** Returns the IP address of an id. */
    public static String ipOf(String id) {
        int separator = id.indexOf(ID_SEPARATOR);
        return separator < 0 ? id : id.substring(0, separator);
    }
}
