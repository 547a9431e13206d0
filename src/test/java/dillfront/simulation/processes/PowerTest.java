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
class PowerTest extends Losses {

    /**
     * Guards against routers that wait for a warm node to show what one can do, where there is
     * none.
     */
    @Test
    void aFleetThatIsColdAsAWholeIsServedFrom() throws Exception {
        begin(ALWAYS_COLD);
        for (int loss = 0; loss < 3; loss++) {
            rig.cut();
            for (Node node : rig.nodes()) {
                rig.back(node, 0);
            }
            agents();
            routers(0, 1, 2, 3);
            // The next loss strikes when one has just begun to serve, then some have, then all.
            served(1 + 20 * loss, IntStream.rangeClosed(0, loss + 1).toArray());
        }
        judge();
    }

    /** Guards against what depends on who is back first. */
    @Test
    void theyComeBackInSixOrders() throws Exception {
        begin(USUAL);
        String[] all = rig.nodes().stream().map(Node::id).toArray(String[]::new);
        for (int order = 0; order < 6; order++) {
            rig.cut();
            switch (order) {
                case 0 -> {
                    // Routers first: they know the nodes from of old, and nobody answers.
                    routers(0, 1, 2, 3);
                    back(0, all);
                    agents();
                }
                case 1 -> {
                    back(0, all);
                    agents();
                    routers(0, 1, 2, 3);
                }
                case 2 -> {
                    // Discovery last: until then the old list holds.
                    back(0, all);
                    routers(0, 1, 2, 3);
                    served(5, 0, 1, 2, 3);
                    agents();
                }
                case 3 -> {
                    // One site late, with the primaries of both groups.
                    agents();
                    back(0, "s-1", "s-2", "s-4", "s-5");
                    routers(0, 1, 2, 3);
                    back(0, "s-0", "s-3");
                }
                case 4 -> {
                    // Half of the routers never come back.
                    back(0, all);
                    agents();
                    routers(0, 1);
                    served(40, 0, 1);
                }
                default -> {
                    // All at once, in no order at all; replicas have lost the end of their logs.
                    List<Thread> threads = new ArrayList<>();
                    threads.add(new Thread(() -> routers(0, 1, 2, 3)));
                    threads.add(new Thread(this::agents));
                    threads.forEach(Thread::start);
                    back(0, "s-0", "s-3");
                    back(20_000, "s-1", "s-2", "s-4", "s-5");
                    for (Thread thread : threads) {
                        thread.join();
                    }
                }
            }
            if (order != 4) {
                served(40, 0, 1, 2, 3);
            }
        }
        judge();
    }

    /**
     * Guards against a drain that is forgotten with the power, where discovery itself comes back
     * older than it was.
     */
    @Test
    void aNodeThatDrainedStaysClosedInTheNextLife() throws Exception {
        begin(Rig.Plan.of(ROUTERS, 2, 3).work(USUAL).operator(this::remembers));
        rig.stage().run(() -> rig.catalogue().change(rig.catalogue().entry("s-2").is("draining")));
        rig.stage().run(() -> rig.catalogue().change(rig.catalogue().entry("s-5").is("gone")));
        for (int r = 0; r < ROUTERS; r++) {
            int who = r;
            rig.stage()
                    .await(
                            "router " + r + " has heard",
                            () -> rig.heard(rig.router(who).life() + "<a0") == 43);
            status(
                    r,
                    "closings are kept",
                    said -> said.contains("closings=2 ") && said.contains(" waiting=0 "));
        }
        rig.cut();
        // The nodes never went down: they are not newly started, so no list opens them by that.
        for (Node node : rig.nodes()) {
            node.start(0);
        }
        for (int r = 0; r < ROUTERS; r++) {
            rig.agent(r, 0).upTo(41);
        }
        agents();
        routers(0, 1, 2, 3);
        served(40, 0, 1, 2, 3);
        judge(true);
    }

    /**
     * Guards against what holds only where recovery comes to its end: power goes again in each of
     * its states.
     */
    @Test
    void powerGoesAgainInEachStateOfRecovery() throws Exception {
        begin(Rig.Plan.of(2, 1, 3).work(ALWAYS_COLD).operator(this::remembers));
        CompletableFuture<Happening.Answered> write = rig.ask(0, "move", 0, "token", 1500);
        assertEquals("committed", write.get(30, TimeUnit.SECONDS).how());
        // Its time is no earlier than its answer says.
        long wrote = System.currentTimeMillis();
        for (String state : List.of("dark", "contested", "known", "covered", "warm", "covered")) {
            if (state.equals("warm")) {
                // Nodes that never went down: routers and discovery alone lose their power.
                rig.routers().forEach(Router::kill);
                rig.agent(0, 0).close();
                rig.agent(1, 0).close();
                rig.stage()
                        .run(
                                () ->
                                        rig.nodes()
                                                .forEach(
                                                        n ->
                                                                rig.catalogue()
                                                                        .change(
                                                                                rig.catalogue()
                                                                                        .entry(
                                                                                                n
                                                                                                        .id())
                                                                                        .startedAt(
                                                                                                0))));
                rig.nodes().forEach(Node::warm);
            } else {
                rig.cut();
            }
            switch (state) {
                case "dark" -> {}
                case "contested" -> back(0, "s-1", "s-2");
                case "known" -> {
                    back(0, "s-0");
                    // They come back behind what they had told before.
                    back(20_000, "s-1", "s-2");
                }
                case "covered" -> back(0, "s-0", "s-1", "s-2");
                default -> {}
            }
            agent(0);
            agent(1);
            routers(0, 1);
            for (int r = 0; r < 2; r++) {
                status(
                        r,
                        "its group is " + state,
                        said -> said.replace("\"", "").contains("groups 0=" + state));
            }
            // A session that wrote before any of it: its reads wait for nodes that have what it
            // wrote, and the auditor looks.
            for (int r = 0; r < 2; r++) {
                int who = r;
                rig.stage()
                        .run(
                                () ->
                                        rig.router(who)
                                                .caller()
                                                .ask("own", 0, "token", 1000, wrote, null));
            }
            status(
                    0,
                    "what was lost",
                    said ->
                            said.contains(
                                    switch (state) {
                                        case "dark" -> "loss=unsure";
                                        case "warm" -> "loss=router";
                                        default -> "loss=all";
                                    }));
        }
        served(20, 0, 1);
        judge(true);
    }

    private void agent(int r) {
        if (!rig.agent(r, 0).up()) {
            rig.agent(r, 0).open();
        }
    }
}
