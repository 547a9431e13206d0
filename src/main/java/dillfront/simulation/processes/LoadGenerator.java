package dillfront.simulation.processes;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Clients that ask at all routers, by a seed: each type in turn, at a steady rate, whatever comes
 * back.
 */
public final class LoadGenerator {

    private final Rig rig;
    private final SplittableRandom random;
    private final long intervalNanos;
    private final long timeoutMs;
    private boolean running;
    private final Map<String, Integer> committed = new HashMap<>();
    private long writeCount;

    /** When the next is due, whatever the machine does meanwhile. */
    private long nextDueNanos;

    /**
     * @param intervalMicros between two queries, over all routers
     */
    public LoadGenerator(Rig rig, long seed, long intervalMicros) {
        this(rig, seed, intervalMicros, 1500);
    }

    /**
     * @param intervalMicros between two transactions; waitMs is what a client allows one
     */
    public LoadGenerator(Rig rig, long seed, long intervalMicros, long timeoutMs) {
        this.rig = rig;
        this.timeoutMs = timeoutMs;
        random = new SplittableRandom(seed);
        intervalNanos = intervalMicros * 1000;
    }

    /** Sends from now on. */
    public void start() {
        rig.harness()
                .run(
                        () -> {
                            running = true;
                            nextDueNanos = rig.harness().nowNanos();
                            submitNext();
                        });
    }

    /** On the loop: how many this life of a router has served. */
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
