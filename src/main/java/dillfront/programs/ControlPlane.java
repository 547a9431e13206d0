package dillfront.programs;

import dillfront.core.Core;
import dillfront.core.Store;
import dillfront.daemon.Signals;
import dillfront.host.Configuration;
import dillfront.host.Host;
import dillfront.host.NettyHost;
import dillfront.host.Ring;
import dillfront.host.Settings;
import dillfront.log.Log;
import dillfront.memory.Keep;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The program that knows the servers, holds the configuration, and decides who leads. */
public final class ControlPlane {

    private ControlPlane() {}

    /** The disk on a thread of its own, for a write holds up whoever makes it. */
    private record Disk(
            Keep keep, Map<String, String> all, ExecutorService writer, NettyHost host, Log log)
            implements Store {

        @Override
        public CompletableFuture<Void> put(Map<String, String> texts) {
            CompletableFuture<Void> done = new CompletableFuture<>();
            writer.execute(
                    () -> {
                        try {
                            keep.put(texts);
                            host.loop().execute(() -> done.complete(null));
                        } catch (Keep.Broken | IllegalArgumentException bad) {
                            host.loop()
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
    public static void run(DataPlane.Reading reading)
            throws Settings.Bad, IOException, Keep.Broken {
        Settings settings = reading.read();
        Log log = new Log(System.err);
        if (settings.control() == null || settings.folder() == null) {
            throw new Settings.Bad(
                    "no control_address or no data_directory, which a control plane needs");
        }
        Keep keep = Keep.open(Path.of(settings.folder()), "control-plane");
        Map<String, String> all = keep.all();
        if (keep.damaged()) {
            // What was promised may be gone with the damaged part: as with an empty disk, others
            // are asked first.
            log.warn("disk", "fault", "damaged; what it held is not relied on");
            all = Map.of();
        }
        NettyHost host =
                new NettyHost(
                        System.nanoTime() ^ settings.name().hashCode(),
                        new Ring(System.err, settings.name()));
        ExecutorService writer =
                Executors.newSingleThreadExecutor(
                        run -> {
                            Thread thread = new Thread(run, "disk");
                            thread.setDaemon(true);
                            return thread;
                        });
        Core core = new Core(host, settings, new Disk(keep, all, writer, host, log));
        Signals.on(
                "TERM",
                () -> host.loop().execute(() -> core.leave(() -> Runtime.getRuntime().halt(0))),
                log);
        Signals.on("HUP", () -> reread(reading, core, host, log), log);
        Signals.on(
                "USR2",
                () -> host.loop().execute(() -> log.info("status", "line", core.status())),
                log);
        host.listen(settings.innerOf(settings.ip()), Host.Form.FRAMES, h -> core.accept());
        host.serve(settings.control(), core::call);
        host.loop()
                .execute(
                        () -> {
                            try {
                                core.start();
                            } catch (Configuration.Invalid bad) {
                                log.warn("disk", "fault", bad.getMessage());
                                Runtime.getRuntime().halt(1);
                            }
                        });
        log.info(
                "start",
                "program",
                "control-plane",
                "name",
                settings.name(),
                "zone",
                settings.zone(),
                "seeds",
                settings.seeds());
    }

    /**
     * Seeds may be others now; all else waits for the next start. A file that cannot be used
     * changes nothing.
     */
    private static void reread(DataPlane.Reading reading, Core core, NettyHost host, Log log) {
        try {
            Settings next = reading.read();
            host.loop().execute(() -> core.seeds(next.seedIps()));
            log.info("settings", "seeds", next.seeds());
        } catch (Settings.Bad bad) {
            log.warn("settings", "fault", bad.getMessage());
        }
    }
}
