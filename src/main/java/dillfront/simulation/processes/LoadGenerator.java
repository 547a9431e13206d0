package dillfront.simulation.processes;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Sends queries of random types to random routers, from a seed, at a constant rate that does not
 * depend on the responses.
 */
public final class LoadGenerator {

    private final Rig rig;
    private final SplittableRandom random;
    private final long intervalNanos;
    private final long timeoutMs;
    private boolean running;
    private final Map<String, Integer> committed = new HashMap<>();
    private long writeCount;

    /** When the next query is due; not delayed by a slow machine. */
    private long nextDueNanos;

    /**
     * @param intervalMicros time between two queries, over all routers
     */
    public LoadGenerator(Rig rig, long seed, long intervalMicros) {
        this(rig, seed, intervalMicros, 1500);
    }

    /**
     * @param intervalMicros time between two queries, over all routers
     * @param timeoutMs how long a client waits for its response
     */
    public LoadGenerator(Rig rig, long seed, long intervalMicros, long timeoutMs) {
        this.rig = rig;
        this.timeoutMs = timeoutMs;
        random = new SplittableRandom(seed);
        intervalNanos = intervalMicros * 1000;
    }

    /** Starts sending. */
    public void start() {
        rig.harness()
                .run(
                        () -> {
                            running = true;
                            nextDueNanos = rig.harness().nowNanos();
                            submitNext();
                        });
    }

    /** Returns how many queries this router incarnation has committed. Call on the loop. */
    public int committed(String incarnation) {
        return committed.getOrDefault(incarnation, 0);
    }

    public void stop() {
        rig.harness().run(() -> running = false);
    }

    private void submitNext() {
        if (!running) {
            return;
        }
        nextDueNanos += intervalNanos;
        rig.harness()
                .loop()
                .schedule(
                        this::submitNext,
                        nextDueNanos - rig.harness().nowNanos(),
                        TimeUnit.NANOSECONDS);
        RouterProcess router = rig.router(random.nextInt(rig.routers().size()));
        TransactionMix.TransactionType type =
                TransactionMix.TYPES.get(random.nextInt(TransactionMix.TYPES.size()));
        int group = random.nextInt(rig.groups().size());
        String key = type.isWrite() ? "k" + ++writeCount : "16-" + random.nextInt(1000);
        if (!router.isDown()) {
            String incarnation = router.incarnation();
            router.client()
                    .submit(
                            type.name(),
                            group,
                            key,
                            timeoutMs,
                            0,
                            ended ->
                                    committed.merge(
                                            incarnation,
                                            ended.outcome().equals("committed") ? 1 : 0,
                                            Integer::sum));
        }
    }
}
