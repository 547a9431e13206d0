package dillfront.simulation.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * All lose power in one moment, under load, and come back in this order or that; the five rules
 * hold over all of it.
 */
class PowerLossTest extends PowerLossTestBase {

    /**
     * Guards against routers that wait for a warm node to show what one can do, where there is
     * none.
     */
    @Test
    void servesWhileAllNodesWarmUp() throws Exception {
        startRig(NEVER_WARM);
        for (int lossIndex = 0; lossIndex < 3; lossIndex++) {
            rig.losePower();
            for (SimulatedNode node : rig.nodes()) {
                rig.restartNode(node, 0);
            }
            openAgents();
            startRouters(0, 1, 2, 3);
            // The next loss strikes when one has just begun to serve, then some have, then all.
            awaitServed(1 + 20 * lossIndex, IntStream.rangeClosed(0, lossIndex + 1).toArray());
        }
        assertInvariants();
    }

    /** Guards against what depends on who is back first. */
    @Test
    void recoversInAnyRestartOrder() throws Exception {
        startRig(WARM_AFTER_3_S);
        String[] nodeIds = rig.nodes().stream().map(SimulatedNode::id).toArray(String[]::new);
        for (int order = 0; order < 6; order++) {
            rig.losePower();
            switch (order) {
                case 0 -> {
                    // Routers first: they know the nodes from of old, and nobody answers.
                    startRouters(0, 1, 2, 3);
                    restartNodes(0, nodeIds);
                    openAgents();
                }
                case 1 -> {
                    restartNodes(0, nodeIds);
                    openAgents();
                    startRouters(0, 1, 2, 3);
                }
                case 2 -> {
                    // Discovery last: until then the old list holds.
                    restartNodes(0, nodeIds);
                    startRouters(0, 1, 2, 3);
                    awaitServed(5, 0, 1, 2, 3);
                    openAgents();
                }
                case 3 -> {
                    // One site late, with the primaries of both groups.
                    openAgents();
                    restartNodes(0, "s-1", "s-2", "s-4", "s-5");
                    startRouters(0, 1, 2, 3);
                    restartNodes(0, "s-0", "s-3");
                }
                case 4 -> {
                    // Half of the routers never come back.
                    restartNodes(0, nodeIds);
                    openAgents();
                    startRouters(0, 1);
                    awaitServed(40, 0, 1);
                }
                default -> {
                    // All at once, in no order at all; replicas have lost the end of their logs.
                    List<Thread> threads = new ArrayList<>();
                    threads.add(new Thread(() -> startRouters(0, 1, 2, 3)));
                    threads.add(new Thread(this::openAgents));
                    threads.forEach(Thread::start);
                    restartNodes(0, "s-0", "s-3");
                    restartNodes(20_000, "s-1", "s-2", "s-4", "s-5");
                    for (Thread thread : threads) {
                        thread.join();
                    }
                }
            }
            if (order != 4) {
                awaitServed(40, 0, 1, 2, 3);
            }
        }
        assertInvariants();
    }

    /**
     * Guards against a drain that is forgotten with the power, where discovery itself comes back
     * older than it was.
     */
    @Test
    void drainedNodeStaysClosedAfterRestart() throws Exception {
        startRig(
                Rig.Plan.of(ROUTERS, 2, 3)
                        .capacity(WARM_AFTER_3_S)
                        .operatorFile(this::memoryOperatorFile));
        rig.harness()
                .run(
                        () ->
                                rig.catalog()
                                        .update(
                                                rig.catalog()
                                                        .entry("s-2")
                                                        .withLifecycle("draining")));
        rig.harness()
                .run(() -> rig.catalog().update(rig.catalog().entry("s-5").withLifecycle("gone")));
        for (int r = 0; r < ROUTERS; r++) {
            int routerIndex = r;
            rig.harness()
                    .await(
                            "router " + r + " has heard",
                            () ->
                                    rig.acknowledgedGeneration(
                                                    rig.router(routerIndex).incarnation() + "<a0")
                                            == 43);
            awaitStatus(
                    r,
                    "closings are kept",
                    report -> report.contains("closings=2 ") && report.contains(" waiting=0 "));
        }
        rig.losePower();
        // The nodes never went down: they are not newly started, so no list opens them by that.
        for (SimulatedNode node : rig.nodes()) {
            node.start(0);
        }
        for (int r = 0; r < ROUTERS; r++) {
            rig.agent(r, 0).limitGeneration(41);
        }
        openAgents();
        startRouters(0, 1, 2, 3);
        awaitServed(40, 0, 1, 2, 3);
        assertInvariants(true);
    }

    /**
     * Guards against what holds only where recovery comes to its end: power goes again in each of
     * its states.
     */
    @Test
    void recoversFromPowerLossInEachRecoveryState() throws Exception {
        startRig(Rig.Plan.of(2, 1, 3).capacity(NEVER_WARM).operatorFile(this::memoryOperatorFile));
        CompletableFuture<Event.QueryEnded> write = rig.submit(0, "move", 0, "token", 1500);
        assertEquals("committed", write.get(30, TimeUnit.SECONDS).outcome());
        // Its time is no earlier than its answer says.
        long writtenMs = System.currentTimeMillis();
        for (String state : List.of("dark", "contested", "known", "covered", "warm", "covered")) {
            if (state.equals("warm")) {
                // Nodes that never went down: routers and discovery alone lose their power.
                rig.routers().forEach(RouterProcess::kill);
                rig.agent(0, 0).close();
                rig.agent(1, 0).close();
                rig.harness()
                        .run(
                                () ->
                                        rig.nodes()
                                                .forEach(
                                                        node ->
                                                                rig.catalog()
                                                                        .update(
                                                                                rig.catalog()
                                                                                        .entry(
                                                                                                node
                                                                                                        .id())
                                                                                        .readyWithStart(
                                                                                                0))));
                rig.nodes().forEach(SimulatedNode::markWarm);
            } else {
                rig.losePower();
            }
            switch (state) {
                case "dark" -> {}
                case "contested" -> restartNodes(0, "s-1", "s-2");
                case "known" -> {
                    restartNodes(0, "s-0");
                    // They come back behind what they had told before.
                    restartNodes(20_000, "s-1", "s-2");
                }
                case "covered" -> restartNodes(0, "s-0", "s-1", "s-2");
                default -> {}
            }
            openAgentIfClosed(0);
            openAgentIfClosed(1);
            startRouters(0, 1);
            for (int r = 0; r < 2; r++) {
                awaitStatus(
                        r,
                        "its group is " + state,
                        report -> report.replace("\"", "").contains("groups 0=" + state));
            }
            // A session that wrote before any of it: its reads wait for nodes that have what it
            // wrote, and the auditor looks.
            for (int r = 0; r < 2; r++) {
                int routerIndex = r;
                rig.harness()
                        .run(
                                () ->
                                        rig.router(routerIndex)
                                                .client()
                                                .submit("own", 0, "token", 1000, writtenMs, null));
            }
            awaitStatus(
                    0,
                    "what was lost",
                    report ->
                            report.contains(
                                    switch (state) {
                                        case "dark" -> "loss=unsure";
                                        case "warm" -> "loss=router";
                                        default -> "loss=all";
                                    }));
        }
        awaitServed(20, 0, 1);
        assertInvariants(true);
    }

    private void openAgentIfClosed(int r) {
        if (!rig.agent(r, 0).isListening()) {
            rig.agent(r, 0).open();
        }
    }
}
