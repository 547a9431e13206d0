package dillfront.controlplane;

import dillfront.common.config.Configuration;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.protocol.PrimaryRecord;
import dillfront.controlplane.failover.DataLossManager;
import dillfront.controlplane.failover.FailoverCoordinator;
import dillfront.controlplane.failover.PrimaryCertainty;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.peer.PeerMessage;
import dillfront.controlplane.peer.PeerMessage.DataPlaneReport;
import dillfront.controlplane.peer.PeerMessage.ForwardedHeartbeat;
import dillfront.controlplane.peer.PeerMessage.Header;
import dillfront.controlplane.peer.PeerMessage.LeaseHolderStatus;
import dillfront.controlplane.peer.PeerMessage.ServiceObservation;
import dillfront.controlplane.peer.PeerMessageCodec;
import dillfront.controlplane.peer.PeerState;
import dillfront.controlplane.peer.PeerTable;
import dillfront.controlplane.primary.PrimaryObservation;
import dillfront.controlplane.registry.DatabaseServer;
import dillfront.controlplane.registry.RegistryReplication;
import dillfront.controlplane.state.ControlState;
import dillfront.controlplane.subscription.DataPlaneSubscriptions;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds and sends the messages to the peers, and applies those received from them. */
final class PeerMessenger {

    /** A connection with more unsent bytes than this is closed and replaced. */
    private static final long MAX_PENDING_BYTES = 1 << 20;

    private final ControlState state;
    private final ProcessIdentity identity;
    private final PeerTable peers;
    private final RegistryReplication registryReplication;
    private final DataPlaneSubscriptions subscriptions;
    private final FailoverCoordinator failover;
    private final DataLossManager dataLoss;
    private final PrimaryCertainty certainty;
    private final RecentHeartbeats heartbeats;
    private long startedMillis;
    private boolean leaving;

    PeerMessenger(
            ControlState state,
            ProcessIdentity identity,
            PeerTable peers,
            RegistryReplication registryReplication,
            DataPlaneSubscriptions subscriptions,
            FailoverCoordinator failover,
            DataLossManager dataLoss,
            PrimaryCertainty certainty,
            RecentHeartbeats heartbeats) {
        this.state = state;
        this.identity = identity;
        this.peers = peers;
        this.registryReplication = registryReplication;
        this.subscriptions = subscriptions;
        this.failover = failover;
        this.dataLoss = dataLoss;
        this.certainty = certainty;
        this.heartbeats = heartbeats;
    }

    void start() {
        startedMillis = state.nowMillis();
    }

    /** Marks this process as leaving in all messages from now on. */
    void onLeaving() {
        leaving = true;
    }

    // ---- sending

    /** Sends the full state on a new connection to this peer. */
    void onConnected(PeerState peer) {
        state.register().onConnectionReset(peer.id());
        send(peer);
    }

    void sendToAll() {
        peers.all().forEach(this::send);
    }

    private void send(PeerState peer) {
        if (!peer.link().isConnected() || !identity.isDurable()) {
            return;
        }
        if (peer.link().pendingBytes() > MAX_PENDING_BYTES) {
            peer.link().disconnect();
            return;
        }
        peer.link().send(PeerMessageCodec.encode(messageTo(peer)));
    }

    private PeerMessage messageTo(PeerState peer) {
        long now = state.nowMillis();
        Header header =
                new Header(
                        state.settings().ipAddress(),
                        state.settings().zoneName(),
                        identity.incarnation(),
                        now,
                        peer.clockMillis(),
                        peer.incarnation(),
                        identity.id(),
                        state.cluster().epoch(),
                        state.register().isBlank() && identity.isFirstStart(),
                        leaving);
        List<ForwardedHeartbeat> forwarded =
                heartbeats.since(peer.heartbeatsForwardedMillis(), now);
        peer.heartbeatsForwardedMillis(now + 1);
        return new PeerMessage(
                header,
                peer.id().isEmpty() ? null : state.register().messageTo(peer.id()),
                state.lease().message(),
                updatedAddresses(peer),
                registryReplication.messageTo(peer.registryProgress()),
                forwarded,
                state.records().messageTo(peer.recordNumber()),
                dataPlaneReport(),
                failover.isActing()
                        ? new LeaseHolderStatus(
                                state.lease().validUntilMillis() - now, state.suspects().services())
                        : null,
                dataLoss.report());
    }

    /**
     * Returns the addresses of the peers in contact; null if they are the same as in the previous
     * message to this peer.
     */
    private List<String> updatedAddresses(PeerState peer) {
        List<String> addresses = new ArrayList<>();
        for (PeerState other : peers.all()) {
            if (state.cluster().isInContact(other)) {
                addresses.add(other.ip());
            }
        }
        return peer.updateSentAddresses(addresses.toString()) ? addresses : null;
    }

