package dillfront.controlplane.peer;

import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.message.MessageCodec;
import dillfront.common.message.MessageCodec.MalformedMessageException;
import dillfront.common.protocol.SubscriptionCodec;
import dillfront.controlplane.consensus.RegisterMessage;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.lease.LeaseMessage;
import dillfront.controlplane.peer.PeerMessage.DataLossReport;
import dillfront.controlplane.peer.PeerMessage.DataPlaneReport;
import dillfront.controlplane.peer.PeerMessage.ForwardedHeartbeat;
import dillfront.controlplane.peer.PeerMessage.Header;
import dillfront.controlplane.peer.PeerMessage.LeaseHolderStatus;
import dillfront.controlplane.peer.PeerMessage.ServiceObservation;
import dillfront.controlplane.primary.MissingCommits;
import dillfront.controlplane.primary.PrimaryObservation;
import dillfront.controlplane.primary.RecordsMessage;
import dillfront.controlplane.registry.RegistryMessage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/** The bytes of a {@link PeerMessage}: a MessagePack map with short names. */
public final class PeerMessageCodec {

    /** The type of a message between control processes. */
    public static final String TYPE = "word";

    private static final String IP = "i";
    private static final String ZONE = "z";
    private static final String INCARNATION = "b";
    private static final String CLOCK = "n";
    private static final String ECHO_CLOCK = "e";
    private static final String ECHO_INCARNATION = "eb";
    private static final String ID = "id";
    private static final String EPOCH = "ep";
    private static final String REGISTER = "rg";
    private static final String FIRST_START = "fs";
    private static final String LEAVING = "lv";
    private static final String ADDRESSES = "pl";
    private static final String HEARTBEATS = "al";
    private static final String ACKNOWLEDGED_MOVES = "cl";
    private static final String OBSERVATIONS = "s";
    private static final String IS_HOLDER = "h";
    private static final String LEASE_REMAINING = "hl";
    private static final String MISSING_COMMITS = "dl";
    private static final String ACCEPTED_LOSSES = "du";
    private static final String DATA_PLANES = "f";
    private static final String SUSPECTS = "sq";
    private static final int HEARTBEAT_FIELDS = 3;
    private static final int OBSERVATION_FIELDS = 6;

    private PeerMessageCodec() {}

    /** The bytes of a message. */
    public static byte[] encode(PeerMessage message) {
        Map<String, Object> out = new LinkedHashMap<>();
        Header header = message.header();
        out.put(SubscriptionCodec.TYPE, TYPE);
        out.put(IP, header.ip());
        out.put(ZONE, header.zoneName());
        out.put(INCARNATION, header.incarnation());
        out.put(CLOCK, header.clockMillis());
        out.put(ECHO_CLOCK, header.echoClockMillis());
        out.put(ECHO_INCARNATION, header.echoIncarnation());
        out.put(ID, header.id());
        out.put(EPOCH, header.epoch());
        if (message.register() != null) {
            out.put(REGISTER, message.register().toFields());
        }
        if (header.firstStart()) {
            out.put(FIRST_START, true);
        }
        if (header.leaving()) {
            out.put(LEAVING, true);
        }
        message.lease().writeAbandoned(out);
        if (message.addresses() != null) {
            out.put(ADDRESSES, message.addresses());
        }
        message.registry().writeTo(out);
        putIfNotEmpty(out, HEARTBEATS, heartbeats(message.heartbeats()));
        message.lease().writePromise(out);
        message.records().writeTo(out);
        putIfNotEmpty(out, ACKNOWLEDGED_MOVES, acknowledgedMoves(message.dataPlanes()));
        putIfNotEmpty(out, OBSERVATIONS, observations(message.dataPlanes()));
        if (message.holder() != null) {
            out.put(IS_HOLDER, true);
            out.put(LEASE_REMAINING, message.holder().leaseRemainingMillis());
        }
        DataLossReport dataLoss = message.dataLoss();
        putIfNotEmpty(out, MISSING_COMMITS, fields(dataLoss.missing(), header.clockMillis()));
        putIfNotEmpty(out, ACCEPTED_LOSSES, fields(dataLoss.accepted(), header.clockMillis()));
        out.put(DATA_PLANES, message.dataPlanes().count());
        if (message.holder() != null) {
            putIfNotEmpty(out, SUSPECTS, message.holder().suspects());
        }
        return MessageCodec.encode(out);
    }

    private static void putIfNotEmpty(Map<String, Object> out, String name, List<?> list) {
        if (!list.isEmpty()) {
            out.put(name, list);
        }
    }

    private static List<Object> heartbeats(List<ForwardedHeartbeat> heartbeats) {
        List<Object> flat = new ArrayList<>();
        for (ForwardedHeartbeat heartbeat : heartbeats) {
            flat.add(heartbeat.serverId());
            flat.add(heartbeat.ageMillis());
            flat.add(heartbeat.callSequence());
        }
        return flat;
    }

