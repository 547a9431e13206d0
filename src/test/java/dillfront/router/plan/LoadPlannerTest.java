package dillfront.router.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.router.plan.PlannerInput.Node;
import dillfront.router.plan.PlannerInput.TransactionType;
import dillfront.routing.RoutingHarness;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Checks the load plans after the loss of sites: against recorded plans, against an exhaustive
 * search, and for equal results on all routers.
 */
class LoadPlannerTest {

    private static final List<TransactionType> TRANSACTION_TYPES =
            List.of(
                    new TransactionType("move", true, 6, 0.25),
                    new TransactionType("view", false, 3, 0.5),
                    new TransactionType("any", false, 1, 0.25));

    private static PlannerInput threeSites(double use) {
        List<Node> nodes = new ArrayList<>();
        for (int g = 0; g < 3; g++) {
            for (int m = 0; m < 3; m++) {
                // The last group has two members at the same site, so the loss of two sites can
                // leave it none.
                String site = g == 2 && m == 2 ? "north" : List.of("north", "south", "west").get(m);
                nodes.add(new Node("s-" + g + m, site, g, m == 2 ? 1 : 2, m == g % 3));
            }
        }
        return new PlannerInput(
                List.of("north", "south", "west"), nodes, TRANSACTION_TYPES, use, 0.02);
    }

    @Test
    void matchesRecordedPlans() throws IOException {
        StringBuilder trace = new StringBuilder();
        for (double use : new double[] {0.4, 0.8}) {
            PlannerInput input = threeSites(use);
            for (LoadPlan plan : LoadPlanner.allPlans(input)) {
                trace.append(
                        String.format(
                                Locale.ROOT,
                                "use %.1f, lost %s: served %.2f of %.2f\n",
                                use,
                                plan.lost(),
                                plan.served(),
                                plan.requested()));
                for (LoadPlan.Group group : plan.groups()) {
                    trace.append(
                            String.format(
                                    Locale.ROOT,
                                    "  group %d: %d of %d left, primary %s%s\n",
                                    group.number(),
                                    group.left(),
                                    group.members(),
                                    group.primary(),
                                    group.needsElection() ? ", to be elected" : ""));
                    for (LoadPlan.TypeLoad row : group.loads()) {
                        trace.append(
                                String.format(
                                        Locale.ROOT,
                                        "    %-5s asked %.3f served %.3f crosses %.3f limit %s:",
                                        row.type(),
                                        row.requested(),
                                        row.served(),
                                        row.crossSite(),
                                        row.limit()));
                        row.flows()
                                .forEach(
                                        f ->
                                                trace.append(
                                                        String.format(
                                                                Locale.ROOT,
                                                                " %s>%s %.3f",
                                                                f.fromSite(),
                                                                f.node(),
                                                                f.amount())));
                        trace.append('\n');
                    }
                }
            }
        }
        RoutingHarness.assertTraceEquals("site-plans", trace);
    }

    /**
     * Searches all assignments of whole units of requested work to whole units of capacity, for
     * inputs small enough.
     */
    private static double bestValue(
            PlannerInput input,
            Set<String> lost,
            int[][] requested,
            List<Node> left,
            Node primary,
            int[] free,
            int index) {
        int typeCount = input.transactionTypes().size();
        if (index == requested.length * typeCount) {
            return 0;
        }
        int site = index / typeCount;
        int kind = index % typeCount;
        TransactionType type = input.transactionTypes().get(kind);
        return assignToNodes(
                input,
                lost,
                requested,
                left,
                primary,
                free,
                index,
                type,
                input.sites().get(site),
                requested[site][kind],
                0);
    }

    private static double assignToNodes(
            PlannerInput input,
            Set<String> lost,
            int[][] requested,
            List<Node> left,
            Node primary,
            int[] free,
            int index,
            TransactionType type,
            String site,
            int unserved,
            int node) {
        if (node == left.size()) {
            return bestValue(input, lost, requested, left, primary, free, index + 1);
        }
        double best = 0;
        Node to = left.get(node);
        int maxAmount = type.primaryOnly() && to != primary ? 0 : Math.min(unserved, free[node]);
        double unitValue =
                type.value()
                        - (!type.primaryOnly() && to == primary
                                ? 0.02 * type.value() + input.crossingPrice()
                                : 0)
                        - (to.site().equals(site) ? 0 : input.crossingPrice());
        for (int amount = 0; amount <= maxAmount; amount++) {
            free[node] -= amount;
            best =
                    Math.max(
                            best,
                            amount * unitValue
                                    + assignToNodes(
                                            input,
                                            lost,
                                            requested,
                                            left,
                                            primary,
                                            free,
                                            index,
                                            type,
                                            site,
                                            unserved - amount,
                                            node + 1));
            free[node] += amount;
        }
        return best;
    }

