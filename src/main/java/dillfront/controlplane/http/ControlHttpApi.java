package dillfront.controlplane.http;

import com.eclipsesource.json.Json;
import dillfront.common.environment.Environment.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** The HTTP calls that a control process serves, by method and path. */
public final class ControlHttpApi {

    private static final String HEARTBEAT = "/Instances.Heartbeat/";
    private static final String LEAVE = "/Instances.Leave/";
    private static final String REPLACE = "/Configuration.Replace";
    private static final String READ = "/Configuration.Read";
    private static final String ACCEPT_DATA_LOSS = "/Services.AcceptDataLoss";
    private static final String STATUS = "/status";
    private static final String POST = "POST";
    private static final String GET = "GET";

    private final ServerEndpoint serverEndpoint;
    private final ConfigurationEndpoint configurationEndpoint;
    private final DataLossEndpoint dataLossEndpoint;
    private final Supplier<String> status;

    /**
     * @param status the state of the process as one line
     */
    public ControlHttpApi(
            ServerEndpoint serverEndpoint,
            ConfigurationEndpoint configurationEndpoint,
            DataLossEndpoint dataLossEndpoint,
            Supplier<String> status) {
        this.serverEndpoint = serverEndpoint;
        this.configurationEndpoint = configurationEndpoint;
        this.dataLossEndpoint = dataLossEndpoint;
        this.status = status;
    }

    /**
     * Answers a call.
     *
     * @return completes within a second
     */
    public CompletableFuture<HttpResponse> handle(String method, String path, byte[] body) {
        if (path.startsWith(HEARTBEAT)) {
            String id = path.substring(HEARTBEAT.length());
            return requireMethod(POST, method, () -> serverEndpoint.heartbeat(id, body));
        } else if (path.startsWith(LEAVE)) {
            String id = path.substring(LEAVE.length());
            return requireMethod(POST, method, () -> serverEndpoint.leave(id));
        }
        return switch (path) {
            case REPLACE ->
                    requireMethod(POST, method, () -> configurationEndpoint.replace(path, body));
            case READ -> requireMethod(GET, method, () -> configurationEndpoint.read(path));
            case ACCEPT_DATA_LOSS ->
                    requireMethod(POST, method, () -> dataLossEndpoint.accept(body));
            case STATUS -> Responses.completed(status());
            default -> Responses.completedError(Responses.NOT_FOUND, "no such call");
        };
    }

    private static CompletableFuture<HttpResponse> requireMethod(
            String allowed, String method, Supplier<CompletableFuture<HttpResponse>> handler) {
        return method.equals(allowed)
                ? handler.get()
                : Responses.completedError(Responses.METHOD_NOT_ALLOWED, allowed + " only");
    }

    private HttpResponse status() {
        return Responses.ok(
                Json.object()
                        .add("status", status.get())
                        .add("lacking", dataLossEndpoint.missing())
                        .toString());
    }
}
