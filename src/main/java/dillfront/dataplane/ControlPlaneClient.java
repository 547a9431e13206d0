package dillfront.dataplane;

import dillfront.common.config.Configuration;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.environment.Environment;
import dillfront.common.message.BinaryDelta;
import dillfront.common.message.Compression;
import dillfront.common.message.MessageCodec;
import dillfront.common.protocol.PrimaryRecord;
import dillfront.common.protocol.ServerRow;
import dillfront.common.protocol.ServerState;
import dillfront.common.protocol.SubscriptionCodec;
import dillfront.common.protocol.SubscriptionRequest;
import dillfront.common.protocol.SubscriptionRequest.PrimaryView;
import dillfront.common.protocol.SubscriptionResponse;
import dillfront.common.protocol.SubscriptionResponse.ConfigurationUpdate;
import dillfront.common.protocol.SubscriptionResponse.RegistryUpdate;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Polls a control process with what this data plane has, and is answered once there is more, or
 * after a while without. Moves to another control process where one times out or says that it hears
 * no majority itself; what this data plane has never goes back with that. A configuration comes as
 * a delta from the one that it has, or whole where that does not fit.
 */
final class ControlPlaneClient {

    private static final int CONNECT_TIMEOUT_MS = 700;

    /** A request is held by the control process for less than this. */
    private static final long RESPONSE_TIMEOUT_MS = 1_400;

    /** Changes of what this data plane sees that come within so long go together. */
    private static final long COALESCE_MS = 50;

    /**
     * Of services from which a server leaves, what was acknowledged is told so often: it counts
     * where this data plane is lost too.
     */
    private static final long ACKNOWLEDGED_INTERVAL_MS = 2_000;

    private static final long RECONNECT_MS = 100;
    private static final int MAX_RECONNECT_PAUSES = 4;

    /** A configuration that cannot be read is not asked for again sooner. */
    private static final long UNREADABLE_RETRY_MS = 1_000;

    /** A source that was left is not gone back to by choice for so long. */
    private static final long COOLDOWN_MS = 20_000;

    /** And for less where it said itself that it hears no majority. */
    private static final long ISOLATED_COOLDOWN_MS = 2_000;

    private static final String ISOLATED = "alone";
    private static final long NONE = -1;

    /** Before a control process has told it, a share that is safe among many data planes. */
    private static final int ASSUMED_DATA_PLANES = 15;

    private final DataPlaneNode node;
    private final ControlPlaneSources sources;
    private String source = "-";

    /** Sources that were left since one answered. */
    private int failedSources;

    private Environment.Connection connection;
    private boolean connected;
    private Environment.Timer responseTimer;

    /**
     * A request was sent and nothing came since: the time-out counts from the first such, whatever
     * is sent meanwhile.
     */
    private boolean outstanding;

    private boolean updatePending;
    private long requestId;
    private long requestMillis;

    /** When it last told what was acknowledged by services from which a server leaves. */
    private long acknowledgedMillis = -ACKNOWLEDGED_INTERVAL_MS;

    // What this data plane has.
    private String incarnation = "";
    private long registryVersion;

    /** The digest of its configuration was told on this connection. */
    private boolean digestSent;

    private boolean fullConfiguration;

    /** The revision of a configuration that it cannot read. */
    private long unreadableRevision = NONE;

    private long recordNumber = NONE;
    private List<String> suspects = List.of();
    private long suspectsVersion = NONE;
    private long certainUntilMillis = NONE;
    private int dataPlanes = ASSUMED_DATA_PLANES;

    ControlPlaneClient(DataPlaneNode node) {
        this.node = node;
        sources =
                new ControlPlaneSources(node.environment, zone -> node.settings.isSameRegion(zone));
    }

    void start() {
        onSettingsChanged();
        connect();
    }

    /** The settings name other control processes. */
    void onSettingsChanged() {
        sources.arrange(node.settings.seedIps());
    }

    /** Until then no server other than the recorded primary leads a service. */
    long certainUntilMillis() {
        return certainUntilMillis;
    }

    /** How many data planes share the connection limits, this one among them. */
    int dataPlanes() {
        return dataPlanes;
    }

    /** The address of the control process that it polls. */
    String source() {
        return source;
    }

    // ---- the connection

    private void connect() {
        String next = sources.next();
        if (next == null) {
            node.environment.schedule(RECONNECT_MS, this::connect);
            return;
        }
        source = next;
        connected = false;
        Listener listener = new Listener();
        listener.own =
                node.environment.connect(
                        node.settings.internalAddressOf(source),
                        Environment.Framing.FRAMES,
                        CONNECT_TIMEOUT_MS,
                        listener);
        connection = listener.own;
        expectResponseWithin(CONNECT_TIMEOUT_MS + 100);
    }

