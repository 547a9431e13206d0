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

/** The control plane: tracks the servers, stores the configuration and decides on failovers. */
public final class ControlPlaneProgram {

    /** Owner of the data directory; a directory of another owner is refused. */
    private static final String STORE_OWNER = "control-plane";

    private ControlPlaneProgram() {}

    /**
     * Starts a control process, which runs until SIGTERM.
     *
     * @throws InvalidSettingsException with the file, the place and the error
     * @throws IOException if the process cannot listen on an address
     * @throws KeyValueStore.StorageException if the data directory cannot be used
     */
    public static void run(SettingsSource source)
            throws InvalidSettingsException, IOException, KeyValueStore.StorageException {
        NodeSettings settings = source.read();
        Log log = new Log(System.err);
        if (settings.controlAddress() == null || settings.dataDirectory() == null) {
            throw new InvalidSettingsException(
                    "control_address or data_directory is missing, which a control plane requires");
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
     * Adds new seeds from the settings file; other settings take effect at the next start. An
     * invalid file changes nothing.
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
