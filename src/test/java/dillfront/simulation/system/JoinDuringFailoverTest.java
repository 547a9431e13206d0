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

    /** Guards against acknowledgements through a paused replica that restarts. */
    @Test
    void keepsCommitsReceivedByRestartedReplica() {
        for (int afterMillis = 1_200; afterMillis < 2_000; afterMillis += 20) {
            checkJoin(afterMillis, "crash db0 last for 0.1");
        }
    }

    private static void checkJoin(int afterMillis, String fault) {
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
