package dillfront.benchmark;

import dillfront.router.identity.AccessController;
import dillfront.router.identity.KeyBytes;
import dillfront.router.identity.Policy;
import dillfront.router.identity.Principal;
import dillfront.router.identity.Refusal;
import dillfront.router.identity.Rights;
import dillfront.router.identity.Rule;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * What a verdict costs by the index and by a plain list, and how a revocation goes through many
 * open sessions.
 */
public final class IdentityBenchmark {

    private static final int SESSION_COUNT = 1000;
    private static final int KEY_COUNT = 1024;

    /** One size's figures, in nanoseconds a verdict, and bytes allocated by one of the index. */
    private record VerdictCost(double indexNanos, double listNanos, double allocatedBytes) {}

    private IdentityBenchmark() {}

    private static VerdictCost measureVerdicts(int ruleCount) {
        SplittableRandom random = new SplittableRandom(ruleCount);
        List<Rule> rules = new ArrayList<>();
        for (int i = 0; i < ruleCount; i++) {
            rules.add(
                    new Rule(
                            i % 16 > 0,
                            1 << i % 5,
                            true,
                            i % 3 == 0,
                            Rule.ANY_GROUP,
                            ("hotel-" + random.nextInt(ruleCount) + "/")
                                    .getBytes(StandardCharsets.UTF_8),
                            "rule " + i));
        }
        Rights rights = new Rights(rules);
        KeyBytes[] keys = new KeyBytes[KEY_COUNT];
        for (int i = 0; i < KEY_COUNT; i++) {
            keys[i] =
                    KeyBytes.of(
                            ("hotel-" + random.nextInt(2 * ruleCount) + "/2026-11/" + i)
                                    .getBytes(StandardCharsets.UTF_8));
        }
        com.sun.management.ThreadMXBean threads =
                (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        int allowedByIndex = 0;
        double indexNanos = Double.MAX_VALUE;
        double allocatedBytes = 0;
        int rounds = 300;
        for (int pass = 0; pass < 8; pass++) {
            long allocatedBefore = threads.getCurrentThreadAllocatedBytes();
            long startNanos = System.nanoTime();
            for (int i = 0; i < rounds * KEY_COUNT; i++) {
                allowedByIndex +=
                        rights.verdict(i % 5, false, 0, keys[i % KEY_COUNT])
                                        == Rights.Verdict.ALLOWED
                                ? 1
                                : 0;
            }
            indexNanos =
                    Math.min(
                            indexNanos,
                            (System.nanoTime() - startNanos) / (double) (rounds * KEY_COUNT));
            allocatedBytes =
                    (threads.getCurrentThreadAllocatedBytes() - allocatedBefore)
                            / (double) (rounds * KEY_COUNT);
        }
        int listChecks = Math.max(200, Math.min(rounds * KEY_COUNT, 20_000_000 / ruleCount));
        int allowedByList = 0;
        double listNanos = Double.MAX_VALUE;
        for (int pass = 0; pass < 3; pass++) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < listChecks; i++) {
                allowedByList +=
                        rights.verdictByScan(i % 5, false, 0, keys[i % KEY_COUNT])
                                        == Rights.Verdict.ALLOWED
                                ? 1
                                : 0;
            }
            listNanos = Math.min(listNanos, (System.nanoTime() - startNanos) / (double) listChecks);
        }
        for (int i = 0; i < Math.min(listChecks, 2 * KEY_COUNT); i++) {
            if (rights.verdictByScan(i % 5, false, 0, keys[i % KEY_COUNT])
                    != rights.verdict(i % 5, false, 0, keys[i % KEY_COUNT])) {
                throw new IllegalStateException("the index says another thing than the rules");
            }
        }
        System.out.printf(
                Locale.ROOT,
                "%6d rules: %6.1f ns by the index, %10.1f ns by the list, %.2f bytes a verdict (%d of %d allowed)%n",
                ruleCount,
                indexNanos,
                listNanos,
                allocatedBytes,
                allowedByIndex,
                allowedByList);
        return new VerdictCost(indexNanos, listNanos, allocatedBytes);
    }

    /**
     * From the reading of a revocation until each of many open sessions has refused its next txn,
     * in microseconds.
     */
    private static double medianRevocationMicros() {
        Principal principal =
                new Principal(
                        "p",
                        -1,
                        new Rights(
                                List.of(
                                        new Rule(
                                                true,
                                                Rule.ALL_TYPES,
                                                true,
                                                true,
                                                Rule.ANY_GROUP,
                                                new byte[0],
                                                "r"))),
                        0,
                        0);
        Duration unixNow = Duration.ofDays(20_000);
        KeyBytes key = KeyBytes.of(new byte[] {'k'});
        double[] micros = new double[9];
        for (int pass = 0; pass < micros.length; pass++) {
            AccessController gate = new AccessController();
            gate.updateTime(Duration.ofSeconds(1), unixNow);
            gate.replacePolicy(
                    new Policy(
                            Map.of("p", principal),
                            Set.of("k"),
                            Set.of(),
                            Duration.ofSeconds(30),
                            Duration.ofSeconds(60)));
            List<AccessController.Session> sessions = new ArrayList<>();
            for (int i = 0; i < SESSION_COUNT; i++) {
                sessions.add(
                        (AccessController.Session)
                                gate.openSession(
                                        new AccessController.Credential(
                                                "p",
                                                "k",
                                                "t" + i % 2,
                                                Duration.ZERO,
                                                unixNow.plusDays(1))));
            }
            for (AccessController.Session session : sessions) {
                if (session.admit(0, false, 0, key) != null) {
                    throw new IllegalStateException("not taken");
                }
                session.release();
            }
            long startNanos = System.nanoTime();
            gate.replacePolicy(
                    new Policy(
                            Map.of("p", principal),
                            Set.of("k"),
                            Set.of("t1"),
                            Duration.ofSeconds(30),
                            Duration.ofSeconds(60)));
            for (int i = 0; i < SESSION_COUNT; i++) {
                Refusal refusal = sessions.get(i).admit(0, false, 0, key);
                if (refusal != (i % 2 == 1 ? Refusal.REVOKED : null)) {
                    throw new IllegalStateException("session " + i + ": " + refusal);
                }
            }
            micros[pass] = (System.nanoTime() - startNanos) / 1e3;
        }
        Arrays.sort(micros);
        return micros[micros.length / 2];
    }

    /** Prints a line of results for each number of rules. */
    public static void main(String[] args) {
        measureVerdicts(10);
        VerdictCost thousandRules = measureVerdicts(1000);
        VerdictCost hundredThousandRules = measureVerdicts(100_000);
        System.out.printf(
                Locale.ROOT,
                "identity: verdict_ns=%.1f verdict_ns_100k=%.1f verdict_vs_list_100k=%.5f "
                        + "alloc_per_verdict_bytes=%.2f revoke_us_1000_sessions=%.0f%n",
                thousandRules.indexNanos,
                hundredThousandRules.indexNanos,
                hundredThousandRules.indexNanos / hundredThousandRules.listNanos,
                thousandRules.allocatedBytes,
                medianRevocationMicros());
    }
}
