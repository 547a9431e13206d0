package dillfront.controlplane;

import dillfront.controlplane.peer.ClusterView;
import dillfront.controlplane.peer.PeerState;
import dillfront.controlplane.peer.PeerTable;
import dillfront.controlplane.registry.RegistryReplication;
import dillfront.controlplane.state.ControlState;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Calls of database servers that are answered once the disks of a majority have what they say. */
final class RegistryAcknowledgements {

    private record PendingAcknowledgement(long version, CompletableFuture<Void> done) {}

    private final ControlState state;
    private final PeerTable peers;
    private final RegistryReplication replication;
    private final List<PendingAcknowledgement> pending = new ArrayList<>();

    RegistryAcknowledgements(ControlState state, PeerTable peers, RegistryReplication replication) {
        this.state = state;
        this.peers = peers;
        this.replication = replication;
    }

    /** Completes once a majority has the table on its disks up to this version. */
    CompletableFuture<Void> await(long version) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        pending.add(new PendingAcknowledgement(version, done));
        persist();
        state.peerUpdates().request();
        poll();
        return done;
    }

    /** Writes what has changed of the table. */
    void persist() {
        replication.persist(
                peers.all().stream().map(PeerState::registryProgress).toList(),
                () -> {
                    poll();
                    state.peerUpdates().request();
                });
    }

    /** Answers those whose version a majority has. */
    void poll() {
        if (pending.isEmpty()) {
            return;
        }
        ClusterView cluster = state.cluster();
        long majorityVersion =
                cluster.quorumReached(
                        replication.durableVersion(),
                        peer ->
                                replication.acknowledgedVersionOf(
                                        peer.registryProgress(), peer.epoch(), cluster.epoch()));
        List<PendingAcknowledgement> completed = new ArrayList<>();
        pending.removeIf(
                acknowledgement ->
                        acknowledgement.done().isDone()
                                || acknowledgement.version() <= majorityVersion
                                        && completed.add(acknowledgement));
        completed.forEach(acknowledgement -> acknowledgement.done().complete(null));
    }
}
