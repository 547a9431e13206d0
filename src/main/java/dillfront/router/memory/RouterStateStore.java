package dillfront.router.memory;

import dillfront.common.logging.Log;
import dillfront.common.storage.CompactingLog;
import dillfront.common.storage.StorageFolder;
import dillfront.router.discovery.Closings;
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
 * kept, and {@link #isWritable} says so.
 */
public final class RouterStateStore implements Closings.Keeper, InDoubtKeys.KeyStore {

    /** One word that closed a node. */
    public record Closing(String id, MemberState standing, long startedMs, long generation) {

        String format() {
            return standing + " " + startedMs + " " + generation;
        }

        /** Null where it is no such text. */
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

    /** Names of texts: the first character tells what it is of. */
    private static final String CLOSING_PREFIX = "c";

    private static final String PRIMARY_PREFIX = "l";

    /**
     * The end waits so long for what is not written yet; after that it is lost, as in a loss of
     * power.
     */
    private static final long CLOSE_TIMEOUT_MS = 1000;

    /** Between two tries at a disk that fails. */
    private static final long RETRY_DELAY_MS = 250;

    private final Log log;
    private final Path folder;
    private final Executor loop;

    /** The writer's, once it runs. */
    private final CompactingLog storage;

    private final List<Closing> closings = new ArrayList<>();
    private final Map<Integer, String> primaries = new HashMap<>();
    private final Set<Long> inDoubtKeys;
    private final Thread writer;

    /**
     * Not written yet: the last text of each, empty where it is to be taken out. This and what
     * follows, under its lock.
     */
    private final Map<String, String> pendingTexts = new HashMap<>();

    /**
     * Not written yet: with the Unix time for people who look into the file; null where it is to be
     * taken out.
     */
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
     * Opens the folder for the router of this name, or says why it must not. What is broken is set
     * aside and named in the log, and what was before it holds: a router without a memory is as
     * careful as any, and after a loss of power it is needed.
     *
     * @param loop where it is told that something was kept
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

    /** What was remembered when it was opened. */
    public List<Closing> closings() {
        return List.copyOf(closings);
    }

    /** By group, the id of the node that led it last, when it was opened. */
    public Map<Integer, String> primaries() {
        return Map.copyOf(primaries);
    }

    /** The keys that were kept when it was opened. */
    public Set<Long> inDoubtKeys() {
        return inDoubtKeys;
    }

    @Override
    public void closed(String id, MemberState standing, long startedMs, long generation) {
        put(CLOSING_PREFIX + id, new Closing(id, standing, startedMs, generation).format());
    }

    @Override
    public void opened(String id) {
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

    /** It waits for the next change, so that a txn costs one sync and not two. */
    @Override
    public void remove(long key) {
        synchronized (pendingTexts) {
            pendingKeys.put(key, null);
        }
    }

    /**
     * Tells on the loop once all that came before is on the disk, or, with false, that the disk
     * does not take it.
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
     * What was not written waits again, but for what is newer by now; false once this is closed.
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
            // So that a disk which works again is found, whatever else there is to write.
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

    /** For the operator: names and numbers, in the order in which they are shown. */
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

    /** Writes what still waits, for a second at the most, and closes the folder. */
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
        // Where the disk hangs, the writer still has it; the process ends without it.
        if (!writer.isAlive()) {
            storage.close();
        }
    }
}
