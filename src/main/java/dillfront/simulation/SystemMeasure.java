package dillfront.simulation;

import dillfront.simulation.system.SystemSimulation;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Some hundreds of random days of the whole system, and what became of the rules. With an argument:
 * one seed, told in full.
 */
public final class SystemMeasure {

    private static final long SCHEDULE_MS = 24_000;
    private static final long BUDGET_MS = 42_000;
    private static final int MAX_SCHEDULES = 600;

    private SystemMeasure() {}

    private static SystemSimulation run(long seed) {
        SystemSimulation schedule = new SystemSimulation(seed, 2, 2, 9, SCHEDULE_MS);
        schedule.addRandomFaults();
        schedule.run();
        return schedule;
    }

    /**
     * With an argument, tells one seed in full; else plays days for some 45 s and prints one line
     * of results.
     */
    public static void main(String[] args) {
        if (args.length > 0) {
            SystemSimulation schedule = run(Long.parseLong(args[0]));
            schedule.eventLog.forEach(System.out::println);
            schedule.traceLog().forEach(System.out::println);
            schedule.status().forEach(System.out::println);
            schedule.violations().forEach(System.out::println);
            System.out.println(
                    "served "
                            + schedule.served()
                            + " promotions "
                            + schedule.promotions()
                            + " promote_ms "
                            + schedule.promotionMillis());
            return;
        }
        long startNanos = System.nanoTime();
        List<Long> promote = new ArrayList<>();
        List<Long> config = new ArrayList<>();
        int schedules = 0;
        int violations = 0;
        int lost = 0;
        int twice = 0;
        int stale = 0;
        int promotions = 0;
        double served = 0;
        for (long seed = 1;
                schedules < MAX_SCHEDULES
                        && (System.nanoTime() - startNanos) / 1_000_000 < BUDGET_MS;
                seed++) {
            SystemSimulation schedule = run(seed);
            schedules++;
            violations += schedule.violations().size();
            lost += schedule.lostCommits();
            twice += schedule.duplicateCommits();
            stale += schedule.staleReads();
            promotions += schedule.promotions();
            served += schedule.served();
            promote.addAll(schedule.promotionMillis());
            config.addAll(schedule.configurationApplyMillis());
            if (!schedule.violations().isEmpty()) {
                System.out.println(
                        "seed "
                                + seed
                                + ": "
                                + schedule.violations().get(0)
                                + (schedule.violations().size() > 1
                                        ? " and " + (schedule.violations().size() - 1) + " more"
                                        : ""));
            } else if (schedule.served() < 0.8) {
                System.out.println("seed " + seed + ": served " + schedule.served());
            }
        }
        System.out.printf(
                "system: days=%d rules_broken=%d lost=%d twice=%d stale=%d promotions=%d promote_ms_p99=%d config_ms_p99=%d served=%.4f%n",
                schedules,
                violations,
                lost,
                twice,
                stale,
                promotions,
                p99(promote),
                p99(config),
                served / schedules);
    }

    private static long p99(List<Long> values) {
        if (values.isEmpty()) {
            return 0;
        }
        Collections.sort(values);
        return values.get(Math.min(values.size() - 1, values.size() * 99 / 100));
    }
}
