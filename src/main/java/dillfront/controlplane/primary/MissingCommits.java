package dillfront.controlplane.primary;

import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.common.message.MessageCodec;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Acknowledged commits that a failover waits for: no log that is left is known to hold them.
 *
 * @param moveNumber the number of the primary record with which the move began
 * @param longestLogEnd where the longest log ends that is left
 * @param acknowledged what is known to be acknowledged
 * @param unreachableServers servers that may hold more, and are waited for
 * @param primary the server that led, and would have them
 * @param sinceMillis when this was found out, by this process's clock
 */
public record MissingCommits(
        String service,
        long moveNumber,
        LogPosition longestLogEnd,
        AcknowledgedCommits acknowledged,
        List<String> unreachableServers,
        String primary,
        long sinceMillis) {

    private static final String SERVICE = "s";
    private static final String MOVE_NUMBER = "mv";
    private static final String LOG_END = "l";
    private static final String ACKNOWLEDGED = "a";
    private static final String UNREACHABLE = "o";
    private static final String PRIMARY = "p";
    private static final String AGE = "t";

    /** Whether it names the same commits of the same move. */
    public boolean matches(MissingCommits other) {
        return service.equals(other.service)
                && moveNumber == other.moveNumber
                && longestLogEnd.equals(other.longestLogEnd)
                && acknowledged.equals(other.acknowledged)
                && unreachableServers.equals(other.unreachableServers);
    }

    /** The fields of a message that is sent now. */
    public Map<String, Object> toFields(long nowMillis) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(SERVICE, service);
        fields.put(MOVE_NUMBER, moveNumber);
        fields.put(LOG_END, longestLogEnd.toString());
        fields.put(ACKNOWLEDGED, acknowledged.toString());
        fields.put(UNREACHABLE, unreachableServers);
        fields.put(PRIMARY, primary);
        fields.put(AGE, nowMillis - sinceMillis);
        return fields;
    }

    /**
     * Reads what {@link #toFields} made, of a message that came now.
     *
     * @return null where the position is none
     */
    public static MissingCommits fromFields(MessageCodec.Fields fields, long nowMillis) {
        LogPosition logEnd = LogPosition.parse(fields.string(LOG_END));
        if (logEnd == null) {
            return null;
        }
        return new MissingCommits(
                fields.string(SERVICE),
                fields.number(MOVE_NUMBER, 0),
                logEnd,
                AcknowledgedCommits.parse(fields.string(ACKNOWLEDGED)),
                fields.strings(UNREACHABLE),
                fields.string(PRIMARY),
                nowMillis - fields.number(AGE, 0));
    }
}
