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
public final class Router {

    private static final long PATIENCE_MS = 30_000;

    private final Stage stage;
    private final String name;
    private final InetSocketAddress address;
    private final Path config;
    private final List<String> command;
    private final Map<String, String> more;
    private final Caller caller;
    private Process process;
    private volatile int lives;
    private volatile boolean down = true;

    /** What the present life wrote; a rig's routers say little, and end. */
    private volatile List<String> lines = List.of();

    Router(
            Stage stage,
            String name,
            InetSocketAddress address,
            Path config,
            List<String> command,
            Map<String, String> more) {
        this.stage = stage;
        this.name = name;
        this.address = address;
        this.config = config;
        this.command = command;
        this.more = more;
        caller = new Caller(stage, this);
    }

    public String name() {
        return name;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** The process that there is, or was last. */
    public String life() {
        return name + "#" + lives;
    }

    public Caller caller() {
        return caller;
    }

    /** Its configuration file, to be written anew by whoever changes it. */
    public Path config() {
        return config;
    }

    public boolean down() {
        return down;
    }

    public long pid() {
        return process.pid();
    }

    /** Starts the process, and returns at once. */
    public void start() {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(k -> k.startsWith("LB_"));
        builder.environment().putAll(Map.of("LB_CONFIG", config.toString(), "LB_NAME", name));
        builder.environment().putAll(more);
        builder.redirectErrorStream(true);
        List<String> said = Collections.synchronizedList(new ArrayList<>());
        lines = said;
        try {
            process = builder.start();
        } catch (IOException bad) {
            throw new IllegalStateException(bad);
        }
        lives++;
        down = false;
        String life = life();
        stage.run(() -> stage.happened(new Happening.Started(life)));
        Process of = process;
        Thread reader =
                new Thread(
                        () -> {
                            try (BufferedReader in =
                                    new BufferedReader(
                                            new InputStreamReader(
                                                    of.getInputStream(), StandardCharsets.UTF_8))) {
                                for (String line = in.readLine();
                                        line != null;
                                        line = in.readLine()) {
                                    said.add(line);
                                }
                            } catch (IOException over) {
                                // It ended in the middle of a line.
                            }
                        },
                        "lines of " + life);
        reader.setDaemon(true);
        reader.start();
    }

    /** What it has logged so far in this life. */
    public List<String> lines() {
        List<String> said = lines;
        synchronized (said) {
            return List.copyOf(said);
        }
    }

    /** Waits until the router has written such a line, and fails after the usual time. */
    public void awaitLine(String what, Predicate<String> such) {
        long until = System.nanoTime() + PATIENCE_MS * 1_000_000;
        while (lines().stream().noneMatch(such)) {
            if (System.nanoTime() - until > 0
                    || !process.isAlive() && lines().stream().noneMatch(such)) {
                throw new IllegalStateException(
                        life() + " never said " + what + "; it said " + lines());
            }
            Stage.pause();
        }
    }

    public void awaitServing() {
        awaitLine("serving", l -> l.contains(" serving "));
    }

    /** Sends the process a signal by its name. */
    public void signal(String signal) {
        try {
            if (new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                            .start()
                            .waitFor()
                    != 0) {
                throw new IllegalStateException("no " + signal + " to " + life());
            }
        } catch (IOException | InterruptedException bad) {
            throw new IllegalStateException(bad);
        }
    }

    /** Power is gone: no word, and nothing ends well. */
    public void kill() {
        stage.run(() -> stage.happened(new Happening.Ended(life(), true)));
        down = true;
        process.destroyForcibly();
        awaitEnd();
    }

    /**
     * Told to end; those who deal out clients hear of it by its own line. Returns once it has
     * ended, by itself.
     */
    public void end() {
        signal("TERM");
        awaitLine("stopping", l -> l.contains(" stopping "));
        down = true;
        awaitEnd();
        stage.run(() -> stage.happened(new Happening.Ended(life(), false)));
    }

    private void awaitEnd() {
        try {
            if (!process.waitFor(PATIENCE_MS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(life() + " does not end; it said " + lines());
            }
        } catch (InterruptedException stopped) {
            throw new IllegalStateException(stopped);
        }
    }

    void close() {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            awaitEnd();
        }
    }
}
