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
    record Answer(int status, String body) {}

    private static final Answer NONE = new Answer(0, "");
    private static final Set<Integer> GIVEN = new HashSet<>();

    final String ip;
    private final Path folder;
    private final int control;
    private final int inner;
    private final String platform;
    private Process process;
    private int starts;

    ControlProcess(String ip, Path folder, int[] ports, String platform) {
        this.ip = ip;
        this.folder = folder.resolve(ip);
        control = ports[0];
        inner = ports[1];
        this.platform = platform;
    }

    /** Two ports that are free, and that no other test was given: some run beside each other. */
    static synchronized int[] ports() throws IOException {
        while (true) {
            try (ServerSocket one = new ServerSocket(0, 1, InetAddress.getByName("127.0.77.1"));
                    ServerSocket two =
                            new ServerSocket(0, 1, InetAddress.getByName("127.0.77.1"))) {
                if (GIVEN.add(one.getLocalPort()) & GIVEN.add(two.getLocalPort())) {
                    return new int[] {one.getLocalPort(), two.getLocalPort()};
                }
            }
        }
    }

    void start(boolean first, List<ControlProcess> seeds) throws IOException {
        Files.createDirectories(folder.resolve("data"));
        JsonArray all = Json.array().asArray();
        seeds.forEach(seed -> all.add(seed.ip + ":" + control));
        JsonObject settings =
                Json.object()
                        .add("node_name", "core-" + ip)
                        .add("ip_address", ip)
                        .add("zone_name", ip)
                        .add("region", "r")
                        .add("zones", Json.object().add(ip, "r"))
                        .add(
                                "listen_addresses",
                                Json.object().add("control_address", ip + ":" + control))
                        .add("internal_port_range", Json.array(inner, inner + 9))
                        .add("seed_addresses", all)
                        .add("first_start", first)
                        .add("data_directory", folder.resolve("data").toString())
                        .add("tolerated_losses", Json.object().add("machines", 1))
                        .add("heartbeat_interval_ms", 300)
                        .add("bounds", Json.object())
                        .add("cloud_api", Json.object().add("address", platform));
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
        for (long end = System.nanoTime() + 10_000_000_000L; name.equals("STOP") && !stopped(); ) {
            if (System.nanoTime() > end) {
                throw new AssertionError("it does not stop");
            }
            Thread.sleep(1);
        }
    }

    private boolean stopped() throws IOException {
        try (Stream<Path> threads = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
            for (Path thread : threads.toList()) {
                String is = Files.readString(thread.resolve("stat"));
                // Behind the name, which may hold anything: the state.
                if (is.charAt(is.lastIndexOf(')') + 2) != 'T') {
                    return false;
                }
            }
        }
        return true;
    }

    boolean runs() {
        return process != null && process.isAlive();
    }

    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Its disk is lost. */
    void empty() throws IOException {
        try (Stream<Path> all = Files.walk(folder.resolve("data"))) {
            for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(one);
            }
        }
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(new InetSocketAddress(InetAddress.getByName(ip), control), 1_000);
            socket.setSoTimeout(2_500);
            return socket;
        } catch (IOException refused) {
            socket.close();
            throw refused;
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

    Answer call(String method, String path, String body) {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(request(method, path, body, true));
            return hear(socket);
        } catch (IOException none) {
            return NONE;
        }
    }

    /** The next answer on a connection. */
    static Answer hear(Socket socket) {
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
                    : new Answer(
                            Integer.parseInt(text.split(" ")[1]),
                            new String(body, StandardCharsets.UTF_8));
        } catch (IOException | NumberFormatException none) {
            return NONE;
        }
    }

    Answer replace(String configuration) {
        return call("POST", "/Configuration.Replace", configuration);
    }

    Answer read() {
        return call("GET", "/Configuration.Read", "");
    }

    String status() {
        Answer is = call("GET", "/status", "");
        return is.status() == 200 ? Json.parse(is.body()).asObject().getString("status", "") : "";
    }

    /** What it said in this life and before, where something is wrong. */
    String log() {
        StringBuilder all = new StringBuilder();
        for (int i = 1; i <= starts; i++) {
            try {
                all.append("---- ")
                        .append(ip)
                        .append(", start ")
                        .append(i)
                        .append('\n')
                        .append(Files.readString(folder.resolve("log." + i)));
            } catch (IOException none) {
                all.append(none);
            }
        }
        return all.toString();
    }
}
