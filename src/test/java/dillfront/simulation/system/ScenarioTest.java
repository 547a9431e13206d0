package dillfront.simulation.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.simulation.ControlMeasure;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Runs each scenario file in simulated time: no invariant may be violated, and the file's
 * expectations must hold.
 *
 * <pre>
 *   day SEED FRONTS_A_ZONE DATABASES SESSIONS_EACH SECONDS [CONTROL_MACHINES]
 *   seeds HOW_MANY       runs the scenario with this many seeds from SEED on; default 1
 *   at SECONDS fault, as in ControlFaultInjector, DatabaseFaultInjector and SystemSimulation.injectFault()
 *   expect served|promotions|promote_ms|platform_calls|config_ms|planned_ms|noted|given_up|said|losses|acknowledged|acknowledge_ms|replaced|replace_ms|behind|catch_up_ms ...
 * </pre>
 */
class ScenarioTest {

    private static final int RANDOM_RUNS = 60;
    private static final int WORST_CASE_RUNS = 40;
    private static final Path SCENARIO_FOLDER = Path.of("src/test/resources/scenarios");

    @TestFactory
    Stream<DynamicTest> scenarios() throws IOException {
        try (Stream<Path> files = Files.list(SCENARIO_FOLDER)) {
            return files
                    .sorted()
                    .map(
                            file ->
                                    DynamicTest.dynamicTest(
                                            file.getFileName().toString(), () -> runScenario(file)))
                    .toList()
                    .stream();
        }
    }

    /** Runs with random faults; `make measure-system SEED=n` prints one of them in full. */
    @Test
    void invariantsHoldUnderRandomFaults() {
        for (long seed = 1; seed <= RANDOM_RUNS; seed++) {
            SystemSimulation simulation = new SystemSimulation(seed, 2, 2, 9, 24_000);
            simulation.addRandomFaults();
            simulation.run();
            assertEquals(
                    List.of(),
                    simulation.violations(),
                    "seed " + seed + "\n" + String.join("\n", simulation.eventLog));
        }
    }

    /**
     * A crashed primary returns while its replicas are paused, and the lease holder fails at any
     * moment of that.
     */
    @Test
    void resumesReplicationWhenLeaseHolderFails() {
        checkReplicationResumes("holder for 4");
    }

    /** As above, and one of the replicas becomes unreachable for the lease holder at any moment. */
    @Test
    void resumesReplicationAfterReplicaReconnects() {
        checkReplicationResumes("cut core-a db0-c2 for 3");
    }

    private static void checkReplicationResumes(String fault) {
        SystemSimulation undisturbed = runWithReturningPrimary(15_000, "configure");
        long promotedMillis =
                undisturbed.traceLog().stream()
                        .filter(l -> l.contains(" primary service=db0 "))
                        .mapToLong(l -> Long.parseLong(l.split(" ")[0]))
                        .max()
                        .orElseThrow();
        for (long atMillis = promotedMillis - 400; atMillis < promotedMillis + 60; atMillis += 8) {
            SystemSimulation simulation = runWithReturningPrimary(atMillis, fault);
            String details =
                    fault
                            + " at "
                            + atMillis
                            + "\n"
                            + String.join("\n", simulation.eventLog)
                            + "\n"
                            + String.join("\n", simulation.traceLog());
            assertEquals(List.of(), simulation.violations(), details);
            assertEquals(List.of(), simulation.serversWithPausedReplication(), details);
        }
    }

    /**
     * An operator accepts the loss of commits, and the lease holder fails at any moment around the
     * request.
     */
    @Test
    void acceptedDataLossSurvivesLeaseHolderFailure() {
        for (long atMillis = 23_950;
                atMillis < 25_700;
                atMillis += atMillis >= 24_000 && atMillis < 24_100 ? 4 : 50) {
            SystemSimulation simulation = loseOnlyCopy("gone db0 primary");
            simulation.scheduleFault(atMillis / 1e3, "holder for 4");
            simulation.run();
            String details =
                    "holder at "
                            + atMillis
                            + "\n"
                            + String.join("\n", simulation.eventLog)
                            + "\n"
                            + String.join("\n", simulation.traceLog());
            assertEquals(List.of(), simulation.violations(), details);
            assertEquals(1, simulation.promotions(), details);
            assertTrue(
                    simulation.acceptedLostCommits() > 0
                            && simulation.eventLog.stream()
                                    .anyMatch(l -> l.contains("accept db0") && l.endsWith(" 200")),
                    details);
        }
    }

