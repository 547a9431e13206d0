package dillfront.routing.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import dillfront.router.config.JsonObject;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.NodeRole;
import dillfront.routing.api.SubmissionResult;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * One event of the simulator's protocol. The fields are named after their keys in the protocol; one
 * object is reused for every line.
 */
final class SimulatorEvent {

    /** Results by their number in the protocol. */
    private static final SubmissionResult[] RESULTS = {
        null,
        SubmissionResult.COMMITTED,
        SubmissionResult.ERROR,
        SubmissionResult.FULL,
        SubmissionResult.TIMED_OUT,
        SubmissionResult.UNREACHABLE,
        SubmissionResult.RESET,
        SubmissionResult.WITHDRAWN,
        SubmissionResult.MOOT,
        SubmissionResult.MISS
    };

    int line;
    String kind;
    String qos;
    String account;
    String node;
    int who;
    long timeUs;
    long corr;
    long user;
    long expiresInUs;
    long durationUs;
    long stand;
    long seed;
    double partitionNo;
    double lastWriteMs;
    int ending;
    int buffer;
    int scope;
    boolean finished;
    boolean hasUser;
    NodeReport report;
    JsonObject setup;
    List<JsonObject> rows;

    /** Reads one event; returns false at the end of the input. */
    boolean read(JsonParser parser) throws IOException, InvalidInputException {
        clear();
        JsonToken token = parser.nextToken();
        if (token == null) {
            return false;
        }
        line = parser.currentTokenLocation().getLineNr();
        if (token != JsonToken.START_OBJECT) {
            throw invalid("not an object");
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            readField(name, parser);
        }
        if (kind == null) {
            throw invalid("kind is missing");
        }
        return true;
    }

    private void clear() {
        kind = null;
        qos = null;
        account = null;
        node = null;
        who = -1;
        buffer = -1;
        scope = -1;
        corr = -1;
        expiresInUs = -1;
        timeUs = Long.MIN_VALUE;
        user = 0;
        durationUs = 0;
        stand = 0;
        seed = 0;
        ending = 0;
        partitionNo = Double.NaN;
        lastWriteMs = Double.NaN;
        finished = false;
        hasUser = false;
        report = NodeReport.EMPTY;
        setup = null;
        rows = null;
    }

    private void readField(String name, JsonParser parser) throws IOException {
        switch (name) {
            case "kind" -> kind = parser.getText();
            case "who" -> who = parser.getIntValue();
            case "timeUs" -> timeUs = parser.getLongValue();
            case "corr" -> corr = parser.getLongValue();
            case "qos" -> qos = parser.getText();
            case "account" -> account = parser.getText();
            case "user" -> {
                user = parser.getLongValue();
                hasUser = true;
            }
            case "expiresInUs" -> expiresInUs = parser.getLongValue();
            case "partitionNo" -> partitionNo = parser.getDoubleValue();
            case "lastWriteMs" -> lastWriteMs = parser.getDoubleValue();
            case "node" -> node = parser.getText();
            case "durationUs" -> durationUs = parser.getLongValue();
            case "ending" -> ending = parser.getIntValue();
            case "finished" -> finished = parser.getBooleanValue();
            case "stand" -> stand = parser.getLongValue();
            case "telemetry" -> report = readLoadReport(parser);
            case "buffer" -> buffer = parser.getIntValue();
            case "scope" -> scope = parser.getIntValue();
            case "seed" ->
                    seed =
                            parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                                    ? parser.getBigIntegerValue().longValue()
                                    : parser.getLongValue();
            case "setup" ->
                    setup =
                            parser.currentToken() == JsonToken.START_OBJECT
                                    ? JsonObject.read(parser)
                                    : null;
            case "rowsIn" -> {
                if (parser.currentToken() == JsonToken.START_ARRAY) {
                    rows = new ArrayList<>();
                    while (parser.nextToken() == JsonToken.START_OBJECT) {
                        rows.add(JsonObject.read(parser));
                    }
                }
            }
            default -> parser.skipChildren();
        }
    }

    /**
     * Reads a load report. The node rounds its position to a millisecond, so one millisecond is
     * subtracted to stay below the actual position.
     */
    private static NodeReport readLoadReport(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            parser.skipChildren();
            return NodeReport.EMPTY;
        }
        JsonObject values = JsonObject.read(parser);
        double x0 = values.getDouble("x0", Double.NaN);
        double x1 = values.getDouble("x1", Double.NaN);
        return new NodeReport(
                Double.isNaN(x0) ? null : Duration.ofMillis((long) Math.floor(x0 * 1000 - 1)),
                Double.isNaN(x1) ? null : x1 == 1 ? NodeRole.PRIMARY : NodeRole.REPLICA);
    }

    static NodeRole role(long code) {
        return code == 1 ? NodeRole.PRIMARY : code == 2 ? NodeRole.REPLICA : null;
    }

    SubmissionResult result() throws InvalidInputException {
        if (ending < 1 || ending >= RESULTS.length) {
            throw invalid("unknown ending " + ending);
        }
        return RESULTS[ending];
    }

    InvalidInputException invalid(String error) {
        return new InvalidInputException(line, (kind == null ? "" : kind + ": ") + error);
    }
}
