package dillfront.controlplane;

import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.CoalescingTrigger;
import dillfront.common.environment.Environment;
import dillfront.common.environment.Environment.HttpResponse;
import dillfront.common.message.MessageCodec;
import dillfront.common.message.MessageCodec.MalformedMessageException;
import dillfront.common.protocol.SubscriptionCodec;
import dillfront.common.protocol.SubscriptionResponse.ControlAddress;
import dillfront.controlplane.consensus.RegisterValue;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.failover.DataLossManager;
import dillfront.controlplane.failover.FailoverCoordinator;
import dillfront.controlplane.failover.PrimaryCertainty;
import dillfront.controlplane.http.ConfigurationEndpoint;
import dillfront.controlplane.http.ControlHttpApi;
import dillfront.controlplane.http.DataLossEndpoint;
import dillfront.controlplane.http.ServerEndpoint;
import dillfront.controlplane.lease.FencingTokens;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.peer.ClusterView;
import dillfront.controlplane.peer.PeerMessageCodec;
import dillfront.controlplane.peer.PeerState;
import dillfront.controlplane.peer.PeerTable;
import dillfront.controlplane.primary.AcknowledgedCommitsTable;
import dillfront.controlplane.primary.PrimaryRecords;
import dillfront.controlplane.primary.SuspectedPrimaries;
import dillfront.controlplane.registry.DatabaseServer;
import dillfront.controlplane.registry.RegistryReplication;
import dillfront.controlplane.registry.ServerRegistry;
import dillfront.controlplane.state.ControlState;
import dillfront.controlplane.storage.RetryingStateStore;
import dillfront.controlplane.storage.StateStore;
import dillfront.controlplane.subscription.DataPlaneSubscriptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;

/**
 * Runs one control process: constructs its components, drives their timers, and dispatches messages
 * and HTTP calls to them. Each process sends its state to its peers at a fixed interval, and at
 * once after a change.
 *
 * <p>All methods are called on the environment's thread.
 */
public final class ControlNode {

    /** Interval at which the full state is sent to every peer. */
    private static final long TICK_INTERVAL_MS = 400;

    private static final long POLL_INTERVAL_MS = 50;

    /** A poll that is later than this shows that the process was paused. */
    private static final long PAUSE_THRESHOLD_MS = 300;

    /** Updates that are requested within this time are sent together. */
    private static final long COALESCING_DELAY_MS = 20;

    /** A connection on which no message was acknowledged for this long is closed. */
    private static final long CONNECTION_TIMEOUT_MS = 1_500;

    /**
     * A server that announced its shutdown and sent nothing for this long has stopped, even if its
     * drain ran over the announced time.
     */
    private static final long LEAVING_TIMEOUT_MS = 30_000;

    private final Environment environment;
    private final NodeSettings settings;
    private final StateStore store;
    private final ProcessIdentity identity;
    private final ControlState state;
    private final PeerTable peers;
    private final RegistryReplication registryReplication;
    private final DataPlaneSubscriptions subscriptions;
    private final DataPlaneCount dataPlaneCount;
    private final FailoverCoordinator failover;
    private final MembershipManager membership;
    private final PeerMessenger messenger;
    private final RegistryAcknowledgements acknowledgements;
    private final DataLossManager dataLoss;
    private final PrimaryCertainty certainty;
    private final ControlHttpApi http;
    private final GracefulShutdown shutdown;
    private long startedMillis;
    private long lastPollMillis;
    private boolean loggedIsolation;

    /** Whether the data planes were last notified that this process has contact with a majority. */
    private boolean publishedQuorumContact;

    /** Gives the register and the lease manager access to the state of this process. */
    private final class Context implements LeaseManager.Context {

        @Override
        public String selfId() {
            return identity.id();
        }

        @Override
        public long nowMillis() {
            return environment.nowMillis();
        }

        @Override
        public CompletableFuture<Void> persist(Map<String, String> texts) {
            return store.put(texts);
        }

        @Override
        public void broadcast() {
            state.peerUpdates().request();
        }

