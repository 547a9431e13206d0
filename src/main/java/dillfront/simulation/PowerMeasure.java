package dillfront.simulation;

import dillfront.common.logging.Log;
import dillfront.router.memory.RouterStateStore;
import dillfront.routing.api.MemberState;
import dillfront.simulation.processes.InvariantChecker;
import dillfront.simulation.processes.LoadGenerator;
import dillfront.simulation.processes.Rig;
import dillfront.simulation.processes.RouterProcess;
import dillfront.simulation.processes.SimulatedNode;
import dillfront.simulation.processes.TransactionMix;
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
 * Measures recovery from a power loss of all machines. Real processes lose power repeatedly and
 * restart with a state store that persists writes before they are sent; an audit checks the
 * complete record. Also measures the cost of the state store, checks all event orders of a small
 * model, and simulates the return of a cold fleet in virtual time with 100 and 1,000 routers
 * against an ideal router that uses the full capacity of the nodes. Prints one line of results.
 */
public final class PowerMeasure {

    private static final int ROUTERS = 4;
    private static final int RIG_COUNT = 4;
    private static final int LOSSES_PER_RIG = 5;

    /** Recovery is complete once all routers together have served this many transactions. */
    private static final int RECOVERED_TXNS = 100;

    private static final SimulatedNode.Capacity WORK =
            new SimulatedNode.Capacity(2, 5000, 0.2, 3000, 2, 1000);
    private static final SimulatedNode.Capacity FAST_WORK =
            new SimulatedNode.Capacity(8, 500, 0.2, 3000, 2, 1000);
    private static final int CLOSED_LOOP_CLIENTS = 64;
    private static final long CLOSED_LOOP_MS = 1500;

    private PowerMeasure() {}

