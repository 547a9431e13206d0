package dillfront.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What a person gave up counts for what he was shown, and for nothing before or behind it. */
class DataLossTest {

    private static Position at(String text) {
        return Position.of(text);
    }

    private static Acknowledged known(String least, String most) {
        return new Acknowledged(at(least), at(most));
    }

    private final DataLoss loss =
            DataLoss.of(7, at("1.10"), known("1.70", "1.72"), List.of("i 1,2", "i-3"), null);

    @Test
    void onlyWhatWasShownIsGivenUp() {
        assertEquals(at("1.9"), loss.without(at("1.9")));
        assertEquals(at("1.10"), loss.without(at("1.11")));
        assertEquals(at("1.10"), loss.without(at("1.72")));
        assertEquals(at("1.73"), loss.without(at("1.73")), "newer than what was shown");
        assertEquals(at("2.11"), loss.without(at("2.11")), "of the next primary");
        assertNull(loss.without((Position) null));
        assertEquals(known("1.10", "1.73"), loss.without(known("1.70", "1.73")));
    }

    @Test
    void whatTheNextPrimaryHasIsNot() {
        DataLoss some = loss.leads(at("1.40"));
        assertEquals(at("1.40"), some.without(at("1.70")));
        assertEquals(at("1.30"), some.without(at("1.30")));
        assertTrue(some.any());
        assertFalse(loss.leads(at("1.72")).any(), "the old one leads on");
        assertEquals(at("1.70"), loss.leads(at("1.72")).without(at("1.70")));
        assertEquals(at("1.10"), loss.leads(at("1.5")).kept(), "never less than what was shown");
    }

    @Test
    void aSecondLossGoesOnFromTheFirst() {
        DataLoss second = DataLoss.of(9, at("1.8"), known("1.10", "1.10"), List.of(), loss);
        assertEquals(at("1.8"), second.without(at("1.72")));
        assertTrue(second.same(9, at("1.8"), known("1.10", "1.10"), List.of()));
        assertFalse(second.same(7, at("1.8"), known("1.10", "1.10"), List.of()));
        assertFalse(second.same(9, at("1.8"), known("1.10", "1.10"), List.of("i-3")));
    }

    @Test
    void itsTextSaysAll() {
        DataLoss some = loss.leads(at("1.40"));
        assertEquals(some, DataLoss.of(some.toString()));
        for (String bad :
                new String[] {
                    "",
                    "7 1.10 1.70 1.72 1.10",
                    "x 1.10 1.70 1.72 1.10 1.72",
                    "7 1 1.70 1.72 1.10 1.72",
                    "7 1.10 1.70 1.72 1.10 1.72 %"
                }) {
            assertNull(DataLoss.of(bad), bad);
        }
    }
}
