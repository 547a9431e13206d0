package dillfront.simulation;

import dillfront.common.logging.Log;
import dillfront.router.memory.RouterStateStore;
import dillfront.routing.api.MemberState;
import dillfront.simulation.processes.Audit;
import dillfront.simulation.processes.Load;
import dillfront.simulation.processes.Mix;
import dillfront.simulation.processes.Node;
import dillfront.simulation.processes.Rig;
import dillfront.simulation.processes.Router;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Power lost by all at once: real processes that lose it again and again and come back, judged over
 * all of it, with a memory that keeps writes before they are sent; what that memory costs; all
 * orders of events in a small world; and the return of a cold fleet in virtual time, at 100 and
 * 1,000 routers, against one that could use all that nodes can do. Ends with one line.
 */
public final class PowerMeasure {

    private static final int ROUTERS = 4;
    private static final int RIGS = 4;
    private static final int LOSSES = 5;

    /** A return is over once so many txns were served, by all routers. */
    private static final int SERVED = 100;

    private static final Node.Work WORK = new Node.Work(2, 5000, 0.2, 3000, 2, 1000);
    private static final Node.Work QUICK = new Node.Work(8, 500, 0.2, 3000, 2, 1000);
    private static final int CLOSED = 64;
    private static final long CLOSED_MS = 1500;

    private PowerMeasure() {}

