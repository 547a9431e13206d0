package dillfront.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Routers with the real routing engine in front of one node that hangs. */
class WorldTest {

    private static final int SEEDS = 7;

    private static World.Outcome play(double rate, boolean gossip, World.Lie lie, long seed) {
        return World.play(
                new World.Script(
                        20,
                        2,
                        4,
                        rate,
                        0,
                        Duration.ofSeconds(4),
                        Duration.ofSeconds(4),
                        Duration.ofSeconds(11),
                        gossip,
                        lie,
                        seed));
    }

    @Test
    void gossipStopsThePouringSooner() {
        List<Long> on = new ArrayList<>();
        List<Long> off = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            on.add(play(20, true, World.Lie.NONE, seed).stopped().toMillis());
            off.add(play(20, false, World.Lie.NONE, seed).stopped().toMillis());
        }
        on.sort(null);
        off.sort(null);
        assertTrue(
                3 * on.get(SEEDS / 2) <= off.get(SEEDS / 2), "with " + on + " ms, without " + off);
    }

    @Test
    void aLiarMakesItNoWorse() {
        for (World.Lie lie : List.of(World.Lie.ALL, World.Lie.PRIMARIES, World.Lie.HALF)) {
            double with = 0;
            double without = 0;
            double doubts = 0;
            for (int seed = 0; seed < SEEDS; seed++) {
                World.Outcome on = play(20, true, lie, seed);
                with += on.value();
                doubts += on.doubts();
                without += play(20, false, World.Lie.NONE, seed).value();
            }
            assertTrue(
                    with >= without * 0.999,
                    lie + ": " + with / SEEDS + " with, " + without / SEEDS + " without");
            assertEquals(0, doubts, "no healthy node is suspected");
        }
    }

    @Test
    void sameSeedSameOutcome() {
        assertEquals(play(20, true, World.Lie.ALL, 3), play(20, true, World.Lie.ALL, 3));
    }
}
