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

/** The simulator's wire: batches of events for many routers in, one reply for each batch out. */
public final class Drill {

    private final JsonParser json;
    private final OutputStream out;
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream(1 << 16);
    private final JsonGenerator reply;
    private final Event event = new Event();

    /** Emptied by each router's end. */
    private final Map<Integer, Instance> instances = new HashMap<>();

    /** Sixteen numbers, used again and again. */
    private final Map<Integer, List<Tree>> tables = new HashMap<>();

    /**
     * @param in the simulator's events; out gets a reply to each batch
     */
    public Drill(InputStream in, OutputStream out) throws IOException {
        JsonFactory factory = new JsonFactory();
        json = factory.createParser(in);
        this.out = out;
        reply = factory.createGenerator(pending);
        reply.setPrettyPrinter(new MinimalPrettyPrinter(""));
    }

    /** Runs until the input ends; what a faulty batch would have answered is not written. */
    public void run() throws IOException, BadInput {
        long clockUs = Long.MIN_VALUE;
        try {
            while (event.read(json)) {
                if (event.kind.equals("Batch")) {
                    if (event.timeUs == Long.MIN_VALUE) {
                        throw event.fault("no timeUs");
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
            throw new BadInput(line, "malformed: " + fault.lines().findFirst().orElse(""));
        }
        if (clockUs != Long.MIN_VALUE) {
            throw event.fault("the input ends within a batch");
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

    private void handle(long clockUs) throws BadInput {
        switch (event.kind) {
            case "Table" -> {
                if (event.rows == null || event.buffer < 0) {
                    throw event.fault("no buffer or no rowsIn");
                }
                tables.put(event.buffer, event.rows);
            }
            case "NewInstance" -> {
                if (event.setup == null || event.who < 0) {
                    throw event.fault("no who or no setup");
                }
                Instance fresh = new Instance(event.who, event.seed, event.setup, reply);
                fresh.at(clockUs);
                instances.put(event.who, fresh);
            }
            case "Destroy" -> {
                instance(clockUs);
                instances.remove(event.who);
            }
            case "Topology" -> {
                Instance instance = instance(clockUs);
                if (event.scope == 3) {
                    instance.listFailed();
                    return;
                }
                List<Tree> rows = tables.get(event.buffer);
                if (rows == null) {
                    throw event.fault("list " + event.buffer + " was never defined");
                }
                instance.list(event.scope != 0, rows);
            }
            case "NewRequest" -> {
                Instance instance = instance(clockUs);
                if (event.corr < 0 || event.expiresInUs < 0 || Double.isNaN(event.partitionNo)) {
                    throw event.fault("no corr, no expiresInUs or no partitionNo");
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

    private Instance instance(long clockUs) throws BadInput {
        Instance instance = instances.get(event.who);
        if (instance == null) {
            throw event.fault("unknown instance " + event.who);
        }
        instance.at(clockUs);
        return instance;
    }
}
