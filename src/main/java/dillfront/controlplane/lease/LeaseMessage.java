package dillfront.controlplane.lease;

import dillfront.common.message.MessageCodec;
import java.util.Map;

/**
 * What a process says of the lease to its peers.
 *
 * @param promisedNumber what it promised last; 0 for nothing
 * @param promisedTo the id of the process that has the promise
 * @param grantedAtMillis the clock of that process in its last message that was granted
 * @param formerLeaseRemainingMillis for how long those that had its promise before may still have
 *     said that their lease runs; 0 for no longer
 * @param requestedNumber what it asks for, or holds; 0 for nothing
 * @param abandonedNumber what it asked for and gave up; 0 for nothing
 * @param abandonedWasHeld whether it held the lease by that number
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

    /** Adds the number that was given up, where there is one, to the fields of a message. */
    public void writeAbandoned(Map<String, Object> fields) {
        if (abandonedNumber > 0) {
            fields.put(ABANDONED_NUMBER, abandonedNumber);
            fields.put(ABANDONED_WAS_HELD, abandonedWasHeld);
        }
    }

    /** Adds promise and request to the fields of a message. */
    public void writePromise(Map<String, Object> fields) {
        fields.put(PROMISED_NUMBER, promisedNumber);
        fields.put(PROMISED_TO, promisedTo);
        fields.put(GRANTED_AT, grantedAtMillis);
        if (formerLeaseRemainingMillis > 0) {
            fields.put(FORMER_REMAINING, formerLeaseRemainingMillis);
        }
        fields.put(REQUESTED_NUMBER, requestedNumber);
    }

    /** Reads what both writers made. */
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
