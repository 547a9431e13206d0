package dillfront.simulation.system;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * What may happen to control machines and to the configuration, as a line of a scenario says it.
 */
final class ControlFaultInjector {

    private static final int MAX_AFTER_ACK_MILLIS = 4;
    private static final int MAX_AFTER_SEND_MILLIS = 400;
    private static final int MAX_CLOSING_DELAY_MILLIS = 50;

    private final SystemSimulation simulation;
    private final ControlCluster cluster;
    private final Simulator simulator;

    ControlFaultInjector(SystemSimulation simulation) {
        this.simulation = simulation;
        cluster = simulation.controlCluster;
        simulator = simulation.simulator;
    }

    private static boolean isControl(String name) {
        return name.startsWith("core")
                || name.equals("leader")
                || name.equals("seed")
                || name.equals("other");
    }

    private static int number(String[] fields, int index, int defaultValue) {
        return fields.length > index && fields[index].matches("\\d+")
                ? Integer.parseInt(fields[index])
                : defaultValue;
    }

    /** Whether the line was one of these. */
    boolean inject(String[] fields, String line, long durationMillis) {
        ControlMachine machine =
                fields.length > 1 && isControl(fields[1]) ? cluster.find(fields[1]) : null;
        switch (fields[0]) {
            case "kill", "power", "wipe" -> {
                if (fields.length < 2 || !isControl(fields[1])) {
                    return false;
                }
                cluster.failMachine(
                        machine,
                        !fields[0].equals("kill"),
                        fields[0].equals("wipe"),
                        durationMillis);
            }
            case "freeze" -> {
                if (!isControl(fields[1])) {
                    return false;
                }
                cluster.pause(machine, durationMillis);
            }
            case "holder" -> {
                for (ControlMachine candidate : cluster.machines()) {
                    if (candidate.isRunning()
                            && candidate.node != null
                            && candidate.node.status().contains(" held ")) {
                        cluster.failMachine(candidate, true, false, durationMillis);
                        break;
                    }
                }
            }
            case "core_cut" -> isolate(machine, line, number(fields, 2, 1), durationMillis);
            case "replace" ->
                    cluster.replace(
                            machine,
                            line.contains(" planned"),
                            line.contains(" for ") ? durationMillis : 1_000);
            case "seeds" -> {
                cluster.setSeeds(machine == null ? List.of() : List.of(machine));
                simulation.updateSeeds();
            }
            case "reset" -> {
                if (!isControl(fields[1])) {
                    return false;
                }
                simulation.logEvent("reset " + machine.host.name);
                cluster.recordEvent();
                machine.host.resetConnections();
            }
            case "hard" -> cluster.crashRepeatedly(machine, durationMillis);
            case "disk_stall", "disk_slow", "disk_refuse" ->
                    cluster.injectDiskFault(
                            machine, fields[0], number(fields, 2, 30), durationMillis);
            case "after_ack" ->
                    failAfterAcknowledgement(fields[1], number(fields, 2, 1), durationMillis);
            case "closing" -> failAllAfterAcknowledgement(fields[1], durationMillis);
            case "configure" -> simulation.configurationClient.submit(null, acknowledgedBy -> {});
            case "order" -> {
                if (line.contains(" hard")) {
                    simulation.configurationClient.submitToOne(machine);
                } else {
                    simulation.configurationClient.submit(machine, acknowledgedBy -> {});
                }
            }
            case "repeat" -> simulation.configurationClient.resendAcknowledged();
            case "repeat_refused" -> simulation.configurationClient.resendRejected();
            case "storm" -> submitBurst(number(fields, 1, 100), number(fields, 2, 50));
            case "race" -> {
                int gapMillis = number(fields, 2, 1_000);
                for (int i = 0; i < number(fields, 1, 1); i++) {
                    simulator.scheduleAfter(
                            (double) i * gapMillis,
                            simulation.configurationClient::submitConflicting);
                }
            }
            case "big" -> simulation.configurationClient.extraRoutes = number(fields, 1, 350);
            case "lossy" -> {
                simulation.configurationClient.responseLossRate = Double.parseDouble(fields[1]);
                simulator.scheduleAfter(
                        durationMillis, () -> simulation.configurationClient.responseLossRate = 0);
            }
            case "reads" -> simulation.configurationClient.readPeriodically(number(fields, 1, 700));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void submitBurst(int count, int gapMillis) {
        simulation.logEvent("storm of " + count);
        for (int i = 0; i < count; i++) {
            simulator.scheduleAfter(
                    (double) i * gapMillis,
                    () -> simulation.configurationClient.submit(null, acknowledgedBy -> {}));
        }
    }

    /**
     * Of these, `meet` sends a change to the one that is cut off, in the middle of it and as it
     * returns.
     */
    private void isolate(ControlMachine machine, String line, int count, long durationMillis) {
        List<ControlMachine> isolated = new ArrayList<>();
        isolated.add(machine);
        for (ControlMachine other : cluster.machines()) {
            if (isolated.size() < count && other != machine) {
                isolated.add(other);
            }
        }
        if (line.contains(" meet")) {
            simulator.scheduleAfter(
                    durationMillis * 0.4,
                    () -> simulation.configurationClient.submit(machine, acknowledgedBy -> {}));
            simulator.scheduleAfter(
                    durationMillis + 5,
                    () -> simulation.configurationClient.submit(machine, acknowledgedBy -> {}));
        }
        if (line.contains(" seeds")) {
            cluster.setSeeds(isolated);
            simulation.updateSeeds();
        }
        cluster.isolate(
                isolated,
                line.contains(" in ") ? "in" : line.contains(" out ") ? "out" : "both",
                line.contains(" both"),
                durationMillis);
    }

    /**
     * Whoever acknowledges the change, and some more, are lost within a few milliseconds; timed:
     * some time after it was sent. Not where another is lost by then.
     */
    private void failAfterAcknowledgement(String failure, int count, long durationMillis) {
        Consumer<ControlMachine> failAcknowledger =
                acknowledgedBy ->
                        simulator.scheduleAfter(
                                1 + simulator.random.nextInt(MAX_AFTER_ACK_MILLIS),
                                () -> {
                                    if (simulator.millis() < cluster.lossEndsMillis()) {
                                        return;
                                    }
                                    int remaining = count;
                                    if (acknowledgedBy != null) {
                                        cluster.failMachine(
                                                acknowledgedBy,
                                                !failure.equals("kill"),
                                                failure.equals("wipe"),
                                                durationMillis);
                                        remaining--;
                                    }
                                    for (ControlMachine other :
                                            List.copyOf(cluster.knownMachines())) {
                                        if (remaining > 0 && other != acknowledgedBy) {
                                            cluster.failMachine(
                                                    other,
                                                    !failure.equals("kill"),
                                                    failure.equals("wipe"),
                                                    durationMillis);
                                            remaining--;
                                        }
                                    }
                                });
        if (failure.equals("timed")) {
            ControlMachine target = cluster.find("leader");
            simulation.configurationClient.submit(target, ignored -> {});
            simulator.scheduleAfter(
                    5 + simulator.random.nextInt(MAX_AFTER_SEND_MILLIS),
                    () -> {
                        if (simulator.millis() >= cluster.lossEndsMillis()) {
                            cluster.failMachine(target, true, false, durationMillis);
                        }
                    });
        } else {
            simulation.configurationClient.submit(null, failAcknowledger);
        }
    }

    /**
     * Right after a change was acknowledged all lose power (also where another is lost already), or
     * all are killed, or one loses its disk, the others their power or not; timed: some time after
     * it was sent.
     */
    private void failAllAfterAcknowledgement(String failure, long durationMillis) {
        if (failure.equals("timed")) {
            simulation.configurationClient.submit(null, ignored -> {});
            simulator.scheduleAfter(
                    5 + simulator.random.nextInt(MAX_AFTER_SEND_MILLIS),
                    () -> cluster.failAll(true, null, durationMillis));
            return;
        }
        simulation.configurationClient.submit(
                null,
                acknowledgedBy ->
                        simulator.scheduleAfter(
                                1 + simulator.random.nextInt(MAX_CLOSING_DELAY_MILLIS),
                                () -> {
                                    simulation.logEvent("closing " + failure);
                                    boolean singleLossAllowed =
                                            simulator.millis() >= cluster.lossEndsMillis();
                                    switch (singleLossAllowed ? failure : "power") {
                                        case "power" -> cluster.failAll(true, null, durationMillis);
                                        case "kill" -> cluster.failAll(false, null, durationMillis);
                                        case "wipe_power" ->
                                                cluster.failAll(
                                                        true, acknowledgedBy, durationMillis);
                                        default ->
                                                cluster.failMachine(
                                                        acknowledgedBy, true, true, durationMillis);
                                    }
                                }));
    }
}
