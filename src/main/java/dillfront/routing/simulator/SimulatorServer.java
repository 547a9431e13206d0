package dillfront.routing.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.exc.InputCoercionException;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import dillfront.router.config.Tree;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Serves the simulator's protocol: reads batches of events for many routers, one JSON object per
 * line, and writes one reply per batch.
 */
public final class SimulatorServer {

    private final JsonParser json;
    private final OutputStream out;
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream(1 << 16);
    private final JsonGenerator reply;
    private final SimulatorEvent event = new SimulatorEvent();

    /** Router instances by id; a Destroy event removes its instance. */
    private final Map<Integer, SimulatedRouter> instances = new HashMap<>();

    /** Member lists by buffer number; the simulator reuses sixteen numbers. */
    private final Map<Integer, List<Tree>> tables = new HashMap<>();

    /**
     * @param in the simulator's events
     * @param out receives one reply per batch
     */
    public SimulatorServer(InputStream in, OutputStream out) throws IOException {
        JsonFactory factory = new JsonFactory();
        json = factory.createParser(in);
        this.out = out;
        reply = factory.createGenerator(pending);
        reply.setPrettyPrinter(new MinimalPrettyPrinter(""));
    }

    /** Serves until the input ends. The reply to an invalid batch is not written. */
    public void run() throws IOException, InvalidInputException {
        long clockUs = Long.MIN_VALUE;
        try {
            while (event.read(json)) {
                if (event.kind.equals("Batch")) {
                    if (event.timeUs == Long.MIN_VALUE) {
                        throw event.fault("timeUs is missing");
                    }
                    clockUs = event.timeUs;
                } else if (clockUs == Long.MIN_VALUE) {
                    throw event.fault("outside a batch");
                } else if (event.kind.equals("Go")) {
                    answer();
                    clockUs = Long.MIN_VALUE;
                } else {
                    handle(clockUs);
                }
            }
        } catch (JsonProcessingException bad) {
            String fault =
                    bad instanceof InputCoercionException
                            ? "number out of range"
                            : bad.getOriginalMessage();
            int line = bad.getLocation() == null ? event.line : bad.getLocation().getLineNr();
            throw new InvalidInputException(
                    line, "malformed: " + fault.lines().findFirst().orElse(""));
        }
        if (clockUs != Long.MIN_VALUE) {
            throw event.fault("input ends within a batch");
        }
    }

    private void answer() throws IOException {
        reply.writeStartObject();
        reply.writeStringField("kind", "Yield");
        reply.writeEndObject();
        reply.writeRaw('\n');
        reply.flush();
        pending.writeTo(out);
        out.flush();
        pending.reset();
    }

    private void handle(long clockUs) throws InvalidInputException {
        switch (event.kind) {
            case "Table" -> {
                if (event.rows == null || event.buffer < 0) {
                    throw event.fault("buffer or rowsIn is missing");
                }
                tables.put(event.buffer, event.rows);
            }
            case "NewInstance" -> {
                if (event.setup == null || event.who < 0) {
                    throw event.fault("who or setup is missing");
                }
                SimulatedRouter fresh =
                        new SimulatedRouter(event.who, event.seed, event.setup, reply);
                fresh.at(clockUs);
                instances.put(event.who, fresh);
            }
            case "Destroy" -> {
                instance(clockUs);
                instances.remove(event.who);
            }
            case "Topology" -> {
                SimulatedRouter instance = instance(clockUs);
                if (event.scope == 3) {
                    instance.listFailed();
                    return;
                }
                List<Tree> rows = tables.get(event.buffer);
                if (rows == null) {
                    throw event.fault("buffer " + event.buffer + " has no member list");
                }
                instance.list(event.scope != 0, rows);
            }
            case "NewRequest" -> {
                SimulatedRouter instance = instance(clockUs);
                if (event.corr < 0 || event.expiresInUs < 0 || Double.isNaN(event.partitionNo)) {
                    throw event.fault("corr, expiresInUs or partitionNo is missing");
                }
                instance.arrived(event);
            }
            case "AttemptEnd" -> instance(clockUs).ended(event);
            case "Dropped" -> instance(clockUs).left(event);
            case "Pong" -> instance(clockUs).probed(event);
            case "Ring" -> instance(clockUs).woken();
            case "Started", "NeighbourSays" -> instance(clockUs);
            default -> throw event.fault("unknown kind");
        }
    }

    private SimulatedRouter instance(long clockUs) throws InvalidInputException {
        SimulatedRouter instance = instances.get(event.who);
        if (instance == null) {
            throw event.fault("unknown instance " + event.who);
        }
        instance.at(clockUs);
        return instance;
    }
}
