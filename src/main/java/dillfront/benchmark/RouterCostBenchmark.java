package dillfront.benchmark;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Measures what a router costs against the text of another folder and against a plain relay, all in
 * one run and in turns, and prints one line of ratios. Each was built there already.
 */
public final class RouterCostBenchmark {

    private static final int ROUNDS = 2;
    private static final int CLIENTS = 40;
    private static final long CLIENT_PAUSE_MICROS = 100_000;
    private static final long LOAD_MILLIS = 700;
    private static final int DRAINS = 9;
    private static final String JVM_FLAGS =
            "-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Dio.netty.allocator.numDirectArenas=1 "
                    + "-Dio.netty.allocator.smallCacheSize=0 -Dio.netty.allocator.normalCacheSize=0";

    /**
     * What one start and its load took: CPU to serving, CPU a txn at first and once warm, in
     * microseconds.
     */
    private record CostSample(
            double startMicros,
            double warmUpMicrosPerTxn,
            double warmMicrosPerTxn,
            double idleMicros) {}

    private RouterCostBenchmark() {}

    private static CostSample measure(List<String> command, Path folder)
            throws IOException, InterruptedException {
        try (StubBackends backends = new StubBackends(20_000);
                RouterProcess router = new RouterProcess(command, folder, backends, 1.0)) {
            long start = router.cpuMicros();
            long warmUpTxns =
                    backends.runLoad(router.port, CLIENTS, CLIENT_PAUSE_MICROS, 400, LOAD_MILLIS)[
                            1];
            long warmUpEnd = router.cpuMicros();
            long warmTxns =
                    backends.runLoad(router.port, CLIENTS, CLIENT_PAUSE_MICROS, 400, LOAD_MILLIS)[
                            1];
            long warmEnd = router.cpuMicros();
            Thread.sleep(200);
            long idleStart = router.cpuMicros();
            Thread.sleep(1000);
            return new CostSample(
                    start,
                    (warmUpEnd - start) / (double) warmUpTxns,
                    (warmEnd - warmUpEnd) / (double) warmTxns,
                    router.cpuMicros() - idleStart);
        }
    }

    /**
     * A router that stands still for three quarters of the time, with clients that never pause: for
     * how long after each drain was told its node still gets new txns, in milliseconds; the worst
     * of a few.
     */
    private static double worstDrainDelayMillis(Path folder)
            throws IOException, InterruptedException {
        double worstMillis = 0;
        try (StubBackends backends = new StubBackends(5_000);
                RouterProcess router =
                        new RouterProcess(
                                RouterProcess.deployedCommand(folder, "run"),
                                folder,
                                backends,
                                1.0)) {
            Thread load =
                    new Thread(
                            () -> {
                                try {
                                    backends.runLoad(
                                            router.port, CLIENTS, 1_000, 400, DRAINS * 450L + 500);
                                } catch (IOException | InterruptedException ended) {
                                    // The figure below is what counts.
                                }
                            },
                            "load");
            load.start();
            Thread pauser =
                    new Thread(
                            () -> {
                                try {
                                    while (load.isAlive()) {
                                        router.signal("STOP");
                                        Thread.sleep(60);
                                        router.signal("CONT");
                                        Thread.sleep(20);
                                    }
                                } catch (IOException | InterruptedException ended) {
                                    // As above.
                                }
                            },
                            "hand");
            pauser.start();
            Thread.sleep(500);
            for (int i = 0; i < DRAINS; i++) {
                int node = 1 + i % (StubBackends.NODES_PER_GROUP - 1);
                long drainedAtNanos = System.nanoTime();
                backends.setLifecycle(node, "draining");
                Thread.sleep(300);
                if (backends.arrivals(node).isEmpty()) {
                    throw new IOException("no load: node " + node + " was never used");
                }
                for (long arrivalNanos : backends.arrivals(node)) {
                    worstMillis = Math.max(worstMillis, (arrivalNanos - drainedAtNanos) / 1e6);
                }
                backends.setLifecycle(node, "ready");
                Thread.sleep(150);
            }
            load.join();
            pauser.join();
        }
        return worstMillis;
    }

    private static CostSample medianOf(List<CostSample> samples) {
        return new CostSample(
                median(samples.stream().map(CostSample::startMicros).toList()),
                median(samples.stream().map(CostSample::warmUpMicrosPerTxn).toList()),
                median(samples.stream().map(CostSample::warmMicrosPerTxn).toList()),
                median(samples.stream().map(CostSample::idleMicros).toList()));
    }

    private static double median(List<Double> values) {
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return (sorted.get((sorted.size() - 1) / 2) + sorted.get(sorted.size() / 2)) / 2;
    }

    /** The counts of one txn, by a process of its own. */
    static String runCounter(String classpath) throws IOException, InterruptedException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString()));
        command.addAll(List.of(JVM_FLAGS.split(" ")));
        command.addAll(List.of("-cp", classpath, TransactionCostCounter.class.getName()));
        Process process =
                new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        if (!process.waitFor(40, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            throw new IOException("no counts within 40 s");
        }
        String line =
                new String(
                                process.getInputStream().readAllBytes(),
                                java.nio.charset.StandardCharsets.US_ASCII)
                        .trim();
        if (process.exitValue() != 0) {
            throw new IOException("no counts: " + line);
        }
        return line;
    }

    /**
     * @param args this folder, and the one to be compared with
     */
    public static void main(String[] args) throws Exception {
        Path currentFolder = Path.of(args[0]).toAbsolutePath();
        Path baselineFolder = Path.of(args[1]).toAbsolutePath();
        List<String> relayCommand = RouterProcess.deployedCommand(currentFolder, "run");
        relayCommand.set(
                2,
                relayCommand
                        .get(2)
                        .replace(
                                "-jar target/dillfront.jar serve",
                                "-cp target/dillfront.jar dillfront.benchmark.Relay"));
        List<CostSample> currentSamples = new ArrayList<>();
        List<CostSample> baselineSamples = new ArrayList<>();
        List<CostSample> relaySamples = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            baselineSamples.add(
                    measure(RouterProcess.deployedCommand(baselineFolder, "run"), baselineFolder));
            currentSamples.add(
                    measure(RouterProcess.deployedCommand(currentFolder, "run"), currentFolder));
            relaySamples.add(measure(relayCommand, currentFolder));
        }
        CostSample current = medianOf(currentSamples);
        CostSample baseline = medianOf(baselineSamples);
        CostSample relayed = medianOf(relaySamples);
        System.out.printf(
                Locale.ROOT,
                "cost: cpu_per_txn_now_vs_before=%.2f first_now_vs_before=%.2f relay_ratio=%.2f "
                        + "start_cpu_now_vs_before=%.2f idle_ms_a_second=%.1f list_ms_worst_starved=%.0f %s%n",
                current.warmMicrosPerTxn / baseline.warmMicrosPerTxn,
                current.warmUpMicrosPerTxn / baseline.warmUpMicrosPerTxn,
                current.warmMicrosPerTxn / relayed.warmMicrosPerTxn,
                current.startMicros / baseline.startMicros,
                current.idleMicros / 1000,
                worstDrainDelayMillis(currentFolder),
                runCounter(currentFolder.resolve("target/dillfront.jar").toString()));
        System.exit(0);
    }
}
