package dillfront.simulation.system;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.dataplane.DataPlaneNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Runs the whole system in simulated time: the code of the control plane and data plane processes
 * with simulated database servers, operators, platform and clients, under invariant checks. There
 * are three zones, each a region of its own; control machines and data planes are spread over them.
 */
public final class SystemSimulation {

    static final int DATA_PLANE_PORT = 8_000;
    static final int READINESS_PORT = 8_001;
    private static final int FIRST_DATABASE_PORT = 8_080;
    private static final int PLATFORM_PORT = 8_783;
    static final String[] ZONES = {"a", "b", "c"};
    static final long HEARTBEAT_INTERVAL_MILLIS = 1_200;

    private static final class DataPlaneMachine {
        Simulator.Machine host;
        DataPlaneNode node;

        /** Time from which no fault affects the machine; in the future during a fault. */
        long stableFromMillis;

        Configuration lastConfiguration = Configuration.NONE;
        long lastDigest;
    }

    final Simulator simulator;
    final ConsistencyChecker consistencyChecker;
    final Simulator.Machine clients;
    private final Simulator.Machine platform;
    final ControlCluster controlCluster;
    final ConfigurationClient configurationClient;
    final ConfigurationChecker configurationChecker;
    private final DataLossOperator dataLossOperator;
    private final DatabaseFaultInjector databaseFaults;
    private final TreeMap<String, DataPlaneMachine> dataPlanes = new TreeMap<>();
    private final Map<String, DatabaseCluster> databases = new TreeMap<>();
    private final Map<String, long[]> highestFencingTokens = new HashMap<>();
    private boolean platformUnresponsive;

    /** Until this time the platform responds with 429. */
    private long platformBusyUntilMillis;

    private int platformCalls;

    /** Calls before this time are delayed until then. */
    private long platformSlowUntilMillis;

    private final List<ClientSession> sessions = new ArrayList<>();
    private final long durationMillis;
    int startedOperations;
    int served;

    /** Faults and platform calls in order of time, for the analysis of a seed. */
    public final List<String> eventLog = new ArrayList<>();

    public SystemSimulation(
            long seed,
            int dataPlanesPerZone,
            int services,
            int sessionsPerService,
            long totalMillis) {
        this(seed, dataPlanesPerZone, services, sessionsPerService, totalMillis, ZONES.length);
    }

    /** Creates a simulation with the given number of control machines. */
    public SystemSimulation(
            long seed,
            int dataPlanesPerZone,
            int services,
            int sessionsPerService,
            long totalMillis,
            int controlMachines) {
        simulator = new Simulator(seed);
        consistencyChecker = new ConsistencyChecker(simulator);
        durationMillis = totalMillis;
        clients = simulator.new Machine("clients", "a", "10.9.0.1");
        platform = simulator.new Machine("platform", "a", "10.9.0.2");
        configurationClient =
                new ConfigurationClient(this, simulator.new Machine("operator", "b", "10.9.0.3"));
        configurationChecker = new ConfigurationChecker(this);
        dataLossOperator =
                new DataLossOperator(this, simulator.new Machine("person", "c", "10.9.0.4"));
        consistencyChecker.onCommitsAbandoned =
                (database, index) ->
                        sessions.stream()
                                .filter(s -> s.database.equals(database))
                                .forEach(s -> s.lastWriteIndex = Math.min(s.lastWriteIndex, index));
        controlCluster =
                new ControlCluster(
                        this,
                        controlMachines,
                        (machine, isFirstStart) -> settings(machine, true, isFirstStart));
        platform.serveHttp(PLATFORM_PORT, this::handlePromotion);
        DatabaseServers servers = new DatabaseServers(this);
        databaseFaults = new DatabaseFaultInjector(this, servers);
        for (int z = 0; z < ZONES.length; z++) {
            for (int i = 0; i < dataPlanesPerZone; i++) {
                DataPlaneMachine dataPlane = new DataPlaneMachine();
                dataPlane.host =
                        simulator
                        .new Machine("front-" + ZONES[z] + i, ZONES[z], "10." + z + ".1." + i);
                dataPlanes.put(ZONES[z] + i, dataPlane);
            }
        }
        for (int s = 0; s < services; s++) {
            DatabaseCluster database =
                    new DatabaseCluster(
                            simulator, "db" + s, 6, 60, 8, 300, true, consistencyChecker);
            databases.put(database.name, database);
            consistencyChecker.databases.put(database.name, database);
            for (int z = 0; z < ZONES.length; z++) {
                servers.createServer(
                        database, ZONES[(z + s) % ZONES.length], z, FIRST_DATABASE_PORT + s);
            }
            database.servers.get(0).isPrimary = true;
            String[] consistencyLevels = {"primary", "bounded", "own"};
            for (int i = 0; i < sessionsPerService; i++) {
                String readConsistency = consistencyLevels[i % 3];
                sessions.add(
                        new ClientSession(
                                this,
                                sessions.size(),
                                readConsistency,
                                database.name,
                                database.name + "-" + readConsistency,
                                readConsistency.equals("bounded") ? 1_500 : 2_500));
            }
        }
    }

