package dillfront.simulation.processes;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Clients that ask at all routers, by a seed: each type in turn, at a steady rate, whatever comes
 * back.
 */
public final class Load {

    private final Rig rig;
    private final SplittableRandom chance;
    private final long gapNanos;
    private final long waitMs;
    private boolean on;
    private final Map<String, Integer> committed = new HashMap<>();
    private long asked;

    /** When the next is due, whatever the machine does meanwhile. */
    private long due;

    /**
     * @param gapMicros between two queries, over all routers
     */
    public Load(Rig rig, long seed, long gapMicros) {
        this(rig, seed, gapMicros, 1500);
    }

    /**
     * @param gapMicros between two transactions; waitMs is what a client allows one
     */
    public Load(Rig rig, long seed, long gapMicros, long waitMs) {
        this.rig = rig;
        this.waitMs = waitMs;
        chance = new SplittableRandom(seed);
        gapNanos = gapMicros * 1000;
    }

    /** Sends from now on. */
    public void start() {
        rig.stage()
                .run(
                        () -> {
                            on = true;
                            due = rig.stage().now();
                            next();
                        });
    }

    /** On the loop: how many this life of a router has served. */
    public int committed(String life) {
        return committed.getOrDefault(life, 0);
    }

    public void stop() {
        rig.stage().run(() -> on = false);
    }

    private void next() {
        if (!on) {
            return;
        }
        due += gapNanos;
        rig.stage().loop().schedule(this::next, due - rig.stage().now(), TimeUnit.NANOSECONDS);
        Router router = rig.router(chance.nextInt(rig.routers().size()));
        Mix.Type type = Mix.TYPES.get(chance.nextInt(Mix.TYPES.size()));
        int group = chance.nextInt(rig.groups().size());
        String key = type.write() ? "k" + ++asked : "16-" + chance.nextInt(1000);
        if (!router.down()) {
            String life = router.life();
            router.caller()
                    .ask(
                            type.name(),
                            group,
                            key,
                            waitMs,
                            0,
                            a ->
                                    committed.merge(
                                            life,
                                            a.how().equals("committed") ? 1 : 0,
                                            Integer::sum));
        }
    }
}
