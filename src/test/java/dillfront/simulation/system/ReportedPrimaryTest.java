package dillfront.simulation.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A primary crashes, and the draining replica that is promoted in its place leaves soon after.
 * Guards against recording the crashed server again, whose last heartbeat still calls it the
 * primary.
 */
class ReportedPrimaryTest {

    private static final String CRASHED = "db0-a0";
    private static final long STOPPED_MILLIS = 15_300;

    @Test
    void doesNotRecordCrashedPrimaryByItsLastReport() {
        int promotions = 0;
        for (long leadMillis = 1_200; leadMillis < 3_200; leadMillis += 50) {
            SystemSimulation simulation = new SystemSimulation(leadMillis, 1, 1, 9, 30_000);
            long crashMillis = STOPPED_MILLIS - leadMillis;
            simulation.scheduleFault(6, "release db0 replica");
            simulation.scheduleFault(8, "writes db0 6 front-a0");
            simulation.scheduleFault(10, "receive db0 0 none for 18");
            simulation.scheduleFault(10.01, "writes db0 6 front-a0");
            simulation.scheduleFault(crashMillis / 1e3, "crash db0 primary for 12");
            simulation.run();
            String details =
                    leadMillis
                            + "\n"
                            + String.join("\n", simulation.eventLog)
                            + "\n"
                            + String.join("\n", simulation.traceLog());
            assertEquals(List.of(), simulation.violations(), details);
            promotions += simulation.promotions();
            assertEquals(
                    List.of(),
                    simulation.traceLog().stream()
                            .filter(line -> recordsCrashed(line, crashMillis))
                            .toList(),
                    details);
        }
        assertTrue(promotions > 0);
    }

    /** Returns whether a trace line records the crashed server while it is down. */
    private static boolean recordsCrashed(String line, long crashMillis) {
        long millis = Long.parseLong(line.substring(0, line.indexOf(' ')));
        return line.contains(" primary service=db0 server=" + CRASHED)
                && millis > crashMillis
                && millis < crashMillis + 12_000;
    }
}
