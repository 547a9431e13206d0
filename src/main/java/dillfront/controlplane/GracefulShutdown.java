package dillfront.controlplane;

import dillfront.controlplane.consensus.RegisterValue;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.registry.RegistryReplication;
import dillfront.controlplane.state.ControlState;

/**
 * The end of a control process in order: what only this process holds is on the disks of others
 * first, members that are enough without it go on without it, and the lease goes back before its
 * time.
 */
final class GracefulShutdown {

    /** Others get so long to have what only this process holds. */
    private static final long MAX_HANDOVER_MS = 2_000;

    private static final long POLL_INTERVAL_MS = 20;

    /** The last messages get so long to go out. */
    private static final long FLUSH_DELAY_MS = 50;

    private final ControlState state;
    private final ProcessIdentity identity;
    private final RegistryReplication registryReplication;
    private final MembershipManager membership;
    private final PeerMessenger messenger;
    private boolean leaving;

    GracefulShutdown(
            ControlState state,
            ProcessIdentity identity,
            RegistryReplication registryReplication,
            MembershipManager membership,
            PeerMessenger messenger) {
        this.state = state;
        this.identity = identity;
        this.registryReplication = registryReplication;
        this.membership = membership;
        this.messenger = messenger;
    }

    boolean isLeaving() {
        return leaving;
    }

    /**
     * @param onComplete runs once the process may end
     */
    void start(Runnable onComplete) {
        if (leaving) {
            return;
        }
        leaving = true;
        membership.onLeaving();
        messenger.onLeaving();
        state.environment().trace("shutdown");
        messenger.sendToAll();
        long handoverMillis = Math.min(MAX_HANDOVER_MS, state.settings().gracePeriodMillis() / 2);
        handOver(onComplete, state.nowMillis() + handoverMillis);
    }

    private void handOver(Runnable onComplete, long untilMillis) {
        if (state.nowMillis() < untilMillis && (!isReplicatedToMajority() || isReplaceable())) {
            membership.reconfigure();
            state.environment().schedule(POLL_INTERVAL_MS, () -> handOver(onComplete, untilMillis));
            return;
        }
        state.lease().resign();
        messenger.sendToAll();
        state.environment().schedule(FLUSH_DELAY_MS, onComplete);
    }

    /** Whether a majority, this process counted, has all that is on this disk. */
    private boolean isReplicatedToMajority() {
        RegisterValue value = state.register().acceptedValue();
        return value == null
                || !state.cluster().isVoter()
                || value.isQuorum(id -> id.equals(identity.id()) || isReplicatedTo(id));
    }

    private boolean isReplicatedTo(String id) {
        ReplicatedRegister register = state.register();
        return membership.hasOnDisk(
                        id, registryReplication.version(), state.records().durableNumber())
                && register.acceptedBallotOf(id).compareTo(register.acceptedBallot()) >= 0;
    }

    /** Whether there are members enough without this process. */
    private boolean isReplaceable() {
        RegisterValue value = state.register().acceptedValue();
        int requiredMembers = 2 * state.settings().toleratedMachineLosses() + 1;
        return value != null
                && state.cluster().isVoter()
                && value.members().size() > requiredMembers;
    }
}
