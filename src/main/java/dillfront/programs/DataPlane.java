package dillfront.programs;

import com.eclipsesource.json.Json;
import dillfront.daemon.Signals;
import dillfront.front.Front;
import dillfront.host.Host;
import dillfront.host.HttpDoor;
import dillfront.host.NettyHost;
import dillfront.host.Ring;
import dillfront.host.Settings;
import dillfront.log.Log;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** The program that carries the traffic: clients' sessions onto connections to database servers. */
public final class DataPlane {

    private DataPlane() {}

    /** Reads the settings, and again on SIGHUP. */
    public interface Reading {
        Settings read() throws Settings.Bad;
    }

    /**
     * @throws Settings.Bad with the file, the place and the fault
     */
    public static void run(Reading reading) throws Settings.Bad, IOException {
        Log log = new Log(System.err);
        Settings settings = reading.read();
        if (settings.front() == null || settings.ready() == null) {
            throw new Settings.Bad(
                    "listen_addresses: no front_address or no readiness_address, which a data plane needs");
        }
        NettyHost host =
                new NettyHost(
                        System.nanoTime() ^ settings.name().hashCode(),
                        new Ring(System.err, settings.name()));
        Front front = new Front(host, settings);
        Signals.on(
                "TERM",
                () -> host.loop().execute(() -> front.leave(() -> Runtime.getRuntime().halt(0))),
                log);
        Signals.on("HUP", () -> host.loop().execute(() -> again(front, reading, log)), log);
        Signals.on(
                "USR2",
                () -> host.loop().execute(() -> log.info("status", "line", front.status())),
                log);
        host.serve(
                settings.ready(),
                (method, path, body) ->
                        CompletableFuture.completedFuture(
                                path.equals("/status")
                                        ? new Host.Answer(
                                                200,
                                                Json.object()
                                                        .add("status", front.status())
                                                        .toString()
                                                        .getBytes(StandardCharsets.UTF_8))
                                        : !path.equals("/readiness")
                                                ? HttpDoor.said(
                                                        404,
                                                        "/readiness and /status are answered here")
                                                : new Host.Answer(
                                                        front.ready() ? 200 : 503,
                                                        "{}".getBytes(StandardCharsets.UTF_8))));
        host.listen(settings.front(), Host.Form.LINES, h -> front.accept());
        host.loop().execute(front::start);
        log.info(
                "start",
                "program",
                "data-plane",
                "name",
                settings.name(),
                "zone",
                settings.zone(),
                "seeds",
                settings.seeds());
    }

    private static void again(Front front, Reading reading, Log log) {
        try {
            front.settings(reading.read());
            log.info("settings", "seeds", front.settings.seeds());
        } catch (Settings.Bad bad) {
            log.warn("settings", "kept", "the former ones", "fault", bad.getMessage());
        }
    }
}
