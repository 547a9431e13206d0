package dillfront.simulation;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Runs three real control-plane processes on loopback for a measurement: starts them, reads their
 * resource usage from the operating system, and stops them.
 */
final class ControlProcesses {

    static final String[] IPS = {"127.0.0.2", "127.0.0.3", "127.0.0.4"};
    static final long BEAT_MS = 1_200;

    private final Process[] processes = new Process[IPS.length];
    private final Path folder;
    private final int controlPort;
    private final int innerPort;
    private final List<List<String>> java = new ArrayList<>();
    private String platform = "127.0.0.1:1";

    /**
     * @param java the arguments of the JVM, including the program
     */
    ControlProcesses(String measure, int controlPort, int innerPort, String... java)
            throws IOException {
        folder = Files.createTempDirectory(measure);
        this.controlPort = controlPort;
        this.innerPort = innerPort;
        for (int i = 0; i < IPS.length; i++) {
            this.java.add(List.of(java));
        }
    }

    /** Sets the JVM arguments of one process for its next starts. */
    void java(int which, String... command) {
        java.set(which, List.of(command));
    }

    /** Returns the JVM arguments of one process for its last or next start. */
    List<String> javaOf(int which) {
        return java.get(which);
    }

    /** Sets the address of the cloud platform for processes that start from now on. */
    void platform(String address) {
        platform = address;
    }

    Path folder() {
        return folder;
    }

    String control(int of) {
        return IPS[of % IPS.length] + ":" + controlPort;
    }

    String inner(int of) {
        return IPS[of % IPS.length] + ":" + innerPort;
    }

    void start(boolean first) throws IOException {
        for (int i = 0; i < IPS.length; i++) {
            start(i, first);
        }
    }

    void start(int which, boolean first) throws IOException {
        String ip = IPS[which];
        JsonArray seeds = Json.array().asArray();
        for (int i = 0; i < IPS.length; i++) {
            seeds.add(control(i));
        }
        Path data = Files.createDirectories(data(which));
        JsonObject settings =
                Json.object()
                        .add("node_name", "core-" + ip)
                        .add("ip_address", ip)
                        .add("zone_name", ip)
                        .add("region", ip)
                        .add("zones", Json.object().add(ip, ip))
                        .add(
                                "listen_addresses",
                                Json.object().add("control_address", control(which)))
                        .add("internal_port_range", Json.array(innerPort, innerPort + 9))
                        .add("seed_addresses", seeds)
                        .add("first_start", first)
                        .add("data_directory", data.toString())
                        .add("tolerated_losses", Json.object().add("machines", 1))
                        .add("heartbeat_interval_ms", BEAT_MS)
                        .add("bounds", Json.object())
                        .add("cloud_api", Json.object().add("address", platform));
        Path file = folder.resolve(ip + ".json");
        Files.writeString(file, settings.toString());
        List<String> line = new ArrayList<>();
        line.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        line.addAll(java.get(which));
        line.add("control-plane");
        ProcessBuilder start = new ProcessBuilder(line);
        start.environment().put("DILLFRONT_SETTINGS", file.toString());
        start.redirectErrorStream(true).redirectOutput(folder.resolve(ip + ".log").toFile());
        processes[which] = start.start();
    }

    private Path data(int which) {
        return folder.resolve(IPS[which]);
    }

    /** Kills a process and deletes its data directory if requested. */
    void kill(int which, boolean emptied) throws IOException, InterruptedException {
        processes[which].destroyForcibly().waitFor();
        if (emptied) {
            delete(data(which));
        }
    }

    long cpuNanos(int of) {
        return processes[of].toHandle().info().totalCpuDuration().orElse(Duration.ZERO).toNanos();
    }

    /** Returns the CPU time of all processes. */
    long cpuNanos() {
        long all = 0;
        for (int i = 0; i < IPS.length; i++) {
            all += cpuNanos(i);
        }
        return all;
    }

    private long of(int which, String file, String name) throws IOException {
        try (Stream<String> lines =
                Files.lines(Path.of("/proc", Long.toString(processes[which].pid()), file))) {
            return lines.filter(l -> l.startsWith(name + ":"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                    .sum();
        }
    }

    /** Returns an I/O counter of the process as the operating system reports it. */
    long io(int of, String name) throws IOException {
        return of(of, "io", name);
    }

    double peakMb(int of) throws IOException {
        return of(of, "status", "VmHWM") / 1_024.0;
    }

    void end() throws IOException, InterruptedException {
        for (Process p : processes) {
            if (p != null) {
                p.destroyForcibly().waitFor();
            }
        }
        delete(folder);
    }

    private static void delete(Path of) throws IOException {
        try (Stream<Path> all = Files.walk(of)) {
            for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(one);
            }
        }
    }
}
