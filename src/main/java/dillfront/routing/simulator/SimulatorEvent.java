package dillfront.routing.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import dillfront.router.config.Tree;
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
    Tree setup;
    List<Tree> rows;

    /** Reads one event; returns false at the end of the input. */
    boolean read(JsonParser json) throws IOException, InvalidInputException {
        clear();
        JsonToken token = json.nextToken();
        if (token == null) {
            return false;
        }
        line = json.currentTokenLocation().getLineNr();
        if (token != JsonToken.START_OBJECT) {
            throw fault("not an object");
        }
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String name = json.currentName();
            json.nextToken();
            field(name, json);
        }
        if (kind == null) {
            throw fault("kind is missing");
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

    private void field(String name, JsonParser json) throws IOException {
        switch (name) {
            case "kind" -> kind = json.getText();
            case "who" -> who = json.getIntValue();
            case "timeUs" -> timeUs = json.getLongValue();
            case "corr" -> corr = json.getLongValue();
            case "qos" -> qos = json.getText();
            case "account" -> account = json.getText();
            case "user" -> {
                user = json.getLongValue();
                hasUser = true;
            }
            case "expiresInUs" -> expiresInUs = json.getLongValue();
            case "partitionNo" -> partitionNo = json.getDoubleValue();
            case "lastWriteMs" -> lastWriteMs = json.getDoubleValue();
            case "node" -> node = json.getText();
            case "durationUs" -> durationUs = json.getLongValue();
            case "ending" -> ending = json.getIntValue();
            case "finished" -> finished = json.getBooleanValue();
            case "stand" -> stand = json.getLongValue();
            case "telemetry" -> report = telemetry(json);
            case "buffer" -> buffer = json.getIntValue();
            case "scope" -> scope = json.getIntValue();
            case "seed" ->
                    seed =
                            json.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                                    ? json.getBigIntegerValue().longValue()
                                    : json.getLongValue();
            case "setup" ->
                    setup = json.currentToken() == JsonToken.START_OBJECT ? Tree.read(json) : null;
            case "rowsIn" -> {
                if (json.currentToken() == JsonToken.START_ARRAY) {
                    rows = new ArrayList<>();
                    while (json.nextToken() == JsonToken.START_OBJECT) {
                        rows.add(Tree.read(json));
                    }
                }
            }
            default -> json.skipChildren();
        }
    }

    /**
     * Reads a load report. The node rounds its position to a millisecond, so one millisecond is
     * subtracted to stay below the actual position.
     */
    private static NodeReport telemetry(JsonParser json) throws IOException {
        if (json.currentToken() != JsonToken.START_OBJECT) {
            json.skipChildren();
            return NodeReport.EMPTY;
        }
        Tree values = Tree.read(json);
        double x0 = values.number("x0", Double.NaN);
        double x1 = values.number("x1", Double.NaN);
        return new NodeReport(
                Double.isNaN(x0) ? null : Duration.ofMillis((long) Math.floor(x0 * 1000 - 1)),
                Double.isNaN(x1) ? null : x1 == 1 ? NodeRole.PRIMARY : NodeRole.REPLICA);
    }

    static NodeRole role(long mark) {
        return mark == 1 ? NodeRole.PRIMARY : mark == 2 ? NodeRole.REPLICA : null;
    }

    SubmissionResult result() throws InvalidInputException {
        if (ending < 1 || ending >= RESULTS.length) {
            throw fault("unknown ending " + ending);
        }
        return RESULTS[ending];
    }

    InvalidInputException fault(String what) {
        return new InvalidInputException(line, (kind == null ? "" : kind + ": ") + what);
    }
}
