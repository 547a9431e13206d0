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
final class DataLossCalls {

    private static final long AGAIN_MS = 200;
    private static final Set<Integer> CLEAR = Set.of(200, 400, 405, 409);

    private final Day day;
    private final Sim sim;
    private final Sim.Machine person;

    /** What was said last, by service. */
    private final Map<String, JsonObject> said = new TreeMap<>();

    DataLossCalls(Day day, Sim.Machine person) {
        this.day = day;
        this.sim = day.sim;
        this.person = person;
    }

    /**
     * twice: again, to each process; closing: then all control machines lose power; wrong: only
     * what is not so; again: what was said last, whatever is lacking by now.
     */
    void happen(String service, String how, long ms) {
        if (how.equals("again")) {
            JsonObject last = said.get(service);
            send(last == null ? invented(service) : last, how, 0);
            return;
        }
        look(service, how, sim.millis() + ms);
    }

    private ControlMachine any() {
        List<ControlMachine> list = day.controls.known();
        return list.get(sim.random.nextInt(list.size()));
    }

    private void look(String service, String how, long until) {
        ControlMachine from = any();
        person.call(
                        "GET",
                        from.machine.ip + ":" + Controls.HTTP,
                        "/status",
                        new byte[0],
                        Map.of(),
                        1_000)
                .whenComplete(
                        (is, fault) -> {
                            JsonObject lacking = null;
                            if (fault == null && is.status() == 200) {
                                for (JsonValue one :
                                        Json.parse(Sim.text(is.body()))
                                                .asObject()
                                                .get("lacking")
                                                .asArray()) {
                                    lacking =
                                            one.asObject().getString("service", "").equals(service)
                                                    ? one.asObject()
                                                    : lacking;
                                }
                            }
                            if (lacking != null) {
                                day.say("lacking " + lacking);
                                shown(service, how, lacking);
                            } else if (sim.millis() < until) {
                                sim.after(AGAIN_MS, () -> look(service, how, until));
                            } else {
                                day.say("nothing is lacking of " + service);
                                send(invented(service), "wrong", 0);
                            }
                        });
    }

    private static JsonObject invented(String service) {
        return Json.object()
                .add("service", service)
                .add("move", "7")
                .add("log_position", "1.1")
                .add("least_acknowledged", "1.9")
                .add("most_acknowledged", "1.9")
                .add("out_of_reach", Json.array());
    }

    private static JsonObject with(JsonObject of, String name, String value) {
        return Json.parse(of.toString()).asObject().set(name, value);
    }

    private void shown(String service, String how, JsonObject lacking) {
        if (!how.equals("wrong")) {
            said.put(service, lacking);
            send(lacking, how, 0);
            return;
        }
        send(with(lacking, "service", "another"), how, 0);
        send(with(lacking, "move", "7"), how, 0);
        JsonObject more = Json.parse(lacking.toString()).asObject();
        more.get("out_of_reach").asArray().add("another");
        send(more, how, 0);
        for (String name :
                new String[] {"log_position", "least_acknowledged", "most_acknowledged"}) {
            LogPosition is = LogPosition.parse(lacking.getString(name, ""));
            send(
                    with(lacking, name, new LogPosition(is.term(), is.index() + 1).toString()),
                    how,
                    0);
            send(
                    with(
                            lacking,
                            name,
                            new LogPosition(is.term(), Math.max(0, is.index() - 1)).toString()),
                    how,
                    0);
        }
    }

    private void send(JsonObject body, String how, int tries) {
        ControlMachine to = any();
        String service = body.getString("service", "");
        Audit.Given given =
                day.audit.gives(
                        service,
                        LogPosition.parse(body.getString("log_position", "")),
                        // Of what others have that are out of reach nobody knows how far it goes.
                        body.get("out_of_reach").asArray().isEmpty()
                                ? LogPosition.parse(body.getString("most_acknowledged", ""))
                                : new LogPosition(Long.MAX_VALUE, 0));
        person.call(
                        "POST",
                        to.machine.ip + ":" + Controls.HTTP,
                        "/Services.AcceptDataLoss",
                        Sim.bytes(body.toString()),
                        Map.of(),
                        1_000)
                .whenComplete(
                        (is, fault) -> {
                            int status = fault == null ? is.status() : 0;
                            day.say(
                                    "accept "
                                            + service
                                            + " "
                                            + how
                                            + (how.isEmpty() ? "" : " ")
                                            + "at "
                                            + to.machine.name
                                            + " "
                                            + status);
                            if (status >= 400 && status < 500) {
                                day.audit.refused(given);
                            }
                            if (!CLEAR.contains(status)) {
                                if (tries < 60) {
                                    sim.after(AGAIN_MS, () -> send(body, how, tries + 1));
                                }
                            } else if (how.equals("wrong") && status != 409) {
                                day.audit.breach(
                                        "GIVEN", status + " to what was not shown: " + body);
                            } else if (how.equals("closing") && status == 200) {
                                sim.after(1, () -> day.controls.loseAll(true, null, 1_500));
                            } else if (how.equals("twice") && status == 200) {
                                day.controls.all().forEach(c -> again(body, c));
                            }
                        });
    }

    /** What was accepted is accepted, wherever and however often it is said. */
    private void again(JsonObject body, ControlMachine to) {
        if (!to.runs()) {
            return;
        }
        person.call(
                        "POST",
                        to.machine.ip + ":" + Controls.HTTP,
                        "/Services.AcceptDataLoss",
                        Sim.bytes(body.toString()),
                        Map.of(),
                        1_000)
                .whenComplete(
                        (is, fault) -> {
                            int status = fault == null ? is.status() : 0;
                            day.say(
                                    "accept "
                                            + body.getString("service", "")
                                            + " again at "
                                            + to.machine.name
                                            + " "
                                            + status);
                            if (status >= 400 && status < 500) {
                                day.audit.breach(
                                        "GIVEN", status + " to what was accepted: " + body);
                            }
                        });
    }
}
