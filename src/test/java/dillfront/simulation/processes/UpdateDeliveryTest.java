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
        List<String> all =
                new ArrayList<>(
                        List.of("/bin/sh", "-c", "trap '' " + signal + "; exec \"$0\" \"$@\""));
        all.addAll(command);
        return all;
    }

    private static List<String> withDefaultSignals(List<String> command) {
        List<String> all = new ArrayList<>(List.of("env", "--default-signal=HUP,TERM"));
        all.addAll(command);
        return all;
    }

    private static long countLogLines(RouterProcess router, String part) {
        return router.logLines().stream().filter(l -> l.contains(part)).count();
    }

    /**
     * Guards against a word that is lost since whoever started the router had the signal ignored.
     */
    @Test
    void warnsOfOrRestoresIgnoredSignals() throws Exception {
        try (Rig plain = new Rig(Rig.Plan.of(1, 1, 2).command(withSignalIgnored("HUP TERM", Rig.routerCommand())));
                Rig mended =
                        new Rig(
                                Rig.Plan.of(1, 1, 2)
                                        .command(withSignalIgnored("HUP TERM", withDefaultSignals(Rig.routerCommand()))))) {
            plain.start();
            mended.start();
            assertEquals(2, countLogLines(plain.router(0), "signal-ignored"), "told of both");
            assertEquals(0, countLogLines(mended.router(0), "signal-ignored"));
            int next = mended.addAgent(0);
            mended.writeConfiguration(0, next);
            mended.router(0).sendSignal("HUP");
            mended.router(0).awaitLogLine("reloaded", l -> l.contains("reloaded by=SIGHUP"));
            // Ignored, but what it was about is in the file: found once the old place is gone.
            int other = plain.addAgent(0);
            plain.writeConfiguration(0, other);
            plain.router(0).sendSignal("HUP");
            plain.agent(0, 0).close();
            plain.router(0).awaitLogLine("reloaded", l -> l.contains("reloaded by=file"));
            mended.router(0).shutDown();
        }
    }

    /** Guards against an end by a figure: what waits longer than that figure would be lost. */
    @Test
    void shutdownWaitsForLastPendingDeadline() throws Exception {
        try (Rig slow = new Rig(Rig.Plan.of(2, 1, 2).expiry(8000))) {
            slow.start();
            QueryClient first = slow.router(0).client();
            slow.harness().run(() -> first.submit("any", 0, "16-warm", 8000, 0, null));
            slow.awaitAllAnswered();
            // Both members take it and say nothing until well past the 3.5 s that once were the
            // end.
            slow.nodes().forEach(n -> n.behavior(SimulatedNode.Behavior.HANGING));
            slow.harness().run(() -> first.submit("move", 0, "k1", 6000, 0, null));
            slow.harness()
                    .await(
                            "the write is out",
                            () -> slow.nodes().stream().mapToLong(n -> n.statementCount).sum() == 2);
            slow.router(0).sendSignal("TERM");
            slow.router(0).awaitLogLine("stopping", l -> l.contains(" stopping "));
            // New ones still come; the other router's clients notice nothing.
            slow.harness().run(() -> first.submit("fresh", 0, "16-late", 5000, 0, null));
            slow.router(0).shutDown();
            assertEquals(
                    0,
                    countLogLines(slow.router(0), "stopped-with-work"),
                    slow.router(0).logLines().toString());
            assertTrue(countLogLines(slow.router(0), " counters ") == 1, "its last line");
            slow.awaitAllAnswered();
            InvariantChecker audit = InvariantChecker.of(slow.harness().events());
            assertEquals(List.of(), audit.violations());
            assertEquals(3, audit.queryCount());
        }
    }

    /**
     * Guards against a breach that is none: the stage had no core, and a statement and the answer
     * behind it lie unread together.
     */
    @Test
    void recordsStatementBeforeLaterAnswer() throws Exception {
        try (Rig one = new Rig(Rig.Plan.of(1, 1, 2))) {
            one.start();
            QueryClient caller = one.router(0).client();
            // Both connections are up, and rest.
            for (int i = 0; i < 8; i++) {
                one.harness().run(() -> caller.submit("any", 0, "16-warm", 2000, 0, null));
                one.awaitAllAnswered();
            }
            one.nodes().forEach(n -> n.behavior(SimulatedNode.Behavior.HANGING));
            one.harness()
                    .run(
                            () -> {
                                caller.submit("any", 0, "16-hangs", 500, 0, null);
                                try {
                                    Thread.sleep(700);
                                } catch (InterruptedException stopped) {
                                    throw new IllegalStateException(stopped);
                                }
                            });
            one.awaitAllAnswered();
            one.router(0).shutDown();
            InvariantChecker audit = InvariantChecker.of(one.harness().events());
            assertEquals(List.of(), audit.violations());
            assertEquals(9, audit.queryCount());
        }
    }

    /**
     * Hundreds of rounds by a seed: each is a word of the operators or of discovery that comes in
     * one of the ways that go wrong, under load; it ends once each router has shown that it knows.
     * Nothing may go to a node that a router has heard to drain.
     */
    @Test
    void appliesEveryNodeClosureDespiteFaults() throws Exception {
        SplittableRandom chance = new SplittableRandom(29);
        try (Rig set = new Rig(Rig.Plan.of(ROUTERS, 2, 4))) {
            rig = set;
            set.start();
            LoadGenerator load = new LoadGenerator(set, 7, 2000);
            load.start();
            int[] seen = new int[10];
            for (int round = 0; round < ROUNDS; round++) {
                int kind = chance.nextInt(seen.length);
                seen[kind]++;
                injectFault(kind, chance.nextInt(ROUTERS), chance.nextInt(4) + 4 * chance.nextInt(2));
                for (int r = 0; r < ROUTERS; r++) {
                    awaitLatestList(r);
                }
            }
            load.stop();
            set.awaitAllAnswered();
            set.routers().forEach(RouterProcess::shutDown);
            InvariantChecker audit = InvariantChecker.of(set.harness().events());
            assertEquals(List.of(), audit.violations().stream().limit(5).toList());
            assertTrue(
                    audit.countEnded("committed") > audit.queryCount() / 2,
                    audit.countEnded("committed") + " of " + audit.queryCount());
            for (int kind : seen) {
                assertTrue(kind > 0, "each kind was played");
            }
        }
    }

    /**
     * Until this router has shown, at the agent that it is at, that it knows the latest that this
     * agent knows.
     */
    private void awaitLatestList(int r) {
        String life = rig.router(r).incarnation() + "<a" + agentByRouter[r];
        try {
            rig.harness()
                    .await(
                            life + " knows the list",
                            () -> rig.acknowledgedGeneration(life) >= rig.catalog().latest().generation());
        } catch (IllegalStateException never) {
            throw new IllegalStateException(
                    never.getMessage()
                            + "; it knows "
                            + rig.acknowledgedGeneration(life)
                            + " of "
                            + rig.catalog().latest().generation()
                            + ", and said "
                            + rig.router(r).logLines(),
                    never);
        }
    }

    private void injectFault(int kind, int r, int node) {
        String id = "s-" + node;
        DiscoveryCatalog catalogue = rig.catalog();
        switch (kind) {
            case 0 -> rig.harness().run(() -> catalogue.update(nextLifecycle(id)));
            case 1 ->
                    rig.harness()
                            .run(
                                    () -> {
                                        // Two changes in the same millisecond.
                                        catalogue.update(nextLifecycle(id));
                                        catalogue.update(nextLifecycle("s-" + (node + 1) % 8));
                                    });
            case 2 -> moveDiscovery(r, true, false);
            case 3 -> moveDiscovery(r, false, false);
            case 4 -> moveDiscovery(r, true, true);
            case 5 -> moveDiscovery(r, false, true);
            case 6 -> {
                // The agent is silent while the list changes, then it is heard again.
                rig.agent(r, agentByRouter[r]).withholdResponses(true);
                rig.harness().run(() -> catalogue.update(nextLifecycle(id)));
                rig.agent(r, agentByRouter[r]).withholdResponses(false);
            }
            case 7 -> {
                rig.router(r).sendSignal("STOP");
                rig.harness().run(() -> catalogue.update(nextLifecycle(id)));
                rig.router(r).sendSignal("CONT");
            }
            case 8 -> {
                // Connections to the node hang as they come up, while it leaves the list and
                // another takes its row.
                rig.nodeProxy(r, id).setModes(TcpFaultProxy.Mode.FORWARD, TcpFaultProxy.Mode.BUFFER);
                for (int i = 0; i < 3; i++) {
                    rig.harness().run(() -> catalogue.update(nextLifecycle(id)));
                    awaitLatestList(r);
                }
                rig.nodeProxy(r, id).setModes(TcpFaultProxy.Mode.FORWARD, TcpFaultProxy.Mode.FORWARD);
            }
            default -> {
                RouterProcess router = rig.router(r);
                if (node % 2 == 0) {
                    router.kill();
                } else {
                    router.shutDown();
                }
                rig.harness().run(() -> catalogue.update(nextLifecycle(id)));
                router.start();
                router.awaitServing();
            }
        }
    }

    /**
     * Discovery moves, told by the signal or by the file alone; the new one knows less at first, or
     * the list changes meanwhile.
     */
    private void moveDiscovery(int r, boolean signal, boolean older) {
        int next = rig.addAgent(r);
        long before = rig.harness().call(() -> rig.catalog().latest().generation());
        rig.harness().run(() -> rig.catalog().update(nextLifecycle("s-" + (1 + next % 3))));
        awaitLatestList(r);
        if (older) {
            rig.agent(r, next).limitGeneration(before);
        }
        rig.writeConfiguration(r, next);
        if (signal) {
            rig.router(r).sendSignal("HUP");
        }
        String life = rig.router(r).incarnation() + "<a" + next;
        if (!signal) {
            rig.agent(r, agentByRouter[r]).close();
        }
        rig.harness().await(life + " has come to the new agent", () -> rig.acknowledgedGeneration(life) >= 0);
        if (signal) {
            rig.agent(r, agentByRouter[r]).close();
        }
        agentByRouter[r] = next;
        rig.agent(r, next).limitGeneration(Long.MAX_VALUE);
    }

    /**
     * What is ready drains; what drains is gone; what is gone is back, started anew. The first two
     * of a group stay.
     */
    private DiscoveryCatalog.Entry nextLifecycle(String id) {
        DiscoveryCatalog.Entry e = rig.catalog().entry(id);
        DiscoveryCatalog.Entry first = rig.catalog().versionAt(0).entries().get(id);
        if (Integer.parseInt(id.substring(2)) % 4 < 2) {
            return e;
        }
        return e == null
                ? first.readyWithStart(System.currentTimeMillis())
                : e.withLifecycle(e.lifecycle().equals("ready") ? "draining" : "gone");
    }
}
