package dillfront.common.protocol;

import dillfront.common.message.MessageCodec;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What is known of one database server, as control processes and data planes tell it each other.
 *
 * @param service empty where only the server's leave call was received
 * @param role as the server reported it; {@link #PRIMARY_ROLE} for one that accepts writes
 * @param callSequence the number of the last call of the server that counted; -1 for none
 */
public record ServerRow(
        String id,
        String service,
        String address,
        String zoneName,
        ServerState state,
        String role,
        long callSequence) {

    /** The role of a server that accepts writes. */
    public static final String PRIMARY_ROLE = "primary";

    private static final String ID = "i";
    private static final String SERVICE = "v";
    private static final String ADDRESS = "a";
    private static final String ZONE = "z";
    private static final String STATE = "st";
    private static final String ROLE = "ro";
    private static final String CALL_SEQUENCE = "q";

    /** Whether the server reported that it accepts writes. */
    public boolean isPrimary() {
        return role.equals(PRIMARY_ROLE);
    }

    /** The fields of a message. */
    public Map<String, Object> toFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(ID, id);
        fields.put(SERVICE, service);
        fields.put(ADDRESS, address);
        fields.put(ZONE, zoneName);
        fields.put(STATE, state.wireName());
        fields.put(ROLE, role);
        fields.put(CALL_SEQUENCE, callSequence);
        return fields;
    }

    /** Reads what {@link #toFields} made; fields that are missing are empty. */
    public static ServerRow fromFields(MessageCodec.Fields fields) {
        return new ServerRow(
                fields.string(ID),
                fields.string(SERVICE),
                fields.string(ADDRESS),
                fields.string(ZONE),
                ServerState.parse(fields.string(STATE)),
                fields.string(ROLE),
                fields.number(CALL_SEQUENCE, -1));
    }
}
