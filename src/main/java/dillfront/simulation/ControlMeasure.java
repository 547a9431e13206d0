package dillfront.simulation;

import dillfront.simulation.system.ControlCounts;
import dillfront.simulation.system.Day;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;

/**
 * Simulates severe fault schedules of the control plane and reports its invariants: lost and
 * reverted configurations, split leases, replacement and catch-up times. With one argument, replays
 * that seed and prints all details.
 */
public final class ControlMeasure {

    private static final long PLAY_MS = 40_000;
    private static final int DAYS = 90;

    /** Total time budget; the model checker gets what the fault schedules leave. */
    private static final long BUDGET_MS = 39_000;

    /** Minimum time reserved for the model checker, also on a busy machine. */
    private static final long WORLDS_MS = 15_000;

    private ControlMeasure() {}

    /**
     * Returns the fault schedule of a seed with three, four or five control processes; not yet run.
     */
    public static Day day(long seed) {
        boolean busy = seed % 8 == 0;
        Day day =
                new Day(
                        seed,
                        busy ? 2 : 1,
                        busy ? 2 : 1,
                        busy ? 9 : 3,
                        PLAY_MS,
                        seed % 5 < 3 ? 3 : seed % 5 == 3 ? 4 : 5);
        day.worst();
        return day;
    }

    /**
     * Arguments: one seed to replay with all details; or a first seed and the duration in
     * milliseconds, without the model checker.
     */
    public static void main(String[] args) {
        if (args.length == 1) {
            Day day = day(Long.parseLong(args[0]));
            day.play();
            day.story.forEach(System.out::println);
            day.told().forEach(System.out::println);
            day.status().forEach(System.out::println);
            day.breaches().forEach(System.out::println);
            System.out.println(
                    "served "
                            + day.served()
                            + " promotions "
                            + day.promotions()
                            + " promote_ms "
                            + day.promoteMs());
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
            Day day = day(seed);
            day.play();
            days++;
            all.add(day.control());
            served += day.served();
            if (!day.breaches().isEmpty()) {
                broken++;
                System.out.println(
                        "seed "
                                + seed
                                + ": "
                                + day.breaches().get(0)
                                + (day.breaches().size() > 1
                                        ? " and " + (day.breaches().size() - 1) + " more"
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
                all.losses,
                all.acknowledged,
                all.lost,
                all.back,
                all.twoUnderOne,
                all.refusedAgain,
                all.minorityAnswers,
                all.twoHolders,
                all.fenceRepeats,
                all.replaced,
                all.noMajority,
                p99(all.replaceMs),
                all.behindChanges,
                p99(all.catchUpMs),
                all.wrongCaller,
                all.sentTwice,
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