    /** What comes on a connection that was left answers no request of now. */
    private final class Listener implements Environment.ConnectionListener {

        /** Null while the connection is being made. */
        private Environment.Connection own;

        @Override
        public void onOpen(Environment.Connection opened) {
            connection = opened;
            connected = true;
            outstanding = false;
            digestSent = false;
            sendRequest();
        }

        @Override
        public void onMessage(byte[] message) {
            if (connection == own) {
                receive(message);
            }
        }

        @Override
        public void onClose(String reason) {
            if (connection == own || own == null) {
                leaveSource(reason);
            }
        }
    }

    private void expectResponseWithin(long millis) {
        if (responseTimer != null) {
            responseTimer.cancel();
        }
        responseTimer = node.environment.schedule(millis, () -> leaveSource("silent"));
    }

    /** Goes on with the next source. */
    private void leaveSource(String reason) {
        if (responseTimer != null) {
            responseTimer.cancel();
        }
        if (connection != null) {
            connection.close();
        }
        node.environment.trace("control-plane-left source=" + source + " reason=" + reason);
        sources.onLeft(source, reason.equals(ISOLATED) ? ISOLATED_COOLDOWN_MS : COOLDOWN_MS);
        connected = false;
        failedSources++;
        int round = Math.max(1, sources.size());
        boolean roundIsOver = failedSources % round == 0;
        int pauses = Math.min(failedSources / round, MAX_RECONNECT_PAUSES);
        node.environment.schedule(roundIsOver ? RECONNECT_MS * pauses : 1, this::connect);
    }

    // ---- requests

    /**
     * What is seen of a primary has changed: worth a request now, or together with what else comes
     * within a moment of the last.
     */
    void requestUpdate() {
        if (updatePending) {
            return;
        }
        updatePending = true;
        long delay = requestMillis + COALESCE_MS - node.environment.nowMillis();
        node.environment.schedule(
                Math.max(0, delay),
                () -> {
                    updatePending = false;
                    if (connected) {
                        sendRequest();
                    }
                });
    }

    private void sendRequest() {
        requestMillis = node.environment.nowMillis();
        requestId++;
        connection.send(SubscriptionCodec.encode(request()));
        if (!outstanding) {
            outstanding = true;
            expectResponseWithin(RESPONSE_TIMEOUT_MS);
        }
    }

    private SubscriptionRequest request() {
        Configuration configuration = node.configuration();
        boolean sendsDigest = !digestSent;
        digestSent = true;
        return new SubscriptionRequest(
                node.settings.nodeName(),
                node.settings.zoneName(),
                requestId,
                incarnation,
                registryVersion,
                configuration.revision(),
                sendsDigest ? configuration.digest() : null,
                fullConfiguration,
                // Where this source hears no majority either, it may answer once it does.
                sources.isLastResort(source),
                recordNumber,
                suspectsVersion,
                primaryViews());
    }

    /**
     * Of most services there is nothing to say; of those that move or are suspected, what is seen.
     */
    private List<PrimaryView> primaryViews() {
        boolean tellsAcknowledged = requestMillis >= acknowledgedMillis + ACKNOWLEDGED_INTERVAL_MS;
        List<PrimaryView> views = new ArrayList<>();
        for (DatabaseService service : node.services()) {
            ServerPool primary = service.servers.get(service.primary);
            int reachability = primary == null ? 0 : primary.reachability();
            if (reachability < 0
                    || service.moving
                    || suspects.contains(service.name)
                    || tellsAcknowledged && service.hasLeavingServer()) {
                AcknowledgedCommits acknowledged = service.acknowledged;
                views.add(
                        new PrimaryView(
                                service.name,
                                service.openTransactions,
                                service.primary,
                                reachability,
                                acknowledged));
            }
        }
        if (!views.isEmpty() && tellsAcknowledged) {
            acknowledgedMillis = requestMillis;
        }
        return views;
    }

    // ---- responses

