package dillfront.controlplane.http;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment.HttpResponse;
import dillfront.controlplane.failover.DataLossManager;
import dillfront.controlplane.failover.DataLossManager.Acceptance;
import dillfront.controlplane.http.RequestFields.InvalidRequestException;
import dillfront.controlplane.primary.MissingCommits;
import dillfront.controlplane.state.ControlState;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * POST /Services.AcceptDataLoss: an operator accepts that acknowledged commits are lost. The body
 * is what the status shows under `lacking`, for one service.
 */
public final class DataLossEndpoint {

    private final ControlState state;
    private final DataLossManager dataLoss;
    private final BooleanSupplier isLeaving;

    /**
     * @param isLeaving whether this process is about to end
     */
    public DataLossEndpoint(
            ControlState state, DataLossManager dataLoss, BooleanSupplier isLeaving) {
        this.state = state;
        this.dataLoss = dataLoss;
        this.isLeaving = isLeaving;
    }

    CompletableFuture<HttpResponse> accept(byte[] body) {
        MissingCommits missing;
        try {
            missing = parse(RequestFields.parse(body));
        } catch (InvalidRequestException exception) {
            return Responses.completedError(Responses.BAD_REQUEST, exception.getMessage());
        }
        if (state.cluster().isIsolated() || isLeaving.getAsBoolean()) {
            return Responses.completedError(Responses.UNAVAILABLE, Responses.ISOLATED);
        }
        return Responses.within(
                state.environment(),
                DataLossManager.ACCEPTANCE_TIMEOUT_MS,
                dataLoss.accept(missing),
                acceptance -> response(missing.service(), acceptance));
    }

    private static MissingCommits parse(RequestFields fields) throws InvalidRequestException {
        LogPosition logEnd = fields.position("log_position");
        LogPosition lowerBound = fields.position("least_acknowledged");
        LogPosition upperBound = fields.position("most_acknowledged");
        if (logEnd == null || lowerBound == null || upperBound == null) {
            throw new InvalidRequestException(
                    "log_position, least_acknowledged, most_acknowledged: expected TERM.NUMBER");
        }
        List<String> unreachable = fields.strings("out_of_reach");
        return new MissingCommits(
                fields.string("service"),
                fields.numberFromString("move"),
                logEnd,
                new AcknowledgedCommits(lowerBound, upperBound),
                unreachable,
                "",
                0);
    }

    private HttpResponse response(String service, Acceptance acceptance) {
        if (acceptance instanceof Acceptance.Accepted accepted) {
            return Responses.ok(
                    Json.object()
                            .add("service", service)
                            .add("log_position", accepted.loss().logEnd().toString())
                            .add("given_up", accepted.loss().lostUpTo().toString())
                            .toString());
        } else if (acceptance instanceof Acceptance.Conflict conflict) {
            return conflict(conflict.missing());
        }
        return Responses.error(
                Responses.UNAVAILABLE, ((Acceptance.Unavailable) acceptance).reason());
    }

    private HttpResponse conflict(MissingCommits missing) {
        JsonObject body =
                Json.object()
                        .add(
                                "error_message",
                                missing == null
                                        ? "nothing is known to be lacking"
                                        : "something else is lacking")
                        .add("lacking", missing == null ? Json.NULL : toJson(missing));
        return new HttpResponse(
                Responses.CONFLICT, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    private JsonObject toJson(MissingCommits missing) {
        JsonArray unreachable = Json.array().asArray();
        missing.unreachableServers().forEach(unreachable::add);
        return Json.object()
                .add("service", missing.service())
                .add("move", Long.toString(missing.moveNumber()))
                .add("primary", missing.primary())
                .add("log_position", missing.longestLogEnd().toString())
                .add("least_acknowledged", missing.acknowledged().lowerBound().toString())
                .add("most_acknowledged", missing.acknowledged().upperBound().toString())
                .add("out_of_reach", unreachable)
                .add("for_ms", state.nowMillis() - missing.sinceMillis());
    }

    /** What each service waits for, as the status shows it. */
    JsonArray missing() {
        JsonArray all = Json.array().asArray();
        dataLoss.missing().orElse(List.of()).forEach(missing -> all.add(toJson(missing)));
        return all;
    }
}
