package dillfront.simulation.system;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import dillfront.common.config.Configuration;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The operators of a day. They pick among the control machines of a list that lags, go on after a
 * failure, a 5xx, 408, 429 or a silence with a pause that grows, and send the same order again, to
 * any process; up to eight are under way at once.
 */
final class ConfigurationClient {

    private static final int MAX_CONCURRENT_CHANGES = 8;
    private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;
    private static final double MILLIS_PER_ROUTE = 3;
    private static final long RETRY_DELAY_MILLIS = 100;
    private static final long MAX_RETRY_DELAY_MILLIS = 800;
    private static final Set<Integer> FINAL_STATUSES = Set.of(400, 409, 412, 413, 422);
    private static final Set<Integer> RETRYABLE_STATUSES = Set.of(307, 408, 429);

    /** One change, or one of two under one number. */
    final class Change {
        final long revision;
        final byte[] body;
        final long digest;
        final int routeCount;
        long sentAtMillis = -1;
        boolean acknowledged;

        /** It was acknowledged, though that may have been lost on its way. */
        boolean accepted;

        boolean rejected;

        /** No more is done for it. */
        boolean finished;

        /** The other one under its number. */
        Change conflicting;

        private int attempts;
        private int unexpectedStatuses;
        private ControlMachine firstTarget;

        /** Nobody but the first is called, again and again until it answers. */
        private boolean firstTargetOnly;

        /** Tried since it last began with all of them anew. */
        private final List<ControlMachine> attemptedMachines = new ArrayList<>();

        /** Told which process acknowledged it, once. */
        private Consumer<ControlMachine> onAcknowledged = c -> {};

        Change(long revision, int variant) {
            this.revision = revision;
            routeCount = simulation.databases() * 3 + extraRoutes;
            body = body(revision, variant);
            digest = ConfigurationChecker.digest(body);
        }

        /** How long it may take where nothing is wrong. */
        double transferMillis() {
            return routeCount * MILLIS_PER_ROUTE;
        }
    }

    private final SystemSimulation simulation;
    private final Simulator simulator;
    private final Simulator.Machine operator;
    private final ArrayDeque<Change> queue = new ArrayDeque<>();
    private int inFlight;
    private long nextRevision = 1;

    /** Routes that make the configuration bigger. */
    int extraRoutes;

    /** Each answer is lost on its way with this chance. */
    double responseLossRate;

    final List<Change> changes = new ArrayList<>();

    ConfigurationClient(SystemSimulation simulation, Simulator.Machine operator) {
        this.simulation = simulation;
        this.simulator = simulation.simulator;
        this.operator = operator;
    }

