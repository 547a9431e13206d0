package dillfront.router.memory;

import dillfront.common.logging.Log;
import dillfront.common.storage.CompactingLog;
import dillfront.common.storage.StorageFolder;
import dillfront.router.discovery.Closings;
import dillfront.router.operator.Operator;
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
 * Stores the state that a router needs after a restart: the list entries that closed nodes, the
 * primary of each group, and the referenced transactions that may have run. Restored state only
 * restricts and never permits.
 *
 * <p>Closings and primaries are written asynchronously: an entry lost in a power loss is received
 * again from discovery, or is unknown as it would be without a store. Transactions are stored
 * before they are sent; {@link #whenKept} reports when.
 *
 * <p>A dedicated thread writes all pending changes in one batch; repeated changes of the same entry
 * are merged, so that the pending ones are bounded by the number of nodes and transactions. A disk
 * failure is logged once, and the pending changes are retried at an interval until a write
 * succeeds. Meanwhile no transaction is stored, and {@link #able} returns false.
 */
public final class Memory implements Closings.Keeper, Doubts.Keeper {

    /** The list entry that closed a node. */
    public record Closing(String id, Standing standing, long startedMs, long generation) {

        String text() {
            return standing + " " + startedMs + " " + generation;
        }

        /** Returns null if the text is malformed. */
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

    /** Prefixes of entry names. */
    private static final String CLOSED = "c";

    private static final String LED = "l";

    /**
     * Time to wait for pending writes when closing; entries not written by then are lost, as in a
     * power loss.
     */
    private static final long LAST_MS = 1000;

    /** Delay between two attempts after a failed write. */
    private static final long AGAIN_MS = 250;

    private final Log log;
    private final Path folder;
    private final Executor loop;

    /** Used by the writer thread only once that has started. */
    private final CompactingLog shelf;

    private final List<Closing> closings = new ArrayList<>();
    private final Map<Integer, String> leaders = new HashMap<>();
    private final Set<Long> doubts;
    private final Thread writer;

    /**
     * Pending texts by name, empty to remove an entry. This field and the following ones are
     * guarded by its lock.
     */
    private final Map<String, String> waiting = new HashMap<>();

    /** Pending keys with their Unix time, which is informational only; null to remove a key. */
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
     * Opens the folder for the router of this name, or reports why it cannot be used. A damaged
     * part is set aside and logged, and the records before it are kept: a router without a store is
     * as cautious as any, and it must be able to start after a power loss.
     *
     * @param loop executor for the callbacks of {@link #whenKept}
     */
    public static Memory open(Path folder, String name, Log log, Executor loop)
            throws Operator.BadOperator {
        CompactingLog shelf;
        try {
            StorageFolder disk = new StorageFolder.LocalFolder(folder);
            try {
                shelf = CompactingLog.open(disk, folder.toString(), name);
            } catch (CompactingLog.UnusableLogException bad) {
                disk.close();
                throw new Operator.BadOperator("memory " + folder + ": " + bad.getMessage());
            }
        } catch (IOException | CompactingLog.LockedException bad) {
            throw new Operator.BadOperator("memory " + folder + ": " + bad.getMessage());
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

    /** Returns the closings stored at the time of opening. */
    public List<Closing> closings() {
        return List.copyOf(closings);
    }

    /** Returns the id of the last primary by group, stored at the time of opening. */
    public Map<Integer, String> leaders() {
        return Map.copyOf(leaders);
    }

    /** Returns the transaction keys stored at the time of opening. */
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

    /**
     * Removes a key together with the next other change, so that a transaction costs one sync and
     * not two.
     */
    @Override
    public void drop(long key) {
        synchronized (waiting) {
            numbers.put(key, null);
        }
    }

    /**
     * Calls back on the loop once all earlier changes are on disk, or with false if the disk does
     * not accept them.
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
     * Queues unwritten changes again, unless newer ones are pending, and waits for the retry delay;
     * returns false once the store is closed.
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
            // Forces a retry, so that a disk that works again is detected even without other
            // changes.
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

    /** Returns names and values for the operator, in display order. */
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

    /** Writes pending changes, for at most one second, and closes the folder. */
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
        // If the disk hangs, the writer thread still uses the log; the process exits without
        // closing it.
        if (!writer.isAlive()) {
            shelf.close();
        }
    }
}
