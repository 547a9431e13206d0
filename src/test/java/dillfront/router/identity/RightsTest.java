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
    void prefixesAndTheirNeighbours() {
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
    void typesAccessAndGroups() {
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
    void denialGoesOverAllowance() {
        assertEquals(Verdict.DENIED, HOTEL.verdict(1, false, 0, key("hotel-7/safe/9")));
        assertEquals("rule 3", HOTEL.decidingRule(1, false, 0, key("hotel-7/safe/9")));
        assertEquals(Verdict.ALLOWED, HOTEL.verdict(1, false, 0, key("other")));
        assertEquals("rule 4", HOTEL.decidingRule(1, false, 0, key("other")));
        assertEquals("no rule allows it", HOTEL.decidingRule(0, false, 0, key("other")));
        assertEquals(Verdict.NO_RULE, Rights.NONE.verdict(0, false, 0, key("")));
    }

    /** Few letters, so that prefixes meet, split and end within each other. */
    private static String some(SplittableRandom chance, int most) {
        StringBuilder text = new StringBuilder();
        for (int i = chance.nextInt(most + 1); i > 0; i--) {
            text.append("ab\u00fc/".charAt(chance.nextInt(4)));
        }
        return text.toString();
    }

    @Property(tries = 400, seed = "31")
    void theIndexSaysWhatTheRulesSay(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        List<Rule> rules = new ArrayList<>();
        for (int i = chance.nextInt(40); i > 0; i--) {
            rules.add(
                    Rule.of(
                            chance.nextInt(4) > 0,
                            chance.nextInt(8) == 0
                                    ? Rule.ALL_TYPES
                                    : 1 << chance.nextInt(4) | 1 << chance.nextInt(32),
                            List.of("r", "w", "rw").get(chance.nextInt(3)),
                            chance.nextInt(3) - 1,
                            some(chance, 5),
                            "rule " + i));
        }
        Rights rights = new Rights(rules);
        for (int i = 0; i < 60; i++) {
            int type = chance.nextInt(chance.nextInt(8) == 0 ? 32 : 4);
            boolean write = chance.nextBoolean();
            int group = chance.nextInt(3);
            KeyBytes key = key(some(chance, 8));
            assertEquals(
                    rights.verdictByScan(type, write, group, key),
                    rights.verdict(type, write, group, key));
        }
    }
}
