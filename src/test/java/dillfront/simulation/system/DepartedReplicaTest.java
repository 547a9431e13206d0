package dillfront.simulation.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A replica alone receives all but one of several commits that one data plane acknowledges at the
 * same time, and departs. Then the primary is lost for a while. Guards against the promotion of a
 * log that lacks acknowledged commits (LOST).
 */
class DepartedReplicaTest {

    private static final int CONCURRENT_WRITES = 6;

    /** Before the draining replica would be paused, so that the others cannot catch up with it. */
    private static final int WRITE_SECONDS = 10;

    private static final long REPLICA_STOPPED_MILLIS = 15_300;
    private static final long DURATION_MILLIS = 36_000;

    /** Guards against a promotion once the wait for the departed replica's commits is over. */
    @Test
    void keepsConcurrentCommitsOfDepartedReplica() {
        for (long seed = 1; seed <= 6; seed++) {
            for (long gapMillis = 20; gapMillis < 9_000; gapMillis += 380) {
                SystemSimulation simulation = new SystemSimulation(seed, 1, 1, 0, DURATION_MILLIS);
                simulation.scheduleFault(6, "release db0 replica");
                scheduleWrites(simulation, "none", WRITE_SECONDS);
                simulation.scheduleFault(
                        (REPLICA_STOPPED_MILLIS + gapMillis) / 1e3, "crash db0 primary for 9");
                assertKeepsCommits(simulation, "seed " + seed + " gap " + gapMillis);
            }
        }
    }

    /**
     * Guards against the same for a replica that no control process reaches, although it receives.
     */
    @Test
    void keepsConcurrentCommitsOfUnreachableReplica() {
        for (long seed = 1; seed <= 12; seed++) {
            SystemSimulation simulation = new SystemSimulation(seed, 1, 1, 0, DURATION_MILLIS);
            for (String zone : SystemSimulation.ZONES) {
                simulation.scheduleFault(6, "cut core-" + zone + " db0-b1 for 26");
            }
            scheduleWrites(simulation, "db0-b1", 14);
            simulation.scheduleFault(18, "crash db0 primary for 9");
            assertKeepsCommits(simulation, "seed " + seed);
        }
    }

    /**
     * Guards against the same for a replica that is lost, and whose departure shows only in the
     * first heartbeat of an empty server at its address, at any moment around the primary's loss.
     */
    @Test
    void keepsConcurrentCommitsOfReplacedReplica() {
        for (long crashMillis = 15_000; crashMillis < 20_000; crashMillis += 40) {
            SystemSimulation simulation = new SystemSimulation(9, 1, 1, 0, DURATION_MILLIS);
            scheduleWrites(simulation, "db0-b1", 14);
            simulation.scheduleFault(15, "gone db0 db0-b1 same");
            simulation.scheduleFault(crashMillis / 1e3, "crash db0 primary for 9");
            assertKeepsCommits(simulation, "crash at " + crashMillis);
        }
    }

    /**
     * Guards against the same if the data plane that acknowledged the commits is lost in between.
     */
    @Test
    void keepsConcurrentCommitsOfLostDataPlane() {
        for (long seed = 1; seed <= 12; seed++) {
            SystemSimulation simulation = new SystemSimulation(seed, 1, 1, 0, DURATION_MILLIS);
            simulation.scheduleFault(6, "release db0 replica");
            scheduleWrites(simulation, "none", WRITE_SECONDS);
            simulation.scheduleFault(18.5, "power front-a0 for 17");
            simulation.scheduleFault(22, "crash db0 primary for 9");
            assertKeepsCommits(simulation, "seed " + seed);
        }
    }

    /**
     * Guards against the same if the replica departs between any two steps of the failover, which
     * waits longer for a data plane that no control process reaches.
     */
    @Test
    void keepsConcurrentCommitsIfReplicaDepartsDuringFailover() {
        for (long leadMillis = 0; leadMillis < 5_200; leadMillis += 50) {
            SystemSimulation simulation = new SystemSimulation(1, 1, 1, 0, DURATION_MILLIS);
            simulation.scheduleFault(6, "release db0 replica");
            scheduleWrites(simulation, "none", WRITE_SECONDS);
            double crashSeconds = (REPLICA_STOPPED_MILLIS - leadMillis) / 1e3;
            simulation.scheduleFault(crashSeconds, "crash db0 primary for 12");
            for (String zone : SystemSimulation.ZONES) {
                simulation.scheduleFault(
                        crashSeconds + 1.6, "cut core-" + zone + " front-c0 for 8");
            }
            simulation.run();
            assertEquals(List.of(), simulation.violations(), details(simulation));
        }
    }

    /**
     * Guards against the same if the replica departs after another one was promoted, and before
     * that one acknowledges a commit; also if the data plane is lost in between.
     */
    @Test
    void keepsCommitsIfReplicaDepartsAfterPromotion() {
        for (long seed = 1; seed <= 12; seed++) {
            SystemSimulation simulation = new SystemSimulation(seed, 1, 1, 0, DURATION_MILLIS);
            simulation.scheduleFault(6, "release db0 db0-b1");
            scheduleWrites(simulation, "db0-c2", WRITE_SECONDS);
            simulation.scheduleFault(11, "crash db0 primary for 21");
            if (seed % 2 == 0) {
                simulation.scheduleFault(14.5, "power front-a0 for 17");
            }
            simulation.scheduleFault(15.2 + seed * 0.1, "crash db0 primary for 9");
            simulation.run();
            assertEquals(List.of(), simulation.violations(), seed + "\n" + details(simulation));
            assertTrue(simulation.promotions() > 0, seed + "\n" + details(simulation));
        }
    }

    /** Opens connections with writes before, so that the writes at this time run concurrently. */
    private static void scheduleWrites(
            SystemSimulation simulation, String receivingReplica, int seconds) {
        String writes = "writes db0 " + CONCURRENT_WRITES + " front-a0";
        simulation.scheduleFault(8, writes);
        simulation.scheduleFault(seconds, "receive db0 1 " + receivingReplica + " for 24");
        simulation.scheduleFault(seconds + 0.001, writes);
    }

    private static void assertKeepsCommits(SystemSimulation simulation, String run) {
        simulation.run();
        String details = run + "\n" + details(simulation);
        assertEquals(List.of(), simulation.violations(), details);
        assertEquals(1, simulation.served(), details);
        assertEquals(0, simulation.promotions(), details);
        assertTrue(
                simulation.traceLog().stream().anyMatch(l -> l.contains("commits-missing")),
                details);
    }

    private static String details(SystemSimulation simulation) {
        return String.join("\n", simulation.eventLog)
                + "\n"
                + String.join("\n", simulation.traceLog());
    }
}
