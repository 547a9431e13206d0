package dillfront.router.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What is planned for: the nodes of a list, the txn types of the settings, and how much is asked
 * where. All that is in it comes from what every router has alike, in an order of its own, so that
 * the same list makes the same plan everywhere.
 */
public final class PlannerInput {

    /**
     * @param capacity work a second, in units of a node of weight 1
     */
    public record Node(String id, String site, int group, double capacity, boolean isPrimary) {}

    /**
     * @param primaryOnly writes and fresh reads
     * @param value of one txn
     * @param share of the work that is asked
     */
    public record TransactionType(String name, boolean primaryOnly, double value, double share) {}

    private final List<String> sites;
    private final List<Node> nodes;
    private final List<TransactionType> transactionTypes;
    private final double requestedPart;
    private final double crossingCost;

    /**
     * @param sites all of them, also those where no node stands
     * @param requestedPart what is asked, as a part of what all nodes can do
     * @param crossingCost what one txn that crosses sites costs, as a part of the mean value
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

    /** What one crossing takes from the value of a txn. */
    double crossingPrice() {
        double shares = transactionTypes.stream().mapToDouble(TransactionType::share).sum();
        return shares == 0
                ? 0
                : crossingCost
                        * transactionTypes.stream().mapToDouble(k -> k.value * k.share).sum()
                        / shares;
    }

    /** By group, all its members. */
    TreeMap<Integer, List<Node>> groups() {
        TreeMap<Integer, List<Node>> groups = new TreeMap<>();
        nodes.forEach(n -> groups.computeIfAbsent(n.group, k -> new ArrayList<>()).add(n));
        return groups;
    }

    /** What nodes there can do, all together. */
    double capacity(String site) {
        return nodes.stream().filter(n -> n.site.equals(site)).mapToDouble(Node::capacity).sum();
    }

    /**
     * Of what is asked, the part whose clients come to this site once those are lost: clients stand
     * where nodes do, and those of a lost site go to the others as much as they can do.
     */
    double demandPart(String site, Set<String> lost) {
        double remainingCapacity =
                sites.stream().filter(s -> !lost.contains(s)).mapToDouble(this::capacity).sum();
        return lost.contains(site) || remainingCapacity == 0
                ? 0
                : capacity(site) / remainingCapacity;
    }

    /** Each site, and each pair of them, that may be lost with something left. */
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