    private static List<Object> acknowledgedMoves(DataPlaneReport report) {
        List<Object> flat = new ArrayList<>();
        report.acknowledgedMoves()
                .forEach(
                        (service, number) -> {
                            flat.add(service);
                            flat.add(number);
                        });
        return flat;
    }

    private static List<Object> observations(DataPlaneReport report) {
        List<Object> rows = new ArrayList<>();
        for (ServiceObservation entry : report.observations()) {
            PrimaryObservation observation = entry.observation();
            rows.add(
                    List.of(
                            entry.service(),
                            observation.primary(),
                            observation.reachable(),
                            observation.unreachable(),
                            observation.openTransactions(),
                            entry.acknowledged().toString()));
        }
        return rows;
    }

    private static List<Object> fields(List<MissingCommits> missing, long nowMillis) {
        List<Object> rows = new ArrayList<>();
        missing.forEach(commits -> rows.add(commits.toFields(nowMillis)));
        return rows;
    }

    /**
     * Reads a message of type {@link #TYPE} that came now.
     *
     * @throws MalformedMessageException where a field is not of its form
     */
    public static PeerMessage decode(MessageCodec.Fields in, long nowMillis)
            throws MalformedMessageException {
        MessageCodec.Fields register = in.map(REGISTER);
        return new PeerMessage(
                header(in),
                register == null ? null : RegisterMessage.fromFields(register),
                LeaseMessage.fromFields(in),
                in.has(ADDRESSES) ? in.strings(ADDRESSES) : null,
                RegistryMessage.fromFields(in),
                decodeHeartbeats(in.strings(HEARTBEATS)),
                RecordsMessage.fromFields(in),
                new DataPlaneReport(
                        decodeAcknowledgedMoves(in.strings(ACKNOWLEDGED_MOVES)),
                        decodeObservations(in),
                        (int) in.number(DATA_PLANES, 0)),
                in.flag(IS_HOLDER)
                        ? new LeaseHolderStatus(
                                in.number(LEASE_REMAINING, LeaseManager.NEVER_MILLIS),
                                in.strings(SUSPECTS))
                        : null,
                new DataLossReport(
                        decodeMissing(in.maps(MISSING_COMMITS), nowMillis),
                        decodeMissing(in.maps(ACCEPTED_LOSSES), nowMillis)));
    }

    private static Header header(MessageCodec.Fields in) {
        return new Header(
                in.string(IP),
                in.string(ZONE),
                in.string(INCARNATION),
                in.number(CLOCK, 0),
                in.number(ECHO_CLOCK, LeaseManager.NEVER_MILLIS),
                in.string(ECHO_INCARNATION),
                in.string(ID),
                in.number(EPOCH, 0),
                in.flag(FIRST_START),
                in.flag(LEAVING));
    }

    private static List<ForwardedHeartbeat> decodeHeartbeats(List<String> flat)
            throws MalformedMessageException {
        List<ForwardedHeartbeat> heartbeats = new ArrayList<>();
        for (int i = 0; i + HEARTBEAT_FIELDS <= flat.size(); i += HEARTBEAT_FIELDS) {
            heartbeats.add(
                    new ForwardedHeartbeat(
                            flat.get(i), number(flat.get(i + 1)), number(flat.get(i + 2))));
        }
        return heartbeats;
    }

    private static Map<String, Long> decodeAcknowledgedMoves(List<String> flat)
            throws MalformedMessageException {
        Map<String, Long> moves = new TreeMap<>();
        for (int i = 0; i + 1 < flat.size(); i += 2) {
            moves.put(flat.get(i), number(flat.get(i + 1)));
        }
        return moves;
    }

    private static long number(String text) throws MalformedMessageException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException exception) {
            throw new MalformedMessageException("no number: " + text);
        }
    }

    private static List<ServiceObservation> decodeObservations(MessageCodec.Fields in)
            throws MalformedMessageException {
        List<ServiceObservation> observations = new ArrayList<>();
        for (List<?> row : in.lists(OBSERVATIONS)) {
            if (row.size() == OBSERVATION_FIELDS) {
                observations.add(
                        new ServiceObservation(
                                String.valueOf(row.get(0)),
                                new PrimaryObservation(
                                        String.valueOf(row.get(1)),
                                        (int) number(String.valueOf(row.get(2))),
                                        (int) number(String.valueOf(row.get(3))),
                                        (int) number(String.valueOf(row.get(4)))),
                                AcknowledgedCommits.parse(String.valueOf(row.get(5)))));
            }
        }
        return observations;
    }

    private static List<MissingCommits> decodeMissing(
            List<MessageCodec.Fields> rows, long nowMillis) {
        return rows.stream()
                .map(row -> MissingCommits.fromFields(row, nowMillis))
                .filter(Objects::nonNull)
                .toList();
    }
}
