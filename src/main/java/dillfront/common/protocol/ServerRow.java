package dillfront.common.protocol;

import dillfront.common.message.MessageCodec;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The state of one database server, as exchanged between control processes and sent to data planes.
 *
 * @param service empty if only the server's leave call was received
 * @param role the role that the server reported; {@link #PRIMARY_ROLE} if it accepts writes
 * @param callSequence the sequence number of the newest call of the server; -1 for none
 * @param drainAgeMillis how long ago the server announced its shutdown, in milliseconds; {@link
 *     #UNKNOWN_AGE} if it did not, or if the sender does not know
 * @param departureProven whether the server has left, and a server that stays has all that it took
 *     along
 */
public record ServerRow(
        String id,
        String service,
        String address,
        String zoneName,
        ServerState state,
        String role,
        long callSequence,
        long drainAgeMillis,
        boolean departureProven) {

    /** The role of a server that accepts writes. */
    public static final String PRIMARY_ROLE = "primary";

    /** The age of a drain whose start is unknown. */
    public static final long UNKNOWN_AGE = -1;

    /** Bound of the age of a drain; no drain lasts as long. */
    public static final long MAX_DRAIN_AGE_MS = 3_600_000;

    private static final String ID = "i";
    private static final String SERVICE = "v";
    private static final String ADDRESS = "a";
    private static final String ZONE = "z";
    private static final String STATE = "st";
    private static final String ROLE = "ro";
    private static final String CALL_SEQUENCE = "q";
    private static final String DRAIN_AGE = "da";
    private static final String DEPARTURE_PROVEN = "dp";

    /** Creates the row of a server's own call, which has no age of a drain. */
    public ServerRow(
            String id,
            String service,
            String address,
            String zoneName,
            ServerState state,
            String role,
            long callSequence) {
        this(id, service, address, zoneName, state, role, callSequence, UNKNOWN_AGE, false);
    }

    /** Returns whether the server reported that it accepts writes. */
    public boolean isPrimary() {
        return role.equals(PRIMARY_ROLE);
    }

    /**
     * Returns how long ago the drain of a row began, also if the row has no age, as from a server
     * itself or from an earlier version: a drain of a server that was known as ready begins now,
     * and any other may have begun at any time, at most {@link #MAX_DRAIN_AGE_MS} ago.
     */
    public long drainAgeMillis(boolean knownAsReady) {
        if (drainAgeMillis >= 0) {
            return drainAgeMillis;
        }
        return knownAsReady ? 0 : MAX_DRAIN_AGE_MS;
    }

    /** Returns the fields of the row in a message. */
    public Map<String, Object> toFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(ID, id);
        fields.put(SERVICE, service);
        fields.put(ADDRESS, address);
        fields.put(ZONE, zoneName);
        fields.put(STATE, state.wireName());
        fields.put(ROLE, role);
        fields.put(CALL_SEQUENCE, callSequence);
        if (drainAgeMillis >= 0) {
            fields.put(DRAIN_AGE, drainAgeMillis);
        }
        if (departureProven) {
            fields.put(DEPARTURE_PROVEN, true);
        }
        return fields;
    }

    /** Reads the fields that {@link #toFields} returns; missing strings are empty. */
    public static ServerRow fromFields(MessageCodec.Fields fields) {
        return new ServerRow(
                fields.string(ID),
                fields.string(SERVICE),
                fields.string(ADDRESS),
                fields.string(ZONE),
                ServerState.parse(fields.string(STATE)),
                fields.string(ROLE),
                fields.number(CALL_SEQUENCE, -1),
                fields.number(DRAIN_AGE, UNKNOWN_AGE),
                fields.flag(DEPARTURE_PROVEN));
    }
}
