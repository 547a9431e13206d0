package dillfront.simulation.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Several routers as processes, and words of the operators and of discovery that are lost, late,
 * old or out of order.
 */
class UpdateDeliveryTest {

    private static final int ROUTERS = 3;
    private static final int ROUNDS = 200;

    /** Which agent a router was last moved to. */
    private final int[] agentByRouter = new int[ROUTERS];

    private Rig rig;

    /**
     * A shell that starts the program with this signal ignored, as nohup and others do, and leaves
     * one process.
     */
    private static List<String> withSignalIgnored(String signal, List<String> command) {
        List<String> wrapped =
                new ArrayList<>(
                        List.of("/bin/sh", "-c", "trap '' " + signal + "; exec \"$0\" \"$@\""));
        wrapped.addAll(command);
        return wrapped;
    }

    private static List<String> withDefaultSignals(List<String> command) {
        List<String> wrapped = new ArrayList<>(List.of("env", "--default-signal=HUP,TERM"));
        wrapped.addAll(command);
        return wrapped;
    }

    private static long countLogLines(RouterProcess router, String text) {
        return router.logLines().stream().filter(line -> line.contains(text)).count();
    }

    /**
     * Guards against a word that is lost since whoever started the router had the signal ignored.
     */
    @Test
    void warnsOfOrRestoresIgnoredSignals() throws Exception {
        try (Rig ignoring =
                        new Rig(
                                Rig.Plan.of(1, 1, 2)
                                        .command(
                                                withSignalIgnored(
                                                        "HUP TERM", Rig.routerCommand())));
                Rig restored =
                        new Rig(
                                Rig.Plan.of(1, 1, 2)
                                        .command(
                                                withSignalIgnored(
                                                        "HUP TERM",
                                                        withDefaultSignals(
                                                                Rig.routerCommand()))))) {
            ignoring.start();
            restored.start();
            assertEquals(2, countLogLines(ignoring.router(0), "signal-ignored"), "told of both");
            assertEquals(0, countLogLines(restored.router(0), "signal-ignored"));
            int newAgent = restored.addAgent(0);
            restored.writeConfiguration(0, newAgent);
            restored.router(0).sendSignal("HUP");
            restored.router(0)
                    .awaitLogLine("reloaded", line -> line.contains("reloaded by=SIGHUP"));
            // Ignored, but what it was about is in the file: found once the old place is gone.
            int otherAgent = ignoring.addAgent(0);
            ignoring.writeConfiguration(0, otherAgent);
            ignoring.router(0).sendSignal("HUP");
            ignoring.agent(0, 0).close();
            ignoring.router(0).awaitLogLine("reloaded", line -> line.contains("reloaded by=file"));
            restored.router(0).shutDown();
        }
    }

    /** Guards against an end by a figure: what waits longer than that figure would be lost. */
    @Test
    void shutsDownAfterLastPendingDeadline() throws Exception {
        try (Rig rig = new Rig(Rig.Plan.of(2, 1, 2).deadline(8000))) {
            rig.start();
            QueryClient client = rig.router(0).client();
            rig.harness().run(() -> client.submit("any", 0, "16-warm", 8000, 0, null));
            rig.awaitAllAnswered();
            // Both members take it and say nothing until well past the 3.5 s that once were the
            // end.
            rig.nodes().forEach(node -> node.behavior(SimulatedNode.Behavior.HANGING));
            rig.harness().run(() -> client.submit("move", 0, "k1", 6000, 0, null));
            rig.harness()
                    .await(
                            "the write is out",
                            () ->
                                    rig.nodes().stream()
                                                    .mapToLong(node -> node.statementCount)
                                                    .sum()
                                            == 2);
            rig.router(0).sendSignal("TERM");
            rig.router(0).awaitLogLine("stopping", line -> line.contains(" stopping "));
            // New ones still come; the other router's clients notice nothing.
            rig.harness().run(() -> client.submit("fresh", 0, "16-late", 5000, 0, null));
            rig.router(0).shutDown();
            assertEquals(
                    0,
                    countLogLines(rig.router(0), "stopped-with-work"),
                    rig.router(0).logLines().toString());
            assertTrue(countLogLines(rig.router(0), " counters ") == 1, "its last line");
            rig.awaitAllAnswered();
            InvariantChecker checker = InvariantChecker.of(rig.harness().events());
            assertEquals(List.of(), checker.violations());
            assertEquals(3, checker.queryCount());
        }
    }

