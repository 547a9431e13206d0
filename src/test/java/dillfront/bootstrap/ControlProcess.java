package dillfront.bootstrap;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One real control process on loopback, with an address and a folder of its own. */
final class ControlProcess {

    /** What came back: 0 where no whole answer did. */
    record Response(int status, String body) {}

    private static final Response NONE = new Response(0, "");
    private static final Set<Integer> ALLOCATED_PORTS = new HashSet<>();

    final String ip;
    private final Path folder;
    private final int controlPort;
    private final int internalPort;
    private final String platformAddress;
    private Process process;
    private int starts;

    ControlProcess(String ip, Path folder, int[] ports, String platformAddress) {
        this.ip = ip;
        this.folder = folder.resolve(ip);
        controlPort = ports[0];
        internalPort = ports[1];
        this.platformAddress = platformAddress;
    }

    /** Two ports that are free, and that no other test was given: some run beside each other. */
    static synchronized int[] allocatePorts() throws IOException {
        while (true) {
            try (ServerSocket first = new ServerSocket(0, 1, InetAddress.getByName("127.0.77.1"));
                    ServerSocket second =
                            new ServerSocket(0, 1, InetAddress.getByName("127.0.77.1"))) {
                if (ALLOCATED_PORTS.add(first.getLocalPort())
                        & ALLOCATED_PORTS.add(second.getLocalPort())) {
                    return new int[] {first.getLocalPort(), second.getLocalPort()};
                }
            }
        }
    }

    void start(boolean firstStart, List<ControlProcess> seeds) throws IOException {
        Files.createDirectories(folder.resolve("data"));
        JsonArray seedAddresses = Json.array().asArray();
        seeds.forEach(seed -> seedAddresses.add(seed.ip + ":" + controlPort));
        JsonObject settings =
                Json.object()
                        .add("node_name", "core-" + ip)
                        .add("ip_address", ip)
                        .add("zone_name", ip)
                        .add("region", "r")
                        .add("zones", Json.object().add(ip, "r"))
                        .add(
                                "listen_addresses",
                                Json.object().add("control_address", ip + ":" + controlPort))
                        .add("internal_port_range", Json.array(internalPort, internalPort + 9))
                        .add("seed_addresses", seedAddresses)
                        .add("first_start", firstStart)
                        .add("data_directory", folder.resolve("data").toString())
                        .add("tolerated_losses", Json.object().add("machines", 1))
                        .add("heartbeat_interval_ms", 300)
                        .add("bounds", Json.object())
                        .add("cloud_api", Json.object().add("address", platformAddress));
        Path file = folder.resolve("node.json");
        Files.writeString(file, settings.toString());
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Djava.net.preferIPv4Stack=true",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "dillfront.cli.Main",
                        "control-plane");
        builder.environment().put("DILLFRONT_SETTINGS", file.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(folder.resolve("log." + ++starts).toFile());
        process = builder.start();
    }

    /**
     * A process that is to stop does so thread by thread, some time after it was told: that is
     * waited for.
     */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        for (long end = System.nanoTime() + 10_000_000_000L;
                name.equals("STOP") && !isStopped(); ) {
            if (System.nanoTime() > end) {
                throw new AssertionError("it does not stop");
            }
            Thread.sleep(1);
        }
    }

    private boolean isStopped() throws IOException {
        try (Stream<Path> threads = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
            for (Path thread : threads.toList()) {
                String stat = Files.readString(thread.resolve("stat"));
                // Behind the name, which may hold anything: the state.
                if (stat.charAt(stat.lastIndexOf(')') + 2) != 'T') {
                    return false;
                }
            }
        }
        return true;
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Its disk is lost. */
    void deleteData() throws IOException {
        try (Stream<Path> files = Files.walk(folder.resolve("data"))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(new InetSocketAddress(InetAddress.getByName(ip), controlPort), 1_000);
            socket.setSoTimeout(2_500);
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    static byte[] request(String method, String path, String body, boolean last) {
        return (method
                        + " "
                        + path
                        + " HTTP/1.1\r\nHost: control\r\n"
                        + (last ? "Connection: close\r\n" : "")
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    Response send(String method, String path, String body) {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(request(method, path, body, true));
            return receive(socket);
        } catch (IOException e) {
            return NONE;
        }
    }

    /** The next answer on a connection. */
    static Response receive(Socket socket) {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        try {
            while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
                int next = socket.getInputStream().read();
                if (next < 0) {
                    return NONE;
                }
                head.write(next);
            }
            String text = head.toString(StandardCharsets.US_ASCII);
            int length = Integer.parseInt(text.replaceAll("(?is).*content-length: (\\d+).*", "$1"));
            byte[] body = socket.getInputStream().readNBytes(length);
            return body.length < length
                    ? NONE
                    : new Response(
                            Integer.parseInt(text.split(" ")[1]),
                            new String(body, StandardCharsets.UTF_8));
        } catch (IOException | NumberFormatException e) {
            return NONE;
        }
    }

    Response replaceConfiguration(String configuration) {
        return send("POST", "/Configuration.Replace", configuration);
    }

    Response readConfiguration() {
        return send("GET", "/Configuration.Read", "");
    }

    String status() {
        Response response = send("GET", "/status", "");
        return response.status() == 200
                ? Json.parse(response.body()).asObject().getString("status", "")
                : "";
    }

    /** What it said in this life and before, where something is wrong. */
    String logText() {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= starts; i++) {
            try {
                text.append("---- ")
                        .append(ip)
                        .append(", start ")
                        .append(i)
                        .append('\n')
                        .append(Files.readString(folder.resolve("log." + i)));
            } catch (IOException e) {
                text.append(e);
            }
        }
        return text.toString();
    }
}
