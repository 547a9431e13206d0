package dillfront.simulation;

import dillfront.router.plan.LoadPlan;
import dillfront.router.plan.LoadPlanner;
import dillfront.router.plan.PlannerInput;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * The plans for lost sites: how long fifty and 120 nodes take, and what a greedy order would lose
 * against them. Ends with one line. What real processes do with a plan comes with the rest of that
 * direction.
 */
public final class SiteMeasure {

    private static final int INPUTS = 20;

    private SiteMeasure() {}

    private static PlannerInput randomInput(int nodes, double utilization, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<PlannerInput.Node> nodeList = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            nodeList.add(
                    new PlannerInput.Node(
                            "s-" + i,
                            "z" + random.nextInt(3),
                            i / 5,
                            1 + random.nextInt(4),
                            i % 5 == 0));
        }
        List<PlannerInput.TransactionType> types =
                List.of(
                        new PlannerInput.TransactionType("move", true, 6, 0.1),
                        new PlannerInput.TransactionType("fresh", true, 2, 0.1),
                        new PlannerInput.TransactionType("view", false, 3, 0.4),
                        new PlannerInput.TransactionType("own", false, 2, 0.2),
                        new PlannerInput.TransactionType("any", false, 2, 0.2));
        return new PlannerInput(List.of("z0", "z1", "z2"), nodeList, types, utilization, 0.026);
    }

    /**
     * The median time of all plans of an estate, the ordinary day's and each loss, in milliseconds.
     */
    private static double medianPlanningMillis(int nodes) {
        double[] durationsMillis = new double[INPUTS];
        for (int i = 0; i < INPUTS; i++) {
            PlannerInput input = randomInput(nodes, 0.75, i);
            long startNanos = System.nanoTime();
            LoadPlanner.allPlans(input);
            durationsMillis[i] = (System.nanoTime() - startNanos) / 1e6;
        }
        Arrays.sort(durationsMillis);
        return durationsMillis[INPUTS / 2];
    }

    /** Prints one line of results. */
    public static void main(String[] args) {
        medianPlanningMillis(50);
        double greedy = 0;
        double planned = 0;
        double worstRatio = 1;
        for (int i = 0; i < INPUTS; i++) {
            for (double utilization : new double[] {0.5, 0.8, 1.1}) {
                PlannerInput input = randomInput(50, utilization, 100 + i);
                for (LoadPlan plan : LoadPlanner.allPlans(input)) {
                    double plannedValue = LoadPlanner.value(input, plan);
                    double greedyValue =
                            LoadPlanner.value(input, LoadPlanner.greedy(input, plan.lost()));
                    planned += plannedValue;
                    greedy += greedyValue;
                    worstRatio = Math.min(worstRatio, greedyValue / plannedValue);
                }
            }
        }
        System.out.printf(
                Locale.ROOT,
                "site: solver_ms_50=%.0f solver_ms_120=%.0f greedy_of_plan=%.4f greedy_of_plan_worst=%.4f%n",
                medianPlanningMillis(50),
                medianPlanningMillis(120),
                greedy / planned,
                worstRatio);
    }
}
