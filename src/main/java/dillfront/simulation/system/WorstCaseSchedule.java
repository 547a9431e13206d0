package dillfront.simulation.system;

import java.util.SplittableRandom;

/**
 * A day by chance, of losses as close as the page allows: one control machine at a time, the next
 * right after the one before has had its time to catch up; and at any moment orders, races, storms,
 * lost answers, and troubles of servers and fronts.
 */
final class WorstCaseSchedule {

    private static final double FIRST_FAULT_SECONDS = 6;
    private static final double LAST_FAULT_SECONDS = 27;
    private static final double CLOSING_FAULT_SECONDS = 31;
    private static final String[] CONTROL_TARGETS = {
        "core-a", "core-b", "core-c", "leader", "leader", "seed", "other"
    };

    private final SystemSimulation simulation;
    private final SplittableRandom random;

    WorstCaseSchedule(SystemSimulation simulation) {
        this.simulation = simulation;
        random = simulation.simulator.random.split();
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private double seconds(double min, double max) {
        return min + random.nextDouble() * (max - min);
    }

    private String pick(String... options) {
        return options[random.nextInt(options.length)];
    }

    void plan() {
        simulation.scheduleFault(FIRST_FAULT_SECONDS - 1, "reads 400");
        simulation.simulator.scheduleAt(
                Math.round(seconds(FIRST_FAULT_SECONDS, FIRST_FAULT_SECONDS + 2) * 1e6),
                this::injectControlFault);
        scheduleChanges();
        scheduleDatabaseFaults();
        scheduleDataPlaneFaults();
        if (chance(0.4)) {
            simulation.scheduleFault(
                    CLOSING_FAULT_SECONDS,
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
    private void injectControlFault() {
        long waitMillis =
                simulation.controlCluster.lossEndsMillis() - simulation.simulator.millis();
        if (simulation.simulator.millis() > LAST_FAULT_SECONDS * 1_000) {
            return;
        }
        double gapMillis = chance(0.4) ? 100 : seconds(0, 3) * 1_000;
        if (waitMillis >= 0) {
            simulation.simulator.scheduleAfter(waitMillis + gapMillis, this::injectControlFault);
        } else {
            simulation.injectFault(randomControlFault());
            simulation.simulator.scheduleAfter(500 + gapMillis, this::injectControlFault);
        }
    }

    private String randomControlFault() {
        String target = pick(CONTROL_TARGETS);
        String duration = " for " + seconds(0.5, 7);
        return switch (random.nextInt(16)) {
            case 0 -> "kill " + target + " for 1";
            case 1 -> "power " + target + duration;
            case 2 -> "wipe " + target + duration;
            case 3, 4, 5 -> "replace " + target + " for " + seconds(0.5, 2);
            case 6 -> "replace " + target + " planned for " + seconds(1, 4);
            case 7, 8 ->
                    "core_cut "
                            + target
                            + pick("", " in", " out")
                            + pick("", " meet")
                            + pick("", " seeds", "")
                            + " for "
                            + seconds(2, 16);
            case 9 -> "core_cut " + target + " both for " + seconds(6, 12);
            case 10 -> "freeze " + target + duration;
            case 11 -> "hard " + target + " for " + seconds(2, 6);
            case 12 -> pick("disk_stall ", "disk_slow ", "disk_refuse ") + target + duration;
            case 13, 14 -> "after_ack " + pick("power", "kill", "wipe", "timed") + duration;
            default -> chance(0.5) ? "reset " + target : "all " + pick("power", "killed");
        };
    }

    private void scheduleChanges() {
        if (chance(0.2)) {
            simulation.scheduleFault(5.5, "big " + (50 + random.nextInt(200)));
        }
        if (chance(0.5)) {
            simulation.scheduleFault(
                    FIRST_FAULT_SECONDS, "lossy " + seconds(0.05, 0.4) + " for " + seconds(5, 20));
        }
        if (chance(0.3)) {
            simulation.scheduleFault(
                    seconds(FIRST_FAULT_SECONDS, 15),
                    "storm " + (50 + random.nextInt(150)) + " " + (40 + random.nextInt(80)));
        }
        if (chance(0.5)) {
            simulation.scheduleFault(
                    seconds(FIRST_FAULT_SECONDS, 15),
                    "race " + (3 + random.nextInt(8)) + " " + (200 + random.nextInt(1_500)));
        }
        if (chance(0.3)) {
            simulation.scheduleFault(seconds(FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS), "seeds");
        }
        for (double atSeconds = FIRST_FAULT_SECONDS;
                atSeconds < CLOSING_FAULT_SECONDS + 4;
                atSeconds += seconds(0.5, 4)) {
            simulation.scheduleFault(
                    atSeconds,
                    pick(
                            "configure",
                            "configure",
                            "repeat",
                            "repeat_refused",
                            "order " + pick(CONTROL_TARGETS)));
        }
    }

    private void scheduleDatabaseFaults() {
        for (double atSeconds = seconds(FIRST_FAULT_SECONDS, 12);
                atSeconds < LAST_FAULT_SECONDS;
                atSeconds += seconds(14, 18)) {
            String database = "db" + random.nextInt(simulation.databases());
            String target = pick("primary", "primary", "replica");
            String duration = " for " + seconds(1, 6);
            simulation.scheduleFault(
                    atSeconds,
                    pick(
                            "crash " + database + " " + target + duration,
                            "dark " + database + " " + target + duration,
                            "release "
                                    + database
                                    + " "
                                    + target
                                    + pick("", " same", " longer for 6"),
                            "gone " + database + " replica" + pick("", " same"),
                            "lose " + database + " " + target + duration,
                            "lag " + database + " 50" + duration,
                            "primary_cut "
                                    + database
                                    + " "
                                    + pick("replicas", "core", "fronts")
                                    + duration,
                            "platform" + duration));
            if (chance(0.3)) {
                simulation.scheduleFault(
                        atSeconds - 1, "deaf " + database + " replica for " + seconds(1, 4));
            }
        }
    }

    private void scheduleDataPlaneFaults() {
        for (double atSeconds = seconds(FIRST_FAULT_SECONDS, 14);
                atSeconds < LAST_FAULT_SECONDS;
                atSeconds += seconds(6, 14)) {
            String dataPlane = "front-" + pick(SystemSimulation.ZONES) + "0";
            simulation.scheduleFault(
                    atSeconds,
                    pick(
                            "kill " + dataPlane + " for 1",
                            "power " + dataPlane + " for " + seconds(1, 4),
                            "freeze " + dataPlane + " for " + seconds(0.3, 4),
                            "leave " + dataPlane,
                            "reset " + dataPlane,
                            "cut "
                                    + dataPlane
                                    + " "
                                    + pick("core-a", "core-b", "core-c")
                                    + " for "
                                    + seconds(1, 6)));
        }
    }
}
