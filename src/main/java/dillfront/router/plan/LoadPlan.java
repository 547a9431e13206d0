package dillfront.router.plan;

import java.util.List;
import java.util.Set;

/**
 * What becomes of all that is asked once these sites are lost. Amounts are work a second, in units
 * of a node of weight 1.
 *
 * @param lost none where this is the plan of an ordinary day
 */
public record LoadPlan(Set<String> lost, List<Group> groups) {

    /** Why not all of a kind is served. */
    public enum Limit {
        /** All is served. */
        NONE,
        /** No member is left. */
        NO_MEMBER,
        /** The one that leads, or may come to, is full. */
        PRIMARY,
        /** All members that may take it are full. */
        MEMBERS
    }

    /**
     * @param primary who leads; where he is lost, the least of those who may come to, since nobody
     *     knows who will
     * @param needsElection the one that led is lost: until another does, the group takes no write
     */
    public record Group(
            int number,
            int members,
            int left,
            String primary,
            boolean needsElection,
            List<TypeLoad> loads) {}

    /**
     * One kind of txn.
     *
     * @param requested of the group, at all sites
     * @param limit what binds where not all is served
     */
    public record TypeLoad(
            String type,
            double requested,
            double served,
            double crossSite,
            Limit limit,
            List<Flow> flows) {}

    /** So much of what is asked at a site goes to a node. */
    public record Flow(String fromSite, String node, String at, double amount) {}

    public double requested() {
        return groups.stream()
                .flatMap(g -> g.loads.stream())
                .mapToDouble(TypeLoad::requested)
                .sum();
    }

    public double served() {
        return groups.stream().flatMap(g -> g.loads.stream()).mapToDouble(TypeLoad::served).sum();
    }

    /** Of what is asked of a kind, over all groups, the part that is refused. */
    public double refusedPart(String type) {
        double requested = 0;
        double served = 0;
        for (Group group : groups) {
            for (TypeLoad load : group.loads) {
                requested += load.type.equals(type) ? load.requested : 0;
                served += load.type.equals(type) ? load.served : 0;
            }
        }
        return requested == 0 ? 0 : 1 - served / requested;
    }
}
