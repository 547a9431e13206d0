package dillfront.router.memory;

import dillfront.common.logging.Log;
import dillfront.common.storage.CompactingLog;
import dillfront.common.storage.StorageFolder;
import dillfront.router.discovery.ClosedNodes;
import dillfront.router.operator.OperatorConfig;
import dillfront.router.recovery.InDoubtKeys;
import dillfront.routing.api.MemberState;
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
 * succeeds. Meanwhile no transaction is stored, and {@link #isWritable} returns false.
 */
public final class RouterStateStore implements ClosedNodes.Listener, InDoubtKeys.KeyStore {

    /** The list entry that closed a node. */
    public record Closing(String id, MemberState standing, long startedMs, long generation) {

        String format() {
            return standing + " " + startedMs + " " + generation;
        }

        /** Returns null if the text is malformed. */
        static Closing parse(String id, String text) {
            String[] parts = text.split(" ");
            try {
                return parts.length != 3
                        ? null
                        : new Closing(
                                id,
                                MemberState.valueOf(parts[0]),
                                Long.parseLong(parts[1]),
                                Long.parseLong(parts[2]));
            } catch (IllegalArgumentException bad) {
                return null;
            }
        }
    }

    /** Prefixes of entry names. */
    private static final String CLOSING_PREFIX = "c";

    private static final String PRIMARY_PREFIX = "l";

    /**
     * Time to wait for pending writes when closing; entries not written by then are lost, as in a
     * power loss.
     */
    private static final long CLOSE_TIMEOUT_MS = 1000;

    /** Delay between two attempts after a failed write. */
    private static final long RETRY_DELAY_MS = 250;

    private final Log log;
    private final Path folder;
    private final Executor loop;

    /** Used by the writer thread only once that has started. */
    private final CompactingLog storage;

    private final List<Closing> closings = new ArrayList<>();
    private final Map<Integer, String> primaries = new HashMap<>();
    private final Set<Long> inDoubtKeys;
    private final Thread writer;

    /**
     * Pending texts by name, empty to remove an entry. This field and the following ones are
     * guarded by its lock.
     */
    private final Map<String, String> pendingTexts = new HashMap<>();

    /** Pending keys with their Unix time, which is informational only; null to remove a key. */
    private final Map<Long, Long> pendingKeys = new HashMap<>();

    private final List<Consumer<Boolean>> pendingCallbacks = new ArrayList<>();
    private boolean stopping;
    private volatile boolean failing;
    private volatile long writtenEntries;
    private volatile long commits;
    private volatile long failures;

    private RouterStateStore(Path folder, CompactingLog storage, Log log, Executor loop) {
        this.folder = folder;
        this.storage = storage;
        this.log = log;
        this.loop = loop;
        storage.strings()
                .forEach(
                        (name, text) -> {
                            String id = name.substring(1);
                            if (name.startsWith(CLOSING_PREFIX)) {
                                Closing closing = Closing.parse(id, text);
                                if (closing != null) {
                                    closings.add(closing);
                                }
                            } else if (name.startsWith(PRIMARY_PREFIX) && id.matches("\\d{1,9}")) {
                                primaries.put(Integer.valueOf(id), text);
                            }
                        });
        inDoubtKeys = storage.numbers().keySet();
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
    public static RouterStateStore open(Path folder, String name, Log log, Executor loop)
            throws OperatorConfig.InvalidOperatorConfigException {
        CompactingLog storage;
        try {
            StorageFolder disk = new StorageFolder.LocalFolder(folder);
            try {
                storage = CompactingLog.open(disk, folder.toString(), name);
            } catch (CompactingLog.UnusableLogException unusable) {
                disk.close();
                throw new OperatorConfig.InvalidOperatorConfigException(
                        "memory " + folder + ": " + unusable.getMessage());
            }
        } catch (IOException | CompactingLog.LockedException unusable) {
            throw new OperatorConfig.InvalidOperatorConfigException(
                    "memory " + folder + ": " + unusable.getMessage());
        }
        if (storage.damage() != null) {
            log.warn(
                    storage.isQuarantined() ? "memory-broken" : "memory-tail-cut",
                    "fault",
                    storage.damage());
        }
        RouterStateStore store = new RouterStateStore(folder, storage, log, loop);
        log.info(
                "memory",
                "folder",
                folder,
                "closings",
                store.closings.size(),
                "leaders",
                store.primaries.size(),
                "doubts",
                store.inDoubtKeys.size());
        return store;
    }

    /** Returns the closings stored at the time of opening. */
    public List<Closing> closings() {
        return List.copyOf(closings);
    }

    /** Returns the id of the last primary by group, stored at the time of opening. */
    public Map<Integer, String> primaries() {
        return Map.copyOf(primaries);
    }

    /** Returns the transaction keys stored at the time of opening. */
    public Set<Long> inDoubtKeys() {
        return inDoubtKeys;
    }

    @Override
    public void nodeClosed(String id, MemberState standing, long startedMs, long generation) {
        put(CLOSING_PREFIX + id, new Closing(id, standing, startedMs, generation).format());
    }

    @Override
    public void nodeOpened(String id) {
        put(CLOSING_PREFIX + id, "");
    }

    public void storePrimary(int group, String id) {
        put(PRIMARY_PREFIX + group, id);
    }

    private void put(String name, String text) {
        synchronized (pendingTexts) {
            pendingTexts.put(name, text);
            pendingTexts.notifyAll();
        }
    }

    @Override
    public boolean isWritable() {
        return !failing;
    }

    @Override
    public void store(long key) {
        synchronized (pendingTexts) {
            pendingKeys.put(key, System.currentTimeMillis());
            pendingTexts.notifyAll();
        }
    }

    /**
     * Removes a key together with the next other change, so that a transaction costs one sync and
     * not two.
     */
    @Override
    public void remove(long key) {
        synchronized (pendingTexts) {
            pendingKeys.put(key, null);
        }
    }

    /**
     * Calls back on the loop once all earlier changes are on disk, or with false if the disk does
     * not accept them.
     */
    public void whenKept(Consumer<Boolean> callback) {
        synchronized (pendingTexts) {
            if (!failing) {
                pendingCallbacks.add(callback);
                pendingTexts.notifyAll();
                return;
            }
        }
        loop.execute(() -> callback.accept(false));
    }

    private void write() {
        while (true) {
            Map<String, String> texts;
            Map<Long, Long> keys;
            List<Consumer<Boolean>> callbacks;
            synchronized (pendingTexts) {
                while (pendingTexts.isEmpty() && pendingCallbacks.isEmpty() && !stopping) {
                    try {
                        pendingTexts.wait();
                    } catch (InterruptedException stopped) {
                        return;
                    }
                }
                if (stopping && pendingTexts.isEmpty() && pendingKeys.isEmpty()) {
                    return;
                }
                texts = new HashMap<>(pendingTexts);
                keys = new HashMap<>(pendingKeys);
                callbacks = new ArrayList<>(pendingCallbacks);
                pendingTexts.clear();
                pendingKeys.clear();
                pendingCallbacks.clear();
            }
            boolean stored = put(texts, keys);
            if (!callbacks.isEmpty()) {
                loop.execute(() -> callbacks.forEach(t -> t.accept(stored)));
            }
            if (!stored && !requeueAndWait(texts, keys)) {
                return;
            }
        }
    }

    private boolean put(Map<String, String> texts, Map<Long, Long> keys) {
        try {
            storage.put(texts, keys);
            writtenEntries += texts.size() + keys.size();
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
    private boolean requeueAndWait(Map<String, String> texts, Map<Long, Long> keys) {
        synchronized (pendingTexts) {
            texts.forEach(pendingTexts::putIfAbsent);
            keys.forEach(
                    (key, number) -> {
                        if (!pendingKeys.containsKey(key)) {
                            pendingKeys.put(key, number);
                        }
                    });
            // Forces a retry, so that a disk that works again is detected even without other
            // changes.
            pendingTexts.putIfAbsent("tried", "");
            List<Consumer<Boolean>> callbacks = new ArrayList<>(pendingCallbacks);
            pendingCallbacks.clear();
            if (!callbacks.isEmpty()) {
                loop.execute(() -> callbacks.forEach(t -> t.accept(false)));
            }
            long deadline = System.nanoTime() + RETRY_DELAY_MS * 1_000_000;
            try {
                for (long remainingMs = RETRY_DELAY_MS;
                        remainingMs > 0 && !stopping;
                        remainingMs = (deadline - System.nanoTime()) / 1_000_000) {
                    pendingTexts.wait(remainingMs);
                }
            } catch (InterruptedException stopped) {
                return false;
            }
            return !stopping;
        }
    }

    /** Returns names and values for the operator, in display order. */
    public Map<String, Object> status() {
        Map<String, Object> status = new java.util.LinkedHashMap<>();
        synchronized (pendingTexts) {
            status.put("folder", folder.toString());
            status.put("written", writtenEntries);
            status.put("commits", commits);
            status.put(
                    "waiting",
                    pendingTexts.size()
                            + pendingKeys.values().stream()
                                    .filter(java.util.Objects::nonNull)
                                    .count());
            status.put("failures", failures);
            status.put("failing", failing);
        }
        return status;
    }

    /** Writes pending changes, for at most one second, and closes the folder. */
    public void close() {
        synchronized (pendingTexts) {
            stopping = true;
            pendingTexts.notifyAll();
        }
        try {
            writer.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        // If the disk hangs, the writer thread still uses the log; the process exits without
        // closing it.
        if (!writer.isAlive()) {
            storage.close();
        }
    }
}
