package dillfront.bootstrap;

import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.common.environment.NettyEnvironment;
import dillfront.common.environment.RingLog;
import dillfront.common.logging.Log;
import dillfront.common.storage.Keep;
import dillfront.controlplane.ControlNode;
import dillfront.controlplane.storage.StateStore;
import dillfront.router.Signals;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The program that knows the servers, holds the configuration, and decides who leads. */
public final class ControlPlaneProgram {

    private ControlPlaneProgram() {}

    /** The disk on a thread of its own, for a write holds up whoever makes it. */
    private record DiskStateStore(
            Keep keep,
            Map<String, String> initialState,
            ExecutorService writer,
            NettyEnvironment host,
            Log log)
            implements StateStore {

        @Override
        public CompletableFuture<Void> put(Map<String, String> texts) {
            CompletableFuture<Void> done = new CompletableFuture<>();
            writer.execute(
                    () -> {
                        try {
                            keep.put(texts);
                            host.eventLoop().execute(() -> done.complete(null));
                        } catch (Keep.Broken | IllegalArgumentException bad) {
                            host.eventLoop()
                                    .execute(
                                            () -> {
                                                log.warn("disk", "fault", bad.getMessage());
                                                done.completeExceptionally(bad);
                                            });
                        }
                    });
            return done;
        }
    }

    /**
     * @throws Settings.Bad with the file, the place and the fault
     */
    public static void run(DataPlaneProgram.SettingsSource reading)
            throws NodeSettings.InvalidSettingsException, IOException, Keep.Broken {
        NodeSettings settings = reading.read();
        Log log = new Log(System.err);
        if (settings.controlAddress() == null || settings.dataDirectory() == null) {
            throw new NodeSettings.InvalidSettingsException(
                    "no control_address or no data_directory, which a control plane needs");
        }
        Keep keep = Keep.open(Path.of(settings.dataDirectory()), "control-plane");
        Map<String, String> all = keep.all();
        if (keep.damaged()) {
            // What was promised may be gone with the damaged part: as with an empty disk, others
            // are asked first.
            log.warn("disk", "fault", "damaged; what it held is not relied on");
            all = Map.of();
        }
        NettyEnvironment host =
                new NettyEnvironment(
                        System.nanoTime() ^ settings.nodeName().hashCode(),
                        new RingLog(System.err, settings.nodeName()));
        ExecutorService writer =
                Executors.newSingleThreadExecutor(
                        run -> {
                            Thread thread = new Thread(run, "disk");
                            thread.setDaemon(true);
                            return thread;
                        });
        ControlNode core =
                new ControlNode(host, settings, new DiskStateStore(keep, all, writer, host, log));
        Signals.on(
                "TERM",
                () ->
                        host.eventLoop()
                                .execute(() -> core.shutDown(() -> Runtime.getRuntime().halt(0))),
                log);
        Signals.on("HUP", () -> reread(reading, core, host, log), log);
        Signals.on(
                "USR2",
                () -> host.eventLoop().execute(() -> log.info("status", "line", core.status())),
                log);
        host.listen(
                settings.internalAddressOf(settings.ipAddress()),
                Environment.Framing.FRAMES,
                h -> core.accept());
        host.serveHttp(settings.controlAddress(), core::handle);
        host.eventLoop()
                .execute(
                        () -> {
                            try {
                                core.start();
                            } catch (Configuration.InvalidConfigurationException bad) {
                                log.warn("disk", "fault", bad.getMessage());
                                Runtime.getRuntime().halt(1);
                            }
                        });
        log.info(
                "start",
                "program",
                "control-plane",
                "name",
                settings.nodeName(),
                "zone",
                settings.zoneName(),
                "seeds",
                settings.seedAddresses());
    }

    /**
     * Seeds may be others now; all else waits for the next start. A file that cannot be used
     * changes nothing.
     */
    private static void reread(
            DataPlaneProgram.SettingsSource reading,
            ControlNode core,
            NettyEnvironment host,
            Log log) {
        try {
            NodeSettings next = reading.read();
            host.eventLoop().execute(() -> core.addSeeds(next.seedIps()));
            log.info("settings", "seeds", next.seedAddresses());
        } catch (NodeSettings.InvalidSettingsException bad) {
            log.warn("settings", "fault", bad.getMessage());
        }
    }
}