    boolean isEnding() {
        return simulator.millis() > durationMillis - 3_000;
    }

    boolean hasEnded() {
        return simulator.millis() >= durationMillis;
    }

    int databases() {
        return databases.size();
    }

    Iterable<String> databaseNames() {
        return databases.keySet();
    }

    String attemptId(String database, String completionTag) {
        return databases.get(database).attemptByCompletionTag.get(completionTag);
    }

    // Database servers

    private CompletableFuture<Environment.HttpResponse> handlePromotion(
            String method, String path, byte[] body, Map<String, String> headers) {
        if (platformUnresponsive) {
            return new CompletableFuture<>();
        }
        platformCalls++;
        if (simulator.millis() < platformBusyUntilMillis) {
            return CompletableFuture.completedFuture(
                    new Environment.HttpResponse(429, new byte[0]));
        }
        if (simulator.millis() < platformSlowUntilMillis) {
            CompletableFuture<Environment.HttpResponse> delayed = new CompletableFuture<>();
            simulator.scheduleAt(
                    platformSlowUntilMillis * 1_000,
                    () ->
                            handlePromotion(method, path, body, headers)
                                    .thenAccept(delayed::complete));
            return delayed;
        }
        JsonObject request = Json.parse(Simulator.text(body)).asObject();
        String service = request.getString("service", "");
        long fencingToken = Long.parseLong(headers.getOrDefault("Dillfront-Fence-Number", "0"));
        long[] highestToken = highestFencingTokens.computeIfAbsent(service, key -> new long[1]);
        String leaseHolder = headers.getOrDefault("Dillfront-Duty-Holder", "");
        configurationChecker.fencingTokenUsed(leaseHolder, fencingToken);
        eventLog.add(
                simulator.millis()
                        + " platform: "
                        + request.getString("instance_id", "")
                        + " fence "
                        + fencingToken);
        if (fencingToken < highestToken[0]) {
            return CompletableFuture.completedFuture(
                    new Environment.HttpResponse(409, new byte[0]));
        }
        highestToken[0] = fencingToken;
        boolean promoted = databases.get(service).promote(request.getString("instance_id", ""));
        return CompletableFuture.completedFuture(
                new Environment.HttpResponse(promoted ? 200 : 409, new byte[0]));
    }

    // Processes under test