        @Override
        public void onDecided(RegisterValue value) {
            value.members().forEach(member -> peers.discover(RegisterValue.ipOf(member)));
            state.dataPlaneUpdates().request();
        }

        @Override
        public long randomBelow(long bound) {
            return environment.random().nextLong(bound);
        }

        @Override
        public boolean holdsLease() {
            return failover.isActing();
        }

        @Override
        public long epoch() {
            return state.cluster().epoch();
        }

        @Override
        public boolean isMember(String id) {
            return state.cluster().isMember(id);
        }

        @Override
        public boolean isVoter() {
            return state.cluster().isVoter();
        }

        @Override
        public boolean isIsolated() {
            return state.cluster().isIsolated();
        }

        @Override
        public int memberRank() {
            return state.cluster().memberRank();
        }

        @Override
        public long diskStalledMillis() {
            return store.stalledMillis();
        }

        @Override
        public Iterable<? extends LeaseManager.Voter> peers() {
            return peers.all().stream().map(PeerState::lease).toList();
        }

        @Override
        public long quorumReached(long own, ToLongFunction<LeaseManager.Voter> quantity) {
            return state.cluster().quorumReached(own, peer -> quantity.applyAsLong(peer.lease()));
        }
    }

    /** Gives the subscriptions access to the state of this process. */
    private final class SubscriptionSource implements DataPlaneSubscriptions.Source {

        @Override
        public String incarnation() {
            return identity.incarnation();
        }

        @Override
        public List<ControlAddress> controlAddresses() {
            return ControlNode.this.controlAddresses();
        }

        @Override
        public long primaryCertaintyMillis() {
            return ControlNode.this.primaryCertaintyMillis();
        }

        @Override
        public int dataPlaneCount() {
            return dataPlaneCount.get();
        }

        @Override
        public void onPrimaryObserved() {
            failover.poll();
        }
    }

    /**
     * Constructs the components; {@link #start} restores their state.
     *
     * @param stateStore stores the state; a write that fails is retried
     */
    public ControlNode(Environment environment, NodeSettings settings, StateStore stateStore) {
        this.environment = environment;
        this.settings = settings;
        store = new RetryingStateStore(environment, stateStore);
        identity = new ProcessIdentity(environment, settings);
        Context context = new Context();
        ReplicatedRegister register = new ReplicatedRegister(context);
        LeaseManager lease = new LeaseManager(context);
        ServerRegistry registry = new ServerRegistry(environment::nowMillis);
        registryReplication = new RegistryReplication(context, registry);
        peers = new PeerTable(environment, settings, context::isMember, this::onPeerConnected);
        state =
                new ControlState(
                        environment,
                        settings,
                        register,
                        lease,
                        registry,
                        new PrimaryRecords(context),
                        new AcknowledgedCommitsTable(),
                        new SuspectedPrimaries(this::onSuspectsChanged),
                        new ClusterView(environment, register, peers, identity::id),
                        new CoalescingTrigger(environment, COALESCING_DELAY_MS, this::sendToPeers),
                        new CoalescingTrigger(environment, COALESCING_DELAY_MS, this::publish));
        dataPlaneCount = new DataPlaneCount(store);
        certainty = new PrimaryCertainty(lease, this::isLeaseHolder);
        subscriptions = new DataPlaneSubscriptions(state, new SubscriptionSource());
        failover = new FailoverCoordinator(state, subscriptions, new FencingTokens(context));
        dataLoss = new DataLossManager(state, failover);
        membership = new MembershipManager(state, identity, peers, registryReplication, failover);
        RecentHeartbeats heartbeats = new RecentHeartbeats(settings.heartbeatIntervalMillis());
        messenger =
                new PeerMessenger(
                        state,
                        identity,
                        peers,
                        registryReplication,
                        subscriptions,
                        failover,
                        dataLoss,
                        certainty,
                        heartbeats);
        acknowledgements = new RegistryAcknowledgements(state, peers, registryReplication);
        shutdown =
                new GracefulShutdown(state, identity, registryReplication, membership, messenger);
        http = createHttpApi(heartbeats);
    }

