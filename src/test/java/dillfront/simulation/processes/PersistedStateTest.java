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
class PersistedStateTest extends PowerLossTestBase {

    /**
     * This write runs, and nobody hears of it: with nothing else out, nodes' answers to this router
     * are held from now on.
     */
    private void runWriteWithoutAnswer(int routerIndex, String key, long timeoutMs) {
        load.stop();
        rig.awaitAllAnswered();
        rig.nodes()
                .forEach(
                        node ->
                                rig.nodeProxy(routerIndex, node.id())
                                        .setModes(
                                                TcpFaultProxy.Mode.FORWARD,
                                                TcpFaultProxy.Mode.BUFFER));
        rig.submit(routerIndex, "move", 0, key, timeoutMs);
        rig.harness().await(key + " ran", () -> rig.receivedAndAppliedCounts(key)[1] == 1);
    }

    private void forwardNodeAnswers(int routerIndex) {
        rig.nodes()
                .forEach(
                        node ->
                                rig.nodeProxy(routerIndex, node.id())
                                        .setModes(
                                                TcpFaultProxy.Mode.FORWARD,
                                                TcpFaultProxy.Mode.FORWARD));
    }

    private void awaitDedupWindowEnd(String key) {
        rig.harness()
                .await("the group forgot " + key, () -> !rig.groups().get(0).deduplicates(key));
    }

    /**
     * Guards against a write that has its effect again, by the client's own repeat, after all have
     * lost power.
     */
    @Test
    void doesNotResendUncertainWriteAfterRestart() throws Exception {
        startRig(
                Rig.Plan.of(2, 1, 3)
                        .capacity(WARM_AFTER_3_S)
                        .operatorFile(this::memoryOperatorFile));
        runWriteWithoutAnswer(0, "held-1", 1500);
        rig.losePower();
        forwardNodeAnswers(0);
        restartNodes(0, "s-0", "s-1", "s-2");
        for (int r = 0; r < 2; r++) {
            rig.agent(r, 0).open();
        }
        startRouters(0, 1);
        load.start();
        awaitServed(5, 0, 1);
        // Other writes go through, once there is room: their nodes are cold.
        awaitOtherWriteCommitted(0);
        // A client that comes inside the window cannot be told from one that comes after it: no
        // clock counted the outage.
        assertEquals("rolled-back", outcome(rig.submit(0, "move", 0, "held-1", 1500)));
        awaitDedupWindowEnd("held-1");
        assertEquals("rolled-back", outcome(rig.submit(0, "move", 0, "held-1", 1500)));
        assertArrayEquals(new long[] {1, 1}, rig.receivedAndAppliedCounts("held-1"));
        awaitStatus(0, "it met it", report -> report.contains(" met=2 "));
        assertInvariants(true);
    }

    /**
     * Within one life: inside the window a repeat goes to its group, which drops it; past it, it is
     * never sent.
     */
    @Test
    void sendsRepeatOnlyWithinDedupWindow() throws Exception {
        startRig(
                Rig.Plan.of(1, 1, 3)
                        .capacity(WARM_AFTER_3_S)
                        .operatorFile((ignored, r) -> "doubts()\n"));
        runWriteWithoutAnswer(0, "inside-1", 200);
        rig.harness()
                .await("its client has given up", () -> rig.router(0).client().pendingCount() == 0);
        forwardNodeAnswers(0);
        CompletableFuture<Event.QueryEnded> inside = rig.submit(0, "move", 0, "inside-1", 1000);
        // On a machine so slow that the window is over by then, the other half of the rule.
        boolean sent = outcome(inside).equals("committed");
        assertArrayEquals(new long[] {sent ? 2 : 1, 1}, rig.receivedAndAppliedCounts("inside-1"));
        runWriteWithoutAnswer(0, "past-1", 200);
        rig.harness()
                .await("its client has given up", () -> rig.router(0).client().pendingCount() == 0);
        forwardNodeAnswers(0);
        awaitDedupWindowEnd("past-1");
        assertEquals("rolled-back", outcome(rig.submit(0, "move", 0, "past-1", 1000)));
        assertArrayEquals(new long[] {1, 1}, rig.receivedAndAppliedCounts("past-1"));
        assertInvariants();
    }

