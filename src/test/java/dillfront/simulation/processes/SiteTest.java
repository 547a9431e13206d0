package dillfront.simulation.processes;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A site of three that is lost to real routers: in silence, with resets, to one of them alone. They
 * tell which, and serve.
 */
class SiteTest extends Losses {

    /** Two groups, a member of each at each site. */
    private static final List<List<String>> AT =
            List.of(List.of("s-0", "s-3"), List.of("s-1", "s-4"), List.of("s-2", "s-5"));

    private void says(int r, String what) throws InterruptedException {
        status(r, what, said -> said.contains(what));
    }

    private void cut(int r, int site, boolean lost) {
        for (String node : AT.get(site)) {
            if (lost) {
                rig.link(r, node).cut();
            } else {
                rig.link(r, node).heal();
            }
        }
    }

    @Test
    void whatIsLostIsToldByOnesOwnEvidence() throws Exception {
        begin(
                Rig.Plan.of(3, 2, 3)
                        .work(new Node.Work(2, 5000, 0.2, 3000, 2, 1000))
                        .zones("a", "b", "c")
                        .operator((set, r) -> remembers(set, r) + "sites()\n"));
        for (int r = 0; r < 3; r++) {
            says(r, "sites self=joined a=well b=well c=well");
        }
        // In silence, for all: connections stay open and say nothing.
        for (int r = 0; r < 3; r++) {
            cut(r, 2, true);
        }
        says(0, "a=well b=well c=lost");
        says(1, "a=well b=well c=lost");
        // The one that stands there is cut off from its own site's nodes alone.
        says(2, "sites self=joined a=well b=well c=lost");
        for (int r = 0; r < 3; r++) {
            cut(r, 2, false);
        }
        for (int r = 0; r < 3; r++) {
            says(r, "a=well b=well c=well");
        }
        // With resets: the machines are there, nothing listens.
        AT.get(1).forEach(n -> rig.node(n).kill());
        for (int r = 0; r < 3; r++) {
            says(r, "a=well b=lost c=well");
        }
        AT.get(1).forEach(n -> rig.back(rig.node(n), 0));
        // To one router alone: it is an island, the others are as they were.
        cut(0, 1, true);
        cut(0, 2, true);
        says(0, "sites self=island a=well b=lost c=lost");
        says(1, "self=joined a=well");
        String life = rig.router(1).life();
        int before = rig.stage().call(() -> load.committed(life));
        served(before + 40, 1);
        cut(0, 1, false);
        cut(0, 2, false);
        says(0, "sites self=joined a=well b=well c=well");
        assertTrue(
                rig.router(0).lines().stream().anyMatch(l -> l.contains("INFO site self=island")),
                rig.router(0).lines().toString());
        judge(true);
    }
}
