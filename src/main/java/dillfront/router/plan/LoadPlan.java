package dillfront.router.plan;

import java.util.List;
import java.util.Set;

/**
 * Distribution of the requested load once the given sites are lost. Amounts are work per second, in
 * units of a node of weight 1.
 *
 * @param lost empty for the plan without a loss
 */
public record LoadPlan(Set<String> lost, List<Group> groups) {

    /** Reason why the requested load is not served in full. */
    public enum Limit {
        /** All requested load is served. */
        NONE,
        /** No member is left. */
        NO_MEMBER,
        /** The primary, or the node that may become primary, is fully loaded. */
        PRIMARY,
        /** All members that may serve the load are fully loaded. */
        MEMBERS
    }

    /**
     * @param primary the primary; if it is lost, the smallest of the nodes that may replace it,
     *     since its successor is not known
     * @param needsElection whether the primary is lost, so that the group accepts no writes until
     *     another node takes over
     */
    public record Group(
            int number,
            int members,
            int left,
            String primary,
            boolean needsElection,
            List<TypeLoad> loads) {}

    /**
     * Load of one transaction type.
     *
     * @param requested work requested from the group, at all sites
     * @param limit the binding limit if not all is served
     */
    public record TypeLoad(
            String type,
            double requested,
            double served,
            double crossSite,
            Limit limit,
            List<Flow> flows) {}

    /** Part of the work requested at a site that is sent to a node. */
    public record Flow(String fromSite, String node, String at, double amount) {}

    /** Returns the work requested from all groups. */
    public double requested() {
        return groups.stream()
                .flatMap(g -> g.loads.stream())
                .mapToDouble(TypeLoad::requested)
                .sum();
    }

    public double served() {
        return groups.stream().flatMap(g -> g.loads.stream()).mapToDouble(TypeLoad::served).sum();
    }

    /**
     * Returns the part of a transaction type's requested work, over all groups, that is refused.
     */
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
