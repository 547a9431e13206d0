package dillfront.controlplane.peer;

import dillfront.common.environment.Environment;
import dillfront.controlplane.consensus.RegisterValue;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.lease.LeaseManager;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

/**
 * The cluster as this process sees it: the members by the value that it accepted last, the peers in
 * contact, and what a majority has reached.
 */
public final class ClusterView {

    private final Environment environment;
    private final ReplicatedRegister register;
    private final PeerTable peers;
    private final Supplier<String> selfId;

    /**
     * Creates the view.
     *
     * @param selfId returns the id of this process; empty before it starts
     */
    public ClusterView(
            Environment environment,
            ReplicatedRegister register,
            PeerTable peers,
            Supplier<String> selfId) {
        this.environment = environment;
        this.register = register;
        this.peers = peers;
        this.selfId = selfId;
    }

    public String selfId() {
        return selfId.get();
    }

    /** Returns all known peers. */
    public Iterable<PeerState> peers() {
        return peers.all();
    }

    /**
     * Returns the peer with this id; null if its address is unknown or now belongs to another
     * process.
     */
    public PeerState peer(String id) {
        PeerState peer = peers.at(RegisterValue.ipOf(id));
        return peer != null && peer.id().equals(id) ? peer : null;
    }

    /**
     * Returns the epoch of the membership that this process has accepted; 0 before the first one.
     */
    public long epoch() {
        RegisterValue value = register.acceptedValue();
        return value == null ? 0 : value.epoch();
    }

    /** Returns whether this id is a member, including one that is being replaced. */
    public boolean isMember(String id) {
        RegisterValue value = register.acceptedValue();
        return value != null && (value.members().contains(id) || value.outgoing().contains(id));
    }

    /** Returns whether this process is a member. */
    public boolean isVoter() {
        return isMember(selfId());
    }

    /**
     * Returns the rank of this process among the members in the order of their ids, starting at 0.
     */
    public int memberRank() {
        RegisterValue value = register.acceptedValue();
        return value == null ? 0 : value.members().headSet(selfId()).size();
    }

    /**
     * Returns whether a majority of each member set satisfies a condition.
     *
     * @param own whether this process satisfies it
     */
    public boolean isQuorum(boolean own, Predicate<PeerState> included) {
        RegisterValue value = register.acceptedValue();
        return value != null && value.isQuorum(id -> includes(id, own, included));
    }

    private boolean includes(String id, boolean own, Predicate<PeerState> included) {
        if (id.equals(selfId())) {
            return own;
        }
        PeerState peer = peer(id);
        return peer != null && included.test(peer);
    }

    /**
     * Returns the highest value of a quantity that a majority of each member set has reached;
     * {@link LeaseManager#NEVER_MILLIS} before there are members.
     *
     * @param own the value of this process
     */
    public long quorumReached(long own, ToLongFunction<PeerState> quantity) {
        RegisterValue value = register.acceptedValue();
        if (value == null) {
            return LeaseManager.NEVER_MILLIS;
        }
        return value.quorumReached(
                id -> {
                    if (id.equals(selfId())) {
                        return own;
                    }
                    PeerState peer = peer(id);
                    return peer == null ? LeaseManager.NEVER_MILLIS : quantity.applyAsLong(peer);
                });
    }

    /**
     * Returns when this process sent the newest message that a majority is known to have received.
     */
    public long lastQuorumContactMillis() {
        return quorumReached(environment.nowMillis(), PeerState::lastAcknowledgedSendMillis);
    }

    /**
     * Returns whether no majority has acknowledged a recent message of this process; its state may
     * then be outdated.
     */
    public boolean isIsolated() {
        return lastQuorumContactMillis()
                < environment.nowMillis() - LeaseManager.CONTACT_TIMEOUT_MS;
    }

    /** Returns whether a message of this peer was received recently. */
    public boolean isInContact(PeerState peer) {
        return environment.nowMillis() - peer.lastContactMillis() < LeaseManager.CONTACT_TIMEOUT_MS;
    }
}
