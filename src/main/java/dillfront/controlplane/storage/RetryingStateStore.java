package dillfront.controlplane.storage;

import dillfront.common.environment.Environment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * A disk that may refuse a write, or take long over it. Texts that it refused are written again
 * until they are there, together with what came since, the newest text of each name; so the disk
 * never stays behind what was given to it. Puts that come while a write is under way go together in
 * the next. Called on one thread.
 */
public final class RetryingStateStore implements StateStore {

    private static final long MIN_RETRY_MS = 100;
    private static final long MAX_RETRY_MS = 2_000;
    private static final int MAX_DOUBLINGS = 10;

    /**
     * So many may wait for the disk; the texts of one that is refused beyond that are written all
     * the same.
     */
    private static final int MAX_WAITING_PUTS = 10_000;

    private record PendingWrite(long sinceMillis, CompletableFuture<Void> done) {}

    private final Environment environment;
    private final StateStore delegate;

    /** Texts that the disk was not given yet, or refused. */
    private TreeMap<String, String> pending = new TreeMap<>();

    /** Texts that are on the disk for certain: they are not written once more. */
    private final Map<String, String> durable;

    /** Who waits for the next write, and who for the one that is under way. */
    private List<PendingWrite> queued = new ArrayList<>();

    private List<PendingWrite> inFlight = new ArrayList<>();
    private boolean writing;
    private int failures;

    /** When the last write failed. */
    private long failedAtMillis;

    private Environment.Timer retryTimer;

    /**
     * @param delegate where the texts go in the end
     */
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
     * Completes once all of these texts, or newer ones of their names, are on the disk, however
     * often that takes; in the order of the calls. Fails with {@link IllegalArgumentException}
     * where a text is too long for any disk, and with {@link IllegalStateException} where too many
     * wait.
     */
    @Override
    public CompletableFuture<Void> put(Map<String, String> entries) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        for (Map.Entry<String, String> entry : entries.entrySet()) {
            int length = Math.max(entry.getKey().length(), entry.getValue().length());
            if (length > MAX_LENGTH_CHARS) {
                // The disk will never take it, and what comes later is not to wait for that.
                done.completeExceptionally(
                        new IllegalArgumentException(
                                "a text of "
                                        + entry.getValue().length()
                                        + " letters under "
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
     * The batch waits again, but for names that have a newer text; whether the disk has it is not
     * known.
     */
    private void onFailure(Map<String, String> batch) {
        batch.forEach(pending::putIfAbsent);
        durable.keySet().removeAll(batch.keySet());
        failedAtMillis = environment.nowMillis();
        failures++;
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        retryAfter(Math.min(MAX_RETRY_MS, MIN_RETRY_MS << doublings));
    }

    /** Sets the next attempt, in place of any that was set. */
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