    private NodeSettings settings(
            Simulator.Machine machine, boolean isControl, boolean isFirstStart) {
        Map<String, String> regions = new HashMap<>();
        for (String zone : ZONES) {
            regions.put(zone, "r" + zone);
        }
        return new NodeSettings(
                machine.name,
                machine.zone,
                "r" + machine.zone,
                regions,
                machine.ip,
                isControl ? null : machine.ip + ":" + DATA_PLANE_PORT,
                isControl ? null : machine.ip + ":" + READINESS_PORT,
                isControl ? machine.ip + ":" + ControlCluster.HTTP_PORT : null,
                ControlCluster.PEER_PORT,
                controlCluster.seeds(),
                isFirstStart,
                isControl ? "/" : null,
                1,
                HEARTBEAT_INTERVAL_MILLIS,
                3_500,
                6_000,
                platform.ip + ":" + PLATFORM_PORT);
    }

    private void startDataPlane(DataPlaneMachine dataPlane, boolean isFirstStart) {
        dataPlane.host.up();
        dataPlane.stableFromMillis = simulator.millis();
        DataPlaneNode node =
                new DataPlaneNode(dataPlane.host, settings(dataPlane.host, false, isFirstStart));
        dataPlane.node = node;
        dataPlane.host.listen(DATA_PLANE_PORT, environment -> node.accept());
        node.start();
    }

    /** Checks the configuration of each data plane every 50 ms. */
    private void checkDataPlanes() {
        simulator.scheduleAfter(50, this::checkDataPlanes);
        boolean stable = controlCluster.isStable();
        for (DataPlaneMachine dataPlane : dataPlanes.values()) {
            if (!dataPlane.host.up || dataPlane.node == null) {
                continue;
            }
            boolean connected =
                    stable
                            && !dataPlane.host.paused()
                            && simulator.millis() - dataPlane.stableFromMillis
                                    >= ControlCluster.STABLE_AFTER_MILLIS;
            for (ControlMachine control : controlCluster.machines()) {
                connected &=
                        !controlCluster.reachesMajority(control)
                                || !simulator.cut(dataPlane.host, control.host);
            }
            Configuration current = dataPlane.node.configuration();
            configurationChecker.checkDataPlane(
                    dataPlane.host.name,
                    dataPlane.host.incarnation,
                    connected,
                    current.revision(),
                    current == dataPlane.lastConfiguration
                            ? dataPlane.lastDigest
                            : ConfigurationChecker.digest(current.body()));
            if (current != dataPlane.lastConfiguration) {
                dataPlane.lastConfiguration = current;
                dataPlane.lastDigest = ConfigurationChecker.digest(current.body());
            }
        }
    }

    /** Picks a ready data plane for a client, by its number and at random. */
    Simulator.Machine dataPlane(int number) {
        List<Simulator.Machine> ready = new ArrayList<>();
        for (DataPlaneMachine candidate : dataPlanes.values()) {
            if (candidate.host.up && candidate.node.isReady()) {
                ready.add(candidate.host);
            }
        }
        return ready.isEmpty()
                ? null
                : ready.get((number + simulator.random.nextInt(2)) % ready.size());
    }

    /**
     * Measures the time from the acknowledgement until all undisturbed data planes have applied the
     * revision.
     */
    void measureApply(long revision, long acknowledgedMillis) {
        boolean appliedByAll = true;
        for (DataPlaneMachine dataPlane : dataPlanes.values()) {
            boolean expected =
                    dataPlane.host.up
                            && dataPlane.stableFromMillis
                                    < acknowledgedMillis - ControlCluster.STABLE_AFTER_MILLIS;
            appliedByAll &= !expected || dataPlane.node.configurationRevision() >= revision;
        }
        if (appliedByAll) {
            consistencyChecker.configurationApplyMillis.add(
                    simulator.millis() - acknowledgedMillis);
        } else if (simulator.millis() - acknowledgedMillis < 20_000) {
            simulator.scheduleAfter(
                    simulator.millis() - acknowledgedMillis < 1_000 ? 5 : 100,
                    () -> measureApply(revision, acknowledgedMillis));
        }
    }

    // Faults

    void logEvent(String event) {
        eventLog.add(simulator.millis() + " " + event);
    }

