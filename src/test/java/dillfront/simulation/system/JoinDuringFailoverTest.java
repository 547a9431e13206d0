package dillfront.simulation.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A primary is unreachable for the control plane and for some data planes, and a replica begins to
 * receive again while another one is promoted. Guards against acknowledgements of commits that the
 * promoted log lacks (LOST).
 */
class JoinDuringFailoverTest {

    private static final double CUT_SECONDS = 10;
    private static final int CONCURRENT_WRITES = 12;

    /** Guards against acknowledgements through a replica that is new, and copies the log first. */
    @Test
    void keepsCommitsReceivedByNewReplica() {
        for (int afterMillis = 400; afterMillis < 1_200; afterMillis += 20) {
            checkJoin(afterMillis, "release db0 last");
        }
    }

    /**
     * Guards against the same if the restarted replica keeps its id, and so is known as stopped.
     */
    @Test
    void keepsCommitsReceivedByReplicaThatRestartsWithItsId() {
        for (int afterMillis = 1_200; afterMillis < 2_000; afterMillis += 20) {
            checkJoin(afterMillis, "restart db0 last for 0.1");
        }
    }

    /**
     * A data plane that no control process reaches trusts the old primary for longer. Guards
     * against pausing and comparing replicas before the end of that trust: one that restarts in
     * between receives commits that are acknowledged.
     */
    @Test
    void keepsCommitsAcknowledgedUntilEndOfTrust() {
        for (int afterMillis = 600; afterMillis < 3_400; afterMillis += 40) {
            SystemSimulation simulation = cutPrimary(afterMillis);
            for (String zone : SystemSimulation.ZONES) {
                simulation.scheduleFault(CUT_SECONDS + 0.2, "cut core-" + zone + " front-c0 for 7");
            }
            checkCommits(simulation, afterMillis, "restart db0 last for 0.1");
        }
    }

    /** Guards against acknowledgements through a paused replica that restarts. */
    @Test
    void keepsCommitsReceivedByRestartedReplica() {
        for (int afterMillis = 1_200; afterMillis < 2_000; afterMillis += 20) {
            checkJoin(afterMillis, "crash db0 last for 0.1");
        }
    }

    private static void checkJoin(int afterMillis, String fault) {
        checkCommits(cutPrimary(afterMillis), afterMillis, fault);
    }

    /** Schedules writes through the only data plane that reaches the primary. */
    private static SystemSimulation cutPrimary(int afterMillis) {
        SystemSimulation simulation = new SystemSimulation(400 + afterMillis, 1, 1, 40, 22_000);
        String primary = simulation.database("db0").primary().id;
        simulation.scheduleFault(1, "promotes db0 600");
        for (String zone : SystemSimulation.ZONES) {
            simulation.scheduleFault(CUT_SECONDS, "cut core-" + zone + " " + primary + " for 7");
        }
        simulation.scheduleFault(CUT_SECONDS, "cut front-a0 " + primary + " for 7");
        simulation.scheduleFault(CUT_SECONDS, "cut front-b0 " + primary + " for 7");
        for (int writeMillis = 0; writeMillis < 2_400; writeMillis += 300) {
            simulation.scheduleFault(
                    CUT_SECONDS + writeMillis / 1e3,
                    "writes db0 " + CONCURRENT_WRITES + " front-c0");
        }
        return simulation;
    }

    private static void checkCommits(SystemSimulation simulation, int afterMillis, String fault) {
        simulation.scheduleFault(CUT_SECONDS + afterMillis / 1e3, fault);
        simulation.run();
        String details =
                fault
                        + " after "
                        + afterMillis
                        + "\n"
                        + String.join("\n", simulation.eventLog)
                        + "\n"
                        + String.join("\n", simulation.traceLog());
        assertEquals(List.of(), simulation.violations(), details);
        assertTrue(simulation.promotions() > 0, details);
    }
}
