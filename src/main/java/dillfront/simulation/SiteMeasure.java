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
 * Measures load plans for lost sites: the planning time for 50 and 120 nodes, and the value that a
 * greedy plan loses against the optimal one. Prints one line of results. The execution of plans by
 * real processes is not measured here.
 */
public final class SiteMeasure {

    private static final int ESTATES = 20;

    private SiteMeasure() {}

    private static PlannerInput estate(int nodes, double use, long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        List<PlannerInput.Node> all = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            all.add(
                    new PlannerInput.Node(
                            "s-" + i,
                            "z" + chance.nextInt(3),
                            i / 5,
                            1 + chance.nextInt(4),
                            i % 5 == 0));
        }
        List<PlannerInput.TransactionType> kinds =
                List.of(
                        new PlannerInput.TransactionType("move", true, 6, 0.1),
                        new PlannerInput.TransactionType("fresh", true, 2, 0.1),
                        new PlannerInput.TransactionType("view", false, 3, 0.4),
                        new PlannerInput.TransactionType("own", false, 2, 0.2),
                        new PlannerInput.TransactionType("any", false, 2, 0.2));
        return new PlannerInput(List.of("z0", "z1", "z2"), all, kinds, use, 0.026);
    }

    /**
     * Returns the median time in milliseconds to compute all plans of one input: the plan without a
     * loss and one per lost site.
     */
    private static double ms(int nodes) {
        double[] took = new double[ESTATES];
        for (int i = 0; i < ESTATES; i++) {
            PlannerInput estate = estate(nodes, 0.75, i);
            long from = System.nanoTime();
            LoadPlanner.allPlans(estate);
            took[i] = (System.nanoTime() - from) / 1e6;
        }
        Arrays.sort(took);
        return took[ESTATES / 2];
    }

    /** Prints one line of results. */
    public static void main(String[] args) {
        ms(50);
        double greedy = 0;
        double planned = 0;
        double worst = 1;
        for (int i = 0; i < ESTATES; i++) {
            for (double use : new double[] {0.5, 0.8, 1.1}) {
                PlannerInput estate = estate(50, use, 100 + i);
                for (LoadPlan plan : LoadPlanner.allPlans(estate)) {
                    double best = LoadPlanner.value(estate, plan);
                    double other =
                            LoadPlanner.value(estate, LoadPlanner.greedy(estate, plan.lost()));
                    planned += best;
                    greedy += other;
                    worst = Math.min(worst, other / best);
                }
            }
        }
        System.out.printf(
                Locale.ROOT,
                "site: solver_ms_50=%.0f solver_ms_120=%.0f greedy_of_plan=%.4f greedy_of_plan_worst=%.4f%n",
                ms(50),
                ms(120),
                greedy / planned,
                worst);
    }
}
