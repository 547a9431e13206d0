package dillfront.router.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Input of the load planner: the listed nodes, the transaction types of the settings, and the load
 * requested at each site. All of it is the same on every router and kept in a fixed order, so that
 * the same list produces the same plan everywhere.
 */
public final class PlannerInput {

    /**
     * @param capacity work per second, in units of a node of weight 1
     */
    public record Node(String id, String site, int group, double capacity, boolean isPrimary) {}

    /**
     * @param primaryOnly writes and fresh reads
     * @param value value of one transaction
     * @param share part of the requested work
     */
    public record TransactionType(String name, boolean primaryOnly, double value, double share) {}

    private final List<String> sites;
    private final List<Node> nodes;
    private final List<TransactionType> transactionTypes;
    private final double requestedPart;
    private final double crossingCost;

    /**
     * @param sites all sites, including those without nodes
     * @param requestedPart requested work, as a part of the capacity of all nodes
     * @param crossingCost cost of a transaction that crosses sites, as a part of the mean value
     */
    public PlannerInput(
            List<String> sites,
            List<Node> nodes,
            List<TransactionType> transactionTypes,
            double requestedPart,
            double crossingCost) {
        this.sites = List.copyOf(new TreeSet<>(sites));
        List<Node> sorted = new ArrayList<>(nodes);
        sorted.sort(
                (a, b) ->
                        a.group != b.group
                                ? Integer.compare(a.group, b.group)
                                : a.id.compareTo(b.id));
        this.nodes = List.copyOf(sorted);
        this.transactionTypes = List.copyOf(transactionTypes);
        this.requestedPart = requestedPart;
        this.crossingCost = crossingCost;
    }

    public List<String> sites() {
        return sites;
    }

    public List<TransactionType> transactionTypes() {
        return transactionTypes;
    }

    public double requestedPart() {
        return requestedPart;
    }

    /** Returns the value that one cross-site transaction loses. */
    double crossingPrice() {
        double shares = transactionTypes.stream().mapToDouble(TransactionType::share).sum();
        return shares == 0
                ? 0
                : crossingCost
                        * transactionTypes.stream().mapToDouble(k -> k.value * k.share).sum()
                        / shares;
    }

    /** Returns all members by group. */
    TreeMap<Integer, List<Node>> groups() {
        TreeMap<Integer, List<Node>> groups = new TreeMap<>();
        nodes.forEach(n -> groups.computeIfAbsent(n.group, k -> new ArrayList<>()).add(n));
        return groups;
    }

    /** Returns the total capacity of the nodes at a site. */
    double capacity(String site) {
        return nodes.stream().filter(n -> n.site.equals(site)).mapToDouble(Node::capacity).sum();
    }

    /**
     * Returns the part of the requested work that arrives at this site once the given sites are
     * lost: clients are distributed like node capacity, and those of a lost site move to the
     * remaining sites in proportion to their capacity.
     */
    double demandPart(String site, Set<String> lost) {
        double remainingCapacity =
                sites.stream().filter(s -> !lost.contains(s)).mapToDouble(this::capacity).sum();
        return lost.contains(site) || remainingCapacity == 0
                ? 0
                : capacity(site) / remainingCapacity;
    }

    /** Returns each site and each pair of sites whose loss leaves at least one site. */
    public List<Set<String>> siteLosses() {
        List<Set<String>> losses = new ArrayList<>();
        for (int size = 1; size <= 2 && size < sites.size(); size++) {
            for (int a = 0; a < sites.size(); a++) {
                for (int b = a; b < sites.size(); b++) {
                    Set<String> lost = new TreeSet<>(List.of(sites.get(a)));
                    lost.add(sites.get(b));
                    if (lost.size() == size) {
                        losses.add(lost);
                    }
                }
            }
        }
        return losses;
    }
}