    /** Prints one line of results. */
    public static void main(String[] args) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(RIG_COUNT + 1);
        List<Future<Losses>> fleets = new ArrayList<>();
        for (int i = 0; i < RIG_COUNT; i++) {
            int seed = 30 + i;
            fleets.add(executor.submit(() -> measureLosses(ROUTERS, LOSSES_PER_RIG, seed)));
        }
        // Baseline: one router that gets the load of all four, run in parallel.
        Future<Losses> idealRouter = executor.submit(() -> measureLosses(1, LOSSES_PER_RIG, 30));
        Losses total = new Losses(new ArrayList<>(), new long[6], 0);
        for (Future<Losses> fleet : fleets) {
            total = total.merge(fleet.get());
        }
        executor.shutdown();
        double medianBackMs = median(total.backMs);
        String line =
                String.format(
                        Locale.ROOT,
                        "power: processes=%d losses=%d twice=%d drained=%d stale=%d tipped=%d unanswered=%d "
                                + "back_ms=%.0f back_ms_vs_ideal=%.2f cold_peak_of_limit=%.2f",
                        RIG_COUNT * ROUTERS,
                        total.backMs.size(),
                        total.breachesByRule[2],
                        total.breachesByRule[3],
                        total.breachesByRule[5],
                        total.breachesByRule[4],
                        total.breachesByRule[1],
                        medianBackMs,
                        medianBackMs / median(idealRouter.get().backMs),
                        total.peakLoad);
        double[] mix = {measureRate(true, false), measureRate(false, false)};
        double[] writes = {measureRate(true, true), measureRate(false, true)};
        line +=
                String.format(
                        Locale.ROOT,
                        " memory_cost=%.2f memory_cost_of_writes=%.2f writes_per_s=%.0f recover_ms_100k=%d",
                        mix[0] / mix[1],
                        writes[0] / writes[1],
                        writes[0],
                        measureRecoveryMillis(100_000));
        RouterModelChecker.CheckResult modelChecking =
                RouterModelChecker.explore(
                        5, Integer.MAX_VALUE, RouterModelChecker.InjectedFault.NONE);
        if (modelChecking.violation() != null) {
            throw new IllegalStateException(modelChecking.toString());
        }
        ColdStartSimulation.Outcome[] with100Routers = simulate(100, 200);
        ColdStartSimulation.Outcome[] with1000Routers = simulate(1000, 4);
        ColdStartSimulation.Outcome[] afterBurst =
                IntStream.range(0, 24)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        ColdStartSimulation.run(
                                                new ColdStartSimulation.Scenario(
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
                        .toArray(ColdStartSimulation.Outcome[]::new);
        System.out.printf(
                Locale.ROOT,
                "%s small_states=%d first_s_100=%.2f served_of_could_100=%.2f cold_peak_of_limit_100=%.2f "
                        + "first_s_1000=%.2f served_of_could_1000=%.2f cold_peak_of_limit_1000=%.2f wave_of_mean=%.2f%n",
                line,
                modelChecking.states(),
                worst(with100Routers, 0),
                mean(with100Routers),
                worst(with100Routers, 1),
                worst(with1000Routers, 0),
                mean(with1000Routers),
                worst(with1000Routers, 1),
                Arrays.stream(afterBurst)
                        .mapToDouble(ColdStartSimulation.Outcome::retryPeak)
                        .max()
                        .orElse(0));
    }

    /**
     * @param backMs for each power loss, the time until enough transactions were served after it
     */
    private record Losses(List<Long> backMs, long[] breachesByRule, double peakLoad) {

        Losses merge(Losses other) {
            List<Long> mergedBackMs = new ArrayList<>(backMs);
            mergedBackMs.addAll(other.backMs);
            long[] sum = new long[breachesByRule.length];
            Arrays.setAll(sum, i -> breachesByRule[i] + other.breachesByRule[i]);
            return new Losses(mergedBackMs, sum, Math.max(peakLoad, other.peakLoad));
        }
    }

    private static double median(List<Long> values) {
        return values.stream().sorted().skip(values.size() / 2).findFirst().orElse(0L);
    }

    private static String storageSettings(Rig rig, int router) {
        return "memory(folder = \"" + rig.folder().resolve("m" + router) + "\")\ndoubts()\n";
    }

    private static ColdStartSimulation.Outcome[] simulate(int routerCount, int seeds) {
        return IntStream.range(0, seeds)
                .parallel()
                .mapToObj(
                        seed ->
                                ColdStartSimulation.run(
                                        new ColdStartSimulation.Scenario(
                                                routerCount,
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
                .toArray(ColdStartSimulation.Outcome[]::new);
    }

    private static double worst(ColdStartSimulation.Outcome[] outcomes, int column) {
        return Arrays.stream(outcomes)
                .mapToDouble(
                        outcome -> column == 0 ? outcome.firstServedSeconds() : outcome.peakLoad())
                .max()
                .orElse(0);
    }

    private static double mean(ColdStartSimulation.Outcome[] outcomes) {
        return Arrays.stream(outcomes)
                .mapToDouble(ColdStartSimulation.Outcome::servedFraction)
                .average()
                .orElse(0);
    }

    /**
     * Returns the time in milliseconds to read a state store with this number of closed nodes after
     * a restart, in a JVM that has read one before.
     */
    private static long measureRecoveryMillis(int closings) throws Exception {
        Path folder = Files.createTempDirectory("dillfront-memory");
        Log log = new Log(new PrintStream(OutputStream.nullOutputStream()));
        try {
            RouterStateStore store = RouterStateStore.open(folder, "r0", log, Runnable::run);
            for (int i = 0; i < closings; i++) {
                store.nodeClosed("s-" + i, MemberState.DRAINING, i, i);
            }
            CountDownLatch persisted = new CountDownLatch(1);
            store.whenKept(success -> persisted.countDown());
            persisted.await();
            store.close();
            long startNanos = System.nanoTime();
            RouterStateStore recovered = RouterStateStore.open(folder, "r0", log, Runnable::run);
            int found = recovered.closings().size();
            long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
            recovered.close();
            if (found != closings) {
                throw new IllegalStateException(
                        "expected " + closings + " closed nodes, recovered " + found);
            }
            return elapsedMillis;
        } finally {
            try (Stream<Path> paths = Files.walk(folder)) {
                for (Path file : paths.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    /**
     * Returns the transactions per second that one router serves to clients that send the next
     * request as soon as the last is answered.
     */
    private static double measureRate(boolean persistsState, boolean writes) throws Exception {
        Rig.Plan plan = Rig.Plan.of(1, 1, 3).capacity(FAST_WORK);
        try (Rig rig =
                new Rig(persistsState ? plan.operatorFile(PowerMeasure::storageSettings) : plan)) {
            rig.start();
            long[] count = new long[1];
            rig.harness()
                    .run(
                            () -> {
                                for (int i = 0; i < CLOSED_LOOP_CLIENTS; i++) {
                                    sendNext(rig, writes, count);
                                }
                            });
            Thread.sleep(CLOSED_LOOP_MS / 2);
            long startNanos = rig.harness().nowNanos();
            long before = rig.harness().call(() -> count[0]);
            Thread.sleep(CLOSED_LOOP_MS);
            long after = rig.harness().call(() -> count[0]);
            double rate = (after - before) * 1e9 / (rig.harness().nowNanos() - startNanos);
            rig.harness().run(() -> count[0] = Long.MIN_VALUE / 2);
            rig.awaitAllAnswered();
            return rate;
        }
    }

    private static void sendNext(Rig rig, boolean writes, long[] count) {
        if (count[0] < 0) {
            return;
        }
        long number = ++count[0];
        TransactionMix.TransactionType type =
                writes
                        ? TransactionMix.type("move")
                        : TransactionMix.TYPES.get((int) (number % TransactionMix.TYPES.size()));
        rig.router(0)
                .client()
                .submit(
                        type.name(),
                        0,
                        type.isWrite() ? "c" + number : "16-" + number % 1000,
                        1500,
                        0,
                        answer -> sendNext(rig, writes, count));
    }

    /**
     * Runs real processes: all lose power, nodes and routers restart side by side, the next
     * transactions are served, and so on.
     */
    private static Losses measureLosses(int routers, int count, long seed) throws Exception {
        try (Rig rig =
                new Rig(
                        Rig.Plan.of(routers, 2, 3)
                                .capacity(WORK)
                                .zones("a", "b", "c")
                                .operatorFile(PowerMeasure::storageSettings))) {
            rig.start();
            LoadGenerator load = new LoadGenerator(rig, seed, 5000);
            load.start();
            List<Long> backMs = new ArrayList<>();
            for (int loss = 0; loss < count; loss++) {
                awaitServed(rig, load);
                rig.losePower();
                for (SimulatedNode node : rig.nodes()) {
                    rig.restartNode(node, 0);
                }
                for (int router = 0; router < routers; router++) {
                    rig.agent(router, 0).open();
                }
                long startNanos = rig.harness().nowNanos();
                rig.start();
                awaitServed(rig, load);
                backMs.add((rig.harness().nowNanos() - startNanos) / 1_000_000);
            }
            load.stop();
            rig.awaitAllAnswered();
            rig.routers().forEach(RouterProcess::shutDown);
            InvariantChecker audit = InvariantChecker.of(rig.harness().events(), true);
            long[] rules = new long[6];
            audit.violations().forEach(breach -> rules[breach.rule()]++);
            return new Losses(backMs, rules, audit.peakWarmupLoad());
        }
    }

    private static void awaitServed(Rig rig, LoadGenerator load) {
        List<String> incarnationIds =
                rig.routers().stream().map(RouterProcess::incarnation).toList();
        rig.harness()
                .await(
                        RECOVERED_TXNS + " were served",
                        () ->
                                incarnationIds.stream().mapToInt(load::committed).sum()
                                        >= RECOVERED_TXNS);
    }
}
