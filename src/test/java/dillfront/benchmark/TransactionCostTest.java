package dillfront.benchmark;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Holds what a txn costs on the ordinary path; fails when someone adds a copy, a buffer or a system
 * call.
 */
class TransactionCostTest {

    /**
     * What was counted when this was last lowered, and how much the beats among the txns may add.
     */
    private static final Map<String, double[]> LIMITS =
            Map.of(
                    "allocated",
                    new double[] {5160, 0.06},
                    "buffers",
                    new double[] {2.35, 0.15},
                    "reads",
                    new double[] {2.15, 0.12},
                    "writes",
                    new double[] {2.10, 0.12},
                    "sent_over_row",
                    new double[] {320, 0.03},
                    "large_allocated",
                    new double[] {6112, 0.12},
                    "large_buffers",
                    new double[] {8.60, 0.15},
                    "large_reads",
                    new double[] {5.25, 0.20},
                    "large_writes",
                    new double[] {2.12, 0.15});

    @Test
    void transactionCostStaysWithinLimits() throws Exception {
        String line = RouterCostBenchmark.runCounter(System.getProperty("java.class.path"));
        Map<String, Double> counted = new HashMap<>();
        for (String figure : line.split(" ")) {
            counted.put(
                    figure.substring(0, figure.indexOf('=')),
                    Double.parseDouble(figure.substring(figure.indexOf('=') + 1)));
        }
        LIMITS.forEach(
                (name, limit) ->
                        assertTrue(
                                counted.get(name) <= limit[0] * (1 + limit[1]),
                                name + " was " + limit[0] + " a txn, and has grown: " + line));
    }
}
