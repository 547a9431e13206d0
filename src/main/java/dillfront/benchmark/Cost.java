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
public final class Cost {

    private static final int ROUNDS = 2;
    private static final int CLIENTS = 40;
    private static final long PAUSE_MICROS = 100_000;
    private static final long MILLIS = 700;
    private static final int DRAINS = 9;
    private static final String FLAGS =
            "-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Dio.netty.allocator.numDirectArenas=1 "
                    + "-Dio.netty.allocator.smallCacheSize=0 -Dio.netty.allocator.normalCacheSize=0";

    /**
     * What one start and its load took: CPU to serving, CPU a txn at first and once warm, in
     * microseconds.
     */
    private record Taken(double start, double first, double warm, double idle) {}

    private Cost() {}

    private static Taken one(List<String> command, Path folder)
            throws IOException, InterruptedException {
        try (StandIns round = new StandIns(20_000);
                Drive router = new Drive(command, folder, round, 1.0)) {
            long start = router.cpuMicros();
            long first = round.load(router.port, CLIENTS, PAUSE_MICROS, 400, MILLIS)[1];
            long then = router.cpuMicros();
            long warm = round.load(router.port, CLIENTS, PAUSE_MICROS, 400, MILLIS)[1];
            long end = router.cpuMicros();
            Thread.sleep(200);
            long quiet = router.cpuMicros();
            Thread.sleep(1000);
            return new Taken(
                    start,
                    (then - start) / (double) first,
                    (end - then) / (double) warm,
                    router.cpuMicros() - quiet);
        }
    }

    /**
     * A router that stands still for three quarters of the time, with clients that never pause: for
     * how long after each drain was told its node still gets new txns, in milliseconds; the worst
     * of a few.
     */
    private static double starved(Path folder) throws IOException, InterruptedException {
        double worst = 0;
        try (StandIns round = new StandIns(5_000);
                Drive router = new Drive(Drive.deployed(folder, "run"), folder, round, 1.0)) {
            Thread load =
                    new Thread(
                            () -> {
                                try {
                                    round.load(
                                            router.port, CLIENTS, 1_000, 400, DRAINS * 450L + 500);
                                } catch (IOException | InterruptedException over) {
                                    // The figure below is what counts.
                                }
                            },
                            "load");
            load.start();
            Thread hand =
                    new Thread(
                            () -> {
                                try {
                                    while (load.isAlive()) {
                                        router.signal("STOP");
                                        Thread.sleep(60);
                                        router.signal("CONT");
                                        Thread.sleep(20);
                                    }
                                } catch (IOException | InterruptedException over) {
                                    // As above.
                                }
                            },
                            "hand");
            hand.start();
            Thread.sleep(500);
            for (int i = 0; i < DRAINS; i++) {
                int node = 1 + i % (StandIns.MEMBERS - 1);
                long told = System.nanoTime();
                round.tell(node, "draining");
                Thread.sleep(300);
                if (round.arrivals(node).isEmpty()) {
                    throw new IOException("no load: node " + node + " was never used");
                }
                for (long at : round.arrivals(node)) {
                    worst = Math.max(worst, (at - told) / 1e6);
                }
                round.tell(node, "ready");
                Thread.sleep(150);
            }
            load.join();
            hand.join();
        }
        return worst;
    }

    private static Taken middle(List<Taken> of) {
        return new Taken(
                median(of.stream().map(Taken::start).toList()),
                median(of.stream().map(Taken::first).toList()),
                median(of.stream().map(Taken::warm).toList()),
                median(of.stream().map(Taken::idle).toList()));
    }

    private static double median(List<Double> of) {
        List<Double> sorted = new ArrayList<>(of);
        Collections.sort(sorted);
        return (sorted.get((sorted.size() - 1) / 2) + sorted.get(sorted.size() / 2)) / 2;
    }

    /** The counts of one txn, by a process of its own. */
    static String counts(String classpath) throws IOException, InterruptedException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString()));
        command.addAll(List.of(FLAGS.split(" ")));
        command.addAll(List.of("-cp", classpath, Counts.class.getName()));
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
        Path now = Path.of(args[0]).toAbsolutePath();
        Path before = Path.of(args[1]).toAbsolutePath();
        List<String> relay = Drive.deployed(now, "run");
        relay.set(
                2,
                relay.get(2)
                        .replace(
                                "-jar target/dillfront.jar serve",
                                "-cp target/dillfront.jar dillfront.benchmark.Relay"));
        List<Taken> ofNow = new ArrayList<>();
        List<Taken> ofBefore = new ArrayList<>();
        List<Taken> ofRelay = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            ofBefore.add(one(Drive.deployed(before, "run"), before));
            ofNow.add(one(Drive.deployed(now, "run"), now));
            ofRelay.add(one(relay, now));
        }
        Taken n = middle(ofNow);
        Taken b = middle(ofBefore);
        Taken r = middle(ofRelay);
        System.out.printf(
                Locale.ROOT,
                "cost: cpu_per_txn_now_vs_before=%.2f first_now_vs_before=%.2f relay_ratio=%.2f "
                        + "start_cpu_now_vs_before=%.2f idle_ms_a_second=%.1f list_ms_worst_starved=%.0f %s%n",
                n.warm / b.warm,
                n.first / b.first,
                n.warm / r.warm,
                n.start / b.start,
                n.idle / 1000,
                starved(now),
                counts(now.resolve("target/dillfront.jar").toString()));
        System.exit(0);
    }
}
