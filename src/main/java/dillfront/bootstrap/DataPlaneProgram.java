package dillfront.bootstrap;

import com.eclipsesource.json.Json;
import dillfront.common.config.NodeSettings;
import dillfront.common.config.NodeSettings.InvalidSettingsException;
import dillfront.common.environment.Environment;
import dillfront.common.environment.Environment.HttpResponse;
import dillfront.common.environment.HttpServerHandler;
import dillfront.common.environment.NettyEnvironment;
import dillfront.common.environment.RingLog;
import dillfront.common.logging.Log;
import dillfront.dataplane.DataPlaneNode;
import dillfront.router.SignalHandlers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** The data plane: multiplexes client sessions onto connections to database servers. */
public final class DataPlaneProgram {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private DataPlaneProgram() {}

    /**
     * Starts a data plane, which runs until SIGTERM.
     *
     * @throws InvalidSettingsException with the file, the place and the error
     * @throws IOException if the process cannot listen on an address
     */
    public static void run(SettingsSource source) throws InvalidSettingsException, IOException {
        Log log = new Log(System.err);
        NodeSettings settings = source.read();
        if (settings.frontAddress() == null || settings.readinessAddress() == null) {
            throw new InvalidSettingsException(
                    "listen_addresses: front_address or readiness_address is missing, which a data"
                            + " plane requires");
        }
        NettyEnvironment environment =
                new NettyEnvironment(
                        System.nanoTime() ^ settings.nodeName().hashCode(),
                        new RingLog(System.err, settings.nodeName()));
        DataPlaneNode node = new DataPlaneNode(environment, settings);
        handleSignals(node, environment, source, log);
        environment.serveHttp(
                settings.readinessAddress(),
                (method, path, body) -> CompletableFuture.completedFuture(respond(node, path)));
        environment.listen(
                settings.frontAddress(), Environment.Framing.LINES, accepted -> node.accept());
        environment.eventLoop().execute(node::start);
        log.info(
                "start",
                "program",
                "data-plane",
                "name",
                settings.nodeName(),
                "zone",
                settings.zoneName(),
                "seeds",
                settings.seedAddresses());
    }

    private static HttpResponse respond(DataPlaneNode node, String path) {
        return switch (path) {
            case "/status" -> {
                String body = Json.object().add("status", node.status()).toString();
                yield new HttpResponse(OK, body.getBytes(StandardCharsets.UTF_8));
            }
            case "/readiness" ->
                    new HttpResponse(
                            node.isReady() ? OK : UNAVAILABLE,
                            "{}".getBytes(StandardCharsets.UTF_8));
            default ->
                    HttpServerHandler.errorResponse(
                            NOT_FOUND, "/readiness and /status are answered here");
        };
    }

    private static void handleSignals(
            DataPlaneNode node, NettyEnvironment environment, SettingsSource source, Log log) {
        SignalHandlers.register(
                "TERM",
                () ->
                        environment
                                .eventLoop()
                                .execute(() -> node.shutDown(() -> Runtime.getRuntime().halt(0))),
                log);
        SignalHandlers.register(
                "HUP",
                () -> environment.eventLoop().execute(() -> reloadSettings(node, source, log)),
                log);
        SignalHandlers.register(
                "USR2",
                () ->
                        environment
                                .eventLoop()
                                .execute(() -> log.info("status", "line", node.status())),
                log);
    }

    private static void reloadSettings(DataPlaneNode node, SettingsSource source, Log log) {
        try {
            node.updateSettings(source.read());
            log.info("settings", "seeds", node.settings().seedAddresses());
        } catch (InvalidSettingsException e) {
            log.warn("settings", "kept", "the previous settings", "fault", e.getMessage());
        }
    }
}
