package dillfront.simulation;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import dillfront.common.environment.Environment.HttpResponse;
import dillfront.common.environment.NettyEnvironment;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

/**
 * Two versions at once, with real processes: three control processes and two data planes, of a
 * build of an earlier revision and of the present one. The control processes are replaced one after
 * the other on their disks, each version holds the lease once and carries out a failover, and the
 * configuration changes in between.
 *
 * <p>The last line counts processes of either version that served beside the other (mixed),
 * acknowledged writes and configurations that are missing in the end (lost), and disks that a
 * process did not come back with (unread).
 */
public final class UpgradeMeasure {

    private static final int CONTROL_PORT = 18_102;
    private static final int INTERNAL_PORT = 17_500;
    private static final int CLIENT_PORT = 18_110;
    private static final int READINESS_PORT = 18_120;
    private static final int PLATFORM_PORT = 18_130;
    private static final int SERVER_PORT = 18_140;
    private static final int SERVERS = 4;
    private static final long HEARTBEAT_MS = 400;
    private static final int CALL_TIMEOUT_MS = 2_000;
    private static final long STEP_TIMEOUT_MS = 20_000;
    private static final String SERVICE = "accounts";

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(CALL_TIMEOUT_MS)).build();
    private final NettyEnvironment environment = new NettyEnvironment(1);
    private final StubDatabaseServer.Group group = new StubDatabaseServer.Group(SERVICE);
    private final List<Process> dataPlanes = new ArrayList<>();
    private final String[] earlier;
    private final String[] present;
    private final ControlPlaneProcesses controls;
    private final List<String> acknowledged = new ArrayList<>();
    private long revision;
    private int mixed;
    private int lost;
    private int unread;

    private UpgradeMeasure(Path earlierJar, Path presentJar) throws IOException {
        earlier = command(earlierJar);
        present = command(presentJar);
        controls = new ControlPlaneProcesses("upgrade", CONTROL_PORT, INTERNAL_PORT, earlier);
    }

    private static String[] command(Path jar) {
        return new String[] {"-Xmx64m", "-XX:+UseSerialGC", "-jar", jar.toString()};
    }

    /** The arguments are the jars of the earlier and of the present revision. */
    public static void main(String[] args) throws Exception {
        UpgradeMeasure measure = new UpgradeMeasure(Path.of(args[0]), Path.of(args[1]));
        try {
            measure.run();
        } catch (AssertionError failed) {
            // The event loop's thread would go on for ever.
            System.out.println(failed.getMessage());
            measure.close();
            System.exit(1);
        }
        measure.close();
        System.out.println(
                "upgrade: mixed="
                        + measure.mixed
                        + " lost="
                        + measure.lost
                        + " unread="
                        + measure.unread);
        System.exit(measure.lost + measure.unread);
    }

    private void run() throws Exception {
        startStubs();
        controls.platformAddress("127.0.0.1:" + PLATFORM_PORT);
        controls.start(true);
        startDataPlane(0, earlier);
        startDataPlane(1, present);
        await("all control processes run", () -> holders() == 1);
        changeConfiguration();
        write();
        replace(nonHolder(), present);
        failOver("with the earlier version as lease holder");
        replace(holder(), present);
        await("another holds the lease", () -> holders() == 1);
        replaceRemaining();
        await("the present version holds the lease", () -> holders() == 1);
        downgrade(nonHolder());
        failOver("with the present version as lease holder");
        mixed += dataPlanes.size();
        check();
    }

    // ---- the steps

    private void replace(int index, String... jvmArguments) throws Exception {
        controls.kill(index, false);
        controls.jvmArguments(index, jvmArguments);
        controls.start(index, false);
        String members = status((index + 1) % ControlPlaneProcesses.IPS.length);
        try {
            await("it is back", () -> status(index).contains("version=" + revision + " "));
        } catch (AssertionError notBack) {
            unread++;
            System.out.println(notBack.getMessage() + "; members were " + members);
            return;
        }
        mixed++;
        changeConfiguration();
        write();
    }

    private void replaceRemaining() throws Exception {
        for (int i = 0; i < ControlPlaneProcesses.IPS.length; i++) {
            if (!isPresent(i)) {
                replace(i, present);
            }
        }
    }

    /** One process of the earlier version beside a lease holder of the present one. */
    private void downgrade(int index) throws Exception {
        replace(index, earlier);
    }

    private boolean isPresent(int index) {
        return List.of(present).equals(controls.jvmArgumentsOf(index));
    }

    private void failOver(String when) throws Exception {
        StubDatabaseServer primary = group.primary();
        environment.eventLoop().submit(primary::fail).get();
        await(
                "another server is the primary " + when,
                () -> {
                    StubDatabaseServer current = group.primary();
                    return current != null
                            && status(0).contains(SERVICE + " primary=" + current.id())
                            && !status(0).contains("moving");
                });
        write();
        changeConfiguration();
        // Else it would be waited for in the next one, as it may hold what no other log does.
        environment.eventLoop().submit(primary::restart).get();
    }

    private void changeConfiguration() throws Exception {
        revision++;
        String body = configuration(revision);
        await(
                "revision " + revision + " is acknowledged",
                () -> call("POST", "/Configuration.Replace", body) == 200);
        await(
                "revision " + revision + " is everywhere",
                () -> {
                    for (int i = 0; i < ControlPlaneProcesses.IPS.length; i++) {
                        if (!status(i).contains("version=" + revision + " ")) {
                            return false;
                        }
                    }
                    return true;
                });
    }

    private static String configuration(long revision) {
        JsonArray routes = Json.array().asArray();
        for (int i = 0; i < 30; i++) {
            routes.add(
                    Json.object()
                            .add("name", "r" + i)
                            .add("host_name", "h" + i)
                            .add("path_prefix", "/")
                            .add("route_kind", "primary")
                            .add("timeout_ms", 3_000 + revision)
                            .add("target_latency_ms", 300)
                            .add("priority", 1)
                            .add("service", SERVICE));
        }
        return Json.object()
                .add("revision_number", revision)
                .add("routes", routes)
                .add(
                        "services",
                        Json.array()
                                .add(
                                        Json.object()
                                                .add("name", SERVICE)
                                                .add("connection_limit", 60)
                                                .add("synchronous_replicas", 1)))
                .toString();
    }

    /** A write through each data plane is acknowledged. */
    private void write() throws Exception {
        for (int i = 0; i < dataPlanes.size(); i++) {
            int port = CLIENT_PORT + i;
            String key = "k" + acknowledged.size();
            await("a write at data plane " + i + " is acknowledged", () -> write(port, key));
            acknowledged.add(key);
        }
    }

    private static boolean write(int port, String key) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), CALL_TIMEOUT_MS);
            socket.setSoTimeout(CALL_TIMEOUT_MS * 2);
            String lines = "CONNECT h1 measure\r\nQUERY 1 WRITE " + key + " v\r\nGOODBYE\r\n";
            socket.getOutputStream().write(lines.getBytes(StandardCharsets.US_ASCII));
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return answer.contains("COMPLETE");
        } catch (IOException notReached) {
            return false;
        }
    }

    private void check() throws Exception {
        for (String key : acknowledged) {
            lost += group.written.contains(key) ? 0 : 1;
        }
        for (int i = 0; i < ControlPlaneProcesses.IPS.length; i++) {
            lost += status(i).contains("version=" + revision + " ") ? 0 : 1;
        }
    }

    // ---- processes and stand-ins

    private void startStubs() throws IOException {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < ControlPlaneProcesses.IPS.length; i++) {
            addresses.add(controls.controlAddress(i));
        }
        environment.serveHttp(
                "127.0.0.1:" + PLATFORM_PORT,
                (method, path, body) -> CompletableFuture.completedFuture(promote(body)));
        for (int i = 0; i < SERVERS; i++) {
            new StubDatabaseServer(
                    environment,
                    group,
                    "server-" + i,
                    "127.0.0.1:" + (SERVER_PORT + i),
                    addresses,
                    HEARTBEAT_MS);
        }
    }

    private HttpResponse promote(byte[] body) {
        JsonObject call = Json.parse(new String(body, StandardCharsets.UTF_8)).asObject();
        boolean runs = group.promote(call.getString("instance_id", ""));
        return new HttpResponse(runs ? 200 : 409, "{}".getBytes(StandardCharsets.UTF_8));
    }

    private void startDataPlane(int number, String... jvmArguments) throws IOException {
        JsonArray seeds = Json.array().asArray();
        for (int i = 0; i < ControlPlaneProcesses.IPS.length; i++) {
            seeds.add(controls.controlAddress(i));
        }
        JsonObject listen =
                Json.object()
                        .add("front_address", "127.0.0.1:" + (CLIENT_PORT + number))
                        .add("readiness_address", "127.0.0.1:" + (READINESS_PORT + number));
        JsonObject settings =
                Json.object()
                        .add("node_name", "front-" + number)
                        .add("ip_address", "127.0.0.1")
                        .add("zone_name", "a")
                        .add("region", "a")
                        .add("zones", Json.object().add("a", "a"))
                        .add("listen_addresses", listen)
                        .add("internal_port_range", Json.array(INTERNAL_PORT, INTERNAL_PORT + 9))
                        .add("seed_addresses", seeds)
                        .add("first_start", true)
                        .add("bounds", Json.object())
                        .add("heartbeat_interval_ms", HEARTBEAT_MS)
                        .add("cloud_api", Json.NULL);
        Path file = controls.folder().resolve("front-" + number + ".json");
        Files.writeString(file, settings.toString());
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(jvmArguments));
        command.add("data-plane");
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("DILLFRONT_SETTINGS", file.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(controls.folder().resolve("front-" + number + ".log").toFile());
        dataPlanes.add(builder.start());
    }

    private void close() throws IOException, InterruptedException {
        for (Process process : dataPlanes) {
            process.destroyForcibly().waitFor();
        }
        controls.close();
    }

    // ---- calls

    private int call(String method, String path, String body) throws InterruptedException {
        for (int i = 0; i < ControlPlaneProcesses.IPS.length; i++) {
            int status = call(i, method, path, body);
            if (status == 200) {
                return status;
            }
        }
        return 0;
    }

    private int call(int index, String method, String path, String body)
            throws InterruptedException {
        try {
            return http.send(
                            HttpRequest.newBuilder(
                                            URI.create(
                                                    "http://"
                                                            + controls.controlAddress(index)
                                                            + path))
                                    .timeout(Duration.ofMillis(CALL_TIMEOUT_MS))
                                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                                    .build(),
                            java.net.http.HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (IOException notReached) {
            return 0;
        }
    }

    private String status(int index) throws InterruptedException {
        try {
            String body =
                    http.send(
                                    HttpRequest.newBuilder(
                                                    URI.create(
                                                            "http://"
                                                                    + controls.controlAddress(index)
                                                                    + "/status"))
                                            .timeout(Duration.ofMillis(CALL_TIMEOUT_MS))
                                            .build(),
                                    java.net.http.HttpResponse.BodyHandlers.ofString())
                            .body();
            return Json.parse(body).asObject().getString("status", "");
        } catch (IOException notReached) {
            return "";
        }
    }

    private boolean holdsLease(int index) throws InterruptedException {
        return status(index).contains(" held promised=");
    }

    private int holders() throws InterruptedException {
        int count = 0;
        for (int i = 0; i < ControlPlaneProcesses.IPS.length; i++) {
            count += holdsLease(i) ? 1 : 0;
        }
        return count;
    }

    private int holder() throws InterruptedException {
        for (int i = 0; i < ControlPlaneProcesses.IPS.length; i++) {
            if (holdsLease(i)) {
                return i;
            }
        }
        throw new AssertionError("no process holds the lease");
    }

    private int nonHolder() throws InterruptedException {
        return (holder() + 1) % ControlPlaneProcesses.IPS.length;
    }

    private void await(String description, Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + STEP_TIMEOUT_MS * 1_000_000;
        while (!condition.call()) {
            if (System.nanoTime() > deadlineNanos) {
                StringBuilder text = new StringBuilder("not within the time: " + description);
                for (int i = 0; i < ControlPlaneProcesses.IPS.length; i++) {
                    text.append('\n')
                            .append(controls.controlAddress(i))
                            .append(' ')
                            .append(status(i));
                }
                throw new AssertionError(text);
            }
            Thread.sleep(20);
        }
    }
}
