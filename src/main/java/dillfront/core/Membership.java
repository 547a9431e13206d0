package dillfront.core;

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
final class Membership {

    /**
     * More disks cost more to ask than they bear losses; but as many as the losses that are to be
     * borne want.
     */
    static final int MOST = 7;

    private static final int FEWEST = 3;

    /** Silent for so long, it gives its place to another. */
    static final long SILENT_MS = 1_500;

    /** And without another, so that those that are left are not held up by two that are gone. */
    static final long GONE_MS = 30_000;

    /**
     * A process, a member or not.
     *
     * @param silent for how many milliseconds nothing came from it; Long.MAX_VALUE where another is
     *     at its address
     * @param near it is heard both ways, and holds what is decided
     * @param leaving it said that it ends
     */
    record Process(String id, String zone, long silent, boolean near, boolean leaving) {}

    private Membership() {}

    /** The next set; the same one where nothing is to be changed. */
    static TreeSet<String> next(SortedSet<String> members, List<Process> seen, int losses) {
        TreeSet<String> next = new TreeSet<>(members);
        Map<String, Integer> zones = new TreeMap<>();
        List<Process> learners = new ArrayList<>();
        Process worst = null;
        for (Process p : seen) {
            boolean in = members.contains(p.id());
            if (in) {
                zones.merge(p.zone(), 1, Integer::sum);
                worst = worst == null || weight(p) > weight(worst) ? p : worst;
            } else if (p.near() && !p.leaving()) {
                learners.add(p);
            }
        }
        learners.sort(
                Comparator.<Process>comparingInt(p -> zones.getOrDefault(p.zone(), 0))
                        .thenComparing(Process::id));
        boolean goes = worst != null && weight(worst) > SILENT_MS;
        for (Process p : learners) {
            if (worst != null
                    && worst.silent() == Long.MAX_VALUE
                    && Value.ip(worst.id()).equals(Value.ip(p.id()))) {
                next.remove(worst.id());
                next.add(p.id());
                return next;
            }
        }
        if (!learners.isEmpty() && (goes || members.size() < Math.max(MOST, 2 * losses + 1))) {
            next.add(learners.get(0).id());
            if (goes) {
                next.remove(worst.id());
            }
            return next;
        }
        boolean spare = members.size() > 2 * losses + 1;
        boolean gone = worst != null && worst.silent() > GONE_MS && members.size() > FEWEST;
        if (goes && (spare || gone)) {
            next.remove(worst.id());
        }
        return next;
    }

    /** How much there is for its going. */
    private static long weight(Process p) {
        return p.leaving() ? Long.MAX_VALUE - 1 : p.silent();
    }
}
