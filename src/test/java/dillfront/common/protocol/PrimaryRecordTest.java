package dillfront.common.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.common.message.MessageCodec;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A primary record is unchanged after a round trip through its stored form and through a message.
 */
class PrimaryRecordTest {

    private final AcceptedDataLoss loss =
            AcceptedDataLoss.accept(
                    5,
                    new LogPosition(1, 10),
                    new AcknowledgedCommits(new LogPosition(1, 70), new LogPosition(1, 72)),
                    List.of("i\n3"),
                    null);

    private static PrimaryRecord passed(PrimaryRecord of)
            throws MessageCodec.MalformedMessageException {
        assertEquals(of, PrimaryRecord.decode(of.service(), of.encode()));
        return PrimaryRecord.fromFields(MessageCodec.decode(MessageCodec.encode(of.toFields())));
    }

    @Test
    void allOfItIsPassedOnAndKept() throws MessageCodec.MalformedMessageException {
        PrimaryRecord one = new PrimaryRecord("db", 3, "i-1", false, true);
        assertEquals(one, passed(one));
        PrimaryRecord moving = one.startMove(5);
        assertEquals(moving, passed(moving));
        assertEquals(5, moving.moveNumber());
        PrimaryRecord given = moving.renumbered(8).withAcceptedLoss(9, loss);
        assertEquals(given, passed(given));
        assertEquals(5, given.moveNumber(), "the next lease holder continues the same move");
        PrimaryRecord leads = given.finishMove(10, "i-2", false, loss);
        assertEquals(leads, passed(leads));
        assertEquals(0, leads.moveNumber());
        assertEquals(loss, leads.startMove(12).acceptedLoss());
    }

    @Test
    void textsOfBeforeAreRead() {
        assertEquals(
                new PrimaryRecord("db", 3, "i-1", true, true),
                PrimaryRecord.decode("db", "3\ni-1\ntrue"));
        assertEquals(
                new PrimaryRecord("db", 3, "i-1", false, false),
                PrimaryRecord.decode("db", "3\ni-1\nfalse\nfalse"));
        assertNull(PrimaryRecord.decode("db", "3\ni-1"));
    }
}
