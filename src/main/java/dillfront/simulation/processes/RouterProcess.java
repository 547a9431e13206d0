package dillfront.simulation.processes;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * A router as a process of its own, started, hit by signals and started anew under its name, port
 * and folder.
 */
public final class RouterProcess {

    private static final long TIMEOUT_MS = 30_000;

    private final TestHarness harness;
    private final String name;
    private final InetSocketAddress address;
    private final Path configFile;
    private final List<String> command;
    private final Map<String, String> extraEnvironment;
    private final QueryClient client;
    private Process process;
    private volatile int startCount;
    private volatile boolean isDown = true;

    /** What the present life wrote; a rig's routers say little, and end. */
    private volatile List<String> logLines = List.of();

    RouterProcess(
            TestHarness harness,
            String name,
            InetSocketAddress address,
            Path configFile,
            List<String> command,
            Map<String, String> extraEnvironment) {
        this.harness = harness;
        this.name = name;
        this.address = address;
        this.configFile = configFile;
        this.command = command;
        this.extraEnvironment = extraEnvironment;
        client = new QueryClient(harness, this);
    }

    public String name() {
        return name;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** The process that there is, or was last. */
    public String incarnation() {
        return name + "#" + startCount;
    }

    public QueryClient client() {
        return client;
    }

    /** Its configuration file, to be written anew by whoever changes it. */
    public Path configFile() {
        return configFile;
    }

    public boolean isDown() {
        return isDown;
    }

    public long pid() {
        return process.pid();
    }

    /** Starts the process, and returns at once. */
    public void start() {
        ProcessBuilder processBuilder = new ProcessBuilder(command);
        processBuilder.environment().keySet().removeIf(k -> k.startsWith("LB_"));
        processBuilder
                .environment()
                .putAll(Map.of("LB_CONFIG", configFile.toString(), "LB_NAME", name));
        processBuilder.environment().putAll(extraEnvironment);
        processBuilder.redirectErrorStream(true);
        List<String> captured = Collections.synchronizedList(new ArrayList<>());
        logLines = captured;
        try {
            process = processBuilder.start();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        startCount++;
        isDown = false;
        String incarnation = incarnation();
        harness.run(() -> harness.recordEvent(new Event.Started(incarnation)));
        Process started = process;
        Thread reader =
                new Thread(
                        () -> {
                            try (BufferedReader in =
                                    new BufferedReader(
                                            new InputStreamReader(
                                                    started.getInputStream(),
                                                    StandardCharsets.UTF_8))) {
                                for (String line = in.readLine();
                                        line != null;
                                        line = in.readLine()) {
                                    captured.add(line);
                                }
                            } catch (IOException e) {
                                // It ended in the middle of a line.
                            }
                        },
                        "lines of " + incarnation);
        reader.setDaemon(true);
        reader.start();
    }

    /** What it has logged so far in this life. */
    public List<String> logLines() {
        List<String> captured = logLines;
        synchronized (captured) {
            return List.copyOf(captured);
        }
    }

    /** Waits until the router has written such a line, and fails after the usual time. */
    public void awaitLogLine(String description, Predicate<String> condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (logLines().stream().noneMatch(condition)) {
            if (System.nanoTime() - deadlineNanos > 0
                    || !process.isAlive() && logLines().stream().noneMatch(condition)) {
                throw new IllegalStateException(
                        incarnation() + " never said " + description + "; it said " + logLines());
            }
            TestHarness.sleepBriefly();
        }
    }

    public void awaitServing() {
        awaitLogLine("serving", line -> line.contains(" serving "));
    }

    /** Sends the process a signal by its name. */
    public void sendSignal(String signal) {
        try {
            if (new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                            .start()
                            .waitFor()
                    != 0) {
                throw new IllegalStateException("no " + signal + " to " + incarnation());
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Power is gone: no word, and nothing ends well. */
    public void kill() {
        harness.run(() -> harness.recordEvent(new Event.Ended(incarnation(), true)));
        isDown = true;
        process.destroyForcibly();
        awaitExit();
    }

    /**
     * Told to end; those who deal out clients hear of it by its own line. Returns once it has
     * ended, by itself.
     */
    public void shutDown() {
        sendSignal("TERM");
        awaitLogLine("stopping", l -> l.contains(" stopping "));
        isDown = true;
        awaitExit();
        harness.run(() -> harness.recordEvent(new Event.Ended(incarnation(), false)));
    }

    private void awaitExit() {
        try {
            if (!process.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(
                        incarnation() + " does not end; it said " + logLines());
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    void close() {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            awaitExit();
        }
    }
}