    /**
     * The only server with the commits returns at any moment around the request: either it stays
     * primary and nothing is lost, or another is promoted without them.
     */
    @Test
    void returningPrimaryResolvesAcceptedDataLoss() {
        int keptPrimary = 0;
        // Smaller steps around the request, so that the return falls between any two steps of the
        // primary change.
        for (long returnMillis = 23_000;
                returnMillis < 27_000;
                returnMillis += returnMillis >= 24_000 && returnMillis < 24_600 ? 10 : 50) {
            SystemSimulation simulation =
                    loseOnlyCopy("crash db0 primary for " + (returnMillis - 16_500) / 1e3);
            simulation.run();
            String details =
                    "return at "
                            + returnMillis
                            + "\n"
                            + String.join("\n", simulation.eventLog)
                            + "\n"
                            + String.join("\n", simulation.traceLog());
            assertEquals(List.of(), simulation.violations(), details);
            assertEquals(
                    simulation.promotions() > 0, simulation.acceptedLostCommits() > 0, details);
            keptPrimary += simulation.promotions() == 0 ? 1 : 0;
        }
        assertTrue(
                keptPrimary > 0 && keptPrimary < 128,
                keptPrimary + " runs in which the former primary stayed primary");
    }

    private static SystemSimulation loseOnlyCopy(String lossOfPrimary) {
        SystemSimulation simulation = new SystemSimulation(31, 1, 1, 6, 36_000);
        simulation.scheduleFault(6, "deaf db0 last for 14");
        simulation.scheduleFault(7, "release db0 replica same");
        simulation.scheduleFault(16.5, lossOfPrimary);
        simulation.scheduleFault(24, "accept db0 twice for 12");
        return simulation;
    }

    private static SystemSimulation runWithReturningPrimary(long atMillis, String fault) {
        SystemSimulation simulation = new SystemSimulation(31, 1, 1, 6, 21_000);
        simulation.scheduleFault(8, "dark db0 primary for 1");
        simulation.scheduleFault(atMillis / 1e3, fault);
        simulation.run();
        return simulation;
    }

    /**
     * Runs with dense control plane faults; `make measure-control SEED=n` prints one of them in
     * full.
     */
    @Test
    void invariantsHoldUnderWorstCaseFaults() {
        for (long seed = 1_001; seed <= 1_000 + WORST_CASE_RUNS; seed++) {
            SystemSimulation simulation = ControlMeasure.scheduleOf(seed);
            simulation.run();
            assertEquals(
                    List.of(),
                    simulation.violations(),
                    "seed " + seed + "\n" + String.join("\n", simulation.eventLog));
        }
    }

    private static void assertWithin(List<Long> times, String maxMillis, String details) {
        assertTrue(
                !times.isEmpty() && times.stream().allMatch(ms -> ms <= Long.parseLong(maxMillis)),
                times + "\n" + details);
    }

    /** For each planned primary change: the time from its record until the new primary leads. */
    private static List<Long> plannedPromotionMillis(SystemSimulation simulation) {
        List<Long> durations = new ArrayList<>();
        TreeSet<String> planned = new TreeSet<>();
        for (String line : simulation.traceLog()) {
            String[] fields = line.split(" ");
            if (fields[2].equals("planned-move")) {
                planned.add(fields[3]);
            } else if (fields[2].equals("failover")) {
                planned.remove(fields[3]);
            } else if (fields[2].equals("primary") && planned.remove(fields[3])) {
                durations.add(Long.parseLong(fields[5].substring("after_ms=".length())));
            }
        }
        return durations;
    }

    private static void runScenario(Path file) throws IOException {
        List<String> lines =
                Files.readAllLines(file).stream()
                        .map(String::strip)
                        .filter(l -> !l.isEmpty() && !l.startsWith("#"))
                        .toList();
        long seeds =
                lines.stream()
                        .filter(l -> l.startsWith("seeds "))
                        .mapToLong(l -> Long.parseLong(l.substring(6)))
                        .findFirst()
                        .orElse(1);
        for (long seedOffset = 0; seedOffset < seeds; seedOffset++) {
            runScenario(file, lines, seedOffset);
        }
    }