    private DataPlaneReport dataPlaneReport() {
        Map<String, Long> acknowledgedMoves = new LinkedHashMap<>();
        List<ServiceObservation> observations = new ArrayList<>();
        for (PrimaryRecord record : state.records().all()) {
            if (record.moving() && subscriptions.allHaveRecord(record.number())) {
                acknowledgedMoves.put(record.service(), record.number());
            }
            PrimaryObservation observation =
                    subscriptions.observation(record.service(), record.primary());
            if (observation.unreachable() > 0 || record.moving()) {
                AcknowledgedCommits acknowledged =
                        state.acknowledgedCommits().get(record.service());
                observations.add(
                        new ServiceObservation(record.service(), observation, acknowledged));
            }
        }
        return new DataPlaneReport(acknowledgedMoves, observations, subscriptions.activeCount());
    }

    // ---- receiving

    /** The effect of a received message. */
    enum ReceiveResult {
        /** The message is older than the last one of the peer, or its sender has no id. */
        IGNORED,
        APPLIED,
        /** The message was applied and changed the server table. */
        REGISTRY_CHANGED
    }

    /** Applies a peer's message. */
    ReceiveResult receive(PeerMessage message) {
        Header header = message.header();
        peers.discover(header.ip());
        PeerState peer = peers.at(header.ip());
        boolean sameIncarnation = peer != null && header.incarnation().equals(peer.incarnation());
        if (peer == null
                || header.id().isEmpty()
                || sameIncarnation && header.clockMillis() < peer.clockMillis()) {
            return ReceiveResult.IGNORED;
        }
        if (!sameIncarnation || !header.id().equals(peer.id())) {
            onNewIncarnation(peer, header);
        }
        peer.lease().recordContact(state.nowMillis());
        if (!peer.link().isConnected() && !peer.link().isConnecting()) {
            // The peer is up. Connecting at the next tick would delay its first acknowledgement.
            peer.link().connect();
        }
        boolean acknowledgesThisIncarnation =
                header.echoIncarnation().equals(identity.incarnation());
        peer.onHeader(header, acknowledgesThisIncarnation);
        boolean changed =
                registryReplication.receive(
                        message.registry(), peer.registryProgress(), acknowledgesThisIncarnation);
        message.heartbeats().forEach(this::applyHeartbeat);
        peer.onMembership(header);
        if (message.addresses() != null) {
            message.addresses().forEach(peers::discover);
        }
        receiveRegister(peer, message);
        peer.lease().update(message.lease(), state.nowMillis());
        peer.recordNumber(message.records().durableNumber());
        if (state.records().receive(message.records())) {
            state.requestUpdates();
        }
        receiveDataPlaneReport(peer, message.dataPlanes());
        receiveHolderStatus(peer, message, acknowledgesThisIncarnation);
        return changed ? ReceiveResult.REGISTRY_CHANGED : ReceiveResult.APPLIED;
    }

    private void onNewIncarnation(PeerState peer, Header header) {
        peer.onNewIncarnation(header.incarnation(), header.id());
        // Connects to the new incarnation and replies at once: it counts only peers that have
        // acknowledged its messages, and data sent to its previous incarnation may block the old
        // connection for long.
        boolean wasInContact = peer.previousIncarnationContactMillis() > startedMillis;
        if (peer.link().isConnected() && wasInContact || peer.link().hasStaleConnect()) {
            peer.link().replace();
        }
        state.peerUpdates().request();
    }

    private void applyHeartbeat(ForwardedHeartbeat heartbeat) {
        DatabaseServer server = state.registry().get(heartbeat.serverId());
        if (server != null) {
            server.onForwardedHeartbeat(
                    state.nowMillis() - heartbeat.ageMillis(), heartbeat.callSequence());
        }
    }

    private void receiveRegister(PeerState peer, PeerMessage message) {
        if (message.register() == null) {
            return;
        }
        try {
            state.register().receive(peer.id(), message.register());
        } catch (Configuration.InvalidConfigurationException exception) {
            state.environment()
                    .warn(
                            "configuration-not-understood from="
                                    + peer.ip()
                                    + " fault="
                                    + exception.getMessage());
        }
    }

    private void receiveDataPlaneReport(PeerState peer, DataPlaneReport report) {
        peer.onDataPlaneReport(report);
        for (ServiceObservation observation : report.observations()) {
            state.acknowledgedCommits().merge(observation.service(), observation.acknowledged());
        }
    }

    private void receiveHolderStatus(
            PeerState peer, PeerMessage message, boolean acknowledgesThisIncarnation) {
        LeaseHolderStatus holder = message.holder();
        LeaseManager lease = state.lease();
        if (holder != null) {
            state.suspects().replace(holder.suspects());
        }
        long promised = message.lease().promisedNumber();
        dataLoss.receive(
                message.dataLoss(), holder != null && acknowledgesThisIncarnation, promised);
        lease.onRequest(peer.lease(), message.lease().requestedNumber(), peer.clockMillis());
        lease.onRelease(
                peer.lease(),
                message.lease().abandonedNumber(),
                message.lease().abandonedWasHeld());
        if (holder == null && lease.isPromisedTo(peer.lease())) {
            // A new holder waits for an answer before it acts.
            state.peerUpdates().request();
        }
        if (holder != null && acknowledgesThisIncarnation && promised >= lease.promisedNumber()) {
            certainty.onHolderMessage(
                    message.header().echoClockMillis(), holder.leaseRemainingMillis());
        }
    }
}
