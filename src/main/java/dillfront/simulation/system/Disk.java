package dillfront.simulation.system;

import dillfront.controlplane.storage.StateStore;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * What is on a machine's disk: synced with every put that was answered. Of those under way at the
 * end of a process or of the power, the first few may be there, though nobody was told.
 */
final class Disk implements StateStore {

    private static final double SYNC_MS = 3;

    private record Write(Map<String, String> texts, long at, CompletableFuture<Void> done) {}

    private final Sim sim;
    private final Sim.Machine machine;
    private final Map<String, String> kept = new HashMap<>();
    private final ArrayDeque<Write> queue = new ArrayDeque<>();
    private double slower = 1;
    private boolean refuses;
    private long stalledUntil;

    Disk(Sim sim, Sim.Machine machine) {
        this.sim = sim;
        this.machine = machine;
    }

    @Override
    public Map<String, String> initialState() {
        return new HashMap<>(kept);
    }

    @Override
    public CompletableFuture<Void> put(Map<String, String> texts) {
        Write write = new Write(texts, sim.millis(), new CompletableFuture<>());
        queue.add(write);
        if (queue.size() == 1) {
            begin();
        }
        return write.done();
    }

    @Override
    public long stalledMillis() {
        return queue.isEmpty() ? 0 : sim.millis() - queue.peek().at();
    }

    private void begin() {
        Write write = queue.peek();
        sim.after(SYNC_MS * slower * (0.7 + 0.6 * sim.random.nextDouble()), () -> finish(write));
    }

    private void finish(Write write) {
        if (queue.peek() != write) {
            return;
        }
        if (sim.micros() < stalledUntil) {
            sim.at(stalledUntil, () -> finish(write));
            return;
        }
        queue.remove();
        boolean kept = !refuses;
        if (kept) {
            apply(write);
        }
        if (!queue.isEmpty()) {
            begin();
        }
        machine.enter(
                () -> {
                    if (kept) {
                        write.done().complete(null);
                    } else {
                        write.done()
                                .completeExceptionally(
                                        new IllegalStateException("the disk refuses"));
                    }
                });
    }

    private void apply(Write write) {
        write.texts()
                .forEach(
                        (name, text) -> {
                            if (text.isEmpty()) {
                                kept.remove(name);
                            } else {
                                kept.put(name, text);
                            }
                        });
    }

    /** The process ended, or the power went. */
    void cutShort() {
        int there = refuses ? 0 : sim.random.nextInt(queue.size() + 1);
        for (int i = 0; i < there; i++) {
            apply(queue.remove());
        }
        queue.clear();
    }

    void wipe() {
        queue.clear();
        kept.clear();
    }

    void stall(double ms) {
        stalledUntil = Math.max(stalledUntil, sim.micros() + Math.round(ms * 1_000));
    }

    void slow(double times) {
        slower = times;
    }

    void refuse(boolean is) {
        refuses = is;
    }

    boolean inTrouble() {
        return refuses || slower > 1 || sim.micros() < stalledUntil;
    }
}