    private static void runScenario(Path file, List<String> lines, long seedOffset) {
        SystemSimulation simulation = null;
        for (String line : lines) {
            String[] fields = line.split("\\s+", 3);
            if (fields[0].equals("day")) {
                String[] parameters = line.split("\\s+");
                simulation =
                        new SystemSimulation(
                                Long.parseLong(parameters[1]) + seedOffset,
                                Integer.parseInt(parameters[2]),
                                Integer.parseInt(parameters[3]),
                                Integer.parseInt(parameters[4]),
                                Long.parseLong(parameters[5]) * 1_000,
                                parameters.length > 6 ? Integer.parseInt(parameters[6]) : 3);
            } else if (fields[0].equals("at")) {
                simulation.scheduleFault(Double.parseDouble(fields[1]), fields[2]);
            }
        }
        simulation.run();
        String details =
                String.join("\n", simulation.eventLog)
                        + "\n"
                        + String.join("\n", simulation.traceLog())
                        + "\n"
                        + String.join("\n", simulation.status());
        assertEquals(List.of(), simulation.violations().stream().limit(5).toList(), details);
        for (String line : lines) {
            String[] fields = line.split("\\s+", 3);
            if (!fields[0].equals("expect")) {
                continue;
            }
            switch (fields[1]) {
                case "served" ->
                        assertTrue(
                                simulation.served() >= Double.parseDouble(fields[2]),
                                "served " + simulation.served() + "\n" + details);
                case "promotions" ->
                        assertEquals(Integer.parseInt(fields[2]), simulation.promotions(), details);
                case "promote_ms" ->
                        assertTrue(
                                simulation.promotionMillis().stream()
                                        .allMatch(ms -> ms <= Long.parseLong(fields[2])),
                                simulation.promotionMillis() + "\n" + details);
                case "platform_calls" ->
                        assertTrue(
                                simulation.platformCalls() <= Integer.parseInt(fields[2]),
                                simulation.platformCalls() + "\n" + details);
                case "config_ms" ->
                        assertTrue(
                                !simulation.configurationApplyMillis().isEmpty()
                                        && simulation.configurationApplyMillis().stream()
                                                .allMatch(ms -> ms <= Long.parseLong(fields[2])),
                                simulation.configurationApplyMillis() + "\n" + details);
                case "planned_ms" ->
                        assertWithin(plannedPromotionMillis(simulation), fields[2], details);
                case "losses" ->
                        assertTrue(
                                simulation.controlCounts().machineLosses
                                        >= Long.parseLong(fields[2]),
                                simulation.controlCounts().machineLosses + "\n" + details);
                case "acknowledged" ->
                        assertTrue(
                                simulation.controlCounts().acknowledgedChanges
                                        >= Long.parseLong(fields[2]),
                                simulation.controlCounts().acknowledgedChanges + "\n" + details);
                case "acknowledge_ms" ->
                        assertTrue(
                                simulation.controlCounts().acknowledgeMillis.stream()
                                        .allMatch(ms -> ms <= Long.parseLong(fields[2])),
                                simulation.controlCounts().acknowledgeMillis + "\n" + details);
                case "replaced" ->
                        assertEquals(
                                Long.parseLong(fields[2]),
                                simulation.controlCounts().replacements,
                                details);
                case "replace_ms" ->
                        assertWithin(
                                simulation.controlCounts().replacementMillis, fields[2], details);
                case "behind" ->
                        assertTrue(
                                simulation.controlCounts().caughtUpChanges
                                        >= Long.parseLong(fields[2]),
                                simulation.controlCounts().caughtUpChanges + "\n" + details);
                case "catch_up_ms" ->
                        assertWithin(simulation.controlCounts().catchUpMillis, fields[2], details);
                case "given_up" ->
                        assertTrue(
                                fields[2].equals("0")
                                        ? simulation.acceptedLostCommits() == 0
                                        : simulation.acceptedLostCommits()
                                                >= Integer.parseInt(fields[2]),
                                "given up " + simulation.acceptedLostCommits() + "\n" + details);
                case "said" ->
                        assertTrue(
                                simulation.eventLog.stream().anyMatch(l -> l.contains(fields[2])),
                                details);
                case "noted" ->
                        assertTrue(
                                simulation.traceLog().stream().anyMatch(l -> l.contains(fields[2])),
                                details);
                default -> throw new IllegalArgumentException(file + ": " + line);
            }
        }
    }
}
