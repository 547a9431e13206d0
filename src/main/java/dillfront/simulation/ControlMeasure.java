package dillfront.simulation;

import dillfront.simulation.system.ControlCounts;
import dillfront.simulation.system.SystemSimulation;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;

/**
 * The worst days of the control side in simulated time, and what became of the letter's five
 * points. With an argument: one seed, told in full.
 */
public final class ControlMeasure {

    private static final long PLAY_MS = 40_000;
    private static final int DAYS = 90;

    /** Days and worlds together; what the days leave of it is the worlds'. */
    private static final long BUDGET_MS = 39_000;

    /** So much is theirs also where the machine is busy. */
    private static final long WORLDS_MS = 15_000;

    private ControlMeasure() {}

    /** The day of a seed: three, four or five control machines; not yet played. */
    public static SystemSimulation day(long seed) {
        boolean busy = seed % 8 == 0;
        SystemSimulation day =
                new SystemSimulation(
                        seed,
                        busy ? 2 : 1,
                        busy ? 2 : 1,
                        busy ? 9 : 3,
                        PLAY_MS,
                        seed % 5 < 3 ? 3 : seed % 5 == 3 ? 4 : 5);
        day.addWorstCaseFaults();
        return day;
    }

    /**
     * Arguments: a seed, told in full; or a first seed and for how many milliseconds, without the
     * small worlds.
     */
    public static void main(String[] args) {
        if (args.length == 1) {
            SystemSimulation day = day(Long.parseLong(args[0]));
            day.run();
            day.eventLog.forEach(System.out::println);
            day.traceLog().forEach(System.out::println);
            day.status().forEach(System.out::println);
            day.violations().forEach(System.out::println);
            System.out.println(
                    "served "
                            + day.served()
                            + " promotions "
                            + day.promotions()
                            + " promote_ms "
                            + day.promotionMillis());
            return;
        }
        long from = System.nanoTime();
        long first = args.length > 0 ? Long.parseLong(args[0]) : 1;
        long daysMs = args.length > 1 ? Long.parseLong(args[1]) : BUDGET_MS - WORLDS_MS;
        ControlCounts all = new ControlCounts();
        int days = 0;
        int broken = 0;
        double served = 0;
        for (long seed = first;
                (args.length > 0 || days < DAYS) && (System.nanoTime() - from) / 1_000_000 < daysMs;
                seed++) {
            SystemSimulation day = day(seed);
            day.run();
            days++;
            all.add(day.controlCounts());
            served += day.served();
            if (!day.violations().isEmpty()) {
                broken++;
                System.out.println(
                        "seed "
                                + seed
                                + ": "
                                + day.violations().get(0)
                                + (day.violations().size() > 1
                                        ? " and " + (day.violations().size() - 1) + " more"
                                        : ""));
            }
        }
        System.out.printf(
                "days=%d broken=%d served=%.4f%n", days, broken, served / Math.max(1, days));
        ControlWorlds.Result small =
                args.length > 0
                        ? new ControlWorlds.Result(0, 0, null, new TreeMap<>(), List.of())
                        : ControlWorlds.run(
                                1, Math.max(1, BUDGET_MS - (System.nanoTime() - from) / 1_000_000));
        small.missed()
                .forEach(defence -> System.out.println("without " + defence + ": nothing broke"));
        if (small.broken() != null) {
            System.out.println("BROKEN with all defences: " + small.broken());
        }
        System.out.printf(
                "control: losses=%d acknowledged=%d lost=%d back=%d two_under_one=%d refused_again=%d minority_answers=%d"
                        + " two_holders=%d fence_repeats=%d replaced=%d no_majority=%d replace_ms_p99=%d behind_changes=%d catch_up_ms_p99=%d"
                        + " wrong_caller=%d sent_twice=%d worlds=%d defences=%d defences_caught=%d%n",
                all.machineLosses,
                all.acknowledgedChanges,
                all.lostChanges,
                all.revisionRegressions,
                all.conflictingContents,
                all.rejectedAfterAcknowledge,
                all.minorityResponses,
                all.concurrentLeaseHolders,
                all.fencingTokenReuses,
                all.replacements,
                all.overdueChanges,
                p99(all.replacementMillis),
                all.caughtUpChanges,
                p99(all.catchUpMillis),
                all.misroutedResponses,
                all.duplicateExecutions,
                small.worlds(),
                small.caught().size() + small.missed().size(),
                small.caught().size());
    }

    private static long p99(List<Long> of) {
        if (of.isEmpty()) {
            return 0;
        }
        Collections.sort(of);
        return of.get(Math.min(of.size() - 1, of.size() * 99 / 100));
    }
}
