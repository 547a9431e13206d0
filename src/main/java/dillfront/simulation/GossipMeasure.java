package dillfront.simulation;

import dillfront.router.gossip.GossipConfig;
import dillfront.router.gossip.Symptom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Measures gossip in virtual time, and once on loopback. Prints a table and one line of results,
 * all of this run. Each argument is a further number of instances to measure.
 */
public final class GossipMeasure {

    private static final int SEEDS = 30;
    private static final int ROUTERS = 20;
    private static final double RATE = 20;

    private GossipMeasure() {}

    private static Duration seconds(double s) {
        return Duration.ofMillis((long) (s * 1000));
    }

    private static RouterSimulation.Scenario script(double rate, boolean gossip, RouterSimulation.FalseClaims lie, long seed) {
        return new RouterSimulation.Scenario(
                ROUTERS, 2, 4, rate, 0, seconds(4), seconds(4), seconds(11), gossip, lie, seed);
    }

    /**
     * Results over all seeds: the median of the time in milliseconds during which routers kept
     * sending to the hung node, and the means of the other values.
     */
    private record Row(double stopped, double value, double poured, double doubts) {}

    private static Row row(double rate, boolean gossip, RouterSimulation.FalseClaims lie) {
        List<Double> stopped = new ArrayList<>();
        double value = 0;
        double poured = 0;
        double doubts = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            RouterSimulation.Outcome one = RouterSimulation.run(script(rate, gossip, lie, seed));
            stopped.add(one.timeToStop().toNanos() / 1e6);
            value += one.earnedFraction() / SEEDS;
            poured += one.sentToHungNode() / (double) SEEDS;
            doubts += one.falseSuspicionRate() / SEEDS;
        }
        stopped.sort(null);
        return new Row(
                (stopped.get(SEEDS / 2) + stopped.get((SEEDS - 1) / 2)) / 2, value, poured, doubts);
    }

    private static Row shown(double rate, boolean gossip, RouterSimulation.FalseClaims lie) {
        Row row = row(rate, gossip, lie);
        System.out.printf(
                Locale.ROOT,
                "%4.0f txns/s each, gossip %-3s lie %-9s last send %6.0f ms  value %.4f  sent %5.1f  "
                        + "false suspicions %.5f%n",
                rate,
                gossip ? "on" : "off",
                lie,
                row.stopped,
                row.value,
                row.poured,
                row.doubts);
        return row;
    }

    /**
     * Cost of a number of instances, and the propagation time of a claim and of the end of a
     * network partition.
     */
    private record Size(
            double quiet, double spreadMs, double heardPart, double healSeconds, double gone) {}

    private static Size size(int count, double settle, boolean parts) {
        VirtualTimeScheduler time = new VirtualTimeScheduler();
        long[] last = new long[1];
        int[] heard = new int[1];
        GossipSimulation[] crowd = new GossipSimulation[1];
        crowd[0] =
                new GossipSimulation(
                        count,
                        GossipConfig.DEFAULT,
                        time,
                        7,
                        (at, claim, age) -> {
                            heard[0]++;
                            last[0] =
                                    heard[0] <= 0.95 * (count - 1) ? time.now().toNanos() : last[0];
                            crowd[0].instances[at].gossip.forward(claim, claim.origin());
                        });
        crowd[0].start();
        time.runUntil(seconds(settle));
        double before = crowd[0].meanBytesSent();
        time.runUntil(seconds(settle + 10));
        double quiet = (crowd[0].meanBytesSent() - before) / 10;
        long said = time.now().toNanos();
        crowd[0].instances[1].updateClocks();
        crowd[0].instances[1].gossip.publishClaim(5, Symptom.HUNG, 3, Duration.ZERO);
        time.runUntil(seconds(settle + 15));
        double spread = (last[0] - said) / 1e6;
        double part = heard[0] / (double) (count - 1);
        double heal = 0;
        double gone = 0;
        if (parts) {
            for (GossipSimulation.Instance one : crowd[0].instances) {
                one.partition = one.index % 2;
            }
            time.runUntil(seconds(settle + 75));
            gone = 1 - crowd[0].knownFraction();
            for (GossipSimulation.Instance one : crowd[0].instances) {
                one.partition = 0;
            }
            while (crowd[0].knownFraction() < 0.999 && heal < 120) {
                heal++;
                time.runUntil(seconds(settle + 75 + heal));
            }
        }
        System.out.printf(
                Locale.ROOT,
                "%4d instances: %5.0f bytes/s each, a claim to %3.0f %% of them, 95 %% of all in %6.1f ms%s%n",
                count,
                quiet,
                100 * part,
                spread,
                parts
                        ? String.format(
                                Locale.ROOT, ", partitioned %.2f unknown, healed in %.0f s", gone, heal)
                        : "");
        return new Size(quiet, spread, part, heal, gone);
    }

    /**
     * @param args further numbers of instances, measured without a network partition
     */
    public static void main(String[] args) throws Exception {
        double speedup = 0;
        double liar = 0;
        for (double rate : new double[] {5, RATE, 60}) {
            Row off = shown(rate, false, RouterSimulation.FalseClaims.NONE);
            Row on = shown(rate, true, RouterSimulation.FalseClaims.NONE);
            Row lied = shown(rate, true, RouterSimulation.FalseClaims.ALL);
            if (rate == RATE) {
                // One tick of 20 ms is the resolution of the measurement.
                speedup = off.stopped / Math.max(20, on.stopped);
                liar = lied.value / off.value;
                shown(rate, true, RouterSimulation.FalseClaims.PRIMARIES);
                shown(rate, true, RouterSimulation.FalseClaims.HALF);
            }
        }
        Size twenty = size(20, 60, true);
        size(100, 60, true);
        Size many = size(500, 60, false);
        for (String count : args) {
            size(Integer.parseInt(count), 60, false);
        }
        RouterSimulation.Scenario real =
                new RouterSimulation.Scenario(
                        ROUTERS,
                        2,
                        4,
                        RATE,
                        0,
                        seconds(2.5),
                        seconds(2),
                        seconds(6),
                        false,
                        RouterSimulation.FalseClaims.NONE,
                        1);
        RouterSimulation.Outcome off = LoopbackSimulation.run(real);
        RouterSimulation.Outcome on =
                LoopbackSimulation.run(
                        new RouterSimulation.Scenario(
                                ROUTERS,
                                2,
                                4,
                                RATE,
                                0,
                                seconds(2.5),
                                seconds(2),
                                seconds(6),
                                true,
                                RouterSimulation.FalseClaims.ALL,
                                1));
        System.out.printf(
                Locale.ROOT,
                "on loopback, 20 instances, one with false claims: last send %d ms with gossip, %d without; value %.4f, %.4f%n",
                on.timeToStop().toMillis(),
                off.timeToStop().toMillis(),
                on.earnedFraction(),
                off.earnedFraction());
        System.out.printf(
                Locale.ROOT,
                "gossip: speedup=%.1f liar=%.4f bytes_per_s_20=%.0f bytes_per_s_500=%.0f heal_s=%.0f "
                        + "spread_ms_20=%.1f loopback_liar=%.4f%n",
                speedup,
                liar,
                twenty.quiet,
                many.quiet,
                twenty.healSeconds,
                twenty.spreadMs,
                on.earnedFraction() / off.earnedFraction());
        System.exit(0);
    }
}