    private ControlHttpApi createHttpApi(RecentHeartbeats heartbeats) {
        ServerEndpoint.Listener listener =
                new ServerEndpoint.Listener() {
                    @Override
                    public void onHeartbeat(DatabaseServer server) {
                        heartbeats.add(server);
                    }

                    @Override
                    public void onHeartbeatsReceived() {
                        heartbeats.expire(environment.nowMillis());
                    }

                    @Override
                    public void onRegistryChanged() {
                        state.requestUpdates();
                        failover.poll();
                    }
                };
        return new ControlHttpApi(
                new ServerEndpoint(state, acknowledgements::await, shutdown::isLeaving, listener),
                new ConfigurationEndpoint(
                        state, peers, store, shutdown::isLeaving, this::sendToPeers),
                new DataLossEndpoint(state, dataLoss, shutdown::isLeaving),
                this::status);
    }

    // ---- lifecycle

    /**
     * Restores the stored state and starts the timers.
     *
     * @throws Configuration.InvalidConfigurationException if this version cannot parse the stored
     *     configuration
     */
    public void start() throws Configuration.InvalidConfigurationException {
        startedMillis = environment.nowMillis();
        Map<String, String> entries = store.initialState();
        identity.restore(entries, store, state.peerUpdates()::request);
        peers.start();
        membership.start();
        messenger.start();
        state.register().restore(entries);
        registryReplication.restore(entries, startedMillis);
        state.records().restore(entries);
        dataPlaneCount.restore(entries, startedMillis);
        state.lease().restore(entries);
        addSeeds(settings.seedIps());
        membership.bootstrapIfFounder();
        tick();
        poll();
    }

    /** Adds the addresses at which the settings expect other control processes. */
    public void addSeeds(List<String> ips) {
        ips.forEach(peers::discover);
    }

    /**
     * Shuts down gracefully; other calls are served meanwhile.
     *
     * @param onComplete runs once the process may exit
     */
    public void shutDown(Runnable onComplete) {
        shutdown.start(onComplete);
    }

    private void tick() {
        environment.schedule(TICK_INTERVAL_MS, this::tick);
        int dataPlanes = subscriptions.activeCount();
        for (PeerState peer : peers.all()) {
            maintainConnection(peer);
            if (state.cluster().isInContact(peer)) {
                dataPlanes += peer.dataPlaneCount();
            }
        }
        dataPlaneCount.observe(dataPlanes, environment.nowMillis());
        sendToPeers();
        state.register().retainPeers(id -> state.cluster().peer(id) != null);
        if (state.registry().expireLeaving(environment.nowMillis(), LEAVING_TIMEOUT_MS)) {
            state.dataPlaneUpdates().request();
        }
    }

    private void maintainConnection(PeerState peer) {
        long acknowledgedMillis =
                Math.max(peer.lastAcknowledgedSendMillis(), peer.link().connectedAtMillis());
        if (peer.link().isConnected()
                && environment.nowMillis() - acknowledgedMillis > CONNECTION_TIMEOUT_MS) {
            // Messages in flight may wait for seconds behind packets that a partition dropped.
            peer.link().disconnect();
        }
        if (peer.link().isReconnectDue()) {
            peer.link().connect();
        }
    }

    private void poll() {
        environment.schedule(POLL_INTERVAL_MS, this::poll);
        if (environment.nowMillis() - lastPollMillis > PAUSE_THRESHOLD_MS) {
            failover.onProcessPaused();
            membership.onProcessPaused();
        }
        lastPollMillis = environment.nowMillis();
        publishQuorumContact();
        logQuorumContact();
        state.lease().poll();
        failover.poll();
        state.register().poll();
        membership.bootstrapIfFounder();
        membership.reconfigure();
        acknowledgements.poll();
        acknowledgements.persist();
    }

    /**
     * Notifies the waiting data planes at once when contact with a majority is lost or restored.
     */
    private void publishQuorumContact() {
        if (state.cluster().isIsolated() == publishedQuorumContact) {
            publishedQuorumContact = !publishedQuorumContact;
            subscriptions.publish();
        }
    }

