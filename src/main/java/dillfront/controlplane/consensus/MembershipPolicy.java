package dillfront.controlplane.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Which processes are to be members, as the holder of the lease sees them. One step at a time: at
 * most one comes and at most one goes. Nobody goes for good by this: one that was away and comes
 * back is taken in again.
 */
public final class MembershipPolicy {

    /**
     * More disks cost more to ask than they bear losses; but as many as the losses that are to be
     * borne want.
     */
    static final int MAX_MEMBERS = 7;

    private static final int MIN_MEMBERS = 3;

    /** Silent for so long, it gives its place to another. */
    static final long REPLACE_AFTER_MS = 1_500;

    /** And without another, so that those that are left are not held up by two that are gone. */
    static final long REMOVE_AFTER_MS = 30_000;

    /**
     * A process, a member or not.
     *
     * @param silentMillis for how many milliseconds nothing came from it; Long.MAX_VALUE where
     *     another is at its address
     * @param caughtUp it is heard both ways, and holds what is decided
     * @param leaving it said that it ends
     */
    public record Candidate(
            String id, String zone, long silentMillis, boolean caughtUp, boolean leaving) {}

    private MembershipPolicy() {}

    /** The next set; the same one where nothing is to be changed. */
    public static TreeSet<String> nextMembers(
            SortedSet<String> members, List<Candidate> seen, int losses) {
        TreeSet<String> next = new TreeSet<>(members);
        Map<String, Integer> zones = new TreeMap<>();
        List<Candidate> learners = new ArrayList<>();
        Candidate worst = null;
        for (Candidate p : seen) {
            boolean in = members.contains(p.id());
            if (in) {
                zones.merge(p.zone(), 1, Integer::sum);
                worst = worst == null || removalPriority(p) > removalPriority(worst) ? p : worst;
            } else if (p.caughtUp() && !p.leaving()) {
                learners.add(p);
            }
        }
        learners.sort(
                Comparator.<Candidate>comparingInt(p -> zones.getOrDefault(p.zone(), 0))
                        .thenComparing(Candidate::id));
        boolean goes = worst != null && removalPriority(worst) > REPLACE_AFTER_MS;
        for (Candidate p : learners) {
            if (worst != null
                    && worst.silentMillis() == Long.MAX_VALUE
                    && RegisterValue.ipOf(worst.id()).equals(RegisterValue.ipOf(p.id()))) {
                next.remove(worst.id());
                next.add(p.id());
                return next;
            }
        }
        if (!learners.isEmpty()
                && (goes || members.size() < Math.max(MAX_MEMBERS, 2 * losses + 1))) {
            next.add(learners.get(0).id());
            if (goes) {
                next.remove(worst.id());
            }
            return next;
        }
        boolean spare = members.size() > 2 * losses + 1;
        boolean gone =
                worst != null
                        && worst.silentMillis() > REMOVE_AFTER_MS
                        && members.size() > MIN_MEMBERS;
        if (goes && (spare || gone)) {
            next.remove(worst.id());
        }
        return next;
    }

    /** How much there is for its going. */
    private static long removalPriority(Candidate p) {
        return p.leaving() ? Long.MAX_VALUE - 1 : p.silentMillis();
    }
}
