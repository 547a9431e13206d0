package dillfront.controlplane.registry;

import dillfront.common.protocol.ServerRow;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.consensus.SafetyRule;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Brings the server table to the disk and to the peers. Peers exchange the rows that changed, and
 * tell each other how far they have them in memory and on disk: what a server was acknowledged is
 * on the disks of a majority before.
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

    /** With a registry of its own, as the model check needs it. */
    public RegistryReplication(ReplicatedRegister.Context context) {
        this(context, new ServerRegistry(context.isDisabled(SafetyRule.ROWS_FORWARD)));
    }

    /** Takes over what the disk held, at the start. */
    public void restore(Map<String, String> entries, long nowMillis) {
        registry.restore(entries, nowMillis);
        durableVersion = registry.version();
    }

    /** The version of the table in memory. */
    public long version() {
        return registry.version();
    }

    /** The version of the table that is on the disk. */
    public long durableVersion() {
        return durableVersion;
    }

    /**
     * Writes what changed behind what happens: a restart then begins with it, and servers report
     * again anyway. One write at a time.
     *
     * @param peers the progress with all peers, whose tables go to the disk with this one
     * @param onDurable runs once more of the table is on the disk
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

    /** What is said of the table to that peer. */
    public RegistryMessage messageTo(ReplicationProgress peer) {
        return new RegistryMessage(
                registry.version(),
                peer.peerVersion,
                peer.knownVersion,
                peer.knownDurableVersion,
                registry.rowsSince(peer.peerVersion));
    }

    /**
     * Takes a peer's message.
     *
     * @param ofThisIncarnation what the peer says that it has is of this incarnation's table
     * @return whether anything changed
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
        // Rows that begin behind what is known here were meant for an earlier incarnation, which
        // knew more.
        if (message.fromVersion() <= peer.knownVersion
                || context.isDisabled(SafetyRule.ROWS_WITHOUT_GAP)) {
            peer.knownVersion = Math.max(peer.knownVersion, message.version());
        }
        return changed;
    }

    /** Up to which version that peer has this table on its disk. */
    public long durableVersionOf(ReplicationProgress peer) {
        return peer.peerDurableVersion;
    }

    /**
     * The same, as far as it counts for an acknowledgement under the members that this process goes
     * by: what a peer has on its disk while it goes by newer members may be missing in what those
     * took over.
     */
    public long acknowledgedVersionOf(ReplicationProgress peer, long peerEpoch, long epoch) {
        return peerEpoch <= epoch || context.isDisabled(SafetyRule.ROWS_UNDER_EPOCH)
                ? peer.peerDurableVersion
                : 0;
    }

    // ---- the table itself, for the model check

    /** Takes a server's own call; whether it changed anything. */
    public boolean merge(ServerRow row, long nowMillis) {
        return registry.merge(row, nowMillis);
    }

    /** Takes a server's leave call. */
    public void markLeaving(String serverId) {
        registry.markLeaving(serverId);
    }

    /** The server of this id; null where it is not known. */
    public DatabaseServer get(String serverId) {
        return registry.get(serverId);
    }
}