    private void logQuorumContact() {
        boolean isolated = state.cluster().isIsolated();
        if (isolated != loggedIsolation
                && environment.nowMillis() > startedMillis + LeaseManager.CONTACT_TIMEOUT_MS) {
            loggedIsolation = isolated;
            environment.warn(isolated ? "quorum-contact lost" : "quorum-contact restored");
        }
    }

    // ---- callbacks of the components

    private boolean isLeaseHolder() {
        return failover.isActing();
    }

    private void onPeerConnected(PeerState peer) {
        messenger.onConnected(peer);
    }

    private void sendToPeers() {
        messenger.sendToAll();
    }

    private void publish() {
        subscriptions.publish();
    }

    private void onSuspectsChanged() {
        state.dataPlaneUpdates().request();
        if (failover.isActing()) {
            state.peerUpdates().request();
        }
    }

    /**
     * Returns the addresses of the control processes: this one first, then the peers in contact,
     * then the others.
     */
    private List<ControlAddress> controlAddresses() {
        List<ControlAddress> inContact = new ArrayList<>();
        List<ControlAddress> unreachable = new ArrayList<>();
        inContact.add(new ControlAddress(settings.ipAddress(), settings.zoneName(), false));
        for (PeerState peer : peers.all()) {
            boolean reachable = state.cluster().isInContact(peer);
            (reachable ? inContact : unreachable)
                    .add(new ControlAddress(peer.ip(), peer.zoneName(), !reachable));
        }
        inContact.addAll(unreachable);
        return inContact;
    }

    // ---- incoming messages and calls

    /**
     * Returns a listener for one incoming connection on the internal port, from a peer or a data
     * plane.
     */
    public Environment.ConnectionListener accept() {
        return new Environment.ConnectionListener() {
            private Environment.Connection connection;

            @Override
            public void onOpen(Environment.Connection opened) {
                connection = opened;
            }

            @Override
            public void onMessage(byte[] message) {
                try {
                    receive(connection, MessageCodec.decode(message));
                } catch (MalformedMessageException exception) {
                    environment.warn("malformed-message fault=" + exception.getMessage());
                    connection.close();
                }
            }

            @Override
            public void onClose(String reason) {
                // The other side reconnects.
            }
        };
    }

    private void receive(Environment.Connection connection, MessageCodec.Fields fields)
            throws MalformedMessageException {
        String type = fields.string(SubscriptionCodec.TYPE);
        if (type.equals(PeerMessageCodec.TYPE)) {
            onPeerMessage(
                    messenger.receive(PeerMessageCodec.decode(fields, environment.nowMillis())));
        } else if (type.equals(SubscriptionCodec.REQUEST_TYPE)) {
            subscriptions.onRequest(connection, SubscriptionCodec.decodeRequest(fields));
        }
    }

    private void onPeerMessage(PeerMessenger.ReceiveResult received) {
        if (received == PeerMessenger.ReceiveResult.IGNORED) {
            return;
        }
        if (received == PeerMessenger.ReceiveResult.REGISTRY_CHANGED) {
            state.requestUpdates();
            acknowledgements.persist();
        }
        publishQuorumContact();
        state.register().poll();
        failover.poll();
        acknowledgements.poll();
    }

    /**
     * Handles an HTTP call of a database server or an operator.
     *
     * @return completes with the response within one second
     */
    public CompletableFuture<HttpResponse> handle(String method, String path, byte[] body) {
        return http.handle(method, path, body);
    }

    // ---- status, and access for tests

    /** Returns the state of this process. */
    ControlState state() {
        return state;
    }

    /** Returns the incarnation, which is new with each start of the process. */
    String incarnation() {
        return identity.incarnation();
    }

    /** Returns the status as one line, for operators and logs. */
    public String status() {
        return new StatusLine(state, dataLoss).format(dataPlaneCount.get(), shutdown.isLeaving());
    }

    /**
     * Returns for how long, in milliseconds, no server other than the recorded primary can be the
     * primary.
     */
    long primaryCertaintyMillis() {
        return certainty.remainingMillis(environment.nowMillis());
    }
}
