package dillfront.simulation.system;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A replica leaves, the data plane that acknowledged the last commits is lost before it reports
 * them, and the primary crashes for a while. Guards against the promotion of a log without these
 * commits (LOST).
 */
class UnreportedCommitsTest {

    private static final double REPLICA_LEAVES_SECONDS = 15;
    private static final String WRITES = "writes db0 6 front-a0";

    /** The replicas that stay receive nothing in the last moments of the one that leaves. */
    @Test
    void keepsCommitsOfLastMomentsBeforeDeparture() {
        for (int leadMillis = 60; leadMillis <= 1_800; leadMillis += 60) {
            SystemSimulation simulation =
                    scheduleLosses(
                            1,
                            REPLICA_LEAVES_SECONDS - leadMillis / 1e3,
                            REPLICA_LEAVES_SECONDS - 0.3);
            simulation.run();
            assertEquals(List.of(), simulation.violations(), details(simulation, leadMillis));
            assertEquals(0, simulation.lostCommits(), details(simulation, leadMillis));
        }
    }

    /**
     * The replicas that stay receive nothing for so long that the leaving one cannot be paused. No
     * process that is left knows of the commits, so only the primary brings them back.
     */
    @Test
    void waitsForPrimaryIfDepartureIsUnproven() {
        for (long seed = 1; seed <= 6; seed++) {
            SystemSimulation simulation = scheduleLosses(seed, 10, 10);
            simulation.run();
            assertEquals(List.of(), simulation.violations(), details(simulation, seed));
            assertEquals(0, simulation.promotions(), details(simulation, seed));
        }
    }

    /**
     * The replica that leaves was paused, and is resumed after a failover before it leaves. Guards
     * against taking it for paused still.
     */
    @Test
    void keepsCommitsReceivedAfterReplicaIsResumed() {
        for (long seed = 1; seed <= 6; seed++) {
            for (int leadMillis = 0; leadMillis <= 1_200; leadMillis += 300) {
                SystemSimulation simulation = new SystemSimulation(seed, 1, 1, 0, 36_000);
                double deafSeconds = REPLICA_LEAVES_SECONDS + 1.2 - leadMillis / 1e3;
                simulation.scheduleFault(6, "release db0 replica longer for 2");
                simulation.scheduleFault(8, WRITES);
                simulation.scheduleFault(12, "crash db0 primary for 3.5");
                simulation.scheduleFault(deafSeconds, "receive db0 0 none for 24");
                simulation.scheduleFault(deafSeconds + 0.1, WRITES);
                simulation.scheduleFault(deafSeconds + 0.25, "power front-a0 for 17");
                simulation.scheduleFault(REPLICA_LEAVES_SECONDS + 2.5, "crash db0 primary for 9");
                simulation.run();
                assertEquals(List.of(), simulation.violations(), details(simulation, seed));
            }
        }
    }

    /** Schedules the scene. */
    private static SystemSimulation scheduleLosses(
            long seed, double deafSeconds, double writeSeconds) {
        SystemSimulation simulation = new SystemSimulation(seed, 1, 1, 0, 36_000);
        simulation.scheduleFault(6, "release db0 replica");
        simulation.scheduleFault(8, WRITES);
        simulation.scheduleFault(deafSeconds, "receive db0 0 none for 24");
        simulation.scheduleFault(writeSeconds + 0.01, WRITES);
        simulation.scheduleFault(writeSeconds + 0.15, "power front-a0 for 17");
        simulation.scheduleFault(REPLICA_LEAVES_SECONDS + 0.4, "crash db0 primary for 9");
        return simulation;
    }

    private static String details(SystemSimulation simulation, long run) {
        return run
                + "\n"
                + String.join("\n", simulation.eventLog)
                + "\n"
                + String.join("\n", simulation.traceLog());
    }
}
