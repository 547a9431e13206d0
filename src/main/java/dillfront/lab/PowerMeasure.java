package dillfront.lab;

import dillfront.lab.rig.Audit;
import dillfront.lab.rig.Load;
import dillfront.lab.rig.Node;
import dillfront.lab.rig.Rig;
import dillfront.lab.rig.Router;
import dillfront.log.Log;
import dillfront.memory.Memory;
import dillfront.port.Standing;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Power lost by all at once: real processes that lose it again and again and come back, judged over all of it; and the return of
 * a cold fleet in virtual time, at 100 and 1,000 routers, against one that could use all that nodes can do. Ends with one line.
 */
public final class PowerMeasure {

    private static final int ROUTERS = 4;
    private static final int LOSSES = 6;
    private static final Node.Work WORK = new Node.Work(2, 5000, 0.2, 3000, 2, 1000);

    private PowerMeasure() {}

    public static void main(String[] args) throws Exception {
        Dark.Outcome[] hundred = play(100, 200);
        Dark.Outcome[] thousand = play(1000, 12);
        String line = "power: processes=" + ROUTERS + " " + losses() + " recover_ms_100k=" + recoverMs(100_000);
        System.out.printf(Locale.ROOT, "%s first_s_100=%.2f served_of_could_100=%.2f cold_peak_of_limit_100=%.2f first_s_1000=%.2f "
                + "served_of_could_1000=%.2f cold_peak_of_limit_1000=%.2f%n", line, worst(hundred, 0), mean(hundred), worst(hundred, 1),
                worst(thousand, 0), mean(thousand), worst(thousand, 1));
    }

    private static Dark.Outcome[] play(int routers, int seeds) {
        return IntStream.range(0, seeds).parallel().mapToObj(seed -> Dark.play(new Dark.Case(routers, 4, 4, 0.3 + 0.1 * (seed % 8),
                0.2, 2 + seed % 2, 1 + seed % 3, 1 + seed % 3, 0, seed % 4 * 0.15, seed % 5 * 0.1, seed))).toArray(Dark.Outcome[]::new);
    }

    private static double worst(Dark.Outcome[] of, int which) {
        return Arrays.stream(of).mapToDouble(o -> which == 0 ? o.first() : o.peak()).max().orElse(0);
    }

    private static double mean(Dark.Outcome[] of) {
        return Arrays.stream(of).mapToDouble(Dark.Outcome::served).average().orElse(0);
    }

    /** How long the next life takes to read a memory of so many closed nodes, in a JVM that has read one before. */
    private static long recoverMs(int closings) throws Exception {
        Path folder = Files.createTempDirectory("dillfront-memory");
        Log log = new Log(new PrintStream(OutputStream.nullOutputStream()));
        try {
            Memory first = Memory.open(folder, "r0", log, Runnable::run);
            for (int i = 0; i < closings; i++) {
                first.closed("s-" + i, Standing.DRAINING, i, i);
            }
            CountDownLatch kept = new CountDownLatch(1);
            first.whenKept(well -> kept.countDown());
            kept.await();
            first.close();
            long from = System.nanoTime();
            Memory next = Memory.open(folder, "r0", log, Runnable::run);
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

    /** Real processes: all lose power, nodes and routers come back side by side, each serves again, and so on. */
    private static String losses() throws Exception {
        try (Rig rig = new Rig(Rig.Plan.of(ROUTERS, 2, 3).work(WORK).zones("a", "b", "c"))) {
            rig.start();
            Load load = new Load(rig, 30, 5000);
            load.start();
            long[] backMs = new long[LOSSES];
            for (int loss = 0; loss < LOSSES; loss++) {
                served(rig, load, 10);
                rig.cut();
                for (Node node : rig.nodes()) {
                    rig.back(node, 0);
                }
                for (int r = 0; r < ROUTERS; r++) {
                    rig.agent(r, 0).open();
                }
                long at = rig.stage().now();
                rig.start();
                served(rig, load, 10);
                backMs[loss] = (rig.stage().now() - at) / 1_000_000;
            }
            load.stop();
            rig.settle();
            rig.routers().forEach(Router::end);
            Audit audit = Audit.of(rig.stage().record());
            long[] rules = new long[6];
            audit.breaches().forEach(b -> rules[b.rule()]++);
            Arrays.sort(backMs);
            return String.format(Locale.ROOT, "losses=%d twice=%d drained=%d stale=%d tipped=%d unanswered=%d back_ms=%d "
                    + "cold_peak_of_limit=%.2f", LOSSES, rules[2], rules[3], rules[5], rules[4], rules[1], backMs[LOSSES / 2], audit.peak());
        }
    }

    private static void served(Rig rig, Load load, int many) {
        List<String> lives = rig.routers().stream().map(Router::life).toList();
        rig.stage().await("each served " + many, () -> lives.stream().allMatch(life -> load.committed(life) >= many));
    }
}
