package dillfront.dataplane;

import dillfront.common.config.Configuration;
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
 * Polls a control process for updates to the state of this data plane. The control process responds
 * once it has an update, or after a delay without one. The client switches to another control
 * process if a request times out or if the response says that the control process is isolated from
 * the majority; the state of the data plane never goes back to an older version with the switch. A
 * configuration is received as a delta to the present one, or in full if the delta does not apply.
 */
final class ControlPlaneClient {

    private static final int CONNECT_TIMEOUT_MS = 700;

    /** Longer than a control process holds a request without an update. */
    private static final long RESPONSE_TIMEOUT_MS = 1_400;

    /** Changes in the view of the primaries within this time share one request. */
    private static final long REQUEST_COALESCING_MS = 50;

    /**
     * The interval at which acknowledged commits are reported for services with a departing server.
     * The report matters if this data plane is lost as well.
     */
    private static final long ACKNOWLEDGED_INTERVAL_MS = 2_000;

    private static final long RECONNECT_DELAY_MS = 100;
    private static final int MAX_RECONNECT_DELAY_FACTOR = 4;

    /**
     * Silence after which a data plane has lost contact with the control plane: three responses
     * without an update are missing.
     */
    private static final long CONTACT_TIMEOUT_MS = 2_000;

    /** A configuration that cannot be parsed is requested again after this delay. */
    private static final long UNREADABLE_RETRY_MS = 1_000;

    /** An abandoned source is not selected again for this time, unless no other source remains. */
    private static final long COOLDOWN_MS = 20_000;

    /** The same for a source that reported its isolation from the majority. */
    private static final long ISOLATED_COOLDOWN_MS = 2_000;

    private static final String ISOLATED_REASON = "alone";
    private static final long UNSET = -1;

    /**
     * Used until a control process sends the number: the resulting connection share is safe with
     * many data planes.
     */
    private static final int DEFAULT_DATA_PLANES = 15;

    private final DataPlaneNode node;
    private final ControlPlaneSources sources;
    private String source = "-";

    /** The number of sources abandoned since the last response. */
    private int abandonedSources;

    private Environment.Connection connection;
    private boolean connected;
    private Environment.Timer responseTimer;

    /**
     * Whether a request has had no response yet. The time-out counts from the first such request,
     * also if more requests follow.
     */
    private boolean awaitingResponse;

    private boolean updatePending;
    private long requestId;
    private long lastRequestMillis;

    /** When the last response arrived of a control process in contact with a majority. */
    private long lastResponseMillis = UNSET;

    /** When the acknowledged commits of services with a departing server were last reported. */
    private long acknowledgedReportMillis = -ACKNOWLEDGED_INTERVAL_MS;

    // The state of this data plane, as reported in requests.
    private String incarnation = "";
    private long registryVersion;

    /** Whether the digest of the configuration was sent on this connection. */
    private boolean digestSent;

    private boolean fullConfiguration;

    /** The revision of a configuration that cannot be parsed. */
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

    /** Applies the control process addresses of changed settings. */
    void onSettingsChanged() {
        sources.updateOrder(node.settings.seedIps());
    }

    /**
     * Until this time, no server other than the recorded primary of a service can be its primary.
     */
    long primariesConfirmedUntilMillis() {
        return primariesConfirmedUntilMillis;
    }

    /** Returns whether a control process in contact with a majority has responded recently. */
    boolean isInContact() {
        return lastResponseMillis != UNSET
                && node.environment.nowMillis() - lastResponseMillis < CONTACT_TIMEOUT_MS;
    }

    /** The number of data planes that share the connection limits, including this one. */
    int dataPlanes() {
        return dataPlanes;
    }

    /** The address of the control process that is polled. */
    String source() {
        return source;
    }

    // ---- connection

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

    /** Ignores messages on a connection that was replaced, as they answer earlier requests. */
    private final class Listener implements Environment.ConnectionListener {

        /** Null while the connection is being established. */
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

    /** Closes the connection and connects to the next source. */
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
     * Sends a request, as the view of a primary has changed. Changes shortly after the last request
     * share one delayed request.
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
                // If no other source is left, this one may hold the request while it is isolated
                // from the majority, and answer afterwards.
                sources.isOnlyAvailable(source),
                recordNumber,
                suspectsVersion,
                primaryViews());
    }

    /**
     * Returns the views of the primaries that are moving, suspected or unreachable; other services
     * are omitted.
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
                    || includesAcknowledged && service.hasDepartingServer()) {
                views.add(
                        new PrimaryView(
                                service.name,
                                service.openTransactions,
                                service.primary,
                                reachability,
                                service.acknowledged()));
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
        if (!response.isolated()) {
            lastResponseMillis = node.environment.nowMillis();
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

    /**
     * Sends the next request after a response to the last one, to this source or to a better one.
     */
    private void continuePolling(SubscriptionResponse response) {
        if (response.primaryCertaintyMillis() > 0) {
            confirmPrimariesUntil(lastRequestMillis + response.primaryCertaintyMillis());
        }
        if (response.isolated()) {
            // An isolated source may have older state than the others.
            switchSource(ISOLATED_REASON);
            return;
        }
        abandonedSources = 0;
        String betterSource = sources.findBetter(source);
        ConfigurationUpdate configuration = response.configuration();
        if (betterSource != null) {
            // Traffic between regions is slower and billed.
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

    private void confirmPrimariesUntil(long millis) {
        boolean wasUnconfirmed = primariesConfirmedUntilMillis <= node.environment.nowMillis();
        primariesConfirmedUntilMillis = Math.max(primariesConfirmedUntilMillis, millis);
        if (wasUnconfirmed) {
            node.services().forEach(DatabaseService::notifyWaiters);
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
            // The control process knows only that the server is leaving, not its service.
            for (DatabaseService service : node.services()) {
                applyLeaveState(service, service.servers.get(row.id()), row, true);
            }
            return;
        }
        DatabaseService service = node.service(row.service());
        ServerPool server = service.servers.get(row.id());
        if (row.state() == ServerState.LEFT) {
            applyLeaveState(service, server, row, true);
            return;
        }
        boolean known = server != null;
        if (!known) {
            server = new ServerPool(node, service, row.id(), row.address(), row.zoneName());
            service.servers.put(row.id(), server);
        }
        server.reportsPrimary = row.isPrimary();
        applyLeaveState(service, server, row, known);
        service.notifyWaiters();
    }

    private static void applyLeaveState(
            DatabaseService service, ServerPool server, ServerRow row, boolean known) {
        if (server == null) {
            return;
        }
        if (row.state() == ServerState.LEFT) {
            service.removeServer(server);
        } else if (!server.draining && row.state() != ServerState.READY) {
            server.startDraining(row.drainAgeMillis(known));
        }
    }

    private void applyRecord(PrimaryRecord record) {
        recordNumber = Math.max(recordNumber, record.number());
        node.service(record.service()).onRecord(record);
    }

    /**
     * Applies a configuration with a higher revision; any other update, or a delta to an older
     * revision, is ignored.
     */
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
            // The control plane has accepted this configuration, so its format is newer than this
            // version. The present configuration stays in force.
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
