package dillfront.simulation.system;

import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.controlplane.ControlNode;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

/**
 * The control machines of a day: which there are, who knows of them, and what has happened to them.
 */
final class ControlCluster {

    static final int HTTP_PORT = 8_002;
    static final int PEER_PORT = 7_400;
    static final long STABLE_AFTER_MILLIS = 4_000;
    static final long CATCH_UP_MILLIS = 4_000;
    private static final long LIST_DELAY_MILLIS = 3_000;
    private static final int MAX_SEEDS = 3;
    private static final double START_SPREAD_MILLIS = 300;
    private static final double TERMINATION_GRACE_MILLIS = 6_000;

    private record MachineList(long sinceMillis, List<ControlMachine> machines) {}

    private final SystemSimulation simulation;
    private final Simulator simulator;
    private final BiFunction<Simulator.Machine, Boolean, NodeSettings> settings;
    private final TreeMap<String, ControlMachine> machines = new TreeMap<>();
    private final ArrayDeque<MachineList> machineLists = new ArrayDeque<>();

    /** What the settings name; null for the first of those that are there. */
    private List<ControlMachine> configuredSeeds;

    private int replacementCount;

    /** When something last happened to one of them, or between them. */
    private long lastEventMillis = -STABLE_AFTER_MILLIS;

    /**
     * Until then one of them counts as lost: for catch_up_s after it is back, or after its
     * successor's start.
     */
    private long lossEndsMillis;

    /** The one that acted or acknowledged last. */
    private String lastActive = "";

    ControlCluster(
            SystemSimulation simulation,
            int machineCount,
            BiFunction<Simulator.Machine, Boolean, NodeSettings> settings) {
        this.simulation = simulation;
        this.simulator = simulation.simulator;
        this.settings = settings;
        for (int i = 0; i < machineCount; i++) {
            String zone = SystemSimulation.ZONES[i % SystemSimulation.ZONES.length];
            add(
                    "core-"
                            + zone
                            + (i < SystemSimulation.ZONES.length
                                    ? ""
                                    : i / SystemSimulation.ZONES.length),
                    zone,
                    1 + i / SystemSimulation.ZONES.length);
        }
        machineLists.clear();
        machineLists.add(new MachineList(-LIST_DELAY_MILLIS, List.copyOf(machines.values())));
    }

    private ControlMachine add(String name, String zone, int number) {
        ControlMachine machine =
                new ControlMachine(
                        simulator,
                        simulator
                        .new Machine(name, zone, "10." + zone.charAt(0) % 'a' + ".0." + number));
        machines.put(name, machine);
        recordList();
        return machine;
    }

    private void recordList() {
        machineLists.add(new MachineList(simulator.millis(), List.copyOf(machines.values())));
        while (machineLists.size() > 1
                && secondList().sinceMillis() <= simulator.millis() - LIST_DELAY_MILLIS) {
            machineLists.remove();
        }
    }

    private MachineList secondList() {
        return machineLists.stream().skip(1).findFirst().orElseThrow();
    }

    /** As the list stood that callers have. */
    List<ControlMachine> knownMachines() {
        while (machineLists.size() > 1
                && secondList().sinceMillis() <= simulator.millis() - LIST_DELAY_MILLIS) {
            machineLists.remove();
        }
        return machineLists.peek().machines();
    }

    Iterable<ControlMachine> machines() {
        return machines.values();
    }

    int count() {
        return machines.size();
    }

    ControlMachine byIp(String ip) {
        return machines.values().stream()
                .filter(machine -> machine.host.ip.equals(ip))
                .findFirst()
                .orElse(null);
    }

    /**
     * By name; or `leader`, the one that acted or acknowledged last; `seed`, the first one of the
     * settings; `other`, neither.
     */
    ControlMachine find(String name) {
        ControlMachine found =
                switch (name) {
                    case "leader" ->
                            machines.containsKey(lastActive)
                                    ? machines.get(lastActive)
                                    : machines.firstEntry().getValue();
                    case "seed" ->
                            seedMachines().stream()
                                    .filter(machine -> !machine.decommissioned)
                                    .findFirst()
                                    .orElse(machines.firstEntry().getValue());
                    case "other" ->
                            machines.values().stream()
                                    .filter(
                                            machine ->
                                                    !machine.host.name.equals(lastActive)
                                                            && machine.host.up)
                                    .findFirst()
                                    .orElse(null);
                    default -> machines.get(name);
                };
        if (found == null) {
            // It was replaced: whoever came for it.
            found =
                    machines.values().stream()
                            .filter(machine -> machine.host.name.startsWith(name + "-"))
                            .findFirst()
                            .orElse(null);
        }
        return found;
    }

