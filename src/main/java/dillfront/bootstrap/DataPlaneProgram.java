package dillfront.bootstrap;

import com.eclipsesource.json.Json;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.common.environment.HttpServerHandler;
import dillfront.common.environment.NettyEnvironment;
import dillfront.common.environment.RingLog;
import dillfront.common.logging.Log;
import dillfront.dataplane.DataPlaneNode;
import dillfront.router.Signals;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** The program that carries the traffic: clients' sessions onto connections to database servers. */
public final class DataPlaneProgram {

    private DataPlaneProgram() {}

    /** Reads the settings, and again on SIGHUP. */
    public interface SettingsSource {
        NodeSettings read() throws NodeSettings.InvalidSettingsException;
    }

    /**
     * @throws Settings.Bad with the file, the place and the fault
     */
    public static void run(SettingsSource reading)
            throws NodeSettings.InvalidSettingsException, IOException {
        Log log = new Log(System.err);
        NodeSettings settings = reading.read();
        if (settings.frontAddress() == null || settings.readinessAddress() == null) {
            throw new NodeSettings.InvalidSettingsException(
                    "listen_addresses: no front_address or no readiness_address, which a data plane needs");
        }
        NettyEnvironment host =
                new NettyEnvironment(
                        System.nanoTime() ^ settings.nodeName().hashCode(),
                        new RingLog(System.err, settings.nodeName()));
        DataPlaneNode front = new DataPlaneNode(host, settings);
        Signals.on(
                "TERM",
                () ->
                        host.eventLoop()
                                .execute(() -> front.shutDown(() -> Runtime.getRuntime().halt(0))),
                log);
        Signals.on("HUP", () -> host.eventLoop().execute(() -> again(front, reading, log)), log);
        Signals.on(
                "USR2",
                () -> host.eventLoop().execute(() -> log.info("status", "line", front.status())),
                log);
        host.serveHttp(
                settings.readinessAddress(),
                (method, path, body) ->
                        CompletableFuture.completedFuture(
                                path.equals("/status")
                                        ? new Environment.HttpResponse(
                                                200,
                                                Json.object()
                                                        .add("status", front.status())
                                                        .toString()
                                                        .getBytes(StandardCharsets.UTF_8))
                                        : !path.equals("/readiness")
                                                ? HttpServerHandler.errorResponse(
                                                        404,
                                                        "/readiness and /status are answered here")
                                                : new Environment.HttpResponse(
                                                        front.isReady() ? 200 : 503,
                                                        "{}".getBytes(StandardCharsets.UTF_8))));
        host.listen(settings.frontAddress(), Environment.Framing.LINES, h -> front.accept());
        host.eventLoop().execute(front::start);
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

    private static void again(DataPlaneNode front, SettingsSource reading, Log log) {
        try {
            front.updateSettings(reading.read());
            log.info("settings", "seeds", front.settings().seedAddresses());
        } catch (NodeSettings.InvalidSettingsException bad) {
            log.warn("settings", "kept", "the former ones", "fault", bad.getMessage());
        }
    }
}
