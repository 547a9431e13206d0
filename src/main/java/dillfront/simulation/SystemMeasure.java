package dillfront.simulation;

import dillfront.simulation.system.Day;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Simulates hundreds of random fault schedules of the whole system and reports violations of its
 * invariants. With an argument, replays one seed and prints all details.
 */
public final class SystemMeasure {

    private static final long PLAY_MS = 24_000;
    private static final long BUDGET_MS = 42_000;
    private static final int MOST_DAYS = 600;

    private SystemMeasure() {}

    private static Day play(long seed) {
        Day day = new Day(seed, 2, 2, 9, PLAY_MS);
        day.random();
        day.play();
        return day;
    }

    /**
     * With an argument, replays that seed and prints all details; otherwise runs fault schedules
     * for about 45 s and prints one line of results.
     */
    public static void main(String[] args) {
        if (args.length > 0) {
            Day day = play(Long.parseLong(args[0]));
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
        List<Long> promote = new ArrayList<>();
        List<Long> config = new ArrayList<>();
        int days = 0;
        int broken = 0;
        int lost = 0;
        int twice = 0;
        int stale = 0;
        int promotions = 0;
        double served = 0;
        for (long seed = 1;
                days < MOST_DAYS && (System.nanoTime() - from) / 1_000_000 < BUDGET_MS;
                seed++) {
            Day day = play(seed);
            days++;
            broken += day.breaches().size();
            lost += day.lost();
            twice += day.twice();
            stale += day.stale();
            promotions += day.promotions();
            served += day.served();
            promote.addAll(day.promoteMs());
            config.addAll(day.configMs());
            if (!day.breaches().isEmpty()) {
                System.out.println(
                        "seed "
                                + seed
                                + ": "
                                + day.breaches().get(0)
                                + (day.breaches().size() > 1
                                        ? " and " + (day.breaches().size() - 1) + " more"
                                        : ""));
            } else if (day.served() < 0.8) {
                System.out.println("seed " + seed + ": served " + day.served());
            }
        }
        System.out.printf(
                "system: days=%d rules_broken=%d lost=%d twice=%d stale=%d promotions=%d promote_ms_p99=%d config_ms_p99=%d served=%.4f%n",
                days,
                broken,
                lost,
                twice,
                stale,
                promotions,
                p99(promote),
                p99(config),
                served / days);
    }

    private static long p99(List<Long> of) {
        if (of.isEmpty()) {
            return 0;
        }
        Collections.sort(of);
        return of.get(Math.min(of.size() - 1, of.size() * 99 / 100));
    }
}
