package dillfront.controlplane.lease;

import dillfront.common.message.MessageCodec;
import java.util.Map;

/**
 * Carries the lease state of a process to its peers.
 *
 * @param promisedNumber the last number that the sender promised; 0 for none
 * @param promisedTo the id of the process that holds the promise
 * @param grantedAtMillis the send time of that process's last granted message, on its clock
 * @param formerLeaseRemainingMillis the time for which former holders of the sender's promise may
 *     still have claimed that their leases run; 0 for none
 * @param requestedNumber the number that the sender requests or holds; 0 for none
 * @param abandonedNumber the last number that the sender requested and abandoned; 0 for none
 * @param abandonedWasHeld whether the sender held the lease under the abandoned number
 */
public record LeaseMessage(
        long promisedNumber,
        String promisedTo,
        long grantedAtMillis,
        long formerLeaseRemainingMillis,
        long requestedNumber,
        long abandonedNumber,
        boolean abandonedWasHeld) {

    private static final String PROMISED_NUMBER = "p";
    private static final String PROMISED_TO = "pt";
    private static final String GRANTED_AT = "pg";
    private static final String FORMER_REMAINING = "pf";
    private static final String REQUESTED_NUMBER = "w";
    private static final String ABANDONED_NUMBER = "rl";
    private static final String ABANDONED_WAS_HELD = "rh";

    /** Adds the abandoned number, if any, to the fields of a message. */
    public void writeAbandoned(Map<String, Object> fields) {
        if (abandonedNumber > 0) {
            fields.put(ABANDONED_NUMBER, abandonedNumber);
            fields.put(ABANDONED_WAS_HELD, abandonedWasHeld);
        }
    }

    /** Adds the promise and the request to the fields of a message. */
    public void writePromise(Map<String, Object> fields) {
        fields.put(PROMISED_NUMBER, promisedNumber);
        fields.put(PROMISED_TO, promisedTo);
        fields.put(GRANTED_AT, grantedAtMillis);
        if (formerLeaseRemainingMillis > 0) {
            fields.put(FORMER_REMAINING, formerLeaseRemainingMillis);
        }
        fields.put(REQUESTED_NUMBER, requestedNumber);
    }

    /** Decodes the fields written by {@link #writeAbandoned} and {@link #writePromise}. */
    public static LeaseMessage fromFields(MessageCodec.Fields fields) {
        return new LeaseMessage(
                fields.number(PROMISED_NUMBER, 0),
                fields.string(PROMISED_TO),
                fields.number(GRANTED_AT, LeaseManager.NEVER_MILLIS),
                Math.max(0, fields.number(FORMER_REMAINING, 0)),
                fields.number(REQUESTED_NUMBER, 0),
                fields.number(ABANDONED_NUMBER, 0),
                fields.flag(ABANDONED_WAS_HELD));
    }
}
