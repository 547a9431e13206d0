package dillfront.simulation.system;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dillfront.common.database.LogPosition;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A person who gives up what no log has that is left: he looks at `status` of one control process,
 * and says what he saw there to the same or another, again where he hears no clear answer.
 */
final class DataLossOperator {

    private static final long RETRY_INTERVAL_MILLIS = 200;
    private static final Set<Integer> FINAL_STATUSES = Set.of(200, 400, 405, 409);

    private final SystemSimulation simulation;
    private final Simulator simulator;
    private final Simulator.Machine operator;

    /** What was said last, by service. */
    private final Map<String, JsonObject> lastRequests = new TreeMap<>();

    DataLossOperator(SystemSimulation simulation, Simulator.Machine operator) {
        this.simulation = simulation;
        this.simulator = simulation.simulator;
        this.operator = operator;
    }

    /**
     * twice: again, to each process; closing: then all control machines lose power; wrong: only
     * what is not so; again: what was said last, whatever is lacking by now.
     */
    void acceptLoss(String service, String mode, long durationMillis) {
        if (mode.equals("again")) {
            JsonObject lastRequest = lastRequests.get(service);
            send(lastRequest == null ? fabricatedRequest(service) : lastRequest, mode, 0);
            return;
        }
        pollStatus(service, mode, simulator.millis() + durationMillis);
    }

    private ControlMachine randomMachine() {
        List<ControlMachine> machines = simulation.controlCluster.knownMachines();
        return machines.get(simulator.random.nextInt(machines.size()));
    }

    private void pollStatus(String service, String mode, long endMillis) {
        ControlMachine source = randomMachine();
        operator.call(
                        "GET",
                        source.host.ip + ":" + ControlCluster.HTTP_PORT,
                        "/status",
                        new byte[0],
                        Map.of(),
                        1_000)
                .whenComplete(
                        (response, failure) -> {
                            JsonObject reportedLoss = null;
                            if (failure == null && response.status() == 200) {
                                for (JsonValue entry :
                                        Json.parse(Simulator.text(response.body()))
                                                .asObject()
                                                .get("lacking")
                                                .asArray()) {
                                    reportedLoss =
                                            entry.asObject()
                                                            .getString("service", "")
                                                            .equals(service)
                                                    ? entry.asObject()
                                                    : reportedLoss;
                                }
                            }
                            if (reportedLoss != null) {
                                simulation.logEvent("lacking " + reportedLoss);
                                submit(service, mode, reportedLoss);
                            } else if (simulator.millis() < endMillis) {
                                simulator.scheduleAfter(
                                        RETRY_INTERVAL_MILLIS,
                                        () -> pollStatus(service, mode, endMillis));
                            } else {
                                simulation.logEvent("nothing is lacking of " + service);
                                send(fabricatedRequest(service), "wrong", 0);
                            }
                        });
    }

    private static JsonObject fabricatedRequest(String service) {
        return Json.object()
                .add("service", service)
                .add("move", "7")
                .add("log_position", "1.1")
                .add("least_acknowledged", "1.9")
                .add("most_acknowledged", "1.9")
                .add("out_of_reach", Json.array());
    }

    private static JsonObject withField(JsonObject request, String name, String value) {
        return Json.parse(request.toString()).asObject().set(name, value);
    }

    private void submit(String service, String mode, JsonObject reportedLoss) {
        if (!mode.equals("wrong")) {
            lastRequests.put(service, reportedLoss);
            send(reportedLoss, mode, 0);
            return;
        }
        send(withField(reportedLoss, "service", "another"), mode, 0);
        send(withField(reportedLoss, "move", "7"), mode, 0);
        JsonObject extended = Json.parse(reportedLoss.toString()).asObject();
        extended.get("out_of_reach").asArray().add("another");
        send(extended, mode, 0);
        for (String name :
                new String[] {"log_position", "least_acknowledged", "most_acknowledged"}) {
            LogPosition position = LogPosition.parse(reportedLoss.getString(name, ""));
            send(
                    withField(
                            reportedLoss,
                            name,
                            new LogPosition(position.term(), position.index() + 1).toString()),
                    mode,
                    0);
            send(
                    withField(
                            reportedLoss,
                            name,
                            new LogPosition(position.term(), Math.max(0, position.index() - 1))
                                    .toString()),
                    mode,
                    0);
        }
    }

    private void send(JsonObject body, String mode, int attempts) {
        ControlMachine target = randomMachine();
        String service = body.getString("service", "");
        ConsistencyChecker.AcceptedLoss acceptance =
                simulation.consistencyChecker.lossAcceptanceSent(
                        service,
                        LogPosition.parse(body.getString("log_position", "")),
                        // Of what others have that are out of reach nobody knows how far it goes.
                        body.get("out_of_reach").asArray().isEmpty()
                                ? LogPosition.parse(body.getString("most_acknowledged", ""))
                                : new LogPosition(Long.MAX_VALUE, 0));
        operator.call(
                        "POST",
                        target.host.ip + ":" + ControlCluster.HTTP_PORT,
                        "/Services.AcceptDataLoss",
                        Simulator.bytes(body.toString()),
                        Map.of(),
                        1_000)
                .whenComplete(
                        (response, failure) -> {
                            int status = failure == null ? response.status() : 0;
                            simulation.logEvent(
                                    "accept "
                                            + service
                                            + " "
                                            + mode
                                            + (mode.isEmpty() ? "" : " ")
                                            + "at "
                                            + target.host.name
                                            + " "
                                            + status);
                            if (status >= 400 && status < 500) {
                                simulation.consistencyChecker.lossAcceptanceRejected(acceptance);
                            }
                            if (!FINAL_STATUSES.contains(status)) {
                                if (attempts < 60) {
                                    simulator.scheduleAfter(
                                            RETRY_INTERVAL_MILLIS,
                                            () -> send(body, mode, attempts + 1));
                                }
                            } else if (mode.equals("wrong") && status != 409) {
                                simulation.consistencyChecker.reportViolation(
                                        "GIVEN", status + " to what was not shown: " + body);
                            } else if (mode.equals("closing") && status == 200) {
                                simulator.scheduleAfter(
                                        1,
                                        () -> simulation.controlCluster.failAll(true, null, 1_500));
                            } else if (mode.equals("twice") && status == 200) {
                                simulation
                                        .controlCluster
                                        .machines()
                                        .forEach(machine -> resend(body, machine));
                            }
                        });
    }

    /** What was accepted is accepted, wherever and however often it is said. */
    private void resend(JsonObject body, ControlMachine target) {
        if (!target.isRunning()) {
            return;
        }
        operator.call(
                        "POST",
                        target.host.ip + ":" + ControlCluster.HTTP_PORT,
                        "/Services.AcceptDataLoss",
                        Simulator.bytes(body.toString()),
                        Map.of(),
                        1_000)
                .whenComplete(
                        (response, failure) -> {
                            int status = failure == null ? response.status() : 0;
                            simulation.logEvent(
                                    "accept "
                                            + body.getString("service", "")
                                            + " again at "
                                            + target.host.name
                                            + " "
                                            + status);
                            if (status >= 400 && status < 500) {
                                simulation.consistencyChecker.reportViolation(
                                        "GIVEN", status + " to what was accepted: " + body);
                            }
                        });
    }
}