    /** What was answered in the end, by whom, and when that one was asked. */
    record HttpResult(
            Environment.HttpResponse response, ControlMachine responder, long sentAtMillis) {}

    /** A call as all make it: a 307 is followed twice, and each that is asked is given so long. */
    CompletableFuture<HttpResult> call(
            Simulator.Machine from,
            String method,
            ControlMachine target,
            String path,
            byte[] body,
            int timeoutMillis) {
        CompletableFuture<HttpResult> result = new CompletableFuture<>();
        call(from, method, target.host.ip + ":" + HTTP_PORT, path, body, timeoutMillis, 2, result);
        return result;
    }

    private void call(
            Simulator.Machine from,
            String method,
            String address,
            String path,
            byte[] body,
            int timeoutMillis,
            int redirectsLeft,
            CompletableFuture<HttpResult> result) {
        long sentAtMillis = simulator.millis();
        ControlMachine target = byIp(address.substring(0, address.indexOf(':')));
        from.call(method, address, path, body, Map.of(), timeoutMillis)
                .whenComplete(
                        (response, failure) -> {
                            if (failure != null) {
                                result.completeExceptionally(failure);
                            } else if (response.status() == 307
                                    && response.location() != null
                                    && redirectsLeft > 0) {
                                URI location = URI.create(response.location());
                                call(
                                        from,
                                        method,
                                        location.getAuthority(),
                                        location.getPath(),
                                        body,
                                        timeoutMillis,
                                        redirectsLeft - 1,
                                        result);
                            } else {
                                result.complete(new HttpResult(response, target, sentAtMillis));
                            }
                        });
    }

    void lastActive(String name) {
        lastActive = name;
    }

    private List<ControlMachine> seedMachines() {
        // A file that names none that is there any more has been written anew by then.
        boolean usesConfigured =
                configuredSeeds != null
                        && configuredSeeds.stream().anyMatch(machine -> !machine.decommissioned);
        return usesConfigured
                ? configuredSeeds
                : knownMachines().stream().limit(MAX_SEEDS).toList();
    }

    List<String> seeds() {
        return seedMachines().stream().map(machine -> machine.host.ip + ":" + HTTP_PORT).toList();
    }

    /** Other seeds are named from now on: those given first, then the last ones that are there. */
    void setSeeds(List<ControlMachine> firstSeeds) {
        List<ControlMachine> seeds = new ArrayList<>(firstSeeds);
        machines.descendingMap().values().stream()
                .filter(machine -> !seeds.contains(machine))
                .forEach(seeds::add);
        configuredSeeds = List.copyOf(seeds.subList(0, Math.min(MAX_SEEDS, seeds.size())));
        simulation.logEvent(
                "seeds " + configuredSeeds.stream().map(machine -> machine.host.name).toList());
    }

    void startAll() {
        machines.values()
                .forEach(
                        machine ->
                                simulator.scheduleAfter(
                                        simulator.random.nextDouble() * START_SPREAD_MILLIS,
                                        () -> start(machine, true)));
    }

    void start(ControlMachine machine, boolean isFirstStart) {
        if (machine.decommissioned || machine.host.up && machine.node != null) {
            return;
        }
        recordEvent();
        machine.host.up();
        machine.startedAtMillis = simulator.millis();
        ControlNode node =
                new ControlNode(
                        machine.host, settings.apply(machine.host, isFirstStart), machine.disk);
        machine.node = node;
        machine.host.listen(PEER_PORT, environment -> node.accept());
        machine.host.serveHttp(
                HTTP_PORT, (method, path, body, headers) -> node.handle(method, path, body));
        simulation.configurationChecker.processStarted(machine);
        try {
            node.start();
        } catch (Configuration.InvalidConfigurationException invalid) {
            simulation.consistencyChecker.reportViolation(
                    "FAULT", machine.host.name + " does not start: " + invalid.getMessage());
        }
    }

    // ---- whether a majority is there

    /** Something happened to one of them, or between two. */
    void recordEvent() {
        lastEventMillis = simulator.millis();
        simulator.scheduleAfter(0, this::updateIsolation);
    }

    private static boolean connected(Simulator simulator, ControlMachine a, ControlMachine b) {
        return a.isRunning() && b.isRunning() && !simulator.cut(a.host, b.host);
    }

