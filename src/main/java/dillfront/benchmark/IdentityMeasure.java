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
public final class IdentityMeasure {

    private static final int SESSIONS = 1000;
    private static final int KEYS = 1024;

    /** One size's figures, in nanoseconds a verdict, and bytes allocated by one of the index. */
    private record Row(double index, double list, double bytes) {}

    private IdentityMeasure() {}

    private static Row row(int rules) {
        SplittableRandom chance = new SplittableRandom(rules);
        List<Rule> all = new ArrayList<>();
        for (int i = 0; i < rules; i++) {
            all.add(
                    new Rule(
                            i % 16 > 0,
                            1 << i % 5,
                            true,
                            i % 3 == 0,
                            Rule.ANY_GROUP,
                            ("hotel-" + chance.nextInt(rules) + "/")
                                    .getBytes(StandardCharsets.UTF_8),
                            "rule " + i));
        }
        Rights rights = new Rights(all);
        KeyBytes[] keys = new KeyBytes[KEYS];
        for (int i = 0; i < KEYS; i++) {
            keys[i] =
                    KeyBytes.of(
                            ("hotel-" + chance.nextInt(2 * rules) + "/2026-11/" + i)
                                    .getBytes(StandardCharsets.UTF_8));
        }
        com.sun.management.ThreadMXBean threads =
                (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        int allowed = 0;
        double index = Double.MAX_VALUE;
        double bytes = 0;
        int rounds = 300;
        for (int pass = 0; pass < 8; pass++) {
            long before = threads.getCurrentThreadAllocatedBytes();
            long began = System.nanoTime();
            for (int i = 0; i < rounds * KEYS; i++) {
                allowed +=
                        rights.verdict(i % 5, false, 0, keys[i % KEYS]) == Rights.Verdict.ALLOWED
                                ? 1
                                : 0;
            }
            index = Math.min(index, (System.nanoTime() - began) / (double) (rounds * KEYS));
            bytes = (threads.getCurrentThreadAllocatedBytes() - before) / (double) (rounds * KEYS);
        }
        int asked = Math.max(200, Math.min(rounds * KEYS, 20_000_000 / rules));
        int same = 0;
        double list = Double.MAX_VALUE;
        for (int pass = 0; pass < 3; pass++) {
            long began = System.nanoTime();
            for (int i = 0; i < asked; i++) {
                same +=
                        rights.verdictByScan(i % 5, false, 0, keys[i % KEYS])
                                        == Rights.Verdict.ALLOWED
                                ? 1
                                : 0;
            }
            list = Math.min(list, (System.nanoTime() - began) / (double) asked);
        }
        for (int i = 0; i < Math.min(asked, 2 * KEYS); i++) {
            if (rights.verdictByScan(i % 5, false, 0, keys[i % KEYS])
                    != rights.verdict(i % 5, false, 0, keys[i % KEYS])) {
                throw new IllegalStateException("the index says another thing than the rules");
            }
        }
        System.out.printf(
                Locale.ROOT,
                "%6d rules: %6.1f ns by the index, %10.1f ns by the list, %.2f bytes a verdict (%d of %d allowed)%n",
                rules,
                index,
                list,
                bytes,
                allowed,
                same);
        return new Row(index, list, bytes);
    }

    /**
     * From the reading of a revocation until each of many open sessions has refused its next txn,
     * in microseconds.
     */
    private static double revoked() {
        Principal who =
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
        Duration unix = Duration.ofDays(20_000);
        KeyBytes key = KeyBytes.of(new byte[] {'k'});
        double[] spans = new double[9];
        for (int pass = 0; pass < spans.length; pass++) {
            AccessController gate = new AccessController();
            gate.updateTime(Duration.ofSeconds(1), unix);
            gate.replacePolicy(
                    new Policy(
                            Map.of("p", who),
                            Set.of("k"),
                            Set.of(),
                            Duration.ofSeconds(30),
                            Duration.ofSeconds(60)));
            List<AccessController.Session> sessions = new ArrayList<>();
            for (int i = 0; i < SESSIONS; i++) {
                sessions.add(
                        (AccessController.Session)
                                gate.openSession(
                                        new AccessController.Credential(
                                                "p",
                                                "k",
                                                "t" + i % 2,
                                                Duration.ZERO,
                                                unix.plusDays(1))));
            }
            for (AccessController.Session one : sessions) {
                if (one.admit(0, false, 0, key) != null) {
                    throw new IllegalStateException("not taken");
                }
                one.release();
            }
            long began = System.nanoTime();
            gate.replacePolicy(
                    new Policy(
                            Map.of("p", who),
                            Set.of("k"),
                            Set.of("t1"),
                            Duration.ofSeconds(30),
                            Duration.ofSeconds(60)));
            for (int i = 0; i < SESSIONS; i++) {
                Refusal no = sessions.get(i).admit(0, false, 0, key);
                if (no != (i % 2 == 1 ? Refusal.REVOKED : null)) {
                    throw new IllegalStateException("session " + i + ": " + no);
                }
            }
            spans[pass] = (System.nanoTime() - began) / 1e3;
        }
        Arrays.sort(spans);
        return spans[spans.length / 2];
    }

    /** Prints a line of results for each number of rules. */
    public static void main(String[] args) {
        row(10);
        Row some = row(1000);
        Row many = row(100_000);
        System.out.printf(
                Locale.ROOT,
                "identity: verdict_ns=%.1f verdict_ns_100k=%.1f verdict_vs_list_100k=%.5f "
                        + "alloc_per_verdict_bytes=%.2f revoke_us_1000_sessions=%.0f%n",
                some.index,
                many.index,
                many.index / many.list,
                some.bytes,
                revoked());
    }
}
