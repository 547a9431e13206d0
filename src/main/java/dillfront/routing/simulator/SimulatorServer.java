package dillfront.routing.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.exc.InputCoercionException;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import dillfront.router.config.JsonObject;
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

    private final JsonParser parser;
    private final OutputStream out;
    private final ByteArrayOutputStream replyBuffer = new ByteArrayOutputStream(1 << 16);
    private final JsonGenerator replyWriter;
    private final SimulatorEvent event = new SimulatorEvent();

    /** Router instances by id; a Destroy event removes its instance. */
    private final Map<Integer, SimulatedRouter> routers = new HashMap<>();

    /** Member lists by buffer number; the simulator reuses sixteen numbers. */
    private final Map<Integer, List<JsonObject>> memberLists = new HashMap<>();

    /**
     * @param in the simulator's events
     * @param out receives one reply per batch
     */
    public SimulatorServer(InputStream in, OutputStream out) throws IOException {
        JsonFactory factory = new JsonFactory();
        parser = factory.createParser(in);
        this.out = out;
        replyWriter = factory.createGenerator(replyBuffer);
        replyWriter.setPrettyPrinter(new MinimalPrettyPrinter(""));
    }

    /** Serves until the input ends. The reply to an invalid batch is not written. */
    public void run() throws IOException, InvalidInputException {
        long batchTimeUs = Long.MIN_VALUE;
        try {
            while (event.read(parser)) {
                if (event.kind.equals("Batch")) {
                    if (event.timeUs == Long.MIN_VALUE) {
                        throw event.invalid("timeUs is missing");
                    }
                    batchTimeUs = event.timeUs;
                } else if (batchTimeUs == Long.MIN_VALUE) {
                    throw event.invalid("outside a batch");
                } else if (event.kind.equals("Go")) {
                    writeReply();
                    batchTimeUs = Long.MIN_VALUE;
                } else {
                    handle(batchTimeUs);
                }
            }
        } catch (JsonProcessingException exception) {
            String error =
                    exception instanceof InputCoercionException
                            ? "number out of range"
                            : exception.getOriginalMessage();
            int line =
                    exception.getLocation() == null
                            ? event.line
                            : exception.getLocation().getLineNr();
            throw new InvalidInputException(
                    line, "malformed: " + error.lines().findFirst().orElse(""));
        }
        if (batchTimeUs != Long.MIN_VALUE) {
            throw event.invalid("input ends within a batch");
        }
    }

    private void writeReply() throws IOException {
        replyWriter.writeStartObject();
        replyWriter.writeStringField("kind", "Yield");
        replyWriter.writeEndObject();
        replyWriter.writeRaw('\n');
        replyWriter.flush();
        replyBuffer.writeTo(out);
        out.flush();
        replyBuffer.reset();
    }

    private void handle(long batchTimeUs) throws InvalidInputException {
        switch (event.kind) {
            case "Table" -> {
                if (event.rows == null || event.buffer < 0) {
                    throw event.invalid("buffer or rowsIn is missing");
                }
                memberLists.put(event.buffer, event.rows);
            }
            case "NewInstance" -> {
                if (event.setup == null || event.who < 0) {
                    throw event.invalid("who or setup is missing");
                }
                SimulatedRouter router =
                        new SimulatedRouter(event.who, event.seed, event.setup, replyWriter);
                router.setTime(batchTimeUs);
                routers.put(event.who, router);
            }
            case "Destroy" -> {
                router(batchTimeUs);
                routers.remove(event.who);
            }
            case "Topology" -> {
                SimulatedRouter router = router(batchTimeUs);
                if (event.scope == 3) {
                    router.memberListFailed();
                    return;
                }
                List<JsonObject> rows = memberLists.get(event.buffer);
                if (rows == null) {
                    throw event.invalid("buffer " + event.buffer + " has no member list");
                }
                router.updateMembers(event.scope != 0, rows);
            }
            case "NewRequest" -> {
                SimulatedRouter router = router(batchTimeUs);
                if (event.corr < 0 || event.expiresInUs < 0 || Double.isNaN(event.partitionNo)) {
                    throw event.invalid("corr, expiresInUs or partitionNo is missing");
                }
                router.requestArrived(event);
            }
            case "AttemptEnd" -> router(batchTimeUs).attemptEnded(event);
            case "Dropped" -> router(batchTimeUs).clientDisconnected(event);
            case "Pong" -> router(batchTimeUs).probeAnswered(event);
            case "Ring" -> router(batchTimeUs).onWakeUp();
            case "Started", "NeighbourSays" -> router(batchTimeUs);
            default -> throw event.invalid("unknown kind");
        }
    }

    private SimulatedRouter router(long batchTimeUs) throws InvalidInputException {
        SimulatedRouter router = routers.get(event.who);
        if (router == null) {
            throw event.invalid("unknown instance " + event.who);
        }
        router.setTime(batchTimeUs);
        return router;
    }
}
