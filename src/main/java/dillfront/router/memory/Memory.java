package dillfront.router.memory;

import dillfront.common.logging.Log;
import dillfront.common.storage.CompactingLog;
import dillfront.common.storage.StorageFolder;
import dillfront.router.discovery.Closings;
import dillfront.router.operator.OperatorConfig;
import dillfront.router.recovery.Doubts;
import dillfront.routing.api.Standing;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * What a router keeps for its next life, on a disk that lasts: the words of the lists that closed
 * nodes, who led each group, and the referenced txns that may have run. It restricts and never
 * permits.
 *
 * <p>Words wait for nobody: one that was not kept when the power went is heard again from
 * discovery, or is as unknown as without a memory. Txns are kept before they are sent: {@link
 * #whenKept} tells when.
 *
 * <p>A thread of its own writes, what has come meanwhile at once; what changes faster than the disk
 * takes it is folded, so that no more waits than there are nodes and txns. A disk that fails is
 * said once, and what waits is written again, at a gap, until it takes it. Meanwhile no txn is
 * kept, and {@link #able} says so.
 */
public final class Memory implements Closings.Keeper, Doubts.Keeper {

    /** One word that closed a node. */
    public record Closing(String id, Standing standing, long startedMs, long generation) {

        String text() {
            return standing + " " + startedMs + " " + generation;
        }

        /** Null where it is no such text. */
        static Closing read(String id, String text) {
            String[] parts = text.split(" ");
            try {
                return parts.length != 3
                        ? null
                        : new Closing(
                                id,
                                Standing.valueOf(parts[0]),
                                Long.parseLong(parts[1]),
                                Long.parseLong(parts[2]));
            } catch (IllegalArgumentException bad) {
                return null;
            }
        }
    }

    /** Names of texts: the first character tells what it is of. */
    private static final String CLOSED = "c";

    private static final String LED = "l";

    /**
     * The end waits so long for what is not written yet; after that it is lost, as in a loss of
     * power.
     */
    private static final long LAST_MS = 1000;

    /** Between two tries at a disk that fails. */
    private static final long AGAIN_MS = 250;

    private final Log log;
    private final Path folder;
    private final Executor loop;

    /** The writer's, once it runs. */
    private final CompactingLog shelf;

    private final List<Closing> closings = new ArrayList<>();
    private final Map<Integer, String> leaders = new HashMap<>();
    private final Set<Long> doubts;
    private final Thread writer;

    /**
     * Not written yet: the last text of each, empty where it is to be taken out. This and what
     * follows, under its lock.
     */
    private final Map<String, String> waiting = new HashMap<>();

    /**
     * Not written yet: with the Unix time for people who look into the file; null where it is to be
     * taken out.
     */
    private final Map<Long, Long> numbers = new HashMap<>();

    private final List<Consumer<Boolean>> told = new ArrayList<>();
    private boolean over;
    private volatile boolean failing;
    private volatile long written;
    private volatile long commits;
    private volatile long failures;

    private Memory(Path folder, CompactingLog shelf, Log log, Executor loop) {
        this.folder = folder;
        this.shelf = shelf;
        this.log = log;
        this.loop = loop;
        shelf.texts()
                .forEach(
                        (name, text) -> {
                            String id = name.substring(1);
                            if (name.startsWith(CLOSED)) {
                                Closing closing = Closing.read(id, text);
                                if (closing != null) {
                                    closings.add(closing);
                                }
                            } else if (name.startsWith(LED) && id.matches("\\d{1,9}")) {
                                leaders.put(Integer.valueOf(id), text);
                            }
                        });
        doubts = shelf.numbers().keySet();
        writer = new Thread(this::write, "memory");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Opens the folder for the router of this name, or says why it must not. What is broken is set
     * aside and named in the log, and what was before it holds: a router without a memory is as
     * careful as any, and after a loss of power it is needed.
     *
     * @param loop where it is told that something was kept
     */
    public static Memory open(Path folder, String name, Log log, Executor loop)
            throws OperatorConfig.InvalidOperatorConfigException {
        CompactingLog shelf;
        try {
            StorageFolder disk = new StorageFolder.LocalFolder(folder);
            try {
                shelf = CompactingLog.open(disk, folder.toString(), name);
            } catch (CompactingLog.UnusableLogException bad) {
                disk.close();
                throw new OperatorConfig.InvalidOperatorConfigException(
                        "memory " + folder + ": " + bad.getMessage());
            }
        } catch (IOException | CompactingLog.LockedException bad) {
            throw new OperatorConfig.InvalidOperatorConfigException(
                    "memory " + folder + ": " + bad.getMessage());
        }
        if (shelf.fault() != null) {
            log.warn(
                    shelf.isMovedAside() ? "memory-broken" : "memory-tail-cut",
                    "fault",
                    shelf.fault());
        }
        Memory memory = new Memory(folder, shelf, log, loop);
        log.info(
                "memory",
                "folder",
                folder,
                "closings",
                memory.closings.size(),
                "leaders",
                memory.leaders.size(),
                "doubts",
                memory.doubts.size());
        return memory;
    }

    /** What was remembered when it was opened. */
    public List<Closing> closings() {
        return List.copyOf(closings);
    }

    /** By group, the id of the node that led it last, when it was opened. */
    public Map<Integer, String> leaders() {
        return Map.copyOf(leaders);
    }

    /** The keys that were kept when it was opened. */
    public Set<Long> doubts() {
        return doubts;
    }

    @Override
    public void closed(String id, Standing standing, long startedMs, long generation) {
        put(CLOSED + id, new Closing(id, standing, startedMs, generation).text());
    }

    @Override
    public void opened(String id) {
        put(CLOSED + id, "");
    }

    public void led(int group, String id) {
        put(LED + group, id);
    }

    private void put(String name, String text) {
        synchronized (waiting) {
            waiting.put(name, text);
            waiting.notifyAll();
        }
    }

    @Override
    public boolean able() {
        return !failing;
    }

    @Override
    public void keep(long key) {
        synchronized (waiting) {
            numbers.put(key, System.currentTimeMillis());
            waiting.notifyAll();
        }
    }

    /** It waits for the next change, so that a txn costs one sync and not two. */
    @Override
    public void drop(long key) {
        synchronized (waiting) {
            numbers.put(key, null);
        }
    }

    /**
     * Tells on the loop once all that came before is on the disk, or, with false, that the disk
     * does not take it.
     */
    public void whenKept(Consumer<Boolean> then) {
        synchronized (waiting) {
            if (!failing) {
                told.add(then);
                waiting.notifyAll();
                return;
            }
        }
        loop.execute(() -> then.accept(false));
    }

    private void write() {
        while (true) {
            Map<String, String> texts;
            Map<Long, Long> keys;
            List<Consumer<Boolean>> tell;
            synchronized (waiting) {
                while (waiting.isEmpty() && told.isEmpty() && !over) {
                    try {
                        waiting.wait();
                    } catch (InterruptedException stopped) {
                        return;
                    }
                }
                if (over && waiting.isEmpty() && numbers.isEmpty()) {
                    return;
                }
                texts = new HashMap<>(waiting);
                keys = new HashMap<>(numbers);
                tell = new ArrayList<>(told);
                waiting.clear();
                numbers.clear();
                told.clear();
            }
            boolean kept = put(texts, keys);
            if (!tell.isEmpty()) {
                loop.execute(() -> tell.forEach(t -> t.accept(kept)));
            }
            if (!kept && !again(texts, keys)) {
                return;
            }
        }
    }

    private boolean put(Map<String, String> texts, Map<Long, Long> keys) {
        try {
            shelf.put(texts, keys);
            written += texts.size() + keys.size();
            commits++;
            if (failing) {
                failing = false;
                log.info("memory-works-again", "folder", folder);
            }
            return true;
        } catch (CompactingLog.UnusableLogException bad) {
            failures++;
            if (!failing) {
                failing = true;
                log.warn("memory-failed", "folder", folder, "fault", bad.getMessage());
            }
            return false;
        }
    }

    /**
     * What was not written waits again, but for what is newer by now; false once this is closed.
     */
    private boolean again(Map<String, String> texts, Map<Long, Long> keys) {
        synchronized (waiting) {
            texts.forEach(waiting::putIfAbsent);
            keys.forEach(
                    (key, number) -> {
                        if (!numbers.containsKey(key)) {
                            numbers.put(key, number);
                        }
                    });
            // So that a disk which works again is found, whatever else there is to write.
            waiting.putIfAbsent("tried", "");
            List<Consumer<Boolean>> tell = new ArrayList<>(told);
            told.clear();
            if (!tell.isEmpty()) {
                loop.execute(() -> tell.forEach(t -> t.accept(false)));
            }
            long until = System.nanoTime() + AGAIN_MS * 1_000_000;
            try {
                for (long left = AGAIN_MS;
                        left > 0 && !over;
                        left = (until - System.nanoTime()) / 1_000_000) {
                    waiting.wait(left);
                }
            } catch (InterruptedException stopped) {
                return false;
            }
            return !over;
        }
    }

    /** For the operator: names and numbers, in the order in which they are shown. */
    public Map<String, Object> status() {
        Map<String, Object> status = new java.util.LinkedHashMap<>();
        synchronized (waiting) {
            status.put("folder", folder.toString());
            status.put("written", written);
            status.put("commits", commits);
            status.put(
                    "waiting",
                    waiting.size()
                            + numbers.values().stream().filter(java.util.Objects::nonNull).count());
            status.put("failures", failures);
            status.put("failing", failing);
        }
        return status;
    }

    /** Writes what still waits, for a second at the most, and closes the folder. */
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
        // Where the disk hangs, the writer still has it; the process ends without it.
        if (!writer.isAlive()) {
            shelf.close();
        }
    }
}
