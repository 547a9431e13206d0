package dillfront.lab.rig;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** All lose power in one moment, under load, and come back in this order or that; the five rules hold over all of it. */
class PowerTest extends Losses {

    /** Guards against routers that wait for a warm node to show what one can do, where there is none. */
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

    /** Guards against a drain that is forgotten with the power, where discovery itself comes back older than it was. */
    @Test
    void aNodeThatDrainedStaysClosedInTheNextLife() throws Exception {
        begin(Rig.Plan.of(ROUTERS, 2, 3).work(USUAL).operator(this::remembers));
        rig.stage().run(() -> rig.catalogue().change(rig.catalogue().entry("s-2").is("draining")));
        rig.stage().run(() -> rig.catalogue().change(rig.catalogue().entry("s-5").is("gone")));
        for (int r = 0; r < ROUTERS; r++) {
            int who = r;
            rig.stage().await("router " + r + " has heard", () -> rig.heard(rig.router(who).life() + "<a0") == 43);
            status(r, "closings are kept", said -> said.contains("closings=2 ") && said.contains(" waiting=0 "));
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
}
