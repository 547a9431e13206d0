package dillfront.bootstrap;

import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.config.NodeSettings.InvalidSettingsException;
import dillfront.common.environment.Environment;
import dillfront.common.environment.NettyEnvironment;
import dillfront.common.environment.RingLog;
import dillfront.common.logging.Log;
import dillfront.common.storage.KeyValueStore;
import dillfront.controlplane.ControlNode;
import dillfront.router.SignalHandlers;
import java.io.IOException;
import java.nio.file.Path;

/** The program that knows the servers, holds the configuration, and decides on failovers. */
public final class ControlPlaneProgram {

    /** The name of the program in its folder, which no other program may use. */
    private static final String STORE_OWNER = "control-plane";

    private ControlPlaneProgram() {}

    /**
     * Starts a control process; it runs until SIGTERM.
     *
     * @throws InvalidSettingsException with the file, the place and the fault
     * @throws IOException where an address cannot be listened on
     * @throws KeyValueStore.StorageException where the data directory cannot be used
     */
    public static void run(SettingsSource source)
            throws InvalidSettingsException, IOException, KeyValueStore.StorageException {
        NodeSettings settings = source.read();
        Log log = new Log(System.err);
        if (settings.controlAddress() == null || settings.dataDirectory() == null) {
            throw new InvalidSettingsException(
                    "no control_address or no data_directory, which a control plane needs");
        }
        KeyValueStore store = KeyValueStore.open(Path.of(settings.dataDirectory()), STORE_OWNER);
        NettyEnvironment environment =
                new NettyEnvironment(
                        System.nanoTime() ^ settings.nodeName().hashCode(),
                        new RingLog(System.err, settings.nodeName()));
        ControlNode node =
                new ControlNode(environment, settings, new FileStateStore(store, environment, log));
        handleSignals(node, environment, source, log);
        environment.listen(
                settings.internalAddressOf(settings.ipAddress()),
                Environment.Framing.FRAMES,
                accepted -> node.accept());
        environment.serveHttp(settings.controlAddress(), node::handle);
        environment.eventLoop().execute(() -> start(node, log));
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

    private static void start(ControlNode node, Log log) {
        try {
            node.start();
        } catch (Configuration.InvalidConfigurationException e) {
            log.warn("disk", "fault", e.getMessage());
            Runtime.getRuntime().halt(1);
        }
    }

    private static void handleSignals(
            ControlNode node, NettyEnvironment environment, SettingsSource source, Log log) {
        SignalHandlers.register(
                "TERM",
                () ->
                        environment
                                .eventLoop()
                                .execute(() -> node.shutDown(() -> Runtime.getRuntime().halt(0))),
                log);
        SignalHandlers.register("HUP", () -> reloadSettings(source, node, environment, log), log);
        SignalHandlers.register(
                "USR2",
                () ->
                        environment
                                .eventLoop()
                                .execute(() -> log.info("status", "line", node.status())),
                log);
    }

    /**
     * The seeds may be others now; all else waits for the next start. A file that cannot be used
     * changes nothing.
     */
    private static void reloadSettings(
            SettingsSource source, ControlNode node, NettyEnvironment environment, Log log) {
        try {
            NodeSettings next = source.read();
            environment.eventLoop().execute(() -> node.addSeeds(next.seedIps()));
            log.info("settings", "seeds", next.seedAddresses());
        } catch (InvalidSettingsException e) {
            log.warn("settings", "fault", e.getMessage());
        }
    }
}