    private void receive(byte[] message) {
        SubscriptionResponse response;
        try {
            response = SubscriptionCodec.decodeResponse(message);
        } catch (MessageCodec.MalformedMessageException bad) {
            leaveSource("bad");
            return;
        }
        if (response.requestId() == requestId) {
            outstanding = false;
        } else {
            expectResponseWithin(RESPONSE_TIMEOUT_MS);
        }
        if (response.registry() != null) {
            takeServers(response.registry());
        }
        if (response.configuration() != null) {
            takeConfiguration(response.configuration());
        }
        response.records().forEach(this::takeRecord);
        if (response.suspects() != null) {
            suspectsVersion = response.suspects().version();
            suspects = response.suspects().services();
        }
        if (response.addresses() != null) {
            sources.update(response.addresses(), response.isolated(), node.settings.seedIps());
        }
        if (response.dataPlanes() >= 0) {
            dataPlanes = Math.max(1, response.dataPlanes());
        }
        if (response.requestId() == requestId) {
            goOn(response);
        }
    }

    /** The last request was answered: another, of this source or a better one. */
    private void goOn(SubscriptionResponse response) {
        if (response.primaryCertaintyMillis() > 0) {
            certainUntilMillis =
                    Math.max(certainUntilMillis, requestMillis + response.primaryCertaintyMillis());
        }
        if (response.isolated()) {
            // It has lost the others: it may know less than they do.
            leaveSource(ISOLATED);
            return;
        }
        failedSources = 0;
        String better = sources.betterThan(source);
        ConfigurationUpdate configuration = response.configuration();
        if (better != null) {
            // What crosses regions costs, and comes later.
            leaveSource(better + " is nearer");
        } else if (configuration != null
                && configuration.revision() == unreadableRevision
                && unreadableRevision >= 0) {
            long answeredId = requestId;
            node.environment.schedule(
                    UNREADABLE_RETRY_MS,
                    () -> {
                        if (connected && answeredId == requestId) {
                            sendRequest();
                        }
                    });
        } else {
            sendRequest();
        }
    }

    private void takeServers(RegistryUpdate update) {
        incarnation = update.incarnation();
        registryVersion = update.version();
        Set<String> present = new TreeSet<>();
        for (ServerRow row : update.servers()) {
            takeServer(row);
            present.add(row.id());
        }
        if (update.complete()) {
            node.services().forEach(service -> service.retainServers(present));
        }
    }

    private void takeServer(ServerRow row) {
        if (row.service().isEmpty()) {
            // The control process knows no more of it than that it leaves.
            for (DatabaseService service : node.services()) {
                takeEnd(service, service.servers.get(row.id()), row.state());
            }
            return;
        }
        DatabaseService service = node.service(row.service());
        ServerPool server = service.servers.get(row.id());
        if (row.state() == ServerState.LEFT) {
            takeEnd(service, server, row.state());
            return;
        }
        if (server == null) {
            server = new ServerPool(node, service, row.id(), row.address(), row.zoneName());
            service.servers.put(row.id(), server);
        }
        server.reportsPrimary = row.isPrimary();
        takeEnd(service, server, row.state());
        service.notifyWaiters();
    }

    private static void takeEnd(DatabaseService service, ServerPool server, ServerState state) {
        if (server == null) {
            return;
        }
        if (state == ServerState.LEFT) {
            server.remove();
            service.servers.remove(server.id);
        } else if (!server.draining && state != ServerState.READY) {
            server.startDraining();
        }
    }

    private void takeRecord(PrimaryRecord record) {
        recordNumber = Math.max(recordNumber, record.number());
        node.service(record.service()).onRecord(record);
    }

    /** Takes a newer configuration over; an older one, or a delta to one, changes nothing. */
    private void takeConfiguration(ConfigurationUpdate update) {
        if (update.revision() <= node.configuration().revision()) {
            return;
        }
        try {
            node.onConfiguration(Configuration.parse(body(update)));
            digestSent = false;
            fullConfiguration = false;
            unreadableRevision = NONE;
        } catch (BinaryDelta.InvalidDeltaException otherBase) {
            node.environment.trace(
                    "configuration-delta-unfit revision="
                            + update.revision()
                            + " fault="
                            + otherBase.getMessage());
            fullConfiguration = true;
        } catch (Compression.CorruptDataException
                | Configuration.InvalidConfigurationException unreadable) {
            // The control plane took it, so it is of a form that this version does not know: what
            // is in force stays.
            unreadableRevision = update.revision();
            node.environment.warn(
                    "configuration-not-understood revision="
                            + update.revision()
                            + " fault="
                            + unreadable.getMessage());
        }
    }

    private byte[] body(ConfigurationUpdate update)
            throws BinaryDelta.InvalidDeltaException, Compression.CorruptDataException {
        if (update.delta() != null) {
            return BinaryDelta.apply(node.configuration().body(), update.delta());
        }
        byte[] compressed = update.compressed() == null ? new byte[0] : update.compressed();
        return Compression.decompress(compressed, BinaryDelta.MAX_BYTES);
    }
}