    /** It runs, and reaches more than half of them both ways, with itself. */
    boolean reachesMajority(ControlMachine machine) {
        int reachable = machine.isRunning() ? 1 : 0;
        for (ControlMachine other : machines.values()) {
            reachable += other != machine && connected(simulator, machine, other) ? 1 : 0;
        }
        return 2 * reachable > machines.size();
    }

    private void updateIsolation() {
        for (ControlMachine machine : machines.values()) {
            boolean isolated = machine.isRunning() && !reachesMajority(machine);
            machine.isolatedSinceMillis =
                    !isolated
                            ? -1
                            : machine.isolatedSinceMillis < 0
                                    ? simulator.millis()
                                    : machine.isolatedSinceMillis;
        }
    }

    /**
     * Since when more than half have run and been connected with nothing happening; the future
     * where that is not so.
     */
    long stableSinceMillis() {
        boolean connected = machines.values().stream().anyMatch(this::reachesMajority);
        return connected ? lastEventMillis + STABLE_AFTER_MILLIS : Long.MAX_VALUE / 2;
    }

    boolean isStable() {
        return simulator.millis() >= stableSinceMillis();
    }

    // ---- what happens to them

    long lossEndsMillis() {
        return lossEndsMillis;
    }

    private void extendLoss(long durationMillis) {
        lossEndsMillis =
                Math.max(lossEndsMillis, simulator.millis() + durationMillis + CATCH_UP_MILLIS);
    }

    /**
     * Its process ends, or its power goes, and it is back after a while; with an empty disk where
     * it is wiped.
     */
    void failMachine(ControlMachine machine, boolean powerLoss, boolean wipe, long durationMillis) {
        if (machine == null || !machine.host.up) {
            return;
        }
        simulation.logEvent((wipe ? "wipe " : powerLoss ? "power " : "kill ") + machine.host.name);
        simulation.configurationChecker.machineLosses++;
        recordEvent();
        extendLoss(durationMillis);
        machine.node = null;
        machine.down(powerLoss);
        if (wipe) {
            machine.disk.wipe();
            machine.awaitingMembership = true;
        }
        simulator.scheduleAfter(
                durationMillis,
                () -> {
                    if (!machine.host.up && !machine.decommissioned) {
                        simulation.logEvent("back " + machine.host.name);
                        start(machine, false);
                    }
                });
    }

    /** Killed, and again soon after each start, for so long. */
    void crashRepeatedly(ControlMachine machine, long durationMillis) {
        long endMillis = simulator.millis() + durationMillis;
        new Runnable() {
            @Override
            public void run() {
                if (simulator.millis() < endMillis) {
                    failMachine(
                            machine,
                            simulator.random.nextBoolean(),
                            false,
                            200 + simulator.random.nextInt(300));
                    simulator.scheduleAfter(600 + simulator.random.nextInt(900), this);
                }
            }
        }.run();
    }

    /**
     * Gone for good; an empty one comes at another address. Planned: that one first, then SIGTERM.
     */
    void replace(ControlMachine replaced, boolean planned, long delayMillis) {
        if (replaced == null
                || replaced.decommissioned
                || !machines.containsKey(replaced.host.name)) {
            return;
        }
        String baseName =
                replaced.host.name.contains("-r")
                        ? replaced.host.name.substring(0, replaced.host.name.indexOf("-r"))
                        : replaced.host.name;
        simulation.logEvent(
                (planned ? "planned replacement of " : "gone for good ") + replaced.host.name);
        int number = ++replacementCount;
        extendLoss(delayMillis);
        Runnable startReplacement =
                () -> {
                    ControlMachine replacement =
                            add(baseName + "-r" + number, replaced.host.zone, 100 + number);
                    replacement.awaitingMembership = true;
                    simulation.configurationChecker.replacements++;
                    simulation.logEvent("new " + replacement.host.name);
                    start(replacement, false);
                };
        if (planned) {
            startReplacement.run();
            simulator.scheduleAfter(delayMillis, () -> terminate(replaced));
        } else {
            decommission(replaced, true);
            simulator.scheduleAfter(delayMillis, startReplacement);
        }
    }

    private void decommission(ControlMachine machine, boolean powerLoss) {
        simulation.configurationChecker.machineLosses++;
        recordEvent();
        extendLoss(0);
        machine.decommissioned = true;
        machine.node = null;
        if (machine.host.up) {
            machine.down(powerLoss);
        }
        machines.remove(machine.host.name);
        recordList();
    }

