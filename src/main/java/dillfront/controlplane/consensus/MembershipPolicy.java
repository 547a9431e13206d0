package dillfront.controlplane.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Computes the next member set on behalf of the lease holder. Each step adds at most one process
 * and removes at most one. Removal is not permanent: a removed process that is reachable again may
 * rejoin.
 */
public final class MembershipPolicy {

    /**
     * Default upper bound, because each member adds message load. A higher number of tolerated
     * losses raises the bound.
     */
    static final int MAX_MEMBERS = 7;

    private static final int MIN_MEMBERS = 3;

    /** Silence after which another process replaces a member. */
    static final long REPLACE_AFTER_MS = 1_500;

    /**
     * Silence after which a member is removed without a replacement, so that two unreachable
     * members do not block the remaining ones.
     */
    static final long REMOVE_AFTER_MS = 30_000;

    /** The silence of a member whose address is used by another process. */
    public static final long ADDRESS_REUSED_MILLIS = Long.MAX_VALUE;

    /**
     * A process that is or may become a member.
     *
     * @param millisSinceContact time since the last message from the process; {@link
     *     #ADDRESS_REUSED_MILLIS} if another process uses its address
     * @param caughtUp the process responds and has all decided values
     * @param leaving the process announced its shutdown
     */
    public record Candidate(
            String id, String zone, long millisSinceContact, boolean caughtUp, boolean leaving) {}

    private MembershipPolicy() {}

    /**
     * Returns the next member set, which equals the current one if no change is needed.
     *
     * @param candidates all known processes, including all members
     * @param toleratedLosses the number of members that may fail at the same time
     */
    public static SortedSet<String> nextMembers(
            SortedSet<String> members, List<Candidate> candidates, int toleratedLosses) {
        TreeSet<String> next = new TreeSet<>(members);
        Candidate removalCandidate = removalCandidate(members, candidates);
        List<Candidate> learners = learners(members, candidates);
        if (removalCandidate != null
                && removalCandidate.millisSinceContact() == ADDRESS_REUSED_MILLIS) {
            for (Candidate learner : learners) {
                if (RegisterValue.ipOf(removalCandidate.id())
                        .equals(RegisterValue.ipOf(learner.id()))) {
                    next.remove(removalCandidate.id());
                    next.add(learner.id());
                    return next;
                }
            }
        }
        boolean replaces =
                removalCandidate != null && removalPriority(removalCandidate) > REPLACE_AFTER_MS;
        int requiredMembers = 2 * toleratedLosses + 1;
        if (!learners.isEmpty()
                && (replaces || members.size() < Math.max(MAX_MEMBERS, requiredMembers))) {
            next.add(learners.get(0).id());
            if (replaces) {
                next.remove(removalCandidate.id());
            }
            return next;
        }
        boolean hasSpareMember = members.size() > requiredMembers;
        boolean expired =
                removalCandidate != null
                        && removalCandidate.millisSinceContact() > REMOVE_AFTER_MS
                        && members.size() > MIN_MEMBERS;
        if (replaces && (hasSpareMember || expired)) {
            next.remove(removalCandidate.id());
        }
        return next;
    }

    private static Candidate removalCandidate(
            SortedSet<String> members, List<Candidate> candidates) {
        Candidate removalCandidate = null;
        for (Candidate candidate : candidates) {
            if (members.contains(candidate.id())
                    && (removalCandidate == null
                            || removalPriority(candidate) > removalPriority(removalCandidate))) {
                removalCandidate = candidate;
            }
        }
        return removalCandidate;
    }

    /**
     * Returns the processes that may become members, ordered by the number of members in their
     * zones.
     */
    private static List<Candidate> learners(SortedSet<String> members, List<Candidate> candidates) {
        Map<String, Integer> membersByZone = new TreeMap<>();
        List<Candidate> learners = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (members.contains(candidate.id())) {
                membersByZone.merge(candidate.zone(), 1, Integer::sum);
            } else if (candidate.caughtUp() && !candidate.leaving()) {
                learners.add(candidate);
            }
        }
        learners.sort(
                Comparator.<Candidate>comparingInt(
                                learner -> membersByZone.getOrDefault(learner.zone(), 0))
                        .thenComparing(Candidate::id));
        return learners;
    }

    private static long removalPriority(Candidate candidate) {
        return candidate.leaving() ? ADDRESS_REUSED_MILLIS - 1 : candidate.millisSinceContact();
    }
}
