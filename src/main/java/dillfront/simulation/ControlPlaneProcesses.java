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
 * Three real control processes on loopback, for a measure: their start, what the system counts of
 * them, and their end.
 */
final class ControlPlaneProcesses {

    static final String[] IPS = {"127.0.0.2", "127.0.0.3", "127.0.0.4"};
    static final long HEARTBEAT_MS = 1_200;

    private final Process[] processes = new Process[IPS.length];
    private final Path folder;
    private final int controlPort;
    private final int internalPort;
    private final List<List<String>> jvmArguments = new ArrayList<>();
    private String platformAddress = "127.0.0.1:1";

    /**
     * @param jvmArguments what the JVM is started with, and the program
     */
    ControlPlaneProcesses(String name, int controlPort, int internalPort, String... jvmArguments)
            throws IOException {
        folder = Files.createTempDirectory(name);
        this.controlPort = controlPort;
        this.internalPort = internalPort;
        for (int i = 0; i < IPS.length; i++) {
            this.jvmArguments.add(List.of(jvmArguments));
        }
    }

    /** This one is started so from now on. */
    void jvmArguments(int index, String... command) {
        jvmArguments.set(index, List.of(command));
    }

    /** How this one was started last, or is next. */
    List<String> jvmArgumentsOf(int index) {
        return jvmArguments.get(index);
    }

    /** Where the platform is, for those that start from now on. */
    void platformAddress(String address) {
        platformAddress = address;
    }

    Path folder() {
        return folder;
    }

    String controlAddress(int index) {
        return IPS[index % IPS.length] + ":" + controlPort;
    }

    String internalAddress(int index) {
        return IPS[index % IPS.length] + ":" + internalPort;
    }

    void start(boolean first) throws IOException {
        for (int i = 0; i < IPS.length; i++) {
            start(i, first);
        }
    }

    void start(int index, boolean first) throws IOException {
        String ip = IPS[index];
        JsonArray seeds = Json.array().asArray();
        for (int i = 0; i < IPS.length; i++) {
            seeds.add(controlAddress(i));
        }
        Path data = Files.createDirectories(data(index));
        JsonObject settings =
                Json.object()
                        .add("node_name", "core-" + ip)
                        .add("ip_address", ip)
                        .add("zone_name", ip)
                        .add("region", ip)
                        .add("zones", Json.object().add(ip, ip))
                        .add(
                                "listen_addresses",
                                Json.object().add("control_address", controlAddress(index)))
                        .add("internal_port_range", Json.array(internalPort, internalPort + 9))
                        .add("seed_addresses", seeds)
                        .add("first_start", first)
                        .add("data_directory", data.toString())
                        .add("tolerated_losses", Json.object().add("machines", 1))
                        .add("heartbeat_interval_ms", HEARTBEAT_MS)
                        .add("bounds", Json.object())
                        .add("cloud_api", Json.object().add("address", platformAddress));
        Path file = folder.resolve(ip + ".json");
        Files.writeString(file, settings.toString());
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmArguments.get(index));
        command.add("control-plane");
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("DILLFRONT_SETTINGS", file.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve(ip + ".log").toFile());
        processes[index] = builder.start();
    }

    private Path data(int index) {
        return folder.resolve(IPS[index]);
    }

    /** Killed; and its disk emptied, if so. */
    void kill(int index, boolean deleteData) throws IOException, InterruptedException {
        processes[index].destroyForcibly().waitFor();
        if (deleteData) {
            delete(data(index));
        }
    }

    long cpuNanos(int index) {
        return processes[index]
                .toHandle()
                .info()
                .totalCpuDuration()
                .orElse(Duration.ZERO)
                .toNanos();
    }

    /** Of all of them. */
    long cpuNanos() {
        long total = 0;
        for (int i = 0; i < IPS.length; i++) {
            total += cpuNanos(i);
        }
        return total;
    }

    private long readProcFile(int index, String file, String key) throws IOException {
        try (Stream<String> lines =
                Files.lines(Path.of("/proc", Long.toString(processes[index].pid()), file))) {
            return lines.filter(line -> line.startsWith(key + ":"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .sum();
        }
    }

    /** What it read and wrote, as the system counts it. */
    long ioCounter(int index, String name) throws IOException {
        return readProcFile(index, "io", name);
    }

    double peakMb(int index) throws IOException {
        return readProcFile(index, "status", "VmHWM") / 1_024.0;
    }

    void close() throws IOException, InterruptedException {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly().waitFor();
            }
        }
        delete(folder);
    }

    private static void delete(Path root) throws IOException {
        try (Stream<Path> paths = Files.walk(root)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }
}