    DatabaseCluster database(String name) {
        DatabaseCluster database = databases.get(name);
        if (database == null) {
            throw new IllegalArgumentException("unknown database " + name);
        }
        return database;
    }

    /** Updates the seeds in the settings of all running data planes. */
    void updateSeeds() {
        dataPlanes.values().stream()
                .filter(dataPlane -> dataPlane.host.up)
                .forEach(
                        dataPlane ->
                                dataPlane.node.updateSettings(
                                        settings(dataPlane.host, false, false)));
    }

    /** Kills a data plane or cuts its power, and restarts it after a while. */
    private void dataPlane(String machineKey, boolean powerLoss, long durationMillis) {
        DataPlaneMachine candidate = dataPlanes.get(machineKey);
        if (candidate == null || !candidate.host.up) {
            return;
        }
        logEvent((powerLoss ? "power " : "kill ") + candidate.host.name);
        candidate.host.down(powerLoss);
        candidate.stableFromMillis = Long.MAX_VALUE / 2;
        restartLater(candidate, durationMillis);
    }

    private void restartLater(DataPlaneMachine dataPlane, long delayMillis) {
        simulator.scheduleAfter(
                delayMillis,
                () -> {
                    if (!dataPlane.host.up) {
                        startDataPlane(dataPlane, false);
                    }
                });
    }

    private void cutFor(String firstName, String secondName, long durationMillis) {
        Simulator.Machine first = findMachine(firstName);
        Simulator.Machine second = findMachine(secondName);
        if (first == null || second == null) {
            // The machine was replaced, and its replacement is not running yet.
            return;
        }
        logEvent("cut " + firstName + " " + secondName);
        simulator.cut(first, second, true);
        controlCluster.recordEvent();
        for (DataPlaneMachine dataPlane : dataPlanes.values()) {
            if (dataPlane.host == first || dataPlane.host == second) {
                dataPlane.stableFromMillis = simulator.millis() + durationMillis;
            }
        }
        simulator.scheduleAfter(
                durationMillis,
                () -> {
                    simulator.cut(first, second, false);
                    controlCluster.recordEvent();
                });
    }

