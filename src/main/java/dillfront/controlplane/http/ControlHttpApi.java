package dillfront.controlplane.http;

import com.eclipsesource.json.Json;
import dillfront.common.environment.Environment.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Routes the HTTP calls of a control process by method and path. */
public final class ControlHttpApi {

    private static final String HEARTBEAT = "/Instances.Heartbeat/";
    private static final String LEAVE = "/Instances.Leave/";
    private static final String REPLACE = "/Configuration.Replace";
    private static final String READ = "/Configuration.Read";
    private static final String ACCEPT_DATA_LOSS = "/Services.AcceptDataLoss";
    private static final String STATUS = "/status";
    private static final String POST = "POST";
    private static final String GET = "GET";

    private final ServerEndpoint servers;
    private final ConfigurationEndpoint configuration;
    private final DataLossEndpoint dataLoss;
    private final Supplier<String> status;

    /**
     * Creates the API from its endpoints.
     *
     * @param status returns the state of the process as one line
     */
    public ControlHttpApi(
            ServerEndpoint servers,
            ConfigurationEndpoint configuration,
            DataLossEndpoint dataLoss,
            Supplier<String> status) {
        this.servers = servers;
        this.configuration = configuration;
        this.dataLoss = dataLoss;
        this.status = status;
    }

    /**
     * Handles a call.
     *
     * @return completes with the response within one second
     */
    public CompletableFuture<HttpResponse> handle(String method, String path, byte[] body) {
        if (path.startsWith(HEARTBEAT)) {
            String id = path.substring(HEARTBEAT.length());
            return only(POST, method, () -> servers.heartbeat(id, body));
        } else if (path.startsWith(LEAVE)) {
            String id = path.substring(LEAVE.length());
            return only(POST, method, () -> servers.leave(id));
        }
        return switch (path) {
            case REPLACE -> only(POST, method, () -> configuration.replace(path, body));
            case READ -> only(GET, method, () -> configuration.read(path));
            case ACCEPT_DATA_LOSS -> only(POST, method, () -> dataLoss.accept(body));
            case STATUS -> Responses.completed(status());
            default -> Responses.completedError(Responses.NOT_FOUND, "unknown path");
        };
    }

    private static CompletableFuture<HttpResponse> only(
            String allowed, String method, Supplier<CompletableFuture<HttpResponse>> handler) {
        return method.equals(allowed)
                ? handler.get()
                : Responses.completedError(
                        Responses.METHOD_NOT_ALLOWED, allowed + " is the only allowed method");
    }

    private HttpResponse status() {
        return Responses.ok(
                Json.object()
                        .add("status", status.get())
                        .add("lacking", dataLoss.missing())
                        .toString());
    }
}
