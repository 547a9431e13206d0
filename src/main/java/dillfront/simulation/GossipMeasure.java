package dillfront.simulation;

import dillfront.router.gossip.GossipConfig;
import dillfront.router.gossip.Symptom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Measures gossip in virtual time, and once on loopback; prints a table and one line of figures,
 * all of this run. With an argument, also how it is with so many instances.
 */
public final class GossipMeasure {

    private static final int SEEDS = 30;
    private static final int ROUTERS = 20;
    private static final double TXNS_PER_SECOND = 20;

    private GossipMeasure() {}

    private static Duration seconds(double value) {
        return Duration.ofMillis((long) (value * 1000));
    }

    private static RouterSimulation.Scenario scenario(
            double txnsPerSecond,
            boolean gossip,
            RouterSimulation.FalseClaims falseClaims,
            long seed) {
        return new RouterSimulation.Scenario(
                ROUTERS,
                2,
                4,
                txnsPerSecond,
                0,
                seconds(4),
                seconds(4),
                seconds(11),
                gossip,
                falseClaims,
                seed);
    }

    /**
     * Over the seeds: the median of how long pouring went on, in milliseconds, and the means of the
     * rest.
     */
    private record Row(
            double stoppedMillis,
            double earnedFraction,
            double sentToHungNode,
            double falseSuspicions) {}

