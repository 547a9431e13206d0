package dillfront.common.database;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The acceptance of a data loss covers exactly the commits that the operator was shown. */
class AcceptedDataLossTest {

    private static LogPosition at(String text) {
        return LogPosition.parse(text);
    }

    private static AcknowledgedCommits known(String least, String most) {
        return new AcknowledgedCommits(at(least), at(most));
    }

    private final AcceptedDataLoss loss =
            AcceptedDataLoss.accept(
                    7, at("1.10"), known("1.70", "1.72"), List.of("i 1,2", "i-3"), null);

    @Test
    void losesOnlyWhatWasShown() {
        assertEquals(at("1.9"), loss.exclude(at("1.9")));
        assertEquals(at("1.10"), loss.exclude(at("1.11")));
        assertEquals(at("1.10"), loss.exclude(at("1.72")));
        assertEquals(at("1.73"), loss.exclude(at("1.73")), "newer than the acknowledged commits");
        assertEquals(at("2.11"), loss.exclude(at("2.11")), "a commit of the next primary");
        assertNull(loss.exclude((LogPosition) null));
        assertEquals(known("1.10", "1.73"), loss.exclude(known("1.70", "1.73")));
    }

    @Test
    void keepsWhatTheNextPrimaryHas() {
        AcceptedDataLoss some = loss.withLeaderAt(at("1.40"));
        assertEquals(at("1.40"), some.exclude(at("1.70")));
        assertEquals(at("1.30"), some.exclude(at("1.30")));
        assertTrue(some.losesCommits());
        assertFalse(
                loss.withLeaderAt(at("1.72")).losesCommits(),
                "the former primary holds all commits");
        assertEquals(at("1.70"), loss.withLeaderAt(at("1.72")).exclude(at("1.70")));
        assertEquals(
                at("1.10"),
                loss.withLeaderAt(at("1.5")).keptUpTo(),
                "never below the log end that was shown");
    }

    @Test
    void secondLossContinuesTheFirst() {
        AcceptedDataLoss second =
                AcceptedDataLoss.accept(9, at("1.8"), known("1.10", "1.10"), List.of(), loss);
        assertEquals(at("1.8"), second.exclude(at("1.72")));
        assertTrue(second.matches(9, at("1.8"), known("1.10", "1.10"), List.of()));
        assertFalse(second.matches(7, at("1.8"), known("1.10", "1.10"), List.of()));
        assertFalse(second.matches(9, at("1.8"), known("1.10", "1.10"), List.of("i-3")));
    }

    @Test
    void textRoundTrip() {
        AcceptedDataLoss some = loss.withLeaderAt(at("1.40"));
        assertEquals(some, AcceptedDataLoss.parse(some.toString()));
        for (String bad :
                new String[] {
                    "",
                    "7 1.10 1.70 1.72 1.10",
                    "x 1.10 1.70 1.72 1.10 1.72",
                    "7 1 1.70 1.72 1.10 1.72",
                    "7 1.10 1.70 1.72 1.10 1.72 %"
                }) {
            assertNull(AcceptedDataLoss.parse(bad), bad);
        }
    }
}
