package dillfront.simulation.processes;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * What a router keeps for its next life: writes that may have run, who led, and what it does where
 * its disk fails.
 */
class RemembersTest extends Losses {

    /**
     * This write runs, and nobody hears of it: with nothing else out, nodes' answers to this router
     * are held from now on.
     */
    private void runsUnheard(int r, String key, long waitMs) {
        load.stop();
        rig.settle();
        rig.nodes().forEach(n -> rig.link(r, n.id()).ways(Relay.Way.PASS, Relay.Way.HOLD));
        rig.ask(r, "move", 0, key, waitMs);
        rig.stage().await(key + " ran", () -> rig.count(key)[1] == 1);
    }

    private void heard(int r) {
        rig.nodes().forEach(n -> rig.link(r, n.id()).ways(Relay.Way.PASS, Relay.Way.PASS));
    }

    private void forgotten(String key) {
        rig.stage().await("the group forgot " + key, () -> !rig.groups().get(0).remembers(key));
    }

    /**
     * Guards against a write that has its effect again, by the client's own repeat, after all have
     * lost power.
     */
    @Test
    void aWriteThatMayHaveRunIsNotSentAgainInTheNextLife() throws Exception {
        begin(Rig.Plan.of(2, 1, 3).work(USUAL).operator(this::remembers));
        runsUnheard(0, "held-1", 1500);
        rig.cut();
        heard(0);
        back(0, "s-0", "s-1", "s-2");
        for (int r = 0; r < 2; r++) {
            rig.agent(r, 0).open();
        }
        routers(0, 1);
        load.start();
        served(5, 0, 1);
        // Other writes go through, once there is room: their nodes are cold.
        otherWritesGoThrough(0);
        // A client that comes inside the window cannot be told from one that comes after it: no
        // clock counted the outage.
        assertEquals("rolled-back", how(rig.ask(0, "move", 0, "held-1", 1500)));
        forgotten("held-1");
        assertEquals("rolled-back", how(rig.ask(0, "move", 0, "held-1", 1500)));
        assertArrayEquals(new long[] {1, 1}, rig.count("held-1"));
        status(0, "it met it", said -> said.contains(" met=2 "));
        judge(true);
    }

    /**
     * Within one life: inside the window a repeat goes to its group, which drops it; past it, it is
     * never sent.
     */
    @Test
    void aRepeatGoesOnlyInsideItsWindow() throws Exception {
        begin(Rig.Plan.of(1, 1, 3).work(USUAL).operator((set, r) -> "doubts()\n"));
        runsUnheard(0, "inside-1", 200);
        rig.stage().await("its client has given up", () -> rig.router(0).caller().waiting() == 0);
        heard(0);
        CompletableFuture<Happening.Answered> inside = rig.ask(0, "move", 0, "inside-1", 1000);
        // On a machine so slow that the window is over by then, the other half of the rule.
        boolean sent = how(inside).equals("committed");
        assertArrayEquals(new long[] {sent ? 2 : 1, 1}, rig.count("inside-1"));
        runsUnheard(0, "past-1", 200);
        rig.stage().await("its client has given up", () -> rig.router(0).caller().waiting() == 0);
        heard(0);
        forgotten("past-1");
        assertEquals("rolled-back", how(rig.ask(0, "move", 0, "past-1", 1000)));
        assertArrayEquals(new long[] {1, 1}, rig.count("past-1"));
        judge();
    }

    /**
     * Guards against a former primary that is back first, believes in itself, and is the one that
     * the old list names.
     */
    @Test
    void whoClaimsAgainstTheFormerPrimaryWaitsForHim() throws Exception {
        begin(Rig.Plan.of(2, 1, 3).work(USUAL).operator(this::remembers));
        rig.groups().get(0).lead(rig.node("s-1"));
        for (int r = 0; r < 2; r++) {
            status(
                    r,
                    "s-1 leads, and is remembered",
                    said -> said.contains("leaders=\"0:s-1\"") && said.contains(" waiting=0 "));
        }
        rig.cut();
        rig.node("s-0").leads(true);
        back(0, "s-0", "s-2");
        for (int r = 0; r < 2; r++) {
            rig.agent(r, 0).open();
        }
        long before = rig.stage().call(() -> rig.stage().writes("s-0"));
        routers(0, 1);
        for (int r = 0; r < 2; r++) {
            status(r, "it awaits s-1", said -> said.contains("awaits s-1"));
        }
        back(0, "s-1");
        for (int r = 0; r < 2; r++) {
            status(r, "s-1 has spoken", said -> !said.contains("awaits s-1"));
        }
        // Both say that they lead now; what is served is served by the one that led before.
        for (int r = 0, i = 0; r < 2; i++) {
            r += how(rig.ask(r, "move", 0, "both-" + i, 1500)).equals("committed") ? 1 : 0;
            assertTrue(i < 100, "no write goes through");
        }
        assertEquals(before, rig.stage().call(() -> rig.stage().writes("s-0")));
        rig.groups().get(0).lead(rig.node("s-1"));
        served(40, 0, 1);
        judge(true);
    }

    /**
     * A file system as full as can be made without a mount: no file of that process may be longer.
     */
    @Test
    void whoseDiskIsFullDeclinesWhatItCannotKeep() throws Exception {
        List<String> own = Rig.own();
        String quoted = String.join(" ", own.stream().map(a -> "'" + a + "'").toList());
        begin(
                Rig.Plan.of(2, 1, 3)
                        .work(USUAL)
                        .operator(this::remembers)
                        .command(
                                List.of(
                                        "sh",
                                        "-c",
                                        "if [ $LB_NAME = r1 ]; then ulimit -f 1; fi; exec "
                                                + quoted.replace(
                                                        "'-XX:+UseSerialGC'",
                                                        "'-XX:+UseSerialGC' -XX:-UsePerfData"))));
        load.stop();
        rig.settle();
        rig.nodes().forEach(n -> rig.link(1, n.id()).ways(Relay.Way.PASS, Relay.Way.HOLD));
        // More out at once than its file has room for.
        List<CompletableFuture<Happening.Answered>> many =
                IntStream.range(0, 40)
                        .mapToObj(i -> rig.ask(1, "move", 0, "many-" + i, 1500))
                        .toList();
        rig.router(1)
                .awaitLine(
                        "that its disk failed",
                        l -> l.contains("memory-failed") && l.contains("memory.log"));
        assertEquals("declined", how(rig.ask(1, "move", 0, "late-1", 1500)));
        assertEquals(0, rig.count("late-1")[0]);
        heard(1);
        for (CompletableFuture<Happening.Answered> one : many) {
            how(one);
        }
        rig.router(1).awaitLine("that its disk works", l -> l.contains("memory-works-again"));
        load.start();
        String life = rig.router(1).life();
        served(rig.stage().call(() -> load.committed(life)) + 40, 1);
        rig.cut();
        // One disk is gone, the other one is from before.
        try (Stream<Path> files = Files.list(rig.folder().resolve("m0"))) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        back(0, "s-0", "s-1", "s-2");
        for (int r = 0; r < 2; r++) {
            rig.agent(r, 0).open();
        }
        routers(0, 1);
        served(40, 0, 1);
        judge();
    }
}