    /** SIGTERM, SIGKILL once the grace is over, and it is not started again. */
    private void terminate(ControlMachine machine) {
        if (machine.decommissioned) {
            return;
        }
        simulation.logEvent("SIGTERM " + machine.host.name);
        recordEvent();
        extendLoss(0);
        machine.decommissioned = true;
        Runnable completion =
                () -> {
                    if (machines.containsKey(machine.host.name)) {
                        simulation.logEvent("ended " + machine.host.name);
                        decommission(machine, false);
                    }
                };
        if (machine.node == null) {
            completion.run();
        } else {
            ControlNode node = machine.node;
            machine.host.runOrDefer(() -> node.shutDown(completion));
            simulator.scheduleAfter(TERMINATION_GRACE_MILLIS, completion);
        }
    }

    void pause(ControlMachine machine, long durationMillis) {
        if (machine == null || !machine.isRunning()) {
            return;
        }
        simulation.logEvent("freeze " + machine.host.name + " for " + durationMillis);
        simulation.configurationChecker.machineLosses++;
        extendLoss(durationMillis);
        machine.host.pause(durationMillis);
        recordEvent();
        simulator.scheduleAfter(durationMillis, this::recordEvent);
    }

    /**
     * Cut off from all others of its kind. way: both, in (it hears nothing), out (it is not heard).
     */
    void isolate(
            List<ControlMachine> isolated,
            String direction,
            boolean restartsMachines,
            long durationMillis) {
        List<ControlMachine> rest =
                machines.values().stream().filter(machine -> !isolated.contains(machine)).toList();
        simulation.logEvent(
                "cut off "
                        + isolated.stream().map(machine -> machine.host.name).toList()
                        + " "
                        + direction
                        + " for "
                        + durationMillis);
        simulation.configurationChecker.machineLosses += isolated.size();
        extendLoss(durationMillis);
        setCut(isolated, rest, direction, true);
        simulator.scheduleAfter(
                durationMillis,
                () -> {
                    simulation.logEvent(
                            "joined "
                                    + isolated.stream().map(machine -> machine.host.name).toList());
                    setCut(isolated, rest, direction, false);
                });
        if (restartsMachines) {
            simulator.scheduleAfter(
                    durationMillis / 3.0,
                    () -> isolated.forEach(machine -> failMachine(machine, false, false, 300)));
            simulator.scheduleAfter(
                    durationMillis * 2 / 3.0,
                    () -> rest.forEach(machine -> failMachine(machine, false, false, 300)));
        }
    }

    private void setCut(
            List<ControlMachine> isolated,
            List<ControlMachine> rest,
            String direction,
            boolean blocked) {
        for (ControlMachine a : isolated) {
            for (ControlMachine b : rest) {
                if (!direction.equals("in")) {
                    simulator.cutOneWay(a.host, b.host, blocked);
                }
                if (!direction.equals("out")) {
                    simulator.cutOneWay(b.host, a.host, blocked);
                }
            }
        }
        recordEvent();
    }

    void injectDiskFault(
            ControlMachine machine, String fault, double slowdown, long durationMillis) {
        if (machine == null) {
            return;
        }
        simulation.logEvent(fault + " " + machine.host.name + " for " + durationMillis);
        simulation.configurationChecker.machineLosses++;
        extendLoss(durationMillis);
        switch (fault) {
            case "disk_stall" -> machine.disk.stall(durationMillis);
            case "disk_slow" -> {
                machine.disk.setSlowdown(slowdown);
                simulator.scheduleAfter(durationMillis, () -> machine.disk.setSlowdown(1));
            }
            default -> {
                machine.disk.setRejectsWrites(true);
                simulator.scheduleAfter(durationMillis, () -> machine.disk.setRejectsWrites(false));
            }
        }
    }

    /** All at once: without power, or killed. */
    void failAll(boolean powerLoss, ControlMachine wiped, long durationMillis) {
        List.copyOf(machines.values())
                .forEach(
                        machine ->
                                failMachine(
                                        machine,
                                        powerLoss || machine == wiped,
                                        machine == wiped,
                                        durationMillis + simulator.random.nextInt(300)));
    }

    List<String> status() {
        List<String> lines = new ArrayList<>();
        machines.values()
                .forEach(
                        machine ->
                                lines.add(
                                        machine.host.name
                                                + " "
                                                + (machine.node == null
                                                        ? "down"
                                                        : machine.node.status())));
        return lines;
    }
}
