package dillfront.simulation.processes;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A site of three that is lost to real routers: in silence, with resets, to one of them alone. They
 * tell which, and serve.
 */
class SiteLossTest extends PowerLossTestBase {

    /** Two groups, a member of each at each site. */
    private static final List<List<String>> NODES_BY_SITE =
            List.of(List.of("s-0", "s-3"), List.of("s-1", "s-4"), List.of("s-2", "s-5"));

    private void awaitSiteStatus(int routerIndex, String expected) throws InterruptedException {
        awaitStatus(routerIndex, expected, report -> report.contains(expected));
    }

    private void setSiteCut(int routerIndex, int site, boolean cut) {
        for (String node : NODES_BY_SITE.get(site)) {
            if (cut) {
                rig.nodeProxy(routerIndex, node).dropTraffic();
            } else {
                rig.nodeProxy(routerIndex, node).heal();
            }
        }
    }

    @Test
    void reportsLostSiteFromOwnConnections() throws Exception {
        startRig(
                Rig.Plan.of(3, 2, 3)
                        .capacity(new SimulatedNode.Capacity(2, 5000, 0.2, 3000, 2, 1000))
                        .zones("a", "b", "c")
                        .operatorFile((set, r) -> memoryOperatorFile(set, r) + "sites()\n"));
        for (int r = 0; r < 3; r++) {
            awaitSiteStatus(r, "sites self=joined a=well b=well c=well");
        }
        // In silence, for all: connections stay open and say nothing.
        for (int r = 0; r < 3; r++) {
            setSiteCut(r, 2, true);
        }
        awaitSiteStatus(0, "a=well b=well c=lost");
        awaitSiteStatus(1, "a=well b=well c=lost");
        // The one that stands there is cut off from its own site's nodes alone.
        awaitSiteStatus(2, "sites self=joined a=well b=well c=lost");
        for (int r = 0; r < 3; r++) {
            setSiteCut(r, 2, false);
        }
        for (int r = 0; r < 3; r++) {
            awaitSiteStatus(r, "a=well b=well c=well");
        }
        // With resets: the machines are there, nothing listens.
        NODES_BY_SITE.get(1).forEach(node -> rig.node(node).kill());
        for (int r = 0; r < 3; r++) {
            awaitSiteStatus(r, "a=well b=lost c=well");
        }
        NODES_BY_SITE.get(1).forEach(node -> rig.restartNode(rig.node(node), 0));
        // To one router alone: it is an island, the others are as they were.
        setSiteCut(0, 1, true);
        setSiteCut(0, 2, true);
        awaitSiteStatus(0, "sites self=island a=well b=lost c=lost");
        awaitSiteStatus(1, "self=joined a=well");
        String incarnation = rig.router(1).incarnation();
        int committedBefore = rig.harness().call(() -> load.committed(incarnation));
        awaitServed(committedBefore + 40, 1);
        setSiteCut(0, 1, false);
        setSiteCut(0, 2, false);
        awaitSiteStatus(0, "sites self=joined a=well b=well c=well");
        assertTrue(
                rig.router(0).logLines().stream()
                        .anyMatch(l -> l.contains("INFO site self=island")),
                rig.router(0).logLines().toString());
        assertInvariants(true);
    }
}
