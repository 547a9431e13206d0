package dillfront.bootstrap;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.NettyEnvironment;
import dillfront.common.storage.KeyValueStore;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletionException;

/**
 * Both programs for a moment in one process, with a configuration, a server that is not there, and
 * a client that is told so. The build runs this and keeps the classes that were loaded, so that a
 * process that starts again serves sooner.
 */
public final class WarmUp {

    private static final int TIMEOUT_MS = 5_000;

    private WarmUp() {}

    /** Runs both programs once and exercises the paths that a first client takes. */
    public static void run()
            throws IOException,
                    NodeSettings.InvalidSettingsException,
                    KeyValueStore.StorageException {
        Path folder = Files.createTempDirectory("rehearsal");
        int[] ports = new int[4];
        for (int i = 0; i < ports.length; i++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                ports[i] = socket.getLocalPort();
            }
        }
        String controlAddress = "127.0.0.1:" + ports[0];
        JsonObject common =
                Json.object()
                        .add("ip_address", "127.0.0.1")
                        .add("zone_name", "a")
                        .add("region", "a")
                        .add("zones", Json.object().add("a", "a"))
                        .add("internal_port_range", Json.array(ports[1], ports[1]))
                        .add("seed_addresses", Json.array().add(controlAddress))
                        .add("first_start", true)
                        .add("bounds", Json.object())
                        .add("cloud_api", Json.object().add("address", "127.0.0.1:1"));
        Path controlPlaneFile = folder.resolve("core.json");
        Files.writeString(
                controlPlaneFile,
                new JsonObject(common)
                        .add("node_name", "core")
                        .add("data_directory", folder.resolve("data").toString())
                        .add(
                                "listen_addresses",
                                Json.object().add("control_address", controlAddress))
                        .toString());
        Path dataPlaneFile = folder.resolve("front.json");
        Files.writeString(
                dataPlaneFile,
                new JsonObject(common)
                        .add("node_name", "front")
                        .add(
                                "listen_addresses",
                                Json.object()
                                        .add("front_address", "127.0.0.1:" + ports[2])
                                        .add("readiness_address", "127.0.0.1:" + ports[3]))
                        .toString());
        ControlPlaneProgram.run(() -> NodeSettings.read(controlPlaneFile));
        DataPlaneProgram.run(() -> NodeSettings.read(dataPlaneFile));
        NettyEnvironment environment = new NettyEnvironment(1);
        JsonObject configuration =
                Json.object()
                        .add("revision_number", 1)
                        .add(
                                "routes",
                                Json.array()
                                        .add(
                                                Json.object()
                                                        .add("name", "r")
                                                        .add("host_name", "h")
                                                        .add("path_prefix", "/")
                                                        .add("route_kind", "primary")
                                                        .add("timeout_ms", 300)
                                                        .add("priority", 1)
                                                        .add("service", "s")))
                        .add(
                                "services",
                                Json.array()
                                        .add(
                                                Json.object()
                                                        .add("name", "s")
                                                        .add("connection_limit", 20)));
        post(environment, controlAddress, "/Configuration.Replace", configuration);
        JsonObject heartbeat =
                Json.object()
                        .add("service", "s")
                        .add("address", "127.0.0.1:1")
                        .add("zone_name", "a")
                        .add("state", "ready")
                        .add("database_role", "primary")
                        .add("call_sequence", 1);
        post(environment, controlAddress, "/Instances.Heartbeat/i-1", heartbeat);
        post(environment, "127.0.0.1:" + ports[3], "/readiness", Json.object());
        for (int attempts = 0; attempts < 50; attempts++) {
            String reply = runClient(ports[2]);
            if (reply.contains("ERROR BUSY")) {
                break;
            }
        }
    }

    private static void post(
            NettyEnvironment environment, String address, String path, JsonObject body) {
        try {
            environment.post(address, path, body.toString(), Map.of(), TIMEOUT_MS).join();
        } catch (CompletionException e) {
            System.err.println("rehearsal: " + path + ": " + e.getCause());
        }
    }

    private static String runClient(int port) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream()
                    .write(
                            ("CONNECT h w\r\nQUERY 1 SET a b\r\nQUERY 2 PREPARE p READ q\r\nQUERY 3 EXECUTE p k\r\n"
                                            + "QUERY 4 BEGIN READ\r\nQUERY 5 ROLLBACK\r\nQUERY 6 WRITE k v\r\nGOODBYE\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