    /**
     * Guards against a breach that is none: the stage had no core, and a statement and the answer
     * behind it lie unread together.
     */
    @Test
    void recordsStatementBeforeLaterAnswer() throws Exception {
        try (Rig rig = new Rig(Rig.Plan.of(1, 1, 2))) {
            rig.start();
            QueryClient client = rig.router(0).client();
            // Both connections are up, and rest.
            for (int i = 0; i < 8; i++) {
                rig.harness().run(() -> client.submit("any", 0, "16-warm", 2000, 0, null));
                rig.awaitAllAnswered();
            }
            rig.nodes().forEach(node -> node.behavior(SimulatedNode.Behavior.HANGING));
            rig.harness()
                    .run(
                            () -> {
                                client.submit("any", 0, "16-hangs", 500, 0, null);
                                try {
                                    Thread.sleep(700);
                                } catch (InterruptedException e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            rig.awaitAllAnswered();
            rig.router(0).shutDown();
            InvariantChecker checker = InvariantChecker.of(rig.harness().events());
            assertEquals(List.of(), checker.violations());
            assertEquals(9, checker.queryCount());
        }
    }

    /**
     * Hundreds of rounds by a seed: each is a word of the operators or of discovery that comes in
     * one of the ways that go wrong, under load; it ends once each router has shown that it knows.
     * Nothing may go to a node that a router has heard to drain.
     */
    @Test
    void appliesEveryNodeClosureDespiteFaults() throws Exception {
        SplittableRandom random = new SplittableRandom(29);
        try (Rig newRig = new Rig(Rig.Plan.of(ROUTERS, 2, 4))) {
            rig = newRig;
            newRig.start();
            LoadGenerator load = new LoadGenerator(newRig, 7, 2000);
            load.start();
            int[] faultCounts = new int[10];
            for (int round = 0; round < ROUNDS; round++) {
                int faultKind = random.nextInt(faultCounts.length);
                faultCounts[faultKind]++;
                injectFault(
                        faultKind,
                        random.nextInt(ROUTERS),
                        random.nextInt(4) + 4 * random.nextInt(2));
                for (int routerIndex = 0; routerIndex < ROUTERS; routerIndex++) {
                    awaitLatestList(routerIndex);
                }
            }
            load.stop();
            newRig.awaitAllAnswered();
            newRig.routers().forEach(RouterProcess::shutDown);
            InvariantChecker checker = InvariantChecker.of(newRig.harness().events());
            assertEquals(List.of(), checker.violations().stream().limit(5).toList());
            assertTrue(
                    checker.countEnded("committed") > checker.queryCount() / 2,
                    checker.countEnded("committed") + " of " + checker.queryCount());
            for (int faultKind : faultCounts) {
                assertTrue(faultKind > 0, "each kind was played");
            }
        }
    }

    /**
     * Until this router has shown, at the agent that it is at, that it knows the latest that this
     * agent knows.
     */
    private void awaitLatestList(int routerIndex) {
        String subscription =
                rig.router(routerIndex).incarnation() + "<a" + agentByRouter[routerIndex];
        try {
            rig.harness()
                    .await(
                            subscription + " knows the list",
                            () ->
                                    rig.acknowledgedGeneration(subscription)
                                            >= rig.catalog().latest().generation());
        } catch (IllegalStateException timeout) {
            throw new IllegalStateException(
                    timeout.getMessage()
                            + "; it knows "
                            + rig.acknowledgedGeneration(subscription)
                            + " of "
                            + rig.catalog().latest().generation()
                            + ", and said "
                            + rig.router(routerIndex).logLines(),
                    timeout);
        }
    }

    private void injectFault(int faultKind, int routerIndex, int nodeIndex) {
        String nodeId = "s-" + nodeIndex;
        DiscoveryCatalog catalog = rig.catalog();
        switch (faultKind) {
            case 0 -> rig.harness().run(() -> catalog.update(nextLifecycle(nodeId)));
            case 1 ->
                    rig.harness()
                            .run(
                                    () -> {
                                        // Two changes in the same millisecond.
                                        catalog.update(nextLifecycle(nodeId));
                                        catalog.update(nextLifecycle("s-" + (nodeIndex + 1) % 8));
                                    });
            case 2 -> moveDiscovery(routerIndex, true, false);
            case 3 -> moveDiscovery(routerIndex, false, false);
            case 4 -> moveDiscovery(routerIndex, true, true);
            case 5 -> moveDiscovery(routerIndex, false, true);
            case 6 -> {
                // The agent is silent while the list changes, then it is heard again.
                rig.agent(routerIndex, agentByRouter[routerIndex]).withholdResponses(true);
                rig.harness().run(() -> catalog.update(nextLifecycle(nodeId)));
                rig.agent(routerIndex, agentByRouter[routerIndex]).withholdResponses(false);
            }
            case 7 -> {
                rig.router(routerIndex).sendSignal("STOP");
                rig.harness().run(() -> catalog.update(nextLifecycle(nodeId)));
                rig.router(routerIndex).sendSignal("CONT");
            }
            case 8 -> {
                // Connections to the node hang as they come up, while it leaves the list and
                // another takes its row.
                rig.nodeProxy(routerIndex, nodeId)
                        .setModes(TcpFaultProxy.Mode.FORWARD, TcpFaultProxy.Mode.BUFFER);
                for (int i = 0; i < 3; i++) {
                    rig.harness().run(() -> catalog.update(nextLifecycle(nodeId)));
                    awaitLatestList(routerIndex);
                }
                rig.nodeProxy(routerIndex, nodeId)
                        .setModes(TcpFaultProxy.Mode.FORWARD, TcpFaultProxy.Mode.FORWARD);
            }
            default -> {
                RouterProcess router = rig.router(routerIndex);
                if (nodeIndex % 2 == 0) {
                    router.kill();
                } else {
                    router.shutDown();
                }
                rig.harness().run(() -> catalog.update(nextLifecycle(nodeId)));
                router.start();
                router.awaitServing();
            }
        }
    }

    /**
     * Discovery moves, told by the signal or by the file alone; the new one knows less at first, or
     * the list changes meanwhile.
     */
    private void moveDiscovery(int routerIndex, boolean signal, boolean newAgentLags) {
        int newAgent = rig.addAgent(routerIndex);
        long previousGeneration = rig.harness().call(() -> rig.catalog().latest().generation());
        rig.harness().run(() -> rig.catalog().update(nextLifecycle("s-" + (1 + newAgent % 3))));
        awaitLatestList(routerIndex);
        if (newAgentLags) {
            rig.agent(routerIndex, newAgent).limitGeneration(previousGeneration);
        }
        rig.writeConfiguration(routerIndex, newAgent);
        if (signal) {
            rig.router(routerIndex).sendSignal("HUP");
        }
        String subscription = rig.router(routerIndex).incarnation() + "<a" + newAgent;
        if (!signal) {
            rig.agent(routerIndex, agentByRouter[routerIndex]).close();
        }
        rig.harness()
                .await(
                        subscription + " has come to the new agent",
                        () -> rig.acknowledgedGeneration(subscription) >= 0);
        if (signal) {
            rig.agent(routerIndex, agentByRouter[routerIndex]).close();
        }
        agentByRouter[routerIndex] = newAgent;
        rig.agent(routerIndex, newAgent).limitGeneration(Long.MAX_VALUE);
    }

    /**
     * What is ready drains; what drains is gone; what is gone is back, started anew. The first two
     * of a group stay.
     */
    private DiscoveryCatalog.Entry nextLifecycle(String id) {
        DiscoveryCatalog.Entry entry = rig.catalog().entry(id);
        DiscoveryCatalog.Entry first = rig.catalog().versionAt(0).entries().get(id);
        if (Integer.parseInt(id.substring(2)) % 4 < 2) {
            return entry;
        }
        return entry == null
                ? first.readyWithStart(System.currentTimeMillis())
                : entry.withLifecycle(entry.lifecycle().equals("ready") ? "draining" : "gone");
    }
}
