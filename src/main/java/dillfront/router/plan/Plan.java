package dillfront.router.plan;

import java.util.List;
import java.util.Set;

/**
 * Distribution of the requested load once the given sites are lost. Amounts are work per second, in
 * units of a node of weight 1.
 *
 * @param lost empty for the plan without a loss
 */
public record Plan(Set<String> lost, List<Group> groups) {

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
     * @param elects whether the primary is lost, so that the group accepts no writes until another
     *     node takes over
     */
    public record Group(
            int number, int members, int left, String primary, boolean elects, List<Row> rows) {}

    /**
     * Load of one transaction type.
     *
     * @param asked work requested from the group, at all sites
     * @param limit the binding limit if not all is served
     */
    public record Row(
            String kind,
            double asked,
            double served,
            double crosses,
            Limit limit,
            List<Flow> flows) {}

    /** Part of the work requested at a site that is sent to a node. */
    public record Flow(String from, String node, String at, double amount) {}

    public double asked() {
        return groups.stream().flatMap(g -> g.rows.stream()).mapToDouble(Row::asked).sum();
    }

    public double served() {
        return groups.stream().flatMap(g -> g.rows.stream()).mapToDouble(Row::served).sum();
    }

    /**
     * Returns the part of a transaction type's requested work, over all groups, that is refused.
     */
    public double refused(String kind) {
        double asked = 0;
        double served = 0;
        for (Group group : groups) {
            for (Row row : group.rows) {
                asked += row.kind.equals(kind) ? row.asked : 0;
                served += row.kind.equals(kind) ? row.served : 0;
            }
        }
        return asked == 0 ? 0 : 1 - served / asked;
    }
}