    /** Prints one line of results. */
    public static void main(String[] args) throws Exception {
        ExecutorService rigs = Executors.newFixedThreadPool(RIGS + 1);
        List<Future<Losses>> fleets = new ArrayList<>();
        for (int i = 0; i < RIGS; i++) {
            int seed = 30 + i;
            fleets.add(rigs.submit(() -> losses(ROUTERS, LOSSES, seed)));
        }
        // One router that gets all that the four get, beside them.
        Future<Losses> ideal = rigs.submit(() -> losses(1, LOSSES, 30));
        Losses all = new Losses(new ArrayList<>(), new long[6], 0);
        for (Future<Losses> one : fleets) {
            all = all.and(one.get());
        }
        rigs.shutdown();
        double back = median(all.backMs);
        String line =
                String.format(
                        Locale.ROOT,
                        "power: processes=%d losses=%d twice=%d drained=%d stale=%d tipped=%d unanswered=%d "
                                + "back_ms=%.0f back_ms_vs_ideal=%.2f cold_peak_of_limit=%.2f",
                        RIGS * ROUTERS,
                        all.backMs.size(),
                        all.rules[2],
                        all.rules[3],
                        all.rules[5],
                        all.rules[4],
                        all.rules[1],
                        back,
                        back / median(ideal.get().backMs),
                        all.peak);
        double[] mix = {rate(true, false), rate(false, false)};
        double[] writes = {rate(true, true), rate(false, true)};
        line +=
                String.format(
                        Locale.ROOT,
                        " memory_cost=%.2f memory_cost_of_writes=%.2f writes_per_s=%.0f recover_ms_100k=%d",
                        mix[0] / mix[1],
                        writes[0] / writes[1],
                        writes[0],
                        recoverMs(100_000));
        Small.Found small = Small.explore(5, Integer.MAX_VALUE, Small.Plant.NONE);
        if (small.broken() != null) {
            throw new IllegalStateException(small.toString());
        }
        Dark.Outcome[] hundred = play(100, 200);
        Dark.Outcome[] thousand = play(1000, 4);
        Dark.Outcome[] crowd =
                IntStream.range(0, 24)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        Dark.play(
                                                new Dark.Case(
                                                        100,
                                                        4,
                                                        4,
                                                        0.3 + 0.1 * (seed % 8),
                                                        0.2,
                                                        2,
                                                        3,
                                                        1,
                                                        1,
                                                        0,
                                                        0,
                                                        seed)))
                        .toArray(Dark.Outcome[]::new);
        System.out.printf(
                Locale.ROOT,
                "%s small_states=%d first_s_100=%.2f served_of_could_100=%.2f cold_peak_of_limit_100=%.2f "
                        + "first_s_1000=%.2f served_of_could_1000=%.2f cold_peak_of_limit_1000=%.2f wave_of_mean=%.2f%n",
                line,
                small.states(),
                worst(hundred, 0),
                mean(hundred),
                worst(hundred, 1),
                worst(thousand, 0),
                mean(thousand),
                worst(thousand, 1),
                Arrays.stream(crowd).mapToDouble(Dark.Outcome::wave).max().orElse(0));
    }

    /**
     * @param backMs of each loss, until SERVED were served after it
     */
    private record Losses(List<Long> backMs, long[] rules, double peak) {

        Losses and(Losses other) {
            List<Long> all = new ArrayList<>(backMs);
            all.addAll(other.backMs);
            long[] sum = new long[rules.length];
            Arrays.setAll(sum, i -> rules[i] + other.rules[i]);
            return new Losses(all, sum, Math.max(peak, other.peak));
        }
    }

    private static double median(List<Long> of) {
        return of.stream().sorted().skip(of.size() / 2).findFirst().orElse(0L);
    }

    private static String memory(Rig rig, int r) {
        return "memory(folder = \"" + rig.folder().resolve("m" + r) + "\")\ndoubts()\n";
    }

    private static Dark.Outcome[] play(int routers, int seeds) {
        return IntStream.range(0, seeds)
                .parallel()
                .mapToObj(
                        seed ->
                                Dark.play(
                                        new Dark.Case(
                                                routers,
                                                4,
                                                4,
                                                0.3 + 0.1 * (seed % 8),
                                                0.2,
                                                2 + seed % 2,
                                                1 + seed % 3,
                                                1 + seed % 3,
                                                0,
                                                seed % 4 * 0.15,
                                                seed % 5 * 0.1,
                                                seed)))
                .toArray(Dark.Outcome[]::new);
    }

    private static double worst(Dark.Outcome[] of, int which) {
        return Arrays.stream(of)
                .mapToDouble(o -> which == 0 ? o.first() : o.peak())
                .max()
                .orElse(0);
    }

    private static double mean(Dark.Outcome[] of) {
        return Arrays.stream(of).mapToDouble(Dark.Outcome::served).average().orElse(0);
    }

    /**
     * How long the next life takes to read a memory of so many closed nodes, in a JVM that has read
     * one before.
     */
    private static long recoverMs(int closings) throws Exception {
        Path folder = Files.createTempDirectory("dillfront-memory");
        Log log = new Log(new PrintStream(OutputStream.nullOutputStream()));
        try {
            RouterStateStore first = RouterStateStore.open(folder, "r0", log, Runnable::run);
            for (int i = 0; i < closings; i++) {
                first.nodeClosed("s-" + i, MemberState.DRAINING, i, i);
            }
            CountDownLatch kept = new CountDownLatch(1);
            first.whenKept(well -> kept.countDown());
            kept.await();
            first.close();
            long from = System.nanoTime();
            RouterStateStore next = RouterStateStore.open(folder, "r0", log, Runnable::run);
            int found = next.closings().size();
            long took = (System.nanoTime() - from) / 1_000_000;
            next.close();
            if (found != closings) {
                throw new IllegalStateException("of " + closings + " there are " + found);
            }
            return took;
        } finally {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path file : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    /**
     * How many txns a second one router serves, to clients that ask the next as soon as they have
     * an answer.
     */
    private static double rate(boolean remembers, boolean writes) throws Exception {
        Rig.Plan plan = Rig.Plan.of(1, 1, 3).work(QUICK);
        try (Rig rig = new Rig(remembers ? plan.operator(PowerMeasure::memory) : plan)) {
            rig.start();
            long[] count = new long[1];
            rig.stage()
                    .run(
                            () -> {
                                for (int i = 0; i < CLOSED; i++) {
                                    next(rig, writes, count);
                                }
                            });
            Thread.sleep(CLOSED_MS / 2);
            long from = rig.stage().now();
            long before = rig.stage().call(() -> count[0]);
            Thread.sleep(CLOSED_MS);
            long after = rig.stage().call(() -> count[0]);
            double rate = (after - before) * 1e9 / (rig.stage().now() - from);
            rig.stage().run(() -> count[0] = Long.MIN_VALUE / 2);
            rig.settle();
            return rate;
        }
    }

    private static void next(Rig rig, boolean writes, long[] count) {
        if (count[0] < 0) {
            return;
        }
        long number = ++count[0];
        Mix.Type type =
                writes ? Mix.type("move") : Mix.TYPES.get((int) (number % Mix.TYPES.size()));
        rig.router(0)
                .caller()
                .ask(
                        type.name(),
                        0,
                        type.write() ? "c" + number : "16-" + number % 1000,
                        1500,
                        0,
                        a -> next(rig, writes, count));
    }

    /**
     * Real processes: all lose power, nodes and routers come back side by side, as many are served
     * again, and so on.
     */
    private static Losses losses(int routers, int many, long seed) throws Exception {
        try (Rig rig =
                new Rig(
                        Rig.Plan.of(routers, 2, 3)
                                .work(WORK)
                                .zones("a", "b", "c")
                                .operator(PowerMeasure::memory))) {
            rig.start();
            Load load = new Load(rig, seed, 5000);
            load.start();
            List<Long> backMs = new ArrayList<>();
            for (int loss = 0; loss < many; loss++) {
                served(rig, load);
                rig.cut();
                for (Node node : rig.nodes()) {
                    rig.back(node, 0);
                }
                for (int r = 0; r < routers; r++) {
                    rig.agent(r, 0).open();
                }
                long at = rig.stage().now();
                rig.start();
                served(rig, load);
                backMs.add((rig.stage().now() - at) / 1_000_000);
            }
            load.stop();
            rig.settle();
            rig.routers().forEach(Router::end);
            Audit audit = Audit.of(rig.stage().record(), true);
            long[] rules = new long[6];
            audit.breaches().forEach(b -> rules[b.rule()]++);
            return new Losses(backMs, rules, audit.peak());
        }
    }

    private static void served(Rig rig, Load load) {
        List<String> lives = rig.routers().stream().map(Router::life).toList();
        rig.stage()
                .await(
                        SERVED + " were served",
                        () -> lives.stream().mapToInt(load::committed).sum() >= SERVED);
    }
}
