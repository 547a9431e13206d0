package dillfront.controlplane.storage;

import dillfront.common.environment.Environment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Retries the writes of a store that may fail or be slow. Entries of a failed write are written
 * again, merged with the entries put since then, and the newest value of each key wins; so the disk
 * catches up with every accepted put. Puts that arrive during a write are combined in the next one.
 * All calls are made on one thread.
 */
public final class RetryingStateStore implements StateStore {

    private static final long MIN_RETRY_MS = 100;
    private static final long MAX_RETRY_MS = 2_000;
    private static final int MAX_DOUBLINGS = 10;

    /**
     * Upper bound on the waiting puts. A put beyond this bound fails, but its entries are still
     * written.
     */
    private static final int MAX_WAITING_PUTS = 10_000;

    private record PendingWrite(long sinceMillis, CompletableFuture<Void> done) {}

    private final Environment environment;
    private final StateStore delegate;

    /** Entries that were not written yet, or whose write failed. */
    private TreeMap<String, String> pending = new TreeMap<>();

    /** Entries that are known to be on disk and need not be written again. */
    private final Map<String, String> durable;

    /**
     * The puts that wait for the next write; {@link #inFlight} holds those of the write in
     * progress.
     */
    private List<PendingWrite> queued = new ArrayList<>();

    private List<PendingWrite> inFlight = new ArrayList<>();
    private boolean writing;
    private int failures;

    /** When the last write failed. */
    private long failedAtMillis;

    private Environment.Timer retryTimer;

    /** Creates a store that writes to the given one. */
    public RetryingStateStore(Environment environment, StateStore delegate) {
        this.environment = environment;
        this.delegate = delegate;
        durable = new HashMap<>(delegate.initialState());
    }

    @Override
    public Map<String, String> initialState() {
        return delegate.initialState();
    }

    /**
     * Completes once every entry, or a newer value of its key, is on disk, after any number of
     * retries. Puts complete in the order of the calls.
     *
     * <p>Fails with {@link IllegalArgumentException} if a key or value is too long, and with {@link
     * IllegalStateException} if too many puts are waiting.
     */
    @Override
    public CompletableFuture<Void> put(Map<String, String> entries) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        for (Map.Entry<String, String> entry : entries.entrySet()) {
            int length = Math.max(entry.getKey().length(), entry.getValue().length());
            if (length > MAX_LENGTH_CHARS) {
                // No retry can succeed, and later puts must not wait for this one.
                done.completeExceptionally(
                        new IllegalArgumentException(
                                "value too long: "
                                        + entry.getValue().length()
                                        + " characters under "
                                        + entry.getKey()));
                return done;
            }
        }
        pending.putAll(entries);
        if (queued.size() + inFlight.size() >= MAX_WAITING_PUTS) {
            done.completeExceptionally(new IllegalStateException("too many wait for the disk"));
        } else {
            queued.add(new PendingWrite(environment.nowMillis(), done));
        }
        write();
        return done;
    }

    @Override
    public long stalledMillis() {
        List<PendingWrite> oldest = inFlight.isEmpty() ? queued : inFlight;
        return oldest.isEmpty() ? 0 : environment.nowMillis() - oldest.get(0).sinceMillis();
    }

    private void write() {
        if (writing || pending.isEmpty() && queued.isEmpty()) {
            return;
        }
        long retryInMillis = failedAtMillis + MIN_RETRY_MS - environment.nowMillis();
        if (failures > 0 && retryInMillis > 0) {
            retryAfter(retryInMillis);
            return;
        }
        cancelRetry();
        writing = true;
        inFlight.addAll(queued);
        queued = new ArrayList<>();
        TreeMap<String, String> batch = pending;
        pending = new TreeMap<>();
        batch.entrySet().removeIf(entry -> entry.getValue().equals(durable.get(entry.getKey())));
        CompletableFuture<Void> written =
                batch.isEmpty() ? CompletableFuture.completedFuture(null) : delegate.put(batch);
        written.whenComplete(
                (done, failure) -> {
                    writing = false;
                    if (failure == null) {
                        onWritten(batch);
                    } else {
                        onFailure(batch);
                    }
                });
    }

    private void onWritten(Map<String, String> batch) {
        failures = 0;
        batch.forEach(
                (key, value) -> {
                    if (value.isEmpty()) {
                        durable.remove(key);
                    } else {
                        durable.put(key, value);
                    }
                });
        List<PendingWrite> completed = inFlight;
        inFlight = new ArrayList<>();
        completed.forEach(write -> write.done().complete(null));
        write();
    }

    /**
     * Queues the batch again, except for keys that have a newer value. Whether the failed write
     * reached the disk is unknown.
     */
    private void onFailure(Map<String, String> batch) {
        batch.forEach(pending::putIfAbsent);
        durable.keySet().removeAll(batch.keySet());
        failedAtMillis = environment.nowMillis();
        failures++;
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        retryAfter(Math.min(MAX_RETRY_MS, MIN_RETRY_MS << doublings));
    }

    /** Schedules the next attempt and cancels a previously scheduled one. */
    private void retryAfter(long millis) {
        cancelRetry();
        retryTimer =
                environment.schedule(
                        millis,
                        () -> {
                            retryTimer = null;
                            write();
                        });
    }

    private void cancelRetry() {
        if (retryTimer != null) {
            retryTimer.cancel();
            retryTimer = null;
        }
    }
}
