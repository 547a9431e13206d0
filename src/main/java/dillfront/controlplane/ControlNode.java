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
 * One control process: wires its parts, runs their timers, and passes messages and calls on to
 * them. Control processes tell each other what they have, often, and at once where something
 * changed.
 *
 * <p>All methods are called on the environment's thread.
 */
public final class ControlNode {

    /** How often all is said to all peers. */
    private static final long TICK_INTERVAL_MS = 400;

    private static final long POLL_INTERVAL_MS = 50;

    /** A poll that is so late means that this process was paused. */
    private static final long PAUSE_THRESHOLD_MS = 300;

    /** Updates that come within so long go together. */
    private static final long COALESCING_DELAY_MS = 20;

    /** A connection that brought no answer for so long is left. */
    private static final long CONNECTION_TIMEOUT_MS = 1_500;

    /** A server that announced its end has ended by then, even where it serves on past its time. */
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

    /** What data planes were last told of this process's contact with a majority. */
    private boolean publishedQuorumContact;

    /** What register and lease need of this process. */
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

    /** What subscriptions need of this process. */
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
     * @param stateStore where the state is kept; it may refuse writes, which are tried again
     */
    public ControlNode(Environment environment, NodeSettings settings, StateStore stateStore) {
        this.environment = environment;
        this.settings = settings;
        store = new RetryingStateStore(environment, stateStore);
        identity = new ProcessIdentity(environment, settings);
        Context context = new Context();
        ReplicatedRegister register = new ReplicatedRegister(context);
        LeaseManager lease = new LeaseManager(context);
        ServerRegistry registry = new ServerRegistry();
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

    // ---- the life of the process

    /**
     * Takes over what the disk holds, and begins.
     *
     * @throws Configuration.InvalidConfigurationException where the configuration on the disk is of
     *     a form that this version does not know
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

    /** Other control processes may be at these addresses, by the settings. */
    public void addSeeds(List<String> ips) {
        ips.forEach(peers::discover);
    }

    /**
     * Ends in order; other calls go on meanwhile.
     *
     * @param onComplete runs once the process may end
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
            // What is on its way there may wait for seconds behind what a partition has swallowed.
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
     * Data planes that wait here are told at once that contact with a majority is there, or lost.
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

    // ---- what the parts tell

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

    /** Where control processes are: this one, those that are in contact, and the others. */
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

    // ---- what comes from outside

    /** A connection to the internal port: of another control process or a data plane. */
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
                // It is connected again from the other side.
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
     * A call of a database server or an operator.
     *
     * @return completes with the answer; within a second at the most
     */
    public CompletableFuture<HttpResponse> handle(String method, String path, byte[] body) {
        return http.handle(method, path, body);
    }

    // ---- for status and tests

    /** The state of this process. */
    ControlState state() {
        return state;
    }

    /** Tells this process from its earlier incarnations. */
    String incarnation() {
        return identity.incarnation();
    }

    /** One line for operators and logs. */
    public String status() {
        return new StatusLine(state, dataLoss).format(dataPlaneCount.get(), shutdown.isLeaving());
    }

    /** For how long it is certain that no server leads other than the records say. */
    long primaryCertaintyMillis() {
        return certainty.remainingMillis(environment.nowMillis());
    }
}
