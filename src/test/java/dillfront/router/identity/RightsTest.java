package dillfront.router.identity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillfront.router.identity.Rights.Verdict;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What rules allow, by the index and by reading them one after another. */
class RightsTest {

    static KeyBytes key(String text) {
        return KeyBytes.of(text.getBytes(StandardCharsets.UTF_8));
    }

    private static final Rights HOTEL =
            new Rights(
                    List.of(
                            Rule.of(true, 0b0111, "r", Rule.ANY_GROUP, "hotel-7/", "rule 1"),
                            Rule.of(true, 0b1000, "w", 2, "hotel-7/bar/", "rule 2"),
                            Rule.of(
                                    false,
                                    Rule.ALL_TYPES,
                                    "rw",
                                    Rule.ANY_GROUP,
                                    "hotel-7/safe",
                                    "rule 3"),
                            Rule.of(true, 0b0010, "r", Rule.ANY_GROUP, "", "rule 4")));

    @Test
    void matchesPrefixButNoSimilarKey() {
        assertEquals(Verdict.ALLOWED, HOTEL.verdict(0, false, 0, key("hotel-7/rooms")));
        assertEquals(Verdict.ALLOWED, HOTEL.verdict(0, false, 0, key("hotel-7/")));
        for (String neighbour :
                List.of(
                        "hotel-7",
                        "hotel-70/rooms",
                        "hotel-8/",
                        "hotel-7.",
                        "hotel-6/",
                        "Hotel-7/",
                        " hotel-7/",
                        "",
                        "hotel-7\u0000/")) {
            assertEquals(Verdict.NO_RULE, HOTEL.verdict(0, false, 0, key(neighbour)), neighbour);
        }
    }

    @Test
    void checksTypeAccessAndGroup() {
        assertEquals(
                Verdict.NO_RULE,
                HOTEL.verdict(0, true, 0, key("hotel-7/rooms")),
                "reads are allowed, not writes");
        assertEquals(Verdict.NO_RULE, HOTEL.verdict(3, false, 2, key("hotel-7/bar/1")));
        assertEquals(Verdict.ALLOWED, HOTEL.verdict(3, true, 2, key("hotel-7/bar/1")));
        assertEquals(
                Verdict.NO_RULE, HOTEL.verdict(3, true, 1, key("hotel-7/bar/1")), "another group");
        assertEquals(Verdict.NO_RULE, HOTEL.verdict(40, false, 0, key("hotel-7/")), "no such type");
        assertEquals(Verdict.NO_RULE, HOTEL.verdict(-1, false, 0, key("hotel-7/")));
    }

    @Test
    void denialOverridesAllowance() {
        assertEquals(Verdict.DENIED, HOTEL.verdict(1, false, 0, key("hotel-7/safe/9")));
        assertEquals("rule 3", HOTEL.decidingRule(1, false, 0, key("hotel-7/safe/9")));
        assertEquals(Verdict.ALLOWED, HOTEL.verdict(1, false, 0, key("other")));
        assertEquals("rule 4", HOTEL.decidingRule(1, false, 0, key("other")));
        assertEquals("no rule allows it", HOTEL.decidingRule(0, false, 0, key("other")));
        assertEquals(Verdict.NO_RULE, Rights.NONE.verdict(0, false, 0, key("")));
    }

    /** Few letters, so that prefixes meet, split and end within each other. */
    private static String randomText(SplittableRandom random, int maxLength) {
        StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(maxLength + 1); i > 0; i--) {
            text.append("ab\u00fc/".charAt(random.nextInt(4)));
        }
        return text.toString();
    }

    @Property(tries = 400, seed = "31")
    void treeAgreesWithScan(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Rule> rules = new ArrayList<>();
        for (int i = random.nextInt(40); i > 0; i--) {
            rules.add(
                    Rule.of(
                            random.nextInt(4) > 0,
                            random.nextInt(8) == 0
                                    ? Rule.ALL_TYPES
                                    : 1 << random.nextInt(4) | 1 << random.nextInt(32),
                            List.of("r", "w", "rw").get(random.nextInt(3)),
                            random.nextInt(3) - 1,
                            randomText(random, 5),
                            "rule " + i));
        }
        Rights rights = new Rights(rules);
        for (int i = 0; i < 60; i++) {
            int type = random.nextInt(random.nextInt(8) == 0 ? 32 : 4);
            boolean write = random.nextBoolean();
            int group = random.nextInt(3);
            KeyBytes key = key(randomText(random, 8));
            assertEquals(
                    rights.verdictByScan(type, write, group, key),
                    rights.verdict(type, write, group, key));
        }
    }
}
