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
    private static final long REQUEST_COALESCING_MS = 50;

    /**
     * Of services from which a server leaves, what was acknowledged is told so often: it counts
     * where this data plane is lost too.
     */
    private static final long ACKNOWLEDGED_INTERVAL_MS = 2_000;

    private static final long RECONNECT_DELAY_MS = 100;
    private static final int MAX_RECONNECT_DELAY_FACTOR = 4;

    /** A configuration that cannot be read is not asked for again sooner. */
    private static final long UNREADABLE_RETRY_MS = 1_000;

    /** A source that was left is not gone back to by choice for so long. */
    private static final long COOLDOWN_MS = 20_000;

    /** And for less where it said itself that it hears no majority. */
    private static final long ISOLATED_COOLDOWN_MS = 2_000;

    private static final String ISOLATED_REASON = "alone";
    private static final long UNSET = -1;

    /** Before a control process has told it, a share that is safe among many data planes. */
    private static final int DEFAULT_DATA_PLANES = 15;

    private final DataPlaneNode node;
    private final ControlPlaneSources sources;
    private String source = "-";

    /** Sources that were left since one answered. */
    private int abandonedSources;

    private Environment.Connection connection;
    private boolean connected;
    private Environment.Timer responseTimer;

    /**
     * A request was sent and nothing came since: the time-out counts from the first such, whatever
     * is sent meanwhile.
     */
    private boolean awaitingResponse;

    private boolean updatePending;
    private long requestId;
    private long lastRequestMillis;

    /** When it last told what was acknowledged by services from which a server leaves. */
    private long acknowledgedReportMillis = -ACKNOWLEDGED_INTERVAL_MS;

    // What this data plane has.
    private String incarnation = "";
    private long registryVersion;

    /** The digest of its configuration was told on this connection. */
    private boolean digestSent;

    private boolean fullConfiguration;

    /** The revision of a configuration that it cannot read. */
    private long unreadableRevision = UNSET;

    private long recordNumber = UNSET;
    private List<String> suspectedServices = List.of();
    private long suspectsVersion = UNSET;
    private long primariesConfirmedUntilMillis = UNSET;
    private int dataPlanes = DEFAULT_DATA_PLANES;

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
        sources.updateOrder(node.settings.seedIps());
    }

    /** Until then no server other than the recorded primary leads a service. */
    long primariesConfirmedUntilMillis() {
        return primariesConfirmedUntilMillis;
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
        String selected = sources.select();
        if (selected == null) {
            node.environment.schedule(RECONNECT_DELAY_MS, this::connect);
            return;
        }
        source = selected;
        connected = false;
        Listener listener = new Listener();
        listener.ownConnection =
                node.environment.connect(
                        node.settings.internalAddressOf(source),
                        Environment.Framing.FRAMES,
                        CONNECT_TIMEOUT_MS,
                        listener);
        connection = listener.ownConnection;
        startResponseTimer(CONNECT_TIMEOUT_MS + 100);
    }

    /** What comes on a connection that was left answers no request of now. */
    private final class Listener implements Environment.ConnectionListener {

        /** Null while the connection is being made. */
        private Environment.Connection ownConnection;

        @Override
        public void onOpen(Environment.Connection opened) {
            connection = opened;
            connected = true;
            awaitingResponse = false;
            digestSent = false;
            sendRequest();
        }

        @Override
        public void onMessage(byte[] message) {
            if (connection == ownConnection) {
                handleResponse(message);
            }
        }

        @Override
        public void onClose(String reason) {
            if (connection == ownConnection || ownConnection == null) {
                switchSource(reason);
            }
        }
    }

    private void startResponseTimer(long millis) {
        if (responseTimer != null) {
            responseTimer.cancel();
        }
        responseTimer = node.environment.schedule(millis, () -> switchSource("silent"));
    }

    /** Goes on with the next source. */
    private void switchSource(String reason) {
        if (responseTimer != null) {
            responseTimer.cancel();
        }
        if (connection != null) {
            connection.close();
        }
        node.environment.trace("control-plane-left source=" + source + " reason=" + reason);
        sources.startCooldown(
                source, reason.equals(ISOLATED_REASON) ? ISOLATED_COOLDOWN_MS : COOLDOWN_MS);
        connected = false;
        abandonedSources++;
        int sourceCount = Math.max(1, sources.size());
        boolean allSourcesAbandoned = abandonedSources % sourceCount == 0;
        int delayFactor = Math.min(abandonedSources / sourceCount, MAX_RECONNECT_DELAY_FACTOR);
        node.environment.schedule(
                allSourcesAbandoned ? RECONNECT_DELAY_MS * delayFactor : 1, this::connect);
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
        long delay = lastRequestMillis + REQUEST_COALESCING_MS - node.environment.nowMillis();
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
        lastRequestMillis = node.environment.nowMillis();
        requestId++;
        connection.send(SubscriptionCodec.encode(createRequest()));
        if (!awaitingResponse) {
            awaitingResponse = true;
            startResponseTimer(RESPONSE_TIMEOUT_MS);
        }
    }

    private SubscriptionRequest createRequest() {
        Configuration configuration = node.configuration();
        boolean includesDigest = !digestSent;
        digestSent = true;
        return new SubscriptionRequest(
                node.settings.nodeName(),
                node.settings.zoneName(),
                requestId,
                incarnation,
                registryVersion,
                configuration.revision(),
                includesDigest ? configuration.digest() : null,
                fullConfiguration,
                // Where this source hears no majority either, it may answer once it does.
                sources.isOnlyAvailable(source),
                recordNumber,
                suspectsVersion,
                primaryViews());
    }

    /**
     * Of most services there is nothing to say; of those that move or are suspected, what is seen.
     */
    private List<PrimaryView> primaryViews() {
        boolean includesAcknowledged =
                lastRequestMillis >= acknowledgedReportMillis + ACKNOWLEDGED_INTERVAL_MS;
        List<PrimaryView> views = new ArrayList<>();
        for (DatabaseService service : node.services()) {
            ServerPool primary = service.servers.get(service.primary);
            int reachability = primary == null ? 0 : primary.reachability();
            if (reachability < 0
                    || service.moving
                    || suspectedServices.contains(service.name)
                    || includesAcknowledged && service.hasDrainingServer()) {
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
        if (!views.isEmpty() && includesAcknowledged) {
            acknowledgedReportMillis = lastRequestMillis;
        }
        return views;
    }

    // ---- responses

    private void handleResponse(byte[] message) {
        SubscriptionResponse response;
        try {
            response = SubscriptionCodec.decodeResponse(message);
        } catch (MessageCodec.MalformedMessageException malformed) {
            switchSource("bad");
            return;
        }
        if (response.requestId() == requestId) {
            awaitingResponse = false;
        } else {
            startResponseTimer(RESPONSE_TIMEOUT_MS);
        }
        if (response.registry() != null) {
            applyRegistry(response.registry());
        }
        if (response.configuration() != null) {
            applyConfiguration(response.configuration());
        }
        response.records().forEach(this::applyRecord);
        if (response.suspects() != null) {
            suspectsVersion = response.suspects().version();
            suspectedServices = response.suspects().services();
        }
        if (response.addresses() != null) {
            sources.update(response.addresses(), response.isolated(), node.settings.seedIps());
        }
        if (response.dataPlanes() >= 0) {
            dataPlanes = Math.max(1, response.dataPlanes());
        }
        if (response.requestId() == requestId) {
            continuePolling(response);
        }
    }

    /** The last request was answered: another, of this source or a better one. */
    private void continuePolling(SubscriptionResponse response) {
        if (response.primaryCertaintyMillis() > 0) {
            primariesConfirmedUntilMillis =
                    Math.max(
                            primariesConfirmedUntilMillis,
                            lastRequestMillis + response.primaryCertaintyMillis());
        }
        if (response.isolated()) {
            // It has lost the others: it may know less than they do.
            switchSource(ISOLATED_REASON);
            return;
        }
        abandonedSources = 0;
        String betterSource = sources.findBetter(source);
        ConfigurationUpdate configuration = response.configuration();
        if (betterSource != null) {
            // What crosses regions costs, and comes later.
            switchSource(betterSource + " is nearer");
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

    private void applyRegistry(RegistryUpdate update) {
        incarnation = update.incarnation();
        registryVersion = update.version();
        Set<String> present = new TreeSet<>();
        for (ServerRow row : update.servers()) {
            applyServer(row);
            present.add(row.id());
        }
        if (update.complete()) {
            node.services().forEach(service -> service.retainServers(present));
        }
    }

    private void applyServer(ServerRow row) {
        if (row.service().isEmpty()) {
            // The control process knows no more of it than that it leaves.
            for (DatabaseService service : node.services()) {
                applyLeaveState(service, service.servers.get(row.id()), row.state());
            }
            return;
        }
        DatabaseService service = node.service(row.service());
        ServerPool server = service.servers.get(row.id());
        if (row.state() == ServerState.LEFT) {
            applyLeaveState(service, server, row.state());
            return;
        }
        if (server == null) {
            server = new ServerPool(node, service, row.id(), row.address(), row.zoneName());
            service.servers.put(row.id(), server);
        }
        server.reportsPrimary = row.isPrimary();
        applyLeaveState(service, server, row.state());
        service.notifyWaiters();
    }

    private static void applyLeaveState(
            DatabaseService service, ServerPool server, ServerState state) {
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

    private void applyRecord(PrimaryRecord record) {
        recordNumber = Math.max(recordNumber, record.number());
        node.service(record.service()).onRecord(record);
    }

    /** Takes a newer configuration over; an older one, or a delta to one, changes nothing. */
    private void applyConfiguration(ConfigurationUpdate update) {
        if (update.revision() <= node.configuration().revision()) {
            return;
        }
        try {
            node.onConfiguration(Configuration.parse(decodeBody(update)));
            digestSent = false;
            fullConfiguration = false;
            unreadableRevision = UNSET;
        } catch (BinaryDelta.InvalidDeltaException mismatchedDelta) {
            node.environment.trace(
                    "configuration-delta-unfit revision="
                            + update.revision()
                            + " fault="
                            + mismatchedDelta.getMessage());
            fullConfiguration = true;
        } catch (Compression.CorruptDataException
                | Configuration.InvalidConfigurationException invalid) {
            // The control plane took it, so it is of a form that this version does not know: what
            // is in force stays.
            unreadableRevision = update.revision();
            node.environment.warn(
                    "configuration-not-understood revision="
                            + update.revision()
                            + " fault="
                            + invalid.getMessage());
        }
    }

    private byte[] decodeBody(ConfigurationUpdate update)
            throws BinaryDelta.InvalidDeltaException, Compression.CorruptDataException {
        if (update.delta() != null) {
            return BinaryDelta.apply(node.configuration().body(), update.delta());
        }
        byte[] compressed = update.compressed() == null ? new byte[0] : update.compressed();
        return Compression.decompress(compressed, BinaryDelta.MAX_BYTES);
    }
}
