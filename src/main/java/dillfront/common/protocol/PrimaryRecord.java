package dillfront.common.protocol;

import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.message.MessageCodec;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which server is the primary of a service, as the lease holder recorded it. Records replace each
 * other: the one with the highest number counts.
 *
 * @param number rises with each record; those of a later lease are above all of an earlier one
 * @param primary the id of the server
 * @param moving a failover or planned move is under way: no server is to be used as the primary
 *     until the next record
 * @param replicationPaused replicas may not receive; the lease holder resumes them
 * @param moveNumber the number of the record with which the move began; 0 while none is under way
 * @param acceptedLoss the commits that an operator gave up last; null for none
 */
public record PrimaryRecord(
        String service,
        long number,
        String primary,
        boolean moving,
        boolean replicationPaused,
        long moveNumber,
        AcceptedDataLoss acceptedLoss) {

    private static final String SERVICE = "s";
    private static final String NUMBER = "k";
    private static final String PRIMARY = "p";
    private static final String MOVING = "m";
    private static final String REPLICATION_PAUSED = "h";
    private static final String MOVE_NUMBER = "mv";
    private static final String ACCEPTED_LOSS = "dl";
    private static final int FIELDS_WITHOUT_PAUSE = 3;

    /** A record for which nothing that was given up before counts. */
    public PrimaryRecord(
            String service,
            long number,
            String primary,
            boolean moving,
            boolean replicationPaused) {
        this(service, number, primary, moving, replicationPaused, moving ? number : 0, null);
    }

    /** The same under a number of the present lease holder. */
    public PrimaryRecord renumbered(long nextNumber) {
        return new PrimaryRecord(
                service, nextNumber, primary, moving, replicationPaused, moveNumber, acceptedLoss);
    }

    /** The beginning of a move away from this primary. */
    public PrimaryRecord startMove(long nextNumber) {
        return new PrimaryRecord(
                service, nextNumber, primary, true, replicationPaused, nextNumber, acceptedLoss);
    }

    /** The same move, with commits that an operator gave up meanwhile. */
    public PrimaryRecord withAcceptedLoss(long nextNumber, AcceptedDataLoss loss) {
        return new PrimaryRecord(
                service, nextNumber, primary, moving, replicationPaused, moveNumber, loss);
    }

    /** The end of a move: this server is the primary, with what is still given up then. */
    public PrimaryRecord finishMove(
            long nextNumber, String newPrimary, boolean paused, AcceptedDataLoss loss) {
        return new PrimaryRecord(service, nextNumber, newPrimary, false, paused, 0, loss);
    }

    /** The fields of a message. */
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
        if (acceptedLoss != null) {
            fields.put(ACCEPTED_LOSS, acceptedLoss.toString());
        }
        return fields;
    }

    /** Reads what {@link #toFields} made. */
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
                AcceptedDataLoss.parse(fields.string(ACCEPTED_LOSS)));
    }

    /** The form on disk, without the service, which names the entry. */
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
     * Reads the form on disk; earlier versions wrote three or four parts, without the pause, the
     * move and the loss.
     *
     * @return null where the text is no record
     * @throws NumberFormatException where a number is none
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
                fields.length > 5 ? AcceptedDataLoss.parse(fields[5]) : null);
    }
}
