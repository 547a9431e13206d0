package dillfront.common.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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

    private static PrimaryRecord roundTrip(PrimaryRecord record)
            throws MessageCodec.MalformedMessageException {
        assertEquals(record, PrimaryRecord.decode(record.service(), record.encode()));
        return PrimaryRecord.fromFields(
                MessageCodec.decode(MessageCodec.encode(record.toFields())));
    }

    @Test
    void keepsAllFieldsInMessagesAndStorage() throws MessageCodec.MalformedMessageException {
        PrimaryRecord initial = new PrimaryRecord("db", 3, "i-1", false, true);
        assertEquals(initial, roundTrip(initial));
        PrimaryRecord moving = initial.startMove(5, false);
        assertEquals(moving, roundTrip(moving));
        assertEquals(5, moving.moveNumber());
        PrimaryRecord withLoss = moving.renumbered(8).withAcceptedLoss(9, loss);
        assertEquals(withLoss, roundTrip(withLoss));
        assertEquals(5, withLoss.moveNumber(), "the next lease holder continues the same move");
        PrimaryRecord finished = withLoss.finishMove(10, "i-2", false, loss);
        assertEquals(finished, roundTrip(finished));
        assertEquals(0, finished.moveNumber());
        assertEquals(loss, finished.startMove(12, true).acceptedLoss());
    }

    /** Guards against acknowledgements during a move whose holder restarted or changed. */
    @Test
    void drainsTransactionsOnlyForProcessThatStartedMove()
            throws MessageCodec.MalformedMessageException {
        PrimaryRecord moving = new PrimaryRecord("db", 3, "i-1", false, true).startMove(5, true);
        PrimaryRecord received =
                PrimaryRecord.fromFields(
                        MessageCodec.decode(MessageCodec.encode(moving.toFields())));
        assertEquals(moving, received);
        assertFalse(moving.renumbered(6).drainsTransactions());
        assertFalse(PrimaryRecord.decode("db", moving.encode()).drainsTransactions());
        assertFalse(moving.finishMove(7, "i-2", false, null).drainsTransactions());
    }

    @Test
    void decodesStoredFormsOfEarlierVersions() {
        assertEquals(
                new PrimaryRecord("db", 3, "i-1", true, true),
                PrimaryRecord.decode("db", "3\ni-1\ntrue"));
        assertEquals(
                new PrimaryRecord("db", 3, "i-1", false, false),
                PrimaryRecord.decode("db", "3\ni-1\nfalse\nfalse"));
        assertNull(PrimaryRecord.decode("db", "3\ni-1"));
    }
}
