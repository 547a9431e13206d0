package dillfront.benchmark;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * A router as a process of its own, started as the deployment starts it, and what it has used by
 * the system's count.
 */
final class RouterProcess implements AutoCloseable {

    private static final long TICK_MICROS = 10_000;

    final int port;
    private final Process process;
    private final Path config;

    /**
     * @param command what starts it, from this folder, with LB_CONFIG set
     */
    RouterProcess(List<String> command, Path folder, StubBackends backends, double cores)
            throws IOException, InterruptedException {
        port = freePort();
        config = Files.createTempFile("dillfront", ".json");
        Files.writeString(config, backends.config(port, cores));
        ProcessBuilder builder = new ProcessBuilder(command).directory(folder.toFile());
        builder.environment().putAll(Map.of("LB_CONFIG", config.toString(), "LB_NAME", "n0"));
        builder.environment().remove("LB_LISTEN");
        builder.environment().remove("LB_DISCOVERY");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        process = builder.start();
        for (int i = 0; i < 2000 && !isListening(); i++) {
            if (!process.isAlive()) {
                throw new IOException("it ended: " + command);
            }
            Thread.sleep(5);
        }
    }

    /** The command line of deploy/balancer.toml for this key. */
    static List<String> deployedCommand(Path folder, String key) throws IOException {
        String line =
                Files.readAllLines(folder.resolve("deploy/balancer.toml")).stream()
                        .filter(l -> l.startsWith(key + " ="))
                        .findFirst()
                        .orElseThrow(() -> new IOException("no " + key + " in " + folder));
        return new ArrayList<>(
                Arrays.asList(
                        "/bin/sh",
                        "-c",
                        line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'))));
    }

    private boolean isListening() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (IOException notYet) {
            return false;
        }
    }

    /** One that nobody listens on now. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Sends the process a signal by its name; 0 where it was sent. */
    int signal(String name) throws IOException, InterruptedException {
        return new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** What all threads of it have used so far, in microseconds. */
    long cpuMicros() throws IOException {
        String[] stat = procStat(Path.of("/proc", Long.toString(process.pid()), "stat"));
        return (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) * TICK_MICROS;
    }

    /** Everything behind the name, which stands in brackets. */
    static String[] procStat(Path statFile) throws IOException {
        String text = Files.readString(statFile, StandardCharsets.ISO_8859_1);
        return text.substring(text.lastIndexOf(')') + 2).split(" ");
    }

    @Override
    public void close() throws IOException {
        process.destroy();
        try {
            process.waitFor();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        Files.deleteIfExists(config);
    }
}
