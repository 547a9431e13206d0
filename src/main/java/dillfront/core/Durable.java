package dillfront.core;

import dillfront.host.Host;
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
public final class Durable implements Store {

    private static final long PAUSE_MS = 100;
    private static final long LONGEST_PAUSE_MS = 2_000;

    /**
     * So many may wait for the disk; the texts of one that is refused beyond that are kept all the
     * same.
     */
    private static final int MOST_WAITING = 10_000;

    private record Waiting(long since, CompletableFuture<Void> done) {}

    private final Host host;
    private final Store disk;

    /** What the disk was not given yet, or refused. */
    private TreeMap<String, String> texts = new TreeMap<>();

    /** What is on the disk for sure: it is not written once more. */
    private final Map<String, String> kept;

    private List<Waiting> waiting = new ArrayList<>();

    /** Who waits for what is under way. */
    private List<Waiting> under = new ArrayList<>();

    private boolean writing;
    private int failures;

    /** Where the last try failed: when it did. */
    private long failedAt;

    private Host.Timer again;

    public Durable(Host host, Store disk) {
        this.host = host;
        this.disk = disk;
        kept = new HashMap<>(disk.all());
    }

    @Override
    public Map<String, String> all() {
        return disk.all();
    }

    /**
     * Completes once all of it, or what took its place, is on the disk, however often that takes;
     * in the order of the calls.
     */
    @Override
    public CompletableFuture<Void> put(Map<String, String> next) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        for (Map.Entry<String, String> one : next.entrySet()) {
            if (Math.max(one.getKey().length(), one.getValue().length()) > LONGEST) {
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
        texts.putAll(next);
        if (waiting.size() + under.size() >= MOST_WAITING) {
            done.completeExceptionally(new IllegalStateException("too many wait for the disk"));
        } else {
            waiting.add(new Waiting(host.now(), done));
        }
        write();
        return done;
    }

    /** Since when the oldest of what is not there yet has waited. */
    @Override
    public long stalledFor() {
        List<Waiting> oldest = under.isEmpty() ? waiting : under;
        return oldest.isEmpty() ? 0 : host.now() - oldest.get(0).since();
    }

    private void write() {
        if (writing || texts.isEmpty() && waiting.isEmpty()) {
            return;
        }
        if (failures > 0 && host.now() < failedAt + PAUSE_MS) {
            later(failedAt + PAUSE_MS - host.now());
            return;
        }
        if (again != null) {
            again.cancel();
            again = null;
        }
        writing = true;
        under.addAll(waiting);
        waiting = new ArrayList<>();
        TreeMap<String, String> given = texts;
        texts = new TreeMap<>();
        given.entrySet().removeIf(one -> one.getValue().equals(kept.get(one.getKey())));
        (given.isEmpty() ? CompletableFuture.<Void>completedFuture(null) : disk.put(given))
                .whenComplete(
                        (is, fault) -> {
                            writing = false;
                            if (fault != null) {
                                refused(given);
                                return;
                            }
                            failures = 0;
                            given.forEach(
                                    (name, text) -> {
                                        if (text.isEmpty()) {
                                            kept.remove(name);
                                        } else {
                                            kept.put(name, text);
                                        }
                                    });
                            List<Waiting> over = under;
                            under = new ArrayList<>();
                            over.forEach(w -> w.done().complete(null));
                            write();
                        });
    }

    /**
     * What was given waits again, but for names that have a newer text; whether the disk has it is
     * not known.
     */
    private void refused(Map<String, String> given) {
        given.forEach(texts::putIfAbsent);
        kept.keySet().removeAll(given.keySet());
        failedAt = host.now();
        failures++;
        later(Math.min(LONGEST_PAUSE_MS, PAUSE_MS << Math.min(failures - 1, 10)));
    }

    /** The next try, in the place of any that was set. */
    private void later(long ms) {
        if (again != null) {
            again.cancel();
        }
        again =
                host.after(
                        ms,
                        () -> {
                            again = null;
                            write();
                        });
    }
}
