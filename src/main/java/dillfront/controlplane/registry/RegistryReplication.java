package dillfront.controlplane.registry;

import dillfront.common.protocol.ServerRow;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.consensus.SafetyRule;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Replicates the server table to the disk and to the peers. Peers exchange changed rows and their
 * progress in memory and on disk. A server's call is acknowledged only after a majority has its
 * change on disk.
 */
public final class RegistryReplication {

    private record PendingVersion(ReplicationProgress progress, long version) {}

    private final ReplicatedRegister.Context context;
    private final ServerRegistry registry;
    private long durableVersion;
    private boolean persisting;

    public RegistryReplication(ReplicatedRegister.Context context, ServerRegistry registry) {
        this.context = context;
        this.registry = registry;
    }

    /** Creates a replication with its own registry, for the model check. */
    public RegistryReplication(ReplicatedRegister.Context context) {
        this(context, new ServerRegistry(() -> 0, context.isDisabled(SafetyRule.ROWS_FORWARD)));
    }

    /** Restores the stored table at the start of the process. */
    public void restore(Map<String, String> entries, long nowMillis) {
        registry.restore(entries, nowMillis);
        durableVersion = registry.version();
    }

    /** Returns the version of the table in memory. */
    public long version() {
        return registry.version();
    }

    /** Returns the version of the table on disk. */
    public long durableVersion() {
        return durableVersion;
    }

    /**
     * Writes changes asynchronously, one write at a time. They may lag behind: after a restart, the
     * servers report their state again.
     *
     * @param peers the progress with all peers, whose tables are stored together with this one
     * @param onDurable runs when a newer version of the table is on disk
     */
    public void persist(List<ReplicationProgress> peers, Runnable onDurable) {
        if (persisting) {
            return;
        }
        if (registry.version() == durableVersion) {
            peers.forEach(peer -> peer.knownDurableVersion = peer.knownVersion);
            return;
        }
        persisting = true;
        long version = registry.version();
        List<PendingVersion> pendingVersions = new ArrayList<>();
        peers.forEach(peer -> pendingVersions.add(new PendingVersion(peer, peer.knownVersion)));
        context.persist(registry.encodeSince(durableVersion))
                .whenComplete(
                        (done, failure) -> {
                            persisting = false;
                            if (failure == null) {
                                durableVersion = version;
                                pendingVersions.forEach(RegistryReplication::markDurable);
                                onDurable.run();
                            }
                        });
    }

    private static void markDurable(PendingVersion pending) {
        ReplicationProgress progress = pending.progress();
        progress.knownDurableVersion = Math.max(progress.knownDurableVersion, pending.version());
    }

    /** Returns the changes and the progress to send to a peer. */
    public RegistryMessage messageTo(ReplicationProgress peer) {
        return new RegistryMessage(
                registry.version(),
                peer.peerVersion,
                peer.knownVersion,
                peer.knownDurableVersion,
                registry.rowsSince(peer.peerVersion));
    }

    /**
     * Applies a peer's message.
     *
     * @param ofThisIncarnation whether the peer's progress refers to this incarnation's table
     * @return whether the table changed
     */
    public boolean receive(
            RegistryMessage message, ReplicationProgress peer, boolean ofThisIncarnation) {
        boolean isCurrent = ofThisIncarnation || context.isDisabled(SafetyRule.ROWS_OF_THIS_LIFE);
        peer.peerVersion = isCurrent ? message.knownVersion() : 0;
        peer.peerDurableVersion = isCurrent ? message.knownDurableVersion() : 0;
        boolean changed = false;
        for (ServerRow row : message.rows()) {
            changed |= registry.merge(row, 0);
        }
        // Rows that start after a gap were meant for a previous incarnation, which had a newer
        // version of the peer's table.
        if (message.fromVersion() <= peer.knownVersion
                || context.isDisabled(SafetyRule.ROWS_WITHOUT_GAP)) {
            peer.knownVersion = Math.max(peer.knownVersion, message.version());
        }
        return changed;
    }

    /** Returns the version of this table that the peer has on disk. */
    public long durableVersionOf(ReplicationProgress peer) {
        return peer.peerDurableVersion;
    }

    /**
     * Returns the version of this table that the peer has on disk, as far as it counts towards an
     * acknowledgement in this process's epoch. What a peer in a newer epoch has stored may be
     * missing from the state that the newer members took over.
     */
    public long acknowledgedVersionOf(ReplicationProgress peer, long peerEpoch, long epoch) {
        return peerEpoch <= epoch || context.isDisabled(SafetyRule.ROWS_UNDER_EPOCH)
                ? peer.peerDurableVersion
                : 0;
    }

    // ---- direct access to the table, for the model check

    /** Merges a server's own call, and returns whether it changed anything. */
    public boolean merge(ServerRow row, long nowMillis) {
        return registry.merge(row, nowMillis);
    }

    /** Applies a server's leave call. */
    public void markLeaving(String serverId) {
        registry.markLeaving(serverId);
    }

    /** Returns the server with this id; null if it is unknown. */
    public DatabaseServer get(String serverId) {
        return registry.get(serverId);
    }
}
