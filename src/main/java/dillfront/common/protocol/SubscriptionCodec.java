package dillfront.common.protocol;

import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.message.MessageCodec;
import dillfront.common.protocol.SubscriptionRequest.PrimaryView;
import dillfront.common.protocol.SubscriptionResponse.ConfigurationUpdate;
import dillfront.common.protocol.SubscriptionResponse.ControlAddress;
import dillfront.common.protocol.SubscriptionResponse.RegistryUpdate;
import dillfront.common.protocol.SubscriptionResponse.SuspectsUpdate;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The bytes of {@link SubscriptionRequest} and {@link SubscriptionResponse}: MessagePack maps with
 * short names. Unknown names are passed over, missing ones have the value that stands for none.
 */
public final class SubscriptionCodec {

    /** The field that tells the messages on a control process's internal port apart. */
    public static final String TYPE = "t";

    /** The type of a subscription request. */
    public static final String REQUEST_TYPE = "news";

    private static final String REQUEST_ID = "q";
    private static final String INCARNATION = "b";
    private static final String REGISTRY_VERSION = "r";
    private static final String RECORD_NUMBER = "k";
    private static final String SUSPECTS_VERSION = "sn";

    private static final String NODE_NAME = "n";
    private static final String ZONE_NAME = "z";
    private static final String REVISION = "c";
    private static final String DIGEST = "cd";
    private static final String FULL_CONFIGURATION = "cw";
    private static final String WAITS_FOR_QUORUM = "hw";
    private static final String PRIMARIES = "s";
    private static final String VIEW_SERVICE = "s";
    private static final String VIEW_OPEN_TRANSACTIONS = "o";
    private static final String VIEW_PRIMARY = "p";
    private static final String VIEW_REACHABILITY = "h";
    private static final String VIEW_ACKNOWLEDGED = "a";

    private static final String ISOLATED = "alone";
    private static final String COMPLETE = "w";
    private static final String SERVERS = "m";
    private static final String NEW_REVISION = "cv";
    private static final String DELTA = "cx";
    private static final String COMPRESSED = "cz";
    private static final String RECORDS = "p";
    private static final String SUSPECTS = "sq";
    private static final String DATA_PLANES = "f";
    private static final String PRIMARY_CERTAINTY_MILLIS = "su";
    private static final String ADDRESSES = "cp";
    private static final String ADDRESS_IP = "i";
    private static final String ADDRESS_UNRESPONSIVE = "s";
    private static final String ADDRESS_ZONE = "z";

    private SubscriptionCodec() {}

    /** The bytes of a request. */
    public static byte[] encode(SubscriptionRequest request) {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put(TYPE, REQUEST_TYPE);
        out.put(NODE_NAME, request.nodeName());
        out.put(ZONE_NAME, request.zoneName());
        out.put(REQUEST_ID, request.requestId());
        out.put(INCARNATION, request.incarnation());
        out.put(REGISTRY_VERSION, request.registryVersion());
        out.put(REVISION, request.configurationRevision());
        if (request.configurationDigest() != null) {
            out.put(DIGEST, request.configurationDigest());
        }
        if (request.fullConfiguration()) {
            out.put(FULL_CONFIGURATION, true);
        }
        if (request.waitsForQuorum()) {
            out.put(WAITS_FOR_QUORUM, true);
        }
        out.put(RECORD_NUMBER, request.recordNumber());
        out.put(SUSPECTS_VERSION, request.suspectsVersion());
        if (!request.primaries().isEmpty()) {
            List<Object> rows = new ArrayList<>();
            request.primaries().forEach(view -> rows.add(fields(view)));
            out.put(PRIMARIES, rows);
        }
        return MessageCodec.encode(out);
    }

