package dillfront.controlplane.registry;

import dillfront.common.message.MessageCodec;
import dillfront.common.protocol.ServerRow;
import java.util.List;
import java.util.Map;

/**
 * What a process says of its server table to a peer.
 *
 * @param version of the sender's table
 * @param fromVersion the rows are the changes after this version
 * @param knownVersion up to where the sender has the peer's table in memory
 * @param knownDurableVersion and on its disk
 */
public record RegistryMessage(
        long version,
        long fromVersion,
        long knownVersion,
        long knownDurableVersion,
        List<ServerRow> rows) {

    private static final String VERSION = "r";
    private static final String FROM_VERSION = "mf";
    private static final String KNOWN_VERSION = "a";
    private static final String KNOWN_DURABLE_VERSION = "ak";
    private static final String ROWS = "m";

    /** Adds this to the fields of a message. */
    public void writeTo(Map<String, Object> fields) {
        fields.put(VERSION, version);
        fields.put(FROM_VERSION, fromVersion);
        fields.put(KNOWN_VERSION, knownVersion);
        fields.put(KNOWN_DURABLE_VERSION, knownDurableVersion);
        if (!rows.isEmpty()) {
            fields.put(ROWS, rows.stream().map(ServerRow::toFields).toList());
        }
    }

    /** Reads what {@link #writeTo} made. */
    public static RegistryMessage fromFields(MessageCodec.Fields fields) {
        return new RegistryMessage(
                fields.number(VERSION, 0),
                fields.number(FROM_VERSION, 0),
                fields.number(KNOWN_VERSION, 0),
                fields.number(KNOWN_DURABLE_VERSION, 0),
                fields.maps(ROWS).stream().map(ServerRow::fromFields).toList());
    }
}
