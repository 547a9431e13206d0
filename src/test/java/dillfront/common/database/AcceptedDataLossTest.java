package dillfront.common.database;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What a person gave up counts for what he was shown, and for nothing before or behind it. */
class AcceptedDataLossTest {

    private static LogPosition position(String text) {
        return LogPosition.parse(text);
    }

    private static AcknowledgedCommits commits(String lowerBound, String upperBound) {
        return new AcknowledgedCommits(position(lowerBound), position(upperBound));
    }

    private final AcceptedDataLoss loss =
            AcceptedDataLoss.accept(
                    7, position("1.10"), commits("1.70", "1.72"), List.of("i 1,2", "i-3"), null);

    @Test
    void losesOnlyAcceptedCommits() {
        assertEquals(position("1.9"), loss.exclude(position("1.9")));
        assertEquals(position("1.10"), loss.exclude(position("1.11")));
        assertEquals(position("1.10"), loss.exclude(position("1.72")));
        assertEquals(position("1.73"), loss.exclude(position("1.73")), "newer than what was shown");
        assertEquals(position("2.11"), loss.exclude(position("2.11")), "of the next primary");
        assertNull(loss.exclude((LogPosition) null));
        assertEquals(commits("1.10", "1.73"), loss.exclude(commits("1.70", "1.73")));
    }

    @Test
    void keepsCommitsOfNextPrimary() {
        AcceptedDataLoss reduced = loss.withPrimaryLogEnd(position("1.40"));
        assertEquals(position("1.40"), reduced.exclude(position("1.70")));
        assertEquals(position("1.30"), reduced.exclude(position("1.30")));
        assertTrue(reduced.losesCommits());
        assertFalse(
                loss.withPrimaryLogEnd(position("1.72")).losesCommits(), "the old one leads on");
        assertEquals(
                position("1.70"),
                loss.withPrimaryLogEnd(position("1.72")).exclude(position("1.70")));
        assertEquals(
                position("1.10"),
                loss.withPrimaryLogEnd(position("1.5")).keptUpTo(),
                "never less than what was shown");
    }

    @Test
    void secondLossContinuesTheFirst() {
        AcceptedDataLoss second =
                AcceptedDataLoss.accept(
                        9, position("1.8"), commits("1.10", "1.10"), List.of(), loss);
        assertEquals(position("1.8"), second.exclude(position("1.72")));
        assertTrue(second.matches(9, position("1.8"), commits("1.10", "1.10"), List.of()));
        assertFalse(second.matches(7, position("1.8"), commits("1.10", "1.10"), List.of()));
        assertFalse(second.matches(9, position("1.8"), commits("1.10", "1.10"), List.of("i-3")));
    }

    @Test
    void parsesItsOwnText() {
        AcceptedDataLoss reduced = loss.withPrimaryLogEnd(position("1.40"));
        assertEquals(reduced, AcceptedDataLoss.parse(reduced.toString()));
        for (String malformed :
                new String[] {
                    "",
                    "7 1.10 1.70 1.72 1.10",
                    "x 1.10 1.70 1.72 1.10 1.72",
                    "7 1 1.70 1.72 1.10 1.72",
                    "7 1.10 1.70 1.72 1.10 1.72 %"
                }) {
            assertNull(AcceptedDataLoss.parse(malformed), malformed);
        }
    }
}