    private static Map<String, Object> fields(PrimaryView view) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put(VIEW_SERVICE, view.service());
        row.put(VIEW_OPEN_TRANSACTIONS, view.openTransactions());
        row.put(VIEW_PRIMARY, view.primary());
        row.put(VIEW_REACHABILITY, view.reachability());
        row.put(VIEW_ACKNOWLEDGED, view.acknowledged().toString());
        return row;
    }

    /** A request from the fields of a message of type {@link #REQUEST_TYPE}. */
    public static SubscriptionRequest decodeRequest(MessageCodec.Fields in) {
        List<PrimaryView> primaries = new ArrayList<>();
        for (MessageCodec.Fields row : in.maps(PRIMARIES)) {
            primaries.add(
                    new PrimaryView(
                            row.string(VIEW_SERVICE),
                            row.number(VIEW_OPEN_TRANSACTIONS, 0),
                            row.string(VIEW_PRIMARY),
                            row.number(VIEW_REACHABILITY, 0),
                            AcknowledgedCommits.parse(row.string(VIEW_ACKNOWLEDGED))));
        }
        return new SubscriptionRequest(
                in.string(NODE_NAME),
                in.string(ZONE_NAME),
                in.number(REQUEST_ID, 0),
                in.string(INCARNATION),
                in.number(REGISTRY_VERSION, 0),
                in.number(REVISION, -1),
                in.has(DIGEST) ? in.number(DIGEST, 0) : null,
                in.flag(FULL_CONFIGURATION),
                in.flag(WAITS_FOR_QUORUM),
                in.number(RECORD_NUMBER, -1),
                in.number(SUSPECTS_VERSION, -1),
                primaries);
    }

    /** The bytes of a response. */
    public static byte[] encode(SubscriptionResponse response) {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put(REQUEST_ID, response.requestId());
        if (response.isolated()) {
            out.put(ISOLATED, true);
            out.put(ADDRESSES, fields(response.addresses()));
            return MessageCodec.encode(out);
        }
        if (response.registry() != null) {
            out.put(INCARNATION, response.registry().incarnation());
            out.put(REGISTRY_VERSION, response.registry().version());
            out.put(COMPLETE, response.registry().complete());
            out.put(
                    SERVERS,
                    response.registry().servers().stream().map(ServerRow::toFields).toList());
        }
        ConfigurationUpdate configuration = response.configuration();
        if (configuration != null) {
            out.put(NEW_REVISION, configuration.revision());
            boolean complete = configuration.delta() == null;
            out.put(
                    complete ? COMPRESSED : DELTA,
                    complete ? configuration.compressed() : configuration.delta());
        }
        if (!response.records().isEmpty()) {
            out.put(RECORDS, response.records().stream().map(PrimaryRecord::toFields).toList());
        }
        if (response.suspects() != null) {
            out.put(SUSPECTS_VERSION, response.suspects().version());
            out.put(SUSPECTS, response.suspects().services());
        }
        out.put(DATA_PLANES, response.dataPlanes());
        if (response.primaryCertaintyMillis() > 0) {
            out.put(PRIMARY_CERTAINTY_MILLIS, response.primaryCertaintyMillis());
        }
        if (response.addresses() != null) {
            out.put(ADDRESSES, fields(response.addresses()));
        }
        return MessageCodec.encode(out);
    }

    private static List<Object> fields(List<ControlAddress> addresses) {
        List<Object> rows = new ArrayList<>();
        for (ControlAddress address : addresses) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put(ADDRESS_IP, address.ip());
            if (address.unresponsive()) {
                row.put(ADDRESS_UNRESPONSIVE, true);
            }
            row.put(ADDRESS_ZONE, address.zoneName());
            rows.add(row);
        }
        return rows;
    }

    /**
     * Reads a response.
     *
     * @throws MessageCodec.MalformedMessageException where the bytes are no message
     */
    public static SubscriptionResponse decodeResponse(byte[] bytes)
            throws MessageCodec.MalformedMessageException {
        MessageCodec.Fields in = MessageCodec.decode(bytes);
        return new SubscriptionResponse(
                in.number(REQUEST_ID, -1),
                in.flag(ISOLATED),
                in.has(INCARNATION) ? registry(in) : null,
                in.has(NEW_REVISION)
                        ? new ConfigurationUpdate(
                                in.number(NEW_REVISION, -1), in.bytes(DELTA), in.bytes(COMPRESSED))
                        : null,
                in.maps(RECORDS).stream().map(PrimaryRecord::fromFields).toList(),
                in.has(SUSPECTS_VERSION)
                        ? new SuspectsUpdate(in.number(SUSPECTS_VERSION, 0), in.strings(SUSPECTS))
                        : null,
                (int) in.number(DATA_PLANES, -1),
                in.number(PRIMARY_CERTAINTY_MILLIS, 0),
                in.has(ADDRESSES) ? addresses(in) : null);
    }

    private static RegistryUpdate registry(MessageCodec.Fields in) {
        return new RegistryUpdate(
                in.string(INCARNATION),
                in.number(REGISTRY_VERSION, 0),
                in.flag(COMPLETE),
                in.maps(SERVERS).stream().map(ServerRow::fromFields).toList());
    }

    private static List<ControlAddress> addresses(MessageCodec.Fields in) {
        List<ControlAddress> addresses = new ArrayList<>();
        for (MessageCodec.Fields row : in.maps(ADDRESSES)) {
            addresses.add(
                    new ControlAddress(
                            row.string(ADDRESS_IP),
                            row.string(ADDRESS_ZONE),
                            row.flag(ADDRESS_UNRESPONSIVE)));
        }
        return addresses;
    }
}