    /**
     * Guards against a former primary that is back first, believes in itself, and is the one that
     * the old list names.
     */
    @Test
    void prefersFormerPrimaryOverEarlierClaimant() throws Exception {
        startRig(
                Rig.Plan.of(2, 1, 3)
                        .capacity(WARM_AFTER_3_S)
                        .operatorFile(this::memoryOperatorFile));
        rig.groups().get(0).promote(rig.node("s-1"));
        for (int r = 0; r < 2; r++) {
            awaitStatus(
                    r,
                    "s-1 leads, and is remembered",
                    report ->
                            report.contains("leaders=\"0:s-1\"") && report.contains(" waiting=0 "));
        }
        rig.losePower();
        rig.node("s-0").primary(true);
        restartNodes(0, "s-0", "s-2");
        for (int r = 0; r < 2; r++) {
            rig.agent(r, 0).open();
        }
        long previousWrites = rig.harness().call(() -> rig.harness().writesReceived("s-0"));
        startRouters(0, 1);
        for (int r = 0; r < 2; r++) {
            awaitStatus(r, "it awaits s-1", report -> report.contains("awaits s-1"));
        }
        restartNodes(0, "s-1");
        for (int r = 0; r < 2; r++) {
            awaitStatus(r, "s-1 has spoken", report -> !report.contains("awaits s-1"));
        }
        // Both say that they lead now; what is served is served by the one that led before.
        for (int r = 0, i = 0; r < 2; i++) {
            r += outcome(rig.submit(r, "move", 0, "both-" + i, 1500)).equals("committed") ? 1 : 0;
            assertTrue(i < 100, "no write goes through");
        }
        assertEquals(previousWrites, rig.harness().call(() -> rig.harness().writesReceived("s-0")));
        rig.groups().get(0).promote(rig.node("s-1"));
        awaitServed(40, 0, 1);
        assertInvariants(true);
    }

    /**
     * A file system as full as can be made without a mount: no file of that process may be longer.
     */
    @Test
    void declinesWritesWhenDiskIsFull() throws Exception {
        List<String> routerCommand = Rig.routerCommand();
        String quoted =
                String.join(
                        " ", routerCommand.stream().map(argument -> "'" + argument + "'").toList());
        startRig(
                Rig.Plan.of(2, 1, 3)
                        .capacity(WARM_AFTER_3_S)
                        .operatorFile(this::memoryOperatorFile)
                        .command(
                                List.of(
                                        "sh",
                                        "-c",
                                        "if [ $LB_NAME = r1 ]; then ulimit -f 1; fi; exec "
                                                + quoted.replace(
                                                        "'-XX:+UseSerialGC'",
                                                        "'-XX:+UseSerialGC' -XX:-UsePerfData"))));
        load.stop();
        rig.awaitAllAnswered();
        rig.nodes()
                .forEach(
                        node ->
                                rig.nodeProxy(1, node.id())
                                        .setModes(
                                                TcpFaultProxy.Mode.FORWARD,
                                                TcpFaultProxy.Mode.BUFFER));
        // More out at once than its file has room for.
        List<CompletableFuture<Event.QueryEnded>> writes =
                IntStream.range(0, 40)
                        .mapToObj(i -> rig.submit(1, "move", 0, "many-" + i, 1500))
                        .toList();
        rig.router(1)
                .awaitLogLine(
                        "that its disk failed",
                        line -> line.contains("memory-failed") && line.contains("memory.log"));
        assertEquals("declined", outcome(rig.submit(1, "move", 0, "late-1", 1500)));
        assertEquals(0, rig.receivedAndAppliedCounts("late-1")[0]);
        forwardNodeAnswers(1);
        for (CompletableFuture<Event.QueryEnded> write : writes) {
            outcome(write);
        }
        rig.router(1)
                .awaitLogLine("that its disk works", line -> line.contains("memory-works-again"));
        load.start();
        String incarnation = rig.router(1).incarnation();
        awaitServed(rig.harness().call(() -> load.committed(incarnation)) + 40, 1);
        rig.losePower();
        // One disk is gone, the other one is from before.
        try (Stream<Path> files = Files.list(rig.folder().resolve("m0"))) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        restartNodes(0, "s-0", "s-1", "s-2");
        for (int r = 0; r < 2; r++) {
            rig.agent(r, 0).open();
        }
        startRouters(0, 1);
        awaitServed(40, 0, 1);
        assertInvariants();
    }
}
