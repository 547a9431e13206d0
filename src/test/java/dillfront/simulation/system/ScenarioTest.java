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
 * Plays each file under scenarios on simulated time: days with set troubles, no rule broken, and
 * what is expected besides.
 *
 * <pre>
 *   day SEED FRONTS_A_ZONE DATABASES SESSIONS_EACH SECONDS [CONTROL_MACHINES]
 *   seeds HOW_MANY       the day is played with each from SEED on; one without this line
 *   at SECONDS what happens, as Day.happen() and ControlTroubles have it
 *   expect served|promotions|promote_ms|platform_calls|config_ms|planned_ms|noted|given_up|said|losses|acknowledged|acknowledge_ms|replaced|replace_ms|behind|catch_up_ms ...
 * </pre>
 */
class ScenarioTest {

    private static final int DAYS = 60;
    private static final int WORST_DAYS = 40;
    private static final Path FOLDER = Path.of("src/test/resources/scenarios");

    @TestFactory
    Stream<DynamicTest> scenarios() throws IOException {
        try (Stream<Path> files = Files.list(FOLDER)) {
            return files
                    .sorted()
                    .map(
                            file ->
                                    DynamicTest.dynamicTest(
                                            file.getFileName().toString(), () -> play(file)))
                    .toList()
                    .stream();
        }
    }

    /** Days with troubles by chance; `make measure-system SEED=n` tells one in full. */
    @Test
    void daysByChance() {
        for (long seed = 1; seed <= DAYS; seed++) {
            Day day = new Day(seed, 2, 2, 9, 24_000);
            day.random();
            day.play();
            assertEquals(
                    List.of(),
                    day.breaches(),
                    "seed " + seed + "\n" + String.join("\n", day.story));
        }
    }

    /**
     * The primary is back while its replicas are stopped, and whoever holds the duty goes at any
     * moment of that.
     */
    @Test
    void replicasReceiveAgainWhoeverHolds() {
        replicasReceiveAgain("holder for 4");
    }

    /** The same, and one of the replicas is out of the holder's reach from any moment on. */
    @Test
    void replicasReceiveAgainOnceTheyAreReached() {
        replicasReceiveAgain("cut core-a db0-c2 for 3");
    }

    private static void replicasReceiveAgain(String also) {
        Day calm = primaryIsBack(15_000, "configure");
        long leads =
                calm.told().stream()
                        .filter(l -> l.contains(" primary service=db0 "))
                        .mapToLong(l -> Long.parseLong(l.split(" ")[0]))
                        .max()
                        .orElseThrow();
        for (long at = leads - 400; at < leads + 60; at += 8) {
            Day day = primaryIsBack(at, also);
            String told =
                    also
                            + " at "
                            + at
                            + "\n"
                            + String.join("\n", day.story)
                            + "\n"
                            + String.join("\n", day.told());
            assertEquals(List.of(), day.breaches(), told);
            assertEquals(List.of(), day.paused(), told);
        }
    }

    /** A person gives commits up, and whoever holds the duty goes at any moment about his call. */
    @Test
    void whatWasGivenUpStaysSoWhoeverHolds() {
        for (long at = 23_950; at < 25_700; at += at >= 24_000 && at < 24_100 ? 4 : 50) {
            Day day = onlyCopyIsGone("gone db0 primary");
            day.at(at / 1e3, "holder for 4");
            day.play();
            String told =
                    "holder at "
                            + at
                            + "\n"
                            + String.join("\n", day.story)
                            + "\n"
                            + String.join("\n", day.told());
            assertEquals(List.of(), day.breaches(), told);
            assertEquals(1, day.promotions(), told);
            assertTrue(
                    day.givenUp() > 0
                            && day.story.stream()
                                    .anyMatch(l -> l.contains("accept db0") && l.endsWith(" 200")),
                    told);
        }
    }

    /**
     * The one that has them is back at any moment about the call: it leads on and nothing is lost,
     * or another leads without them.
     */
    @Test
    void whatWasGivenUpIsBack() {
        int leadOn = 0;
        // About the call in steps that fall between any two of the move's own.
        for (long back = 23_000; back < 27_000; back += back >= 24_000 && back < 24_600 ? 10 : 50) {
            Day day = onlyCopyIsGone("crash db0 primary for " + (back - 16_500) / 1e3);
            day.play();
            String told =
                    "back at "
                            + back
                            + "\n"
                            + String.join("\n", day.story)
                            + "\n"
                            + String.join("\n", day.told());
            assertEquals(List.of(), day.breaches(), told);
            assertEquals(day.promotions() > 0, day.givenUp() > 0, told);
            leadOn += day.promotions() == 0 ? 1 : 0;
        }
        assertTrue(leadOn > 0 && leadOn < 128, leadOn + " times it led on");
    }

    private static Day onlyCopyIsGone(String how) {
        Day day = new Day(31, 1, 1, 6, 36_000);
        day.at(6, "deaf db0 last for 14");
        day.at(7, "release db0 replica same");
        day.at(16.5, how);
        day.at(24, "accept db0 twice for 12");
        return day;
    }

