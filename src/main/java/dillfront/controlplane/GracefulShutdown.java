package dillfront.controlplane;

import dillfront.controlplane.consensus.RegisterValue;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.registry.RegistryReplication;
import dillfront.controlplane.state.ControlState;

/**
 * Shuts a control process down gracefully. State that only this process holds is first replicated
 * to the disks of others, the membership is reduced where enough members remain, and the lease is
 * released before it expires.
 */
final class GracefulShutdown {

    /** Upper bound for replicating to others what only this process holds. */
    private static final long MAX_HAND_OVER_MS = 2_000;

    private static final long POLL_MS = 20;

    /** Time for the last messages to be sent. */
    private static final long FLUSH_MS = 50;

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
     * Starts the shutdown; further calls have no effect.
     *
     * @param onEnd runs once the process may exit
     */
    void begin(Runnable onEnd) {
        if (leaving) {
            return;
        }
        leaving = true;
        membership.onLeaving();
        messenger.onLeaving();
        state.environment().trace("shutdown");
        messenger.sendToAll();
        long handOver = Math.min(MAX_HAND_OVER_MS, state.settings().gracePeriodMillis() / 2);
        handOver(onEnd, state.nowMillis() + handOver);
    }

    private void handOver(Runnable onEnd, long untilMillis) {
        if (state.nowMillis() < untilMillis && (!othersHaveAll() || isReplaceable())) {
            membership.reconfigure();
            state.environment().schedule(POLL_MS, () -> handOver(onEnd, untilMillis));
            return;
        }
        state.lease().resign();
        messenger.sendToAll();
        state.environment().schedule(FLUSH_MS, onEnd);
    }

    /**
     * Returns whether a majority, including this process, has stored everything that this process
     * has stored.
     */
    private boolean othersHaveAll() {
        RegisterValue value = state.register().acceptedValue();
        return value == null
                || !state.cluster().isVoter()
                || value.isQuorum(id -> id.equals(identity.id()) || hasAll(id));
    }

    private boolean hasAll(String id) {
        ReplicatedRegister register = state.register();
        return membership.hasOnDisk(
                        id, registryReplication.version(), state.records().durableNumber())
                && register.acceptedBallotOf(id).compareTo(register.acceptedBallot()) >= 0;
    }

    /**
     * Returns whether the remaining members suffice for the configured number of tolerated machine
     * losses.
     */
    private boolean isReplaceable() {
        RegisterValue value = state.register().acceptedValue();
        int enough = 2 * state.settings().toleratedMachineLosses() + 1;
        return value != null && state.cluster().isVoter() && value.members().size() > enough;
    }
}
