package dillfront.controlplane.registry;

import dillfront.common.message.MessageCodec;
import dillfront.common.protocol.ServerRow;
import java.util.List;
import java.util.Map;

/**
 * Changes of the sender's server table, and the sender's progress in the receiver's table.
 *
 * @param version the version of the sender's table
 * @param fromVersion the rows are the changes after this version
 * @param knownVersion the version of the receiver's table that the sender has in memory
 * @param knownDurableVersion the version of the receiver's table that the sender has on disk
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

    /** Adds the fields to a message. */
    public void writeTo(Map<String, Object> fields) {
        fields.put(VERSION, version);
        fields.put(FROM_VERSION, fromVersion);
        fields.put(KNOWN_VERSION, knownVersion);
        fields.put(KNOWN_DURABLE_VERSION, knownDurableVersion);
        if (!rows.isEmpty()) {
            fields.put(ROWS, rows.stream().map(ServerRow::toFields).toList());
        }
    }

    /** Reads the fields that {@link #writeTo} added. */
    public static RegistryMessage fromFields(MessageCodec.Fields fields) {
        return new RegistryMessage(
                fields.number(VERSION, 0),
                fields.number(FROM_VERSION, 0),
                fields.number(KNOWN_VERSION, 0),
                fields.number(KNOWN_DURABLE_VERSION, 0),
                fields.maps(ROWS).stream().map(ServerRow::fromFields).toList());
    }
}
