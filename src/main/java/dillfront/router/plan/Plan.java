package dillfront.router.plan;

import java.util.List;
import java.util.Set;

/**
 * What becomes of all that is asked once these sites are lost. Amounts are work a second, in units
 * of a node of weight 1.
 *
 * @param lost none where this is the plan of an ordinary day
 */
public record Plan(Set<String> lost, List<Group> groups) {

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
     * @param elects the one that led is lost: until another does, the group takes no write
     */
    public record Group(
            int number, int members, int left, String primary, boolean elects, List<Row> rows) {}

    /**
     * One kind of txn.
     *
     * @param asked of the group, at all sites
     * @param limit what binds where not all is served
     */
    public record Row(
            String kind,
            double asked,
            double served,
            double crosses,
            Limit limit,
            List<Flow> flows) {}

    /** So much of what is asked at a site goes to a node. */
    public record Flow(String from, String node, String at, double amount) {}

    public double asked() {
        return groups.stream().flatMap(g -> g.rows.stream()).mapToDouble(Row::asked).sum();
    }

    public double served() {
        return groups.stream().flatMap(g -> g.rows.stream()).mapToDouble(Row::served).sum();
    }

    /** Of what is asked of a kind, over all groups, the part that is refused. */
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
