package dillfront.controlplane.registry;

import dillfront.common.message.MessageCodec;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.consensus.SafetyRule;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The table of servers as processes tell each other of it: what of it goes into a word, how far
 * each has that of the other, and how far it is on the disk. Rows only go forward, so a word that
 * is lost, repeated or old does no harm.
 */
public final class RegistryReplication {

    private record PeerVersion(ReplicationProgress progress, long known) {}

    private final ReplicatedRegister.Context context;
    private final ServerRegistry registry;

    /** The change that the disk has. */
    private long durableVersion;

    private boolean persisting;

    public RegistryReplication(ReplicatedRegister.Context ground, ServerRegistry members) {
        this.context = ground;
        this.registry = members;
    }

    public RegistryReplication(ReplicatedRegister.Context ground) {
        this(ground, new ServerRegistry(ground.isDisabled(SafetyRule.ROWS_FORWARD)));
    }

    /** What the disk held, at the start. */
    public void restore(Map<String, String> kept, long now) {
        registry.restore(kept, now);
        durableVersion = registry.version();
    }

    public long version() {
        return registry.version();
    }

    public long durableVersion() {
        return durableVersion;
    }

    /**
     * It goes to the disk behind what happens: a restart then begins with it, and servers tell
     * again anyway.
     */
    public void persist(List<ReplicationProgress> others, Runnable then) {
        if (persisting) {
            return;
        }
        if (registry.version() == durableVersion) {
            others.forEach(p -> p.knownDurableVersion = p.knownVersion);
            return;
        }
        persisting = true;
        long upTo = registry.version();
        List<PeerVersion> heard = new ArrayList<>();
        others.forEach(p -> heard.add(new PeerVersion(p, p.knownVersion)));
        context.persist(registry.encodeSince(durableVersion))
                .whenComplete(
                        (done, fault) -> {
                            persisting = false;
                            if (fault == null) {
                                durableVersion = upTo;
                                heard.forEach(
                                        h ->
                                                h.progress.knownDurableVersion =
                                                        Math.max(
                                                                h.progress.knownDurableVersion,
                                                                h.known));
                                then.run();
                            }
                        });
    }

    /** What goes into a word to that process. */
    public void writeTo(Map<String, Object> out, ReplicationProgress to) {
        out.put("r", registry.version());
        out.put("mf", to.peerVersion);
        out.put("a", to.knownVersion);
        out.put("ak", to.knownDurableVersion);
        List<Object> rows = registry.rowsSince(to.peerVersion);
        if (!rows.isEmpty()) {
            out.put("m", rows);
        }
    }

    /**
     * A word of that process.
     *
     * @param ours what it says that it has is of this life
     * @return whether anything changed
     */
    public boolean receive(MessageCodec.Fields in, ReplicationProgress from, boolean ours) {
        boolean counts = ours || context.isDisabled(SafetyRule.ROWS_OF_THIS_LIFE);
        from.peerVersion = counts ? in.number("a", 0) : 0;
        from.peerDurableVersion = counts ? in.number("ak", 0) : 0;
        boolean changed = false;
        for (MessageCodec.Fields row : in.maps("m")) {
            changed |= registry.merge(row, 0);
        }
        if (in.number("mf", 0) <= from.knownVersion
                || context.isDisabled(SafetyRule.ROWS_WITHOUT_GAP)) {
            // Else it was meant for a life before this one, which knew more.
            from.knownVersion = Math.max(from.knownVersion, in.number("r", 0));
        }
        return changed;
    }

    /** How far that process has this table on its disk. */
    public long durableVersionOf(ReplicationProgress by) {
        return by.peerDurableVersion;
    }

    /**
     * The same, as far as it counts for an acknowledgement under the set that is gone by here: what
     * it has on its disk while it goes by a newer set may be missing in what that one was settled
     * with.
     */
    public long acknowledgedVersionOf(ReplicationProgress by, long itsEpoch, long epoch) {
        return itsEpoch <= epoch || context.isDisabled(SafetyRule.ROWS_UNDER_EPOCH)
                ? by.peerDurableVersion
                : 0;
    }

    /** A call of a server itself; whether it changed anything. */
    public boolean merge(MessageCodec.Fields row, long now) {
        return registry.merge(row, now);
    }

    public void markLeaving(String server) {
        registry.markLeaving(server);
    }

    /** The change that made this row what it is; -1 where there is none. */
    public long changeNumberOf(String server) {
        DatabaseServer is = registry.get(server);
        return is == null ? -1 : is.changeNumber;
    }

    /** Empty where there is no such row. */
    public String stateOf(String server) {
        DatabaseServer is = registry.get(server);
        return is == null ? "" : is.state;
    }
}
