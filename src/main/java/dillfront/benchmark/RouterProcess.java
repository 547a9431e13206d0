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
 * Runs a router as a separate process, started as in the deployment, and reads its CPU time from
 * the operating system.
 */
final class RouterProcess implements AutoCloseable {

    private static final long TICK_MICROS = 10_000;

    final int port;
    private final Process process;
    private final Path config;

    /**
     * Starts the router and waits up to 10 s until it listens.
     *
     * @param command the command that starts the router in the folder, with LB_CONFIG set
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
                throw new IOException("router process exited: " + command);
            }
            Thread.sleep(5);
        }
    }

    /** Returns the command line of deploy/balancer.toml for a key. */
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

    /** Returns a port without a listener. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Sends a signal by its name and returns the exit status of `kill`, 0 on success. */
    int signal(String name) throws IOException, InterruptedException {
        return new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Returns the CPU time of all threads so far, in microseconds. */
    long cpuMicros() throws IOException {
        String[] stat = procStat(Path.of("/proc", Long.toString(process.pid()), "stat"));
        return (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) * TICK_MICROS;
    }

    /**
     * Returns the fields of a /proc stat file after the command name, which is enclosed in
     * parentheses.
     */
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
