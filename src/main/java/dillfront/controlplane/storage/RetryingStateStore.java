package dillfront.controlplane.storage;

import dillfront.common.environment.Environment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * A disk that may refuse a write, or take long over it. What it refused is tried again until it is
 * there, together with what came since, the newest text of each name; so what is on the disk never
 * stays behind what was given to it. Puts that come while one is under way go together in the next,
 * whole. One loop calls all of it.
 */
public final class RetryingStateStore implements StateStore {

    private static final long RETRY_MS = 100;
    private static final long MAX_RETRY_MS = 2_000;

    /**
     * So many may wait for the disk; the texts of one that is refused beyond that are kept all the
     * same.
     */
    private static final int MAX_QUEUED = 10_000;

    private record PendingWrite(long sinceMillis, CompletableFuture<Void> done) {}

    private final Environment environment;
    private final StateStore disk;

    /** What the disk was not given yet, or refused. */
    private TreeMap<String, String> pending = new TreeMap<>();

    /** What is on the disk for sure: it is not written once more. */
    private final Map<String, String> durable;

    private List<PendingWrite> queued = new ArrayList<>();

    /** Who waits for what is under way. */
    private List<PendingWrite> inFlight = new ArrayList<>();

    private boolean writing;
    private int failures;

    /** Where the last try failed: when it did. */
    private long failedAtMillis;

    private Environment.Timer retryTimer;

    public RetryingStateStore(Environment host, StateStore disk) {
        this.environment = host;
        this.disk = disk;
        durable = new HashMap<>(disk.initialState());
    }

    @Override
    public Map<String, String> initialState() {
        return disk.initialState();
    }

    /**
     * Completes once all of it, or what took its place, is on the disk, however often that takes;
     * in the order of the calls.
     */
    @Override
    public CompletableFuture<Void> put(Map<String, String> next) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        for (Map.Entry<String, String> one : next.entrySet()) {
            if (Math.max(one.getKey().length(), one.getValue().length()) > MAX_TEXT_LENGTH) {
                // The disk will never take it, and what comes later is not to wait for that.
                done.completeExceptionally(
                        new IllegalArgumentException(
                                "a text of "
                                        + one.getValue().length()
                                        + " letters under "
                                        + one.getKey()));
                return done;
            }
        }
        pending.putAll(next);
        if (queued.size() + inFlight.size() >= MAX_QUEUED) {
            done.completeExceptionally(new IllegalStateException("too many wait for the disk"));
        } else {
            queued.add(new PendingWrite(environment.nowMillis(), done));
        }
        write();
        return done;
    }

    /** Since when the oldest of what is not there yet has waited. */
    @Override
    public long stalledMillis() {
        List<PendingWrite> oldest = inFlight.isEmpty() ? queued : inFlight;
        return oldest.isEmpty() ? 0 : environment.nowMillis() - oldest.get(0).sinceMillis();
    }

    private void write() {
        if (writing || pending.isEmpty() && queued.isEmpty()) {
            return;
        }
        if (failures > 0 && environment.nowMillis() < failedAtMillis + RETRY_MS) {
            retryAfter(failedAtMillis + RETRY_MS - environment.nowMillis());
            return;
        }
        if (retryTimer != null) {
            retryTimer.cancel();
            retryTimer = null;
        }
        writing = true;
        inFlight.addAll(queued);
        queued = new ArrayList<>();
        TreeMap<String, String> given = pending;
        pending = new TreeMap<>();
        given.entrySet().removeIf(one -> one.getValue().equals(durable.get(one.getKey())));
        (given.isEmpty() ? CompletableFuture.<Void>completedFuture(null) : disk.put(given))
                .whenComplete(
                        (is, fault) -> {
                            writing = false;
                            if (fault != null) {
                                onFailure(given);
                                return;
                            }
                            failures = 0;
                            given.forEach(
                                    (name, text) -> {
                                        if (text.isEmpty()) {
                                            durable.remove(name);
                                        } else {
                                            durable.put(name, text);
                                        }
                                    });
                            List<PendingWrite> over = inFlight;
                            inFlight = new ArrayList<>();
                            over.forEach(w -> w.done().complete(null));
                            write();
                        });
    }

    /**
     * What was given waits again, but for names that have a newer text; whether the disk has it is
     * not known.
     */
    private void onFailure(Map<String, String> given) {
        given.forEach(pending::putIfAbsent);
        durable.keySet().removeAll(given.keySet());
        failedAtMillis = environment.nowMillis();
        failures++;
        retryAfter(Math.min(MAX_RETRY_MS, RETRY_MS << Math.min(failures - 1, 10)));
    }

    /** The next try, in the place of any that was set. */
    private void retryAfter(long ms) {
        if (retryTimer != null) {
            retryTimer.cancel();
        }
        retryTimer =
                environment.schedule(
                        ms,
                        () -> {
                            retryTimer = null;
                            write();
                        });
    }
}
