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
     * The replicas that stay receive nothing before the leaving one would be paused, which is
     * therefore not paused. No process that is left knows of the commits, so only the primary
     * brings them back.
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

    /**
     * The replica that leaves was paused, and restarts just before it leaves. Guards against taking
     * it for paused still.
     */
    @Test
    void keepsCommitsReceivedAfterPausedReplicaRestarts() {
        for (int restartMillis = 14_000; restartMillis < 15_000; restartMillis += 20) {
            SystemSimulation simulation = new SystemSimulation(1, 1, 1, 0, 36_000);
            double restartSeconds = restartMillis / 1e3;
            simulation.scheduleFault(6, "release db0 replica");
            simulation.scheduleFault(8, WRITES);
            simulation.scheduleFault(restartSeconds, "receive db0 0 none for 24");
            simulation.scheduleFault(restartSeconds + 0.01, "restart db0 replica for 0.02");
            simulation.scheduleFault(restartSeconds + 0.05, WRITES);
            simulation.scheduleFault(restartSeconds + 0.25, "power front-a0 for 17");
            simulation.scheduleFault(REPLICA_LEAVES_SECONDS + 0.4, "crash db0 primary for 9");
            simulation.run();
            assertEquals(List.of(), simulation.violations(), details(simulation, restartMillis));
        }
    }

    /**
     * The lease holder is lost long after the replica has left unproven. Guards against taking the
     * age of a departure for a proof.
     */
    @Test
    void waitsForPrimaryIfNextLeaseHolderKnowsNoProof() {
        for (long seed = 1; seed <= 6; seed++) {
            SystemSimulation simulation = scheduleUnprovenDeparture(seed);
            simulation.scheduleFault(36, "holder for 3");
            simulation.run();
            assertEquals(List.of(), simulation.violations(), details(simulation, seed));
        }
    }

    /** All control processes restart while a departure is unproven. */
    @Test
    void waitsForPrimaryIfControlPlaneRestartsAfterUnprovenDeparture() {
        for (long seed = 1; seed <= 6; seed++) {
            SystemSimulation simulation = scheduleUnprovenDeparture(seed);
            for (String zone : SystemSimulation.ZONES) {
                simulation.scheduleFault(30, "kill core-" + zone + " for 1");
            }
            simulation.run();
            assertEquals(List.of(), simulation.violations(), details(simulation, seed));
        }
    }

    /**
     * A replica is lost for good, and an empty one starts at its address. Guards against taking the
     * logs that are left for complete.
     */
    @Test
    void keepsCommitsOfReplicaLostWithDataPlane() {
        for (int crashMillis = 15_200; crashMillis < 17_200; crashMillis += 200) {
            SystemSimulation simulation = new SystemSimulation(9, 1, 1, 0, 36_000);
            simulation.scheduleFault(8, WRITES);
            simulation.scheduleFault(14, "receive db0 0 db0-b1 for 24");
            simulation.scheduleFault(14.01, WRITES);
            simulation.scheduleFault(14.15, "power front-a0 for 17");
            simulation.scheduleFault(15, "gone db0 db0-b1 same");
            simulation.scheduleFault(crashMillis / 1e3, "crash db0 primary for 9");
            simulation.run();
            assertEquals(List.of(), simulation.violations(), details(simulation, crashMillis));
        }
    }

    /**
     * A new replica receives all of several concurrent commits, and no control process has heard
     * from it. Guards against taking the known logs for complete.
     */
    @Test
    void keepsCommitsReceivedByUnknownReplica() {
        for (long seed = 1; seed <= 6; seed++) {
            SystemSimulation simulation = new SystemSimulation(seed, 1, 1, 0, 36_000);
            simulation.scheduleFault(6, "add db0 b");
            for (String zone : SystemSimulation.ZONES) {
                simulation.scheduleFault(6.0001, "cut core-" + zone + " db0-b101 for 26");
            }
            simulation.scheduleFault(8, WRITES);
            simulation.scheduleFault(14, "receive db0 1 db0-b101 for 24");
            simulation.scheduleFault(14.001, WRITES);
            simulation.scheduleFault(16, "crash db0 primary for 9");
            simulation.run();
            assertEquals(List.of(), simulation.violations(), details(simulation, seed));
        }
    }

    /**
     * Schedules a departure with the only copy of commits, which no replica receives afterwards,
     * and the loss of the primary long after it.
     */
    private static SystemSimulation scheduleUnprovenDeparture(long seed) {
        SystemSimulation simulation = new SystemSimulation(seed, 1, 1, 0, 60_000);
        simulation.scheduleFault(6, "release db0 replica");
        simulation.scheduleFault(8, WRITES);
        simulation.scheduleFault(10, "receive db0 0 none for 48");
        simulation.scheduleFault(10.01, WRITES);
        simulation.scheduleFault(10.15, "power front-a0 for 45");
        simulation.scheduleFault(42, "crash db0 primary for 9");
        return simulation;
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
