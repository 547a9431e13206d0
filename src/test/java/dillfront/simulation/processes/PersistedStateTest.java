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
 * Tests what a router persists across restarts: uncertain writes, the primary of each group, and
 * its handling of disk failures.
 */
class PersistedStateTest extends PowerLossTestBase {

    /**
     * Runs one write whose answer does not reach the router. No other query is pending; node
     * answers to this router are buffered from now on.
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
        rig.harness().await(key + " took effect", () -> rig.receivedAndAppliedCounts(key)[1] == 1);
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
                .await(
                        "the deduplication window ended for " + key,
                        () -> !rig.groups().get(0).deduplicates(key));
    }

    /**
     * Guards against a write that takes effect twice: its client repeats it after a power loss of
     * all components.
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
        // Other writes commit once the nodes, which are cold, have capacity.
        awaitOtherWriteCommitted(0);
        // A repeat within the window looks like one after it: no clock measured the outage.
        assertEquals("rolled-back", outcome(rig.submit(0, "move", 0, "held-1", 1500)));
        awaitDedupWindowEnd("held-1");
        assertEquals("rolled-back", outcome(rig.submit(0, "move", 0, "held-1", 1500)));
        assertArrayEquals(new long[] {1, 1}, rig.receivedAndAppliedCounts("held-1"));
        awaitStatus(0, "it rejected both repeats", report -> report.contains(" met=2 "));
        assertInvariants(true);
    }

    /**
     * Guards against a repeat that takes effect twice without a restart: within the window the
     * group drops it, after the window the router must not send it.
     */
    @Test
    void sendsRepeatOnlyWithinDedupWindow() throws Exception {
        startRig(
                Rig.Plan.of(1, 1, 3)
                        .capacity(WARM_AFTER_3_S)
                        .operatorFile((ignored, r) -> "doubts()\n"));
        runWriteWithoutAnswer(0, "inside-1", 200);
        rig.harness()
                .await(
                        "its client has timed out",
                        () -> rig.router(0).client().pendingCount() == 0);
        forwardNodeAnswers(0);
        CompletableFuture<Event.QueryEnded> inside = rig.submit(0, "move", 0, "inside-1", 1000);
        // On a slow machine the window may already be over, and the repeat must not be sent.
        boolean sent = outcome(inside).equals("committed");
        assertArrayEquals(new long[] {sent ? 2 : 1, 1}, rig.receivedAndAppliedCounts("inside-1"));
        runWriteWithoutAnswer(0, "past-1", 200);
        rig.harness()
                .await(
                        "its client has timed out",
                        () -> rig.router(0).client().pendingCount() == 0);
        forwardNodeAnswers(0);
        awaitDedupWindowEnd("past-1");
        assertEquals("rolled-back", outcome(rig.submit(0, "move", 0, "past-1", 1000)));
        assertArrayEquals(new long[] {1, 1}, rig.receivedAndAppliedCounts("past-1"));
        assertInvariants();
    }

    /**
     * Guards against the wrong primary after a power loss: an older one returns first, still acts
     * as primary, and is the primary in the old discovery list.
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
                    "s-1 is primary and is stored",
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
            awaitStatus(r, "it waits for s-1", report -> report.contains("awaits s-1"));
        }
        restartNodes(0, "s-1");
        for (int r = 0; r < 2; r++) {
            awaitStatus(r, "it no longer waits for s-1", report -> !report.contains("awaits s-1"));
        }
        // Both nodes claim to be primary now; writes must go to the one that was primary before.
        for (int r = 0, i = 0; r < 2; i++) {
            r += outcome(rig.submit(r, "move", 0, "both-" + i, 1500)).equals("committed") ? 1 : 0;
            assertTrue(i < 100, "no write was committed");
        }
        assertEquals(previousWrites, rig.harness().call(() -> rig.harness().writesReceived("s-0")));
        rig.groups().get(0).promote(rig.node("s-1"));
        awaitServed(40, 0, 1);
        assertInvariants(true);
    }

    /**
     * Guards against a write that is sent though its record cannot be stored. A file size limit of
     * the process stands in for a full file system, which would need a mount.
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
        // More pending writes than the file has room for.
        List<CompletableFuture<Event.QueryEnded>> writes =
                IntStream.range(0, 40)
                        .mapToObj(i -> rig.submit(1, "move", 0, "many-" + i, 1500))
                        .toList();
        rig.router(1)
                .awaitLogLine(
                        "the disk failure",
                        line -> line.contains("memory-failed") && line.contains("memory.log"));
        assertEquals("declined", outcome(rig.submit(1, "move", 0, "late-1", 1500)));
        assertEquals(0, rig.receivedAndAppliedCounts("late-1")[0]);
        forwardNodeAnswers(1);
        for (CompletableFuture<Event.QueryEnded> write : writes) {
            outcome(write);
        }
        rig.router(1)
                .awaitLogLine(
                        "the recovery of its disk", line -> line.contains("memory-works-again"));
        load.start();
        String incarnation = rig.router(1).incarnation();
        awaitServed(rig.harness().call(() -> load.committed(incarnation)) + 40, 1);
        rig.losePower();
        // Router r0 loses its disk, router r1 keeps its old files.
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