    private byte[] body(long revision, int variant) {
        JsonArray routes = Json.array().asArray();
        JsonArray services = Json.array().asArray();
        for (String name : simulation.databaseNames()) {
            services.add(
                    Json.object()
                            .add("name", name)
                            .add("connection_limit", 60)
                            .add("synchronous_replicas", 1));
            for (String[] kind :
                    new String[][] {
                        {"primary", "primary"},
                        {"bounded", "bounded_staleness"},
                        {"own", "read_your_writes"}
                    }) {
                routes.add(
                        Json.object()
                                .add("name", name + kind[0])
                                .add("host_name", name + "-" + kind[0])
                                .add("path_prefix", "/")
                                .add("route_kind", kind[1])
                                .add("timeout_ms", 1_000 + revision % 1_000)
                                .add("target_latency_ms", 400 + variant)
                                .add("priority", 1)
                                .add("service", name)
                                .add("max_attempts", 2)
                                .add(
                                        "max_staleness_ms",
                                        kind[0].equals("bounded") ? 1_500 : 2_500));
            }
        }
        for (int i = 0; i < extraRoutes; i++) {
            routes.add(
                    Json.object()
                            .add("name", "more" + i)
                            .add("host_name", "more" + i)
                            .add("path_prefix", "/")
                            .add("route_kind", "primary")
                            .add("timeout_ms", 1_000 + revision % 1_000)
                            .add("target_latency_ms", 400)
                            .add("priority", 1)
                            .add("service", "db0"));
        }
        return Json.object()
                .add("revision_number", revision)
                .add("routes", routes)
                .add("services", services)
                .add("limits", Json.object().add("transaction_idle_ms", 3_000))
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    /** The next number with a content of its own; sent to this one first, if one is given. */
    Change submit(ControlMachine firstTarget, Consumer<ControlMachine> onAcknowledged) {
        Change change = new Change(nextRevision++, 0);
        change.firstTarget = firstTarget;
        change.onAcknowledged = onAcknowledged;
        enqueue(change);
        return change;
    }

    /** To this one alone, again and again until it answers or names another. */
    void submitToOne(ControlMachine target) {
        Change change = new Change(nextRevision++, 0);
        change.firstTarget = target;
        change.firstTargetOnly = true;
        enqueue(change);
    }

    private void enqueue(Change change) {
        changes.add(change);
        queue.add(change);
        sendQueued();
    }

    /** Two operators, one number, two contents, to two processes at once. */
    void submitConflicting() {
        Change first = new Change(nextRevision, 0);
        Change second = new Change(nextRevision++, 1);
        first.conflicting = second;
        second.conflicting = first;
        List<ControlMachine> machines = simulation.controlCluster.knownMachines();
        int index = simulator.random.nextInt(machines.size());
        first.firstTarget = machines.get(index);
        second.firstTarget = machines.get((index + 1) % machines.size());
        enqueue(first);
        enqueue(second);
    }

    private void sendQueued() {
        while (inFlight < MAX_CONCURRENT_CHANGES && !queue.isEmpty()) {
            Change change = queue.poll();
            inFlight++;
            change.sentAtMillis = simulator.millis();
            simulation.configurationChecker.changeSent(change);
            send(change);
        }
    }

    private ControlMachine randomMachine() {
        List<ControlMachine> machines = simulation.controlCluster.knownMachines();
        return machines.get(simulator.random.nextInt(machines.size()));
    }

    /** One that was not tried yet; anew once all were. */
    private ControlMachine nextTarget(List<ControlMachine> attempted) {
        List<ControlMachine> remaining = new ArrayList<>(simulation.controlCluster.knownMachines());
        remaining.removeAll(attempted);
        if (remaining.isEmpty()) {
            attempted.clear();
            return randomMachine();
        }
        return remaining.get(simulator.random.nextInt(remaining.size()));
    }

    private void send(Change change) {
        ControlMachine target =
                (change.attempts++ == 0 || change.firstTargetOnly) && change.firstTarget != null
                        ? change.firstTarget
                        : nextTarget(change.attemptedMachines);
        change.attemptedMachines.add(target);
        long startMillis = simulator.millis();
        long timeoutMillis = RESPONSE_TIMEOUT_MILLIS + Math.round(change.transferMillis());
        boolean responseLost =
                responseLossRate > 0 && simulator.random.nextDouble() < responseLossRate;
        int historyCall = simulation.configurationChecker.beginCall(change);
        simulation
                .controlCluster
                .call(
                        operator,
                        "POST",
                        target,
                        "/Configuration.Replace",
                        change.body,
                        (int) timeoutMillis)
                .whenComplete(
                        (result, failure) -> {
                            int status = failure == null ? result.response().status() : 503;
                            if (failure == null) {
                                simulation.configurationChecker.checkResponse(
                                        result.responder(), result.sentAtMillis(), status);
                                change.accepted |= status == 200;
                            }
                            simulation.configurationChecker.endCall(
                                    historyCall, failure == null && !responseLost ? status : 0);
                            if (failure == null && responseLost) {
                                simulator.scheduleAt(
                                        (startMillis + timeoutMillis) * 1_000,
                                        () -> retryLater(change));
                            } else {
                                handleResponse(
                                        change,
                                        failure == null ? result.responder() : target,
                                        status);
                            }
                        });
    }

    private void retryLater(Change change) {
        simulator.scheduleAfter(
                Math.min(
                        MAX_RETRY_DELAY_MILLIS, RETRY_DELAY_MILLIS << Math.min(6, change.attempts)),
                () -> {
                    if (!change.finished && !simulation.hasEnded()) {
                        send(change);
                    }
                });
    }

    private void handleResponse(Change change, ControlMachine responder, int status) {
        if (status >= 200 && status < 300) {
            boolean firstAcknowledgement = !change.acknowledged;
            change.acknowledged = true;
            simulation.configurationChecker.acknowledged(change, responder);
            finish(change);
            if (firstAcknowledgement) {
                simulation.controlCluster.lastActive(responder.host.name);
                change.onAcknowledged.accept(responder);
                if (simulator.random.nextDouble() < 0.15) {
                    simulator.scheduleAfter(
                            100 + simulator.random.nextInt(3_000), () -> resend(change));
                }
            }
        } else if (status >= 500 || RETRYABLE_STATUSES.contains(status)) {
            retryLater(change);
        } else if (FINAL_STATUSES.contains(status) || ++change.unexpectedStatuses >= 3) {
            change.rejected = true;
            simulation.configurationChecker.changeRejected(change, responder, status);
            finish(change);
        } else {
            retryLater(change);
        }
    }

    private void finish(Change change) {
        if (!change.finished) {
            change.finished = true;
            inFlight--;
            sendQueued();
        }
    }

    /** One that was acknowledged is sent again, to any process. */
    void resend(Change change) {
        if (simulation.hasEnded()) {
            return;
        }
        ControlMachine target = randomMachine();
        int historyCall = simulation.configurationChecker.beginCall(change);
        simulation
                .controlCluster
                .call(
                        operator,
                        "POST",
                        target,
                        "/Configuration.Replace",
                        change.body,
                        (int) (RESPONSE_TIMEOUT_MILLIS + change.transferMillis()))
                .whenComplete(
                        (result, failure) -> {
                            int status = failure == null ? result.response().status() : 0;
                            simulation.configurationChecker.endCall(historyCall, status);
                            if (failure != null) {
                                return;
                            }
                            simulation.configurationChecker.checkResponse(
                                    result.responder(), result.sentAtMillis(), status);
                            if (status >= 400
                                    && status < 500
                                    && !RETRYABLE_STATUSES.contains(status)) {
                                simulation.configurationChecker.changeRejected(
                                        change, result.responder(), status);
                            } else if (status == 200) {
                                simulation.configurationChecker.acknowledged(
                                        change, result.responder());
                            }
                        });
    }

    /** An old one that was acknowledged, or any of the last, again. */
    void resendAcknowledged() {
        List<Change> acknowledged = changes.stream().filter(change -> change.acknowledged).toList();
        if (!acknowledged.isEmpty()) {
            resend(acknowledged.get(simulator.random.nextInt(acknowledged.size())));
        }
    }

    /**
     * One that was refused for the other content of its number, as if that answer had been lost.
     */
    void resendRejected() {
        List<Change> rejected = changes.stream().filter(change -> change.rejected).toList();
        if (!rejected.isEmpty()) {
            resend(rejected.get(simulator.random.nextInt(rejected.size())));
        }
    }

    /** Reads the configuration from any process, over and over. */
    void readPeriodically(long intervalMillis) {
        if (!simulation.hasEnded()) {
            read(randomMachine(), 1_000);
            simulator.scheduleAfter(
                    intervalMillis * (0.5 + simulator.random.nextDouble()),
                    () -> readPeriodically(intervalMillis));
        }
    }

    void read(ControlMachine source, int timeoutMillis) {
        ConfigurationChecker.PendingRead pendingRead =
                simulation.configurationChecker.beginRead(source);
        simulation
                .controlCluster
                .call(operator, "GET", source, "/Configuration.Read", new byte[0], timeoutMillis)
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null || result.response().status() != 200) {
                                return;
                            }
                            simulation.configurationChecker.checkResponse(
                                    result.responder(), result.sentAtMillis(), 200);
                            byte[] body = result.response().body();
                            try {
                                simulation.configurationChecker.endRead(
                                        pendingRead,
                                        Configuration.parse(body).revision(),
                                        ConfigurationChecker.digest(body));
                            } catch (Configuration.InvalidConfigurationException invalid) {
                                simulation.consistencyChecker.reportViolation(
                                        "CONFIG", invalid.getMessage());
                            }
                        });
    }
}
