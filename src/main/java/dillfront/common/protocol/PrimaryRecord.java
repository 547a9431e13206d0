package dillfront.common.protocol;

import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.message.MessageCodec;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The primary server of a service, as recorded by the lease holder. The record with the highest
 * number replaces all others of the service.
 *
 * @param number increases with each record; the records of a later lease have higher numbers than
 *     all of an earlier one
 * @param primary the id of the server
 * @param moving whether a failover or planned move is in progress; no server may be used as the
 *     primary until the next record
 * @param replicationPaused whether the replicas' replication may be paused; the lease holder
 *     resumes it
 * @param moveNumber the number of the record that started the move; 0 if none is in progress
 * @param drainsTransactions whether open transactions may still commit on the old primary while the
 *     move is in progress; otherwise no commit of the old primary is acknowledged any more
 * @param acceptedLoss the latest commits whose loss an operator accepted; null for none
 */
public record PrimaryRecord(
        String service,
        long number,
        String primary,
        boolean moving,
        boolean replicationPaused,
        long moveNumber,
        boolean drainsTransactions,
        AcceptedDataLoss acceptedLoss) {

    private static final String SERVICE = "s";
    private static final String NUMBER = "k";
    private static final String PRIMARY = "p";
    private static final String MOVING = "m";
    private static final String REPLICATION_PAUSED = "h";
    private static final String MOVE_NUMBER = "mv";
    private static final String DRAINS_TRANSACTIONS = "dt";
    private static final String ACCEPTED_LOSS = "dl";
    private static final int FIELDS_WITHOUT_PAUSE = 3;

    /** Creates a record without an accepted data loss. */
    public PrimaryRecord(
            String service,
            long number,
            String primary,
            boolean moving,
            boolean replicationPaused) {
        this(service, number, primary, moving, replicationPaused, moving ? number : 0, false, null);
    }

    /**
     * Returns the same record under a number of the current lease holder. A move that an earlier
     * holder started continues without draining open transactions.
     */
    public PrimaryRecord renumbered(long nextNumber) {
        return new PrimaryRecord(
                service,
                nextNumber,
                primary,
                moving,
                replicationPaused,
                moveNumber,
                false,
                acceptedLoss);
    }

    /**
     * Returns the record that starts a move away from this primary.
     *
     * @param drains whether open transactions may still commit on this primary
     */
    public PrimaryRecord startMove(long nextNumber, boolean drains) {
        return new PrimaryRecord(
                service,
                nextNumber,
                primary,
                true,
                replicationPaused,
                nextNumber,
                drains,
                acceptedLoss);
    }

    /** Returns the record of the same move that ends the drain of open transactions. */
    public PrimaryRecord endTransactionDrain(long nextNumber) {
        return renumbered(nextNumber);
    }

    /** Returns the record of the same move with a data loss that an operator accepted. */
    public PrimaryRecord withAcceptedLoss(long nextNumber, AcceptedDataLoss loss) {
        return new PrimaryRecord(
                service,
                nextNumber,
                primary,
                moving,
                replicationPaused,
                moveNumber,
                drainsTransactions,
                loss);
    }

    /**
     * Returns the record that completes a move to this primary, with the accepted loss that still
     * applies.
     */
    public PrimaryRecord finishMove(
            long nextNumber, String newPrimary, boolean paused, AcceptedDataLoss loss) {
        return new PrimaryRecord(service, nextNumber, newPrimary, false, paused, 0, false, loss);
    }

    /** Returns the fields of the record in a message. */
    public Map<String, Object> toFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(SERVICE, service);
        fields.put(NUMBER, number);
        fields.put(PRIMARY, primary);
        fields.put(MOVING, moving);
        if (replicationPaused) {
            fields.put(REPLICATION_PAUSED, true);
        }
        if (moving) {
            fields.put(MOVE_NUMBER, moveNumber);
        }
        if (drainsTransactions) {
            fields.put(DRAINS_TRANSACTIONS, true);
        }
        if (acceptedLoss != null) {
            fields.put(ACCEPTED_LOSS, acceptedLoss.toString());
        }
        return fields;
    }

    /** Reads the fields that {@link #toFields} returns. */
    public static PrimaryRecord fromFields(MessageCodec.Fields fields) {
        long number = fields.number(NUMBER, 0);
        boolean moving = fields.flag(MOVING);
        return new PrimaryRecord(
                fields.string(SERVICE),
                number,
                fields.string(PRIMARY),
                moving,
                fields.flag(REPLICATION_PAUSED),
                moving ? fields.number(MOVE_NUMBER, number) : 0,
                fields.flag(DRAINS_TRANSACTIONS),
                AcceptedDataLoss.parse(fields.string(ACCEPTED_LOSS)));
    }

    /**
     * Returns the stored form, without the service, which is the key of the entry. Whether the move
     * drains transactions is not stored: a process that reads the record did not start the move.
     */
    public String encode() {
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

    /**
     * Decodes the stored form. Earlier versions wrote three or four fields, without the replication
     * pause, the move number and the accepted loss; a missing replication pause is read as paused.
     *
     * @return null if the text has too few fields
     * @throws NumberFormatException if a numeric field is invalid
     */
    public static PrimaryRecord decode(String service, String text) {
        String[] fields = text.split("\n", -1);
        if (fields.length < FIELDS_WITHOUT_PAUSE) {
            return null;
        }
        long number = Long.parseLong(fields[0]);
        boolean moving = Boolean.parseBoolean(fields[2]);
        return new PrimaryRecord(
                service,
                number,
                fields[1],
                moving,
                fields.length == FIELDS_WITHOUT_PAUSE || Boolean.parseBoolean(fields[3]),
                fields.length > 4 ? Long.parseLong(fields[4]) : moving ? number : 0,
                false,
                fields.length > 5 ? AcceptedDataLoss.parse(fields[5]) : null);
    }
}
