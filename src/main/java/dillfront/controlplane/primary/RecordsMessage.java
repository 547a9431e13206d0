package dillfront.controlplane.primary;

import dillfront.common.message.MessageCodec;
import dillfront.common.protocol.PrimaryRecord;
import java.util.List;
import java.util.Map;

/**
 * Carries primary records to a peer.
 *
 * @param durableNumber the newest record that the sender has on disk together with all before it
 * @param records the records that the peer lacks
 * @param fromNumber the number up to which the peer reported that it has the records; -1 if there
 *     are no records
 */
public record RecordsMessage(long durableNumber, List<PrimaryRecord> records, long fromNumber) {

    private static final String DURABLE_NUMBER = "k";
    private static final String RECORDS = "l";
    private static final String FROM_NUMBER = "lf";

    /** Adds this message to the fields of a peer message. */
    public void writeTo(Map<String, Object> fields) {
        fields.put(DURABLE_NUMBER, durableNumber);
        if (!records.isEmpty()) {
            fields.put(RECORDS, records.stream().map(PrimaryRecord::toFields).toList());
            fields.put(FROM_NUMBER, fromNumber);
        }
    }

    /** Decodes the result of {@link #writeTo}. */
    public static RecordsMessage fromFields(MessageCodec.Fields fields) {
        return new RecordsMessage(
                fields.number(DURABLE_NUMBER, -1),
                fields.maps(RECORDS).stream().map(PrimaryRecord::fromFields).toList(),
                fields.number(FROM_NUMBER, -1));
    }
}