    private static Row measure(
            double txnsPerSecond, boolean gossip, RouterSimulation.FalseClaims falseClaims) {
        List<Double> stopped = new ArrayList<>();
        double earnedFraction = 0;
        double sentToHungNode = 0;
        double falseSuspicions = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            RouterSimulation.Outcome outcome =
                    RouterSimulation.run(scenario(txnsPerSecond, gossip, falseClaims, seed));
            stopped.add(outcome.timeToStop().toNanos() / 1e6);
            earnedFraction += outcome.earnedFraction() / SEEDS;
            sentToHungNode += outcome.sentToHungNode() / (double) SEEDS;
            falseSuspicions += outcome.falseSuspicionRate() / SEEDS;
        }
        stopped.sort(null);
        return new Row(
                (stopped.get(SEEDS / 2) + stopped.get((SEEDS - 1) / 2)) / 2,
                earnedFraction,
                sentToHungNode,
                falseSuspicions);
    }

    private static Row measureAndPrint(
            double txnsPerSecond, boolean gossip, RouterSimulation.FalseClaims falseClaims) {
        Row row = measure(txnsPerSecond, gossip, falseClaims);
        System.out.printf(
                Locale.ROOT,
                "%4.0f txns/s each, gossip %-3s lie %-9s last pour %6.0f ms  value %.4f  poured %5.1f  "
                        + "false doubts %.5f%n",
                txnsPerSecond,
                gossip ? "on" : "off",
                falseClaims,
                row.stoppedMillis,
                row.earnedFraction,
                row.sentToHungNode,
                row.falseSuspicions);
        return row;
    }

    /** What many instances cost, and how fast a claim and a healed parting spread. */
    private record Size(
            double idleBytesPerSecond,
            double spreadMs,
            double reachedFraction,
            double healSeconds,
            double unknownFraction) {}

    private static Size measureSize(int count, double settleSeconds, boolean partition) {
        VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
        long[] lastReceivedNanos = new long[1];
        int[] receivedCount = new int[1];
        GossipSimulation[] simulation = new GossipSimulation[1];
        simulation[0] =
                new GossipSimulation(
                        count,
                        GossipConfig.DEFAULT,
                        scheduler,
                        7,
                        (instance, claim, age) -> {
                            receivedCount[0]++;
                            lastReceivedNanos[0] =
                                    receivedCount[0] <= 0.95 * (count - 1)
                                            ? scheduler.now().toNanos()
                                            : lastReceivedNanos[0];
                            simulation[0].instances[instance].gossip.forward(claim, claim.origin());
                        });
        simulation[0].start();
        scheduler.runUntil(seconds(settleSeconds));
        double bytesBefore = simulation[0].meanBytesSent();
        scheduler.runUntil(seconds(settleSeconds + 10));
        double idleBytesPerSecond = (simulation[0].meanBytesSent() - bytesBefore) / 10;
        long publishedNanos = scheduler.now().toNanos();
        simulation[0].instances[1].updateClocks();
        simulation[0].instances[1].gossip.publishClaim(5, Symptom.HUNG, 3, Duration.ZERO);
        scheduler.runUntil(seconds(settleSeconds + 15));
        double spreadMs = (lastReceivedNanos[0] - publishedNanos) / 1e6;
        double reachedFraction = receivedCount[0] / (double) (count - 1);
        double healSeconds = 0;
        double unknownFraction = 0;
        if (partition) {
            for (GossipSimulation.Instance instance : simulation[0].instances) {
                instance.partition = instance.index % 2;
            }
            scheduler.runUntil(seconds(settleSeconds + 75));
            unknownFraction = 1 - simulation[0].knownFraction();
            for (GossipSimulation.Instance instance : simulation[0].instances) {
                instance.partition = 0;
            }
            while (simulation[0].knownFraction() < 0.999 && healSeconds < 120) {
                healSeconds++;
                scheduler.runUntil(seconds(settleSeconds + 75 + healSeconds));
            }
        }
        System.out.printf(
                Locale.ROOT,
                "%4d instances: %5.0f bytes/s each, a claim to %3.0f %% of them, 95 %% of all in %6.1f ms%s%n",
                count,
                idleBytesPerSecond,
                100 * reachedFraction,
                spreadMs,
                partition
                        ? String.format(
                                Locale.ROOT,
                                ", parted %.2f unknown, healed in %.0f s",
                                unknownFraction,
                                healSeconds)
                        : "");
        return new Size(
                idleBytesPerSecond, spreadMs, reachedFraction, healSeconds, unknownFraction);
    }

    /**
     * @param args further numbers of instances, measured without a parting
     */
    public static void main(String[] args) throws Exception {
        double speedup = 0;
        double earnedWithFalseClaims = 0;
        for (double txnsPerSecond : new double[] {5, TXNS_PER_SECOND, 60}) {
            Row withoutGossip =
                    measureAndPrint(txnsPerSecond, false, RouterSimulation.FalseClaims.NONE);
            Row withGossip =
                    measureAndPrint(txnsPerSecond, true, RouterSimulation.FalseClaims.NONE);
            Row withFalseClaims =
                    measureAndPrint(txnsPerSecond, true, RouterSimulation.FalseClaims.ALL);
            if (txnsPerSecond == TXNS_PER_SECOND) {
                // A beat is the least that can be told apart.
                speedup = withoutGossip.stoppedMillis / Math.max(20, withGossip.stoppedMillis);
                earnedWithFalseClaims =
                        withFalseClaims.earnedFraction / withoutGossip.earnedFraction;
                measureAndPrint(txnsPerSecond, true, RouterSimulation.FalseClaims.PRIMARIES);
                measureAndPrint(txnsPerSecond, true, RouterSimulation.FalseClaims.HALF);
            }
        }
        Size twenty = measureSize(20, 60, true);
        measureSize(100, 60, true);
        Size many = measureSize(500, 60, false);
        for (String count : args) {
            measureSize(Integer.parseInt(count), 60, false);
        }
        RouterSimulation.Scenario scenario =
                new RouterSimulation.Scenario(
                        ROUTERS,
                        2,
                        4,
                        TXNS_PER_SECOND,
                        0,
                        seconds(2.5),
                        seconds(2),
                        seconds(6),
                        false,
                        RouterSimulation.FalseClaims.NONE,
                        1);
        RouterSimulation.Outcome withoutGossip = LoopbackSimulation.run(scenario);
        RouterSimulation.Outcome withGossip =
                LoopbackSimulation.run(
                        new RouterSimulation.Scenario(
                                ROUTERS,
                                2,
                                4,
                                TXNS_PER_SECOND,
                                0,
                                seconds(2.5),
                                seconds(2),
                                seconds(6),
                                true,
                                RouterSimulation.FalseClaims.ALL,
                                1));
        System.out.printf(
                Locale.ROOT,
                "on loopback, 20 instances, one that lies: last pour %d ms with, %d without; value %.4f, %.4f%n",
                withGossip.timeToStop().toMillis(),
                withoutGossip.timeToStop().toMillis(),
                withGossip.earnedFraction(),
                withoutGossip.earnedFraction());
        System.out.printf(
                Locale.ROOT,
                "gossip: speedup=%.1f liar=%.4f bytes_per_s_20=%.0f bytes_per_s_500=%.0f heal_s=%.0f "
                        + "spread_ms_20=%.1f loopback_liar=%.4f%n",
                speedup,
                earnedWithFalseClaims,
                twenty.idleBytesPerSecond,
                many.idleBytesPerSecond,
                twenty.healSeconds,
                twenty.spreadMs,
                withGossip.earnedFraction() / withoutGossip.earnedFraction());
        System.exit(0);
    }
}