    private static Day primaryIsBack(long ms, String also) {
        Day day = new Day(31, 1, 1, 6, 21_000);
        day.at(8, "dark db0 primary for 1");
        day.at(ms / 1e3, also);
        day.play();
        return day;
    }

    /** The worst days of control state; `make measure-control SEED=n` tells one in full. */
    @Test
    void worstDaysByChance() {
        for (long seed = 1_001; seed <= 1_000 + WORST_DAYS; seed++) {
            Day day = ControlMeasure.scheduleOf(seed);
            day.play();
            assertEquals(
                    List.of(),
                    day.breaches(),
                    "seed " + seed + "\n" + String.join("\n", day.story));
        }
    }

    private static void within(List<Long> times, String most, String told) {
        assertTrue(
                !times.isEmpty() && times.stream().allMatch(ms -> ms <= Long.parseLong(most)),
                times + "\n" + told);
    }

    /** Of each planned change of a primary: from its record until the next one led. */
    private static List<Long> plannedMs(Day day) {
        List<Long> all = new ArrayList<>();
        TreeSet<String> planned = new TreeSet<>();
        for (String line : day.told()) {
            String[] w = line.split(" ");
            if (w[2].equals("planned-move")) {
                planned.add(w[3]);
            } else if (w[2].equals("failover")) {
                planned.remove(w[3]);
            } else if (w[2].equals("primary") && planned.remove(w[3])) {
                all.add(Long.parseLong(w[5].substring("after_ms=".length())));
            }
        }
        return all;
    }

    private static void play(Path file) throws IOException {
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
        for (long more = 0; more < seeds; more++) {
            play(file, lines, more);
        }
    }

    private static void play(Path file, List<String> lines, long more) {
        Day day = null;
        for (String line : lines) {
            String[] w = line.split("\\s+", 3);
            if (w[0].equals("day")) {
                String[] n = line.split("\\s+");
                day =
                        new Day(
                                Long.parseLong(n[1]) + more,
                                Integer.parseInt(n[2]),
                                Integer.parseInt(n[3]),
                                Integer.parseInt(n[4]),
                                Long.parseLong(n[5]) * 1_000,
                                n.length > 6 ? Integer.parseInt(n[6]) : 3);
            } else if (w[0].equals("at")) {
                day.at(Double.parseDouble(w[1]), w[2]);
            }
        }
        day.play();
        String told =
                String.join("\n", day.story)
                        + "\n"
                        + String.join("\n", day.told())
                        + "\n"
                        + String.join("\n", day.status());
        assertEquals(List.of(), day.breaches().stream().limit(5).toList(), told);
        for (String line : lines) {
            String[] w = line.split("\\s+", 3);
            if (!w[0].equals("expect")) {
                continue;
            }
            switch (w[1]) {
                case "served" ->
                        assertTrue(
                                day.served() >= Double.parseDouble(w[2]),
                                "served " + day.served() + "\n" + told);
                case "promotions" -> assertEquals(Integer.parseInt(w[2]), day.promotions(), told);
                case "promote_ms" ->
                        assertTrue(
                                day.promoteMs().stream().allMatch(ms -> ms <= Long.parseLong(w[2])),
                                day.promoteMs() + "\n" + told);
                case "platform_calls" ->
                        assertTrue(
                                day.platformCalls() <= Integer.parseInt(w[2]),
                                day.platformCalls() + "\n" + told);
                case "config_ms" ->
                        assertTrue(
                                !day.configMs().isEmpty()
                                        && day.configMs().stream()
                                                .allMatch(ms -> ms <= Long.parseLong(w[2])),
                                day.configMs() + "\n" + told);
                case "planned_ms" -> within(plannedMs(day), w[2], told);
                case "losses" ->
                        assertTrue(
                                day.control().losses >= Long.parseLong(w[2]),
                                day.control().losses + "\n" + told);
                case "acknowledged" ->
                        assertTrue(
                                day.control().acknowledged >= Long.parseLong(w[2]),
                                day.control().acknowledged + "\n" + told);
                case "acknowledge_ms" ->
                        assertTrue(
                                day.control().acknowledgeMs.stream()
                                        .allMatch(ms -> ms <= Long.parseLong(w[2])),
                                day.control().acknowledgeMs + "\n" + told);
                case "replaced" -> assertEquals(Long.parseLong(w[2]), day.control().replaced, told);
                case "replace_ms" -> within(day.control().replaceMs, w[2], told);
                case "behind" ->
                        assertTrue(
                                day.control().behindChanges >= Long.parseLong(w[2]),
                                day.control().behindChanges + "\n" + told);
                case "catch_up_ms" -> within(day.control().catchUpMs, w[2], told);
                case "given_up" ->
                        assertTrue(
                                w[2].equals("0")
                                        ? day.givenUp() == 0
                                        : day.givenUp() >= Integer.parseInt(w[2]),
                                "given up " + day.givenUp() + "\n" + told);
                case "said" -> assertTrue(day.story.stream().anyMatch(l -> l.contains(w[2])), told);
                case "noted" ->
                        assertTrue(day.told().stream().anyMatch(l -> l.contains(w[2])), told);
                default -> throw new IllegalArgumentException(file + ": " + line);
            }
        }
    }
}
