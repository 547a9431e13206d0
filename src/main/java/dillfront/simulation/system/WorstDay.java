package dillfront.simulation.system;

import java.util.SplittableRandom;

/**
 * A day by chance, of losses as close as the page allows: one control machine at a time, the next
 * right after the one before has had its time to catch up; and at any moment orders, races, storms,
 * lost answers, and troubles of servers and fronts.
 */
final class WorstDay {

    private static final double FROM_S = 6;
    private static final double UNTIL_S = 27;
    private static final double CLOSING_S = 31;
    private static final String[] WHICH = {
        "core-a", "core-b", "core-c", "leader", "leader", "seed", "other"
    };

    private final Day day;
    private final SplittableRandom random;

    WorstDay(Day day) {
        this.day = day;
        random = day.sim.random.split();
    }

    private boolean chance(double of) {
        return random.nextDouble() < of;
    }

    private double seconds(double least, double most) {
        return least + random.nextDouble() * (most - least);
    }

    private String pick(String... of) {
        return of[random.nextInt(of.length)];
    }

    void plan() {
        day.at(FROM_S - 1, "reads 400");
        day.sim.at(Math.round(seconds(FROM_S, FROM_S + 2) * 1e6), this::control);
        orders();
        servers();
        fronts();
        if (chance(0.4)) {
            day.at(
                    CLOSING_S,
                    "closing "
                            + pick("power", "kill", "wipe", "wipe_power", "timed")
                            + " for "
                            + seconds(1, 3));
        }
    }

    /**
     * One loss after the other: the next once the one before has had its time, at once or a little
     * later.
     */
    private void control() {
        long wait = day.controls.lostUntil() - day.sim.millis();
        if (day.sim.millis() > UNTIL_S * 1_000) {
            return;
        }
        double gap = chance(0.4) ? 100 : seconds(0, 3) * 1_000;
        if (wait >= 0) {
            day.sim.after(wait + gap, this::control);
        } else {
            day.happen(loss());
            day.sim.after(500 + gap, this::control);
        }
    }

    private String loss() {
        String which = pick(WHICH);
        String some = " for " + seconds(0.5, 7);
        return switch (random.nextInt(16)) {
            case 0 -> "kill " + which + " for 1";
            case 1 -> "power " + which + some;
            case 2 -> "wipe " + which + some;
            case 3, 4, 5 -> "replace " + which + " for " + seconds(0.5, 2);
            case 6 -> "replace " + which + " planned for " + seconds(1, 4);
            case 7, 8 ->
                    "core_cut "
                            + which
                            + pick("", " in", " out")
                            + pick("", " meet")
                            + pick("", " seeds", "")
                            + " for "
                            + seconds(2, 16);
            case 9 -> "core_cut " + which + " both for " + seconds(6, 12);
            case 10 -> "freeze " + which + some;
            case 11 -> "hard " + which + " for " + seconds(2, 6);
            case 12 -> pick("disk_stall ", "disk_slow ", "disk_refuse ") + which + some;
            case 13, 14 -> "after_ack " + pick("power", "kill", "wipe", "timed") + some;
            default -> chance(0.5) ? "reset " + which : "all " + pick("power", "killed");
        };
    }

    private void orders() {
        if (chance(0.2)) {
            day.at(5.5, "big " + (50 + random.nextInt(200)));
        }
        if (chance(0.5)) {
            day.at(FROM_S, "lossy " + seconds(0.05, 0.4) + " for " + seconds(5, 20));
        }
        if (chance(0.3)) {
            day.at(
                    seconds(FROM_S, 15),
                    "storm " + (50 + random.nextInt(150)) + " " + (40 + random.nextInt(80)));
        }
        if (chance(0.5)) {
            day.at(
                    seconds(FROM_S, 15),
                    "race " + (3 + random.nextInt(8)) + " " + (200 + random.nextInt(1_500)));
        }
        if (chance(0.3)) {
            day.at(seconds(FROM_S, UNTIL_S), "seeds");
        }
        for (double at = FROM_S; at < CLOSING_S + 4; at += seconds(0.5, 4)) {
            day.at(
                    at,
                    pick(
                            "configure",
                            "configure",
                            "repeat",
                            "repeat_refused",
                            "order " + pick(WHICH)));
        }
    }

    private void servers() {
        for (double at = seconds(FROM_S, 12); at < UNTIL_S; at += seconds(14, 18)) {
            String db = "db" + random.nextInt(day.databases());
            String which = pick("primary", "primary", "replica");
            String s = " for " + seconds(1, 6);
            day.at(
                    at,
                    pick(
                            "crash " + db + " " + which + s,
                            "dark " + db + " " + which + s,
                            "release " + db + " " + which + pick("", " same", " longer for 6"),
                            "gone " + db + " replica" + pick("", " same"),
                            "lose " + db + " " + which + s,
                            "lag " + db + " 50" + s,
                            "primary_cut " + db + " " + pick("replicas", "core", "fronts") + s,
                            "platform" + s));
            if (chance(0.3)) {
                day.at(at - 1, "deaf " + db + " replica for " + seconds(1, 4));
            }
        }
    }

    private void fronts() {
        for (double at = seconds(FROM_S, 14); at < UNTIL_S; at += seconds(6, 14)) {
            String front = "front-" + pick(Day.ZONES) + "0";
            day.at(
                    at,
                    pick(
                            "kill " + front + " for 1",
                            "power " + front + " for " + seconds(1, 4),
                            "freeze " + front + " for " + seconds(0.3, 4),
                            "leave " + front,
                            "reset " + front,
                            "cut "
                                    + front
                                    + " "
                                    + pick("core-a", "core-b", "core-c")
                                    + " for "
                                    + seconds(1, 6)));
        }
    }
}
