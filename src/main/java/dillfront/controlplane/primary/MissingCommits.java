package dillfront.controlplane.primary;

import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.common.message.MessageCodec;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Describes acknowledged commits that block a failover, because no available log is known to
 * contain them.
 *
 * @param moveNumber the number of the primary record that started the move
 * @param longestLogEnd the end of the longest available log
 * @param acknowledged the known acknowledged commits
 * @param unreachableServers servers that may have more commits and that the failover waits for
 * @param primary the former primary, which has the commits
 * @param sinceMillis when the commits were found missing, on the local clock
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

    /** Returns whether the other object describes the same commits of the same move. */
    public boolean matches(MissingCommits other) {
        return service.equals(other.service)
                && moveNumber == other.moveNumber
                && longestLogEnd.equals(other.longestLogEnd)
                && acknowledged.equals(other.acknowledged)
                && unreachableServers.equals(other.unreachableServers);
    }

    /** Encodes the object as fields of a message that is sent now. */
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
     * Decodes the result of {@link #toFields} from a message that arrived now.
     *
     * @return null if the log position is malformed
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