    /**
     * The simplex method finds the optimum of the exhaustive search: integral amounts have integral
     * optimal plans (a transport problem).
     */
    @Test
    void matchesExhaustiveSearch() {
        SplittableRandom random = new SplittableRandom(31);
        int compared = 0;
        for (int round = 0; round < 300; round++) {
            int members = 2 + random.nextInt(2);
            List<Node> nodes = new ArrayList<>();
            int[] whole = new int[members];
            for (int m = 0; m < members; m++) {
                whole[m] = 1 + random.nextInt(3);
                nodes.add(
                        new Node(
                                "n" + m,
                                m == 0 ? "a" : random.nextInt(2) == 0 ? "a" : "b",
                                0,
                                whole[m] / LoadPlanner.MAX_UTILIZATION,
                                m == 0));
            }
            List<TransactionType> types =
                    List.of(
                            new TransactionType("w", true, 1 + random.nextInt(6), 0.5),
                            new TransactionType("r", false, 1 + random.nextInt(6), 0.5));
            double totalCapacity = nodes.stream().mapToDouble(Node::capacity).sum();
            Set<String> lost = random.nextInt(3) == 0 ? Set.of("a") : Set.of();
            int sum = 2 * (1 + random.nextInt(3));
            PlannerInput input =
                    new PlannerInput(List.of("a", "b"), nodes, types, sum / totalCapacity, 0.05);
            int[][] requested = new int[2][2];
            boolean wholes = true;
            for (int s = 0; s < 2; s++) {
                for (int k = 0; k < 2; k++) {
                    double exact = sum * 0.5 * input.demandPart(input.sites().get(s), lost);
                    requested[s][k] = (int) Math.round(exact);
                    wholes &= Math.abs(exact - requested[s][k]) < 1e-9;
                }
            }
            LoadPlan plan = LoadPlanner.plan(input, lost);
            List<Node> left = nodes.stream().filter(n -> !lost.contains(n.site())).toList();
            if (!wholes || left.isEmpty()) {
                continue;
            }
            compared++;
            Node primary =
                    left.stream()
                            .filter(n -> n.id().equals(plan.groups().get(0).primary()))
                            .findAny()
                            .orElseThrow();
            int[] free = left.stream().mapToInt(n -> whole[nodes.indexOf(n)]).toArray();
            assertEquals(
                    bestValue(input, lost, requested, left, primary, free, 0),
                    LoadPlanner.value(input, plan),
                    1e-6,
                    "round " + round);
        }
        assertTrue(compared > 50, "compared plans: " + compared);
    }

    /**
     * The same list in another order gives the same plan, and no plan exceeds the capacity of a
     * node or the requested work.
     */
    @Test
    void planIsIndependentOfListOrder() {
        SplittableRandom random = new SplittableRandom(32);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            nodes.add(
                    new Node(
                            "s-" + i,
                            "z" + random.nextInt(3),
                            i / 5,
                            1 + random.nextInt(4),
                            i % 5 == 0));
        }
        List<LoadPlan> plans =
                LoadPlanner.allPlans(
                        new PlannerInput(
                                List.of("z0", "z1", "z2"), nodes, TRANSACTION_TYPES, 0.75, 0.02));
        List<Node> other = new ArrayList<>(nodes);
        Collections.reverse(other);
        assertEquals(
                plans,
                LoadPlanner.allPlans(
                        new PlannerInput(
                                List.of("z2", "z1", "z0"), other, TRANSACTION_TYPES, 0.75, 0.02)));
        for (LoadPlan plan : plans) {
            LoadPlanner.utilization(plan, nodes)
                    .forEach(
                            (id, load) ->
                                    assertTrue(
                                            load <= LoadPlanner.MAX_UTILIZATION + 1e-6,
                                            id + " is at " + load));
            plan.groups()
                    .forEach(
                            g ->
                                    g.loads()
                                            .forEach(
                                                    r ->
                                                            assertTrue(
                                                                    r.served()
                                                                            <= r.requested() + 1e-6,
                                                                    r.toString())));
        }
    }
}
