package dillfront.common.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.common.message.MessageCodec;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What was recorded of a service is the same on a disk, and at another process. */
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
        PrimaryRecord moving = initial.startMove(5);
        assertEquals(moving, roundTrip(moving));
        assertEquals(5, moving.moveNumber());
        PrimaryRecord withLoss = moving.renumbered(8).withAcceptedLoss(9, loss);
        assertEquals(withLoss, roundTrip(withLoss));
        assertEquals(5, withLoss.moveNumber(), "it is the same move under the next holder");
        PrimaryRecord finished = withLoss.finishMove(10, "i-2", false, loss);
        assertEquals(finished, roundTrip(finished));
        assertEquals(0, finished.moveNumber());
        assertEquals(loss, finished.startMove(12).acceptedLoss());
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
