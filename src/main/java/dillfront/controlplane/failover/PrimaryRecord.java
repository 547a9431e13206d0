package dillfront.controlplane.failover;

import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.message.MessageCodec;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Who leads a service, as the holder of the duty recorded it.
 *
 * @param number rises with each record; that of a later holder is above all of an earlier one
 * @param moving nobody is to be asked as the primary until the next record
 * @param replicationPaused replicas may not receive: whoever holds the duty resumes them
 * @param moveNumber the record with which it began to move; 0 while it does not
 * @param acceptedLoss the commits that a person gave up last; null for none
 */
public record PrimaryRecord(
        String service,
        long number,
        String primary,
        boolean moving,
        boolean replicationPaused,
        long moveNumber,
        AcceptedDataLoss acceptedLoss) {

    /** Nothing that was given up before counts for this one. */
    public PrimaryRecord(
            String service,
            long number,
            String primary,
            boolean moving,
            boolean replicationPaused) {
        this(service, number, primary, moving, replicationPaused, moving ? number : 0, null);
    }

    /** The same, under a number of the present holder. */
    PrimaryRecord renumbered(long next) {
        return new PrimaryRecord(
                service, next, primary, moving, replicationPaused, moveNumber, acceptedLoss);
    }

    /** It begins to move. */
    public PrimaryRecord startMove(long next) {
        return new PrimaryRecord(
                service, next, primary, true, replicationPaused, next, acceptedLoss);
    }

    /** While it moves, a person has given commits up. */
    public PrimaryRecord withAcceptedLoss(long next, AcceptedDataLoss given) {
        return new PrimaryRecord(
                service, next, primary, moving, replicationPaused, moveNumber, given);
    }

    /** This one leads, with what is still given up then. */
    public PrimaryRecord finishMove(long next, String id, boolean held, AcceptedDataLoss given) {
        return new PrimaryRecord(service, next, id, false, held, 0, given);
    }

    /** The fields of this record in a message between control processes. */
    public Map<String, Object> toRow() {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("s", service);
        row.put("k", number);
        row.put("p", primary);
        row.put("m", moving);
        if (replicationPaused) {
            row.put("h", true);
        }
        if (moving) {
            row.put("mv", moveNumber);
        }
        if (acceptedLoss != null) {
            row.put("dl", acceptedLoss.toString());
        }
        return row;
    }

    static PrimaryRecord fromRow(MessageCodec.Fields row) {
        long number = row.number("k", 0);
        boolean moving = row.flag("m");
        return new PrimaryRecord(
                row.string("s"),
                number,
                row.string("p"),
                moving,
                row.flag("h"),
                moving ? row.number("mv", number) : 0,
                AcceptedDataLoss.parse(row.string("dl")));
    }

    String encode() {
        return number
                + "\n"
                + primary
                + "\n"
                + moving
                + "\n"
                + replicationPaused
                + "\n"
                + moveNumber
                + "\n"
                + (acceptedLoss == null ? "" : acceptedLoss);
    }

    static PrimaryRecord decode(String service, String text) {
        String[] part = text.split("\n", -1);
        if (part.length < 3) {
            return null;
        }
        long number = Long.parseLong(part[0]);
        boolean moving = Boolean.parseBoolean(part[2]);
        // Texts before this one wrote three parts, or four.
        return new PrimaryRecord(
                service,
                number,
                part[1],
                moving,
                part.length == 3 || Boolean.parseBoolean(part[3]),
                part.length > 4 ? Long.parseLong(part[4]) : moving ? number : 0,
                part.length > 5 ? AcceptedDataLoss.parse(part[5]) : null);
    }
}
