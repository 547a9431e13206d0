package dillfront.router.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.router.plan.Estate.Kind;
import dillfront.router.plan.Estate.Node;
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
 * Where load goes once sites are lost: by scenes to be read, against all there is to choose from,
 * and alike everywhere.
 */
class PlannerTest {

    private static final List<Kind> KINDS =
            List.of(
                    new Kind("move", true, 6, 0.25),
                    new Kind("view", false, 3, 0.5),
                    new Kind("any", false, 1, 0.25));

    private static Estate three(double use) {
        List<Node> nodes = new ArrayList<>();
        for (int g = 0; g < 3; g++) {
            for (int m = 0; m < 3; m++) {
                // The last group has two members in the smallest site's place, so a pair of losses
                // leaves it none.
                String site = g == 2 && m == 2 ? "north" : List.of("north", "south", "west").get(m);
                nodes.add(new Node("s-" + g + m, site, g, m == 2 ? 1 : 2, m == g % 3));
            }
        }
        return new Estate(List.of("north", "south", "west"), nodes, KINDS, use, 0.02);
    }

    @Test
    void plansAreReadLikeAScene() throws IOException {
        StringBuilder trace = new StringBuilder();
        for (double use : new double[] {0.4, 0.8}) {
            Estate estate = three(use);
            for (Plan plan : Planner.all(estate)) {
                trace.append(
                        String.format(
                                Locale.ROOT,
                                "use %.1f, lost %s: served %.2f of %.2f\n",
                                use,
                                plan.lost(),
                                plan.served(),
                                plan.asked()));
                for (Plan.Group group : plan.groups()) {
                    trace.append(
                            String.format(
                                    Locale.ROOT,
                                    "  group %d: %d of %d left, primary %s%s\n",
                                    group.number(),
                                    group.left(),
                                    group.members(),
                                    group.primary(),
                                    group.elects() ? ", to be elected" : ""));
                    for (Plan.Row row : group.rows()) {
                        trace.append(
                                String.format(
                                        Locale.ROOT,
                                        "    %-5s asked %.3f served %.3f crosses %.3f limit %s:",
                                        row.kind(),
                                        row.asked(),
                                        row.served(),
                                        row.crosses(),
                                        row.limit()));
                        row.flows()
                                .forEach(
                                        f ->
                                                trace.append(
                                                        String.format(
                                                                Locale.ROOT,
                                                                " %s>%s %.3f",
                                                                f.from(),
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
     * Every way to give whole units of what is asked to whole units of room, for estates so small
     * that all can be tried.
     */
    private static double best(
            Estate estate,
            Set<String> lost,
            int[][] asked,
            List<Node> left,
            Node primary,
            int[] room,
            int at) {
        int kinds = estate.kinds().size();
        if (at == asked.length * kinds) {
            return 0;
        }
        int site = at / kinds;
        int kind = at % kinds;
        Kind its = estate.kinds().get(kind);
        return give(
                estate,
                lost,
                asked,
                left,
                primary,
                room,
                at,
                its,
                estate.sites().get(site),
                asked[site][kind],
                0);
    }

    private static double give(
            Estate estate,
            Set<String> lost,
            int[][] asked,
            List<Node> left,
            Node primary,
            int[] room,
            int at,
            Kind kind,
            String site,
            int rest,
            int node) {
        if (node == left.size()) {
            return best(estate, lost, asked, left, primary, room, at + 1);
        }
        double most = 0;
        Node to = left.get(node);
        int may = kind.primaryOnly() && to != primary ? 0 : Math.min(rest, room[node]);
        double each =
                kind.value()
                        - (!kind.primaryOnly() && to == primary
                                ? 0.02 * kind.value() + estate.crossingPrice()
                                : 0)
                        - (to.site().equals(site) ? 0 : estate.crossingPrice());
        for (int amount = 0; amount <= may; amount++) {
            room[node] -= amount;
            most =
                    Math.max(
                            most,
                            amount * each
                                    + give(
                                            estate,
                                            lost,
                                            asked,
                                            left,
                                            primary,
                                            room,
                                            at,
                                            kind,
                                            site,
                                            rest - amount,
                                            node + 1));
            room[node] += amount;
        }
        return most;
    }

    /**
     * The simplex finds what trying everything finds: amounts that are whole make plans that are
     * whole (a transport problem).
     */
    @Test
    void noWayIsBetterThanThePlan() {
        SplittableRandom chance = new SplittableRandom(31);
        int looked = 0;
        for (int round = 0; round < 300; round++) {
            int members = 2 + chance.nextInt(2);
            List<Node> nodes = new ArrayList<>();
            int[] whole = new int[members];
            for (int m = 0; m < members; m++) {
                whole[m] = 1 + chance.nextInt(3);
                nodes.add(
                        new Node(
                                "n" + m,
                                m == 0 ? "a" : chance.nextInt(2) == 0 ? "a" : "b",
                                0,
                                whole[m] / Planner.FILL,
                                m == 0));
            }
            List<Kind> kinds =
                    List.of(
                            new Kind("w", true, 1 + chance.nextInt(6), 0.5),
                            new Kind("r", false, 1 + chance.nextInt(6), 0.5));
            double all = nodes.stream().mapToDouble(Node::capacity).sum();
            Set<String> lost = chance.nextInt(3) == 0 ? Set.of("a") : Set.of();
            int sum = 2 * (1 + chance.nextInt(3));
            Estate estate = new Estate(List.of("a", "b"), nodes, kinds, sum / all, 0.05);
            int[][] asked = new int[2][2];
            boolean wholes = true;
            for (int s = 0; s < 2; s++) {
                for (int k = 0; k < 2; k++) {
                    double exact = sum * 0.5 * estate.part(estate.sites().get(s), lost);
                    asked[s][k] = (int) Math.round(exact);
                    wholes &= Math.abs(exact - asked[s][k]) < 1e-9;
                }
            }
            Plan plan = Planner.plan(estate, lost);
            List<Node> left = nodes.stream().filter(n -> !lost.contains(n.site())).toList();
            if (!wholes || left.isEmpty()) {
                continue;
            }
            looked++;
            Node primary =
                    left.stream()
                            .filter(n -> n.id().equals(plan.groups().get(0).primary()))
                            .findAny()
                            .orElseThrow();
            int[] room = left.stream().mapToInt(n -> whole[nodes.indexOf(n)]).toArray();
            assertEquals(
                    best(estate, lost, asked, left, primary, room, 0),
                    Planner.worth(estate, plan),
                    1e-6,
                    "round " + round);
        }
        assertTrue(looked > 50, "looked at " + looked);
    }

    /**
     * The same list in another order is the same plan; nothing goes past what nodes or clients
     * have.
     */
    @Test
    void theSameListMakesTheSamePlan() {
        SplittableRandom chance = new SplittableRandom(32);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            nodes.add(
                    new Node(
                            "s-" + i,
                            "z" + chance.nextInt(3),
                            i / 5,
                            1 + chance.nextInt(4),
                            i % 5 == 0));
        }
        List<Plan> plans =
                Planner.all(new Estate(List.of("z0", "z1", "z2"), nodes, KINDS, 0.75, 0.02));
        List<Node> other = new ArrayList<>(nodes);
        Collections.reverse(other);
        assertEquals(
                plans,
                Planner.all(new Estate(List.of("z2", "z1", "z0"), other, KINDS, 0.75, 0.02)));
        for (Plan plan : plans) {
            Planner.load(plan, nodes)
                    .forEach(
                            (id, load) ->
                                    assertTrue(load <= Planner.FILL + 1e-6, id + " is at " + load));
            plan.groups()
                    .forEach(
                            g ->
                                    g.rows()
                                            .forEach(
                                                    r ->
                                                            assertTrue(
                                                                    r.served() <= r.asked() + 1e-6,
                                                                    r.toString())));
        }
    }
}
