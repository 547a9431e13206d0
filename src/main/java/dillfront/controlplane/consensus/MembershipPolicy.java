package dillfront.controlplane.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Which processes are to be members, as the lease holder sees them. One step at a time: at most one
 * joins and at most one leaves. None leaves for good by this: one that was away and comes back is
 * taken in again.
 */
public final class MembershipPolicy {

    /**
     * More members cost more messages than they bear losses; there may be more where the tolerated
     * losses want it.
     */
    static final int MAX_MEMBERS = 7;

    private static final int MIN_MEMBERS = 3;

    /** A member that was silent for so long gives its place to another process. */
    static final long REPLACE_AFTER_MS = 1_500;

    /**
     * And is removed without a replacement after so long, so that the remaining members are not
     * held up by two that are gone.
     */
    static final long REMOVE_AFTER_MS = 30_000;

    /** The silence of a member at whose address another process answers. */
    public static final long ADDRESS_REUSED_MILLIS = Long.MAX_VALUE;

    /**
     * A process, a member or not.
     *
     * @param millisSinceContact for how long nothing came from it; {@link #ADDRESS_REUSED_MILLIS}
     *     where another process is at its address
     * @param caughtUp it answers, and holds all that is decided
     * @param leaving it said that it ends
     */
    public record Candidate(
            String id, String zone, long millisSinceContact, boolean caughtUp, boolean leaving) {}

    private MembershipPolicy() {}

    /**
     * The next members; the same ones where nothing is to be changed.
     *
     * @param candidates all processes that are known, each member among them
     * @param toleratedLosses how many members may be lost at once
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

    /** Processes that could become members; those of zones with few members first. */
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
