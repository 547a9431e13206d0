package dillfront.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Routers with the decisions as they are, and one node that hangs. */
class RouterSimulationTest {

    private static final int SEEDS = 7;

    private static RouterSimulation.Outcome run(
            double rate, boolean gossip, RouterSimulation.FalseClaims falseClaims, long seed) {
        return RouterSimulation.run(
                new RouterSimulation.Scenario(
                        20,
                        2,
                        4,
                        rate,
                        0,
                        Duration.ofSeconds(4),
                        Duration.ofSeconds(4),
                        Duration.ofSeconds(11),
                        gossip,
                        falseClaims,
                        seed));
    }

    @Test
    void gossipShortensSendingToHungNode() {
        List<Long> withGossip = new ArrayList<>();
        List<Long> withoutGossip = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            withGossip.add(
                    run(20, true, RouterSimulation.FalseClaims.NONE, seed).timeToStop().toMillis());
            withoutGossip.add(
                    run(20, false, RouterSimulation.FalseClaims.NONE, seed)
                            .timeToStop()
                            .toMillis());
        }
        withGossip.sort(null);
        withoutGossip.sort(null);
        assertTrue(
                3 * withGossip.get(SEEDS / 2) <= withoutGossip.get(SEEDS / 2),
                "with " + withGossip + " ms, without " + withoutGossip);
    }

    @Test
    void falseClaimsDoNotReduceEarnedValue() {
        for (RouterSimulation.FalseClaims falseClaims :
                List.of(
                        RouterSimulation.FalseClaims.ALL,
                        RouterSimulation.FalseClaims.PRIMARIES,
                        RouterSimulation.FalseClaims.HALF)) {
            double withGossip = 0;
            double withoutGossip = 0;
            double falseSuspicions = 0;
            for (int seed = 0; seed < SEEDS; seed++) {
                RouterSimulation.Outcome result = run(20, true, falseClaims, seed);
                withGossip += result.earnedFraction();
                falseSuspicions += result.falseSuspicionRate();
                withoutGossip +=
                        run(20, false, RouterSimulation.FalseClaims.NONE, seed).earnedFraction();
            }
            assertTrue(
                    withGossip >= withoutGossip * 0.999,
                    falseClaims
                            + ": "
                            + withGossip / SEEDS
                            + " with, "
                            + withoutGossip / SEEDS
                            + " without");
            assertEquals(0, falseSuspicions, "no node that is well is doubted");
        }
    }

    @Test
    void sameSeedGivesSameResult() {
        assertEquals(
                run(20, true, RouterSimulation.FalseClaims.ALL, 3),
                run(20, true, RouterSimulation.FalseClaims.ALL, 3));
    }
}