    Simulator.Machine findMachine(String name) {
        if (name.startsWith("core")
                || name.equals("leader")
                || name.equals("seed")
                || name.equals("other")) {
            ControlMachine controlMachine = controlCluster.find(name);
            return controlMachine == null ? null : controlMachine.host;
        }
        return simulator.machines.stream()
                .filter(machine -> machine.name.equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown machine " + name));
    }

    /**
     * Picks a share of the data planes at random, and excludes them from checks of undisturbed ones
     * for a while.
     */
    List<Simulator.Machine> disturbDataPlanes(double share, long durationMillis) {
        List<Simulator.Machine> disturbed = new ArrayList<>();
        for (DataPlaneMachine dataPlane : dataPlanes.values()) {
            if (simulator.random.nextDouble() < share) {
                disturbed.add(dataPlane.host);
                dataPlane.stableFromMillis = simulator.millis() + durationMillis;
            }
        }
        return disturbed;
    }

    private void restartAll(boolean powerLoss) {
        logEvent(powerLoss ? "all lose power" : "all are killed");
        controlCluster.failAll(powerLoss, null, 900);
        dataPlanes.values().forEach(dataPlane -> dataPlane.host.down(powerLoss));
        simulator.scheduleAfter(
                900,
                () ->
                        dataPlanes.values().stream()
                                .filter(dataPlane -> !dataPlane.host.up)
                                .forEach(dataPlane -> startDataPlane(dataPlane, false)));
    }

    /**
     * Injects the fault that a line of a scenario describes.
     *
     * @throws IllegalArgumentException if the line describes no known fault
     */
    public void injectFault(String line) {
        String[] args = line.trim().split("\\s+");
        long millis =
                args.length > 2 && args[args.length - 2].equals("for")
                        ? Math.round(Double.parseDouble(args[args.length - 1]) * 1_000)
                        : 3_000;
        if (new ControlFaultInjector(this).inject(args, line, millis)
                || databaseFaults.inject(args, line, millis)) {
            return;
        }
        switch (args[0]) {
            case "kill":
            case "power":
                dataPlane(args[1].substring(6), args[0].equals("power"), millis);
                break;
            case "reset":
                {
                    DataPlaneMachine target = dataPlanes.get(args[1].substring(6));
                    logEvent("reset " + args[1]);
                    target.stableFromMillis = Math.max(target.stableFromMillis, simulator.millis());
                    target.host.resetConnections();
                    break;
                }
            case "freeze":
                {
                    DataPlaneMachine target = dataPlanes.get(args[1].substring(6));
                    logEvent("freeze " + args[1] + " for " + millis);
                    target.host.pause(millis);
                    target.stableFromMillis = simulator.millis() + millis;
                    break;
                }
            case "cut":
                cutFor(args[1], args[2], millis);
                break;
            case "leave":
                {
                    DataPlaneMachine target = dataPlanes.get(args[1].substring(6));
                    logEvent("SIGTERM " + args[1]);
                    target.stableFromMillis = Long.MAX_VALUE / 2;
                    if (target.host.up) {
                        target.node.shutDown(
                                () -> {
                                    target.host.down(false);
                                    restartLater(target, 300);
                                });
                    }
                    break;
                }
            case "platform":
                if (args[1].equals("slow")) {
                    platformSlowUntilMillis = simulator.millis() + millis;
                    break;
                }
                if (args[1].equals("busy")) {
                    platformBusyUntilMillis = simulator.millis() + millis;
                    break;
                }
                platformUnresponsive = true;
                simulator.scheduleAfter(millis, () -> platformUnresponsive = false);
                break;
            case "accept":
                dataLossOperator.acceptLoss(
                        database(args[1]).name,
                        args.length > 2 && !args[2].equals("for") ? args[2] : "",
                        millis);
                break;
            case "all":
                restartAll(args[1].equals("power"));
                break;
            default:
                throw new IllegalArgumentException("unknown fault '" + line + "'");
        }
    }

    /** Runs the simulation with the faults that were scheduled before. */
    public void run() {
        controlCluster.startAll();
        dataPlanes
                .values()
                .forEach(
                        dataPlane ->
                                simulator.scheduleAfter(
                                        simulator.random.nextDouble() * 300,
                                        () -> startDataPlane(dataPlane, true)));
        simulator.scheduleAfter(300, () -> configurationClient.submit(null, change -> {}));
        configurationChecker.checkPeriodically();
        checkDataPlanes();
        simulator.runUntil(4_000);
        sessions.forEach(ClientSession::start);
        simulator.runUntil(durationMillis);
        readFinalConfigurations();
        consistencyChecker.checkFinalLogs();
    }

    /** Reads the newest configuration from each control process repeatedly. */
    private void readFinalConfigurations() {
        for (int i = 0; i < 8; i++) {
            simulator.scheduleAfter(
                    i * 500L,
                    () ->
                            controlCluster
                                    .machines()
                                    .forEach(machine -> configurationClient.read(machine, 1_000)));
        }
        simulator.runUntil(durationMillis + 6_000);
        configurationChecker.checkFinalState();
    }

    public void scheduleFault(double seconds, String fault) {
        simulator.scheduleAt(Math.round(seconds * 1e6), () -> injectFault(fault));
    }

    /**
     * Schedules one to four random faults, alone or together, each of which ends before the
     * simulation does.
     */
    public void addRandomFaults() {
        var random = simulator.random.split();
        int faultCount = 1 + random.nextInt(4);
        double startSeconds = 6 + random.nextDouble() * 3;
        boolean controlLost = false;
        for (int i = 0; i < faultCount; i++) {
            String database = "db" + random.nextInt(databases.size());
            String zone = ZONES[random.nextInt(3)];
            String dataPlane = "front-" + zone + random.nextInt(dataPlanes.size() / 3);
            double durationSeconds = 2 + random.nextDouble() * 5;
            String[] faults = {
                "crash " + database + " primary for " + durationSeconds,
                "dark " + database + " primary for " + durationSeconds,
                "crash " + database + " replica for " + durationSeconds,
                "dark " + database + " replica for " + durationSeconds,
                "release " + database + " primary",
                "release " + database + " replica",
                "lag " + database + " 100 for " + durationSeconds,
                "lose " + database + " primary for " + durationSeconds,
                "kill " + dataPlane + " for 1",
                "power " + dataPlane + " for " + durationSeconds,
                "kill core-" + zone + " for 1",
                "power core-" + zone + " for " + durationSeconds,
                "wipe core-" + zone + " for " + durationSeconds,
                "holder for " + durationSeconds,
                "cut core-" + zone + " " + dataPlane + " for " + durationSeconds,
                "leave " + dataPlane,
                "configure",
                "configure",
                "all power",
                "all killed",
                "platform for " + durationSeconds,
            };
            double atSeconds = startSeconds + random.nextDouble() * (i == 0 ? 1 : 5);
            String fault = faults[random.nextInt(faults.length)];
            // At most one fault of control machines, since a failed machine has to catch up before
            // the next fails.
            boolean affectsControl =
                    fault.contains("core-")
                            || fault.startsWith("holder")
                            || fault.startsWith("all");
            if (affectsControl && controlLost) {
                fault = "configure";
            }
            controlLost |= affectsControl;
            scheduleFault(atSeconds, fault);
        }
        scheduleFault(startSeconds + 7, "configure");
    }

    /** Schedules a dense random sequence of control machine losses with other faults. */
    public void addWorstCaseFaults() {
        new WorstCaseSchedule(this).plan();
    }

    public List<String> violations() {
        return consistencyChecker.violations;
    }

    public double served() {
        return startedOperations == 0 ? 0 : (double) served / startedOperations;
    }

    public int promotions() {
        return consistencyChecker.promotions;
    }

    /** Returns the number of platform calls with a response, including 429. */
    int platformCalls() {
        return platformCalls;
    }

    /**
     * Returns for each promotion the time from the loss of the primary to the promotion of the
     * next, in milliseconds.
     */
    public List<Long> promotionMillis() {
        return consistencyChecker.promotionMillis;
    }

    public List<Long> configurationApplyMillis() {
        return consistencyChecker.configurationApplyMillis;
    }

    /** Returns the number of acknowledged commits whose loss an operator accepted. */
    public int acceptedLostCommits() {
        return consistencyChecker.acceptedLostCommits;
    }

    public int lostCommits() {
        return consistencyChecker.lostCommits;
    }

    public int duplicateCommits() {
        return consistencyChecker.duplicateCommits;
    }

    public int staleReads() {
        return consistencyChecker.staleReads;
    }

    /** Returns the trace events of all processes. */
    public List<String> traceLog() {
        return simulator.traceLog;
    }

    /** Returns the servers whose replication is still paused. */
    public List<String> serversWithPausedReplication() {
        return databases.values().stream()
                .flatMap(database -> database.servers.stream())
                .filter(server -> server.host.up && server.pausedForTerm != 0)
                .map(server -> server.id)
                .toList();
    }

    public ControlCounts controlCounts() {
        return new ControlCounts(consistencyChecker, configurationChecker);
    }

    /** Returns the state of all processes, for the analysis of a seed. */
    public List<String> status() {
        List<String> lines = controlCluster.status();
        dataPlanes
                .values()
                .forEach(
                        dataPlane ->
                                lines.add(dataPlane.host.name + " " + dataPlane.node.status()));
        return lines;
    }
}
