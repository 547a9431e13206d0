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
final class SimulatedDisk implements StateStore {

    private static final double SYNC_MILLIS = 3;

    private record PendingWrite(
            Map<String, String> entries, long queuedAtMillis, CompletableFuture<Void> completion) {}

    private final Simulator simulator;
    private final Simulator.Machine machine;
    private final Map<String, String> durable = new HashMap<>();
    private final ArrayDeque<PendingWrite> queue = new ArrayDeque<>();
    private double slowdown = 1;
    private boolean rejectsWrites;
    private long stalledUntilMicros;

    SimulatedDisk(Simulator simulator, Simulator.Machine machine) {
        this.simulator = simulator;
        this.machine = machine;
    }

    @Override
    public Map<String, String> initialState() {
        return new HashMap<>(durable);
    }

    @Override
    public CompletableFuture<Void> put(Map<String, String> entries) {
        PendingWrite write =
                new PendingWrite(entries, simulator.millis(), new CompletableFuture<>());
        queue.add(write);
        if (queue.size() == 1) {
            startWrite();
        }
        return write.completion();
    }

    @Override
    public long stalledMillis() {
        return queue.isEmpty() ? 0 : simulator.millis() - queue.peek().queuedAtMillis();
    }

    private void startWrite() {
        PendingWrite write = queue.peek();
        simulator.scheduleAfter(
                SYNC_MILLIS * slowdown * (0.7 + 0.6 * simulator.random.nextDouble()),
                () -> finishWrite(write));
    }

    private void finishWrite(PendingWrite write) {
        if (queue.peek() != write) {
            return;
        }
        if (simulator.micros() < stalledUntilMicros) {
            simulator.scheduleAt(stalledUntilMicros, () -> finishWrite(write));
            return;
        }
        queue.remove();
        boolean written = !rejectsWrites;
        if (written) {
            apply(write);
        }
        if (!queue.isEmpty()) {
            startWrite();
        }
        machine.runOrDefer(
                () -> {
                    if (written) {
                        write.completion().complete(null);
                    } else {
                        write.completion()
                                .completeExceptionally(
                                        new IllegalStateException("the disk refuses"));
                    }
                });
    }

    private void apply(PendingWrite write) {
        write.entries()
                .forEach(
                        (name, value) -> {
                            if (value.isEmpty()) {
                                durable.remove(name);
                            } else {
                                durable.put(name, value);
                            }
                        });
    }

    /** The process ended, or the power went. */
    void interrupt() {
        int writtenCount = rejectsWrites ? 0 : simulator.random.nextInt(queue.size() + 1);
        for (int i = 0; i < writtenCount; i++) {
            apply(queue.remove());
        }
        queue.clear();
    }

    void wipe() {
        queue.clear();
        durable.clear();
    }

    void stall(double durationMillis) {
        stalledUntilMicros =
                Math.max(
                        stalledUntilMicros,
                        simulator.micros() + Math.round(durationMillis * 1_000));
    }

    void setSlowdown(double factor) {
        slowdown = factor;
    }

    void setRejectsWrites(boolean rejects) {
        rejectsWrites = rejects;
    }

    boolean isFaulty() {
        return rejectsWrites || slowdown > 1 || simulator.micros() < stalledUntilMicros;
    }
}
