package dillfront.memory;

import dillfront.list.Closings;
import dillfront.log.Log;
import dillfront.operator.Operator;
import dillfront.port.Standing;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a router keeps for its next life, on a disk that lasts: the words of the lists that closed nodes. It restricts and never
 * permits. Nothing waits for it: a word that was not kept when the power went is heard again from discovery, or is as unknown
 * as without a memory.
 *
 * <p>A thread of its own writes, what has come meanwhile at once; what changes faster than the disk takes it is folded, so
 * that no more waits than there are nodes in the list and remembered. A disk that fails is said once, and tried again with the
 * next change.
 */
public final class Memory implements Closings.Keeper {

    /** One word that closed a node. */
    public record Closing(String id, Standing standing, long startedMs, long generation) {

        String text() {
            return standing + " " + startedMs + " " + generation;
        }

        /** Null where it is no such text. */
        static Closing read(String id, String text) {
            String[] parts = text.split(" ");
            try {
                return parts.length != 3 ? null : new Closing(id, Standing.valueOf(parts[0]), Long.parseLong(parts[1]),
                        Long.parseLong(parts[2]));
            } catch (IllegalArgumentException bad) {
                return null;
            }
        }
    }

    /** The end waits so long for what is not written yet; after that it is lost, as in a loss of power. */
    private static final long LAST_MS = 1000;

    private final Log log;
    private final Path folder;
    private final Shelf shelf;
    private final Thread writer;
    /** Not written yet: the last text of each, empty where it is to be taken out. Under its lock. */
    private final Map<String, String> waiting = new HashMap<>();
    private boolean over;
    private boolean failing;
    private long written;
    private long failures;

    private Memory(Path folder, Shelf shelf, Log log) {
        this.folder = folder;
        this.shelf = shelf;
        this.log = log;
        writer = new Thread(this::write, "memory");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Opens the folder for the router of this name, or says why it must not. What is broken is set aside and named in the log:
     * a router without a memory is as careful as any, and after a loss of power it is needed.
     */
    public static Memory open(Path folder, String name, Log log) throws Operator.BadOperator {
        Path file = folder.resolve("closings.mv");
        try {
            Files.createDirectories(folder);
        } catch (IOException bad) {
            throw new Operator.BadOperator("memory " + folder + ": " + bad);
        }
        Shelf shelf;
        try {
            shelf = Shelf.open(file);
        } catch (Shelf.Held held) {
            throw new Operator.BadOperator("memory " + folder + ": " + held.getMessage());
        } catch (Shelf.Broken broken) {
            Path aside = folder.resolve("closings.broken");
            log.warn("memory-broken", "file", file, "fault", broken.getMessage(), "set_aside_as", aside);
            shelf = anew(file, aside);
        }
        String fault = shelf.claim(name);
        if (fault != null) {
            shelf.close();
            throw new Operator.BadOperator("memory " + folder + ": " + fault);
        }
        Memory memory = new Memory(folder, shelf, log);
        log.info("memory", "folder", folder, "closings", memory.closings().size());
        return memory;
    }

    private static Shelf anew(Path file, Path aside) throws Operator.BadOperator {
        try {
            Files.move(file, aside, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            return Shelf.open(file);
        } catch (IOException | Shelf.Broken | Shelf.Held bad) {
            throw new Operator.BadOperator("memory " + file + ": " + bad.getMessage());
        }
    }

    /** What was remembered when it was opened, and since. */
    public List<Closing> closings() {
        return shelf.all().entrySet().stream().map(e -> Closing.read(e.getKey(), e.getValue()))
                .filter(java.util.Objects::nonNull).toList();
    }

    @Override
    public void closed(String id, Standing standing, long startedMs, long generation) {
        put(id, new Closing(id, standing, startedMs, generation).text());
    }

    @Override
    public void opened(String id) {
        put(id, "");
    }

    private void put(String id, String text) {
        synchronized (waiting) {
            waiting.put(id, text);
            waiting.notifyAll();
        }
    }

    private void write() {
        while (true) {
            Map<String, String> batch;
            synchronized (waiting) {
                while (waiting.isEmpty() && !over) {
                    try {
                        waiting.wait();
                    } catch (InterruptedException stopped) {
                        return;
                    }
                }
                if (waiting.isEmpty()) {
                    return;
                }
                batch = new HashMap<>(waiting);
                waiting.clear();
            }
            try {
                shelf.put(batch);
                written += batch.size();
                failing = false;
            } catch (Shelf.Broken bad) {
                failures++;
                if (!failing) {
                    failing = true;
                    log.warn("memory-failed", "folder", folder, "fault", bad.getMessage());
                }
            }
        }
    }

    /** For the operator, one line. */
    public String status() {
        synchronized (waiting) {
            return "memory folder=" + folder + " closings=" + shelf.all().size() + " written=" + written + " waiting="
                    + waiting.size() + " failures=" + failures + " failing=" + failing + "\n";
        }
    }

    public void close() {
        synchronized (waiting) {
            over = true;
            waiting.notifyAll();
        }
        try {
            writer.join(LAST_MS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        shelf.close();
    }
}
