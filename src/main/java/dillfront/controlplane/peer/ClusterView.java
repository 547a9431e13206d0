package dillfront.controlplane.peer;

import dillfront.common.environment.Environment;
import dillfront.controlplane.consensus.RegisterValue;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.lease.LeaseManager;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

/**
 * The control processes as this one sees them: which are members by the value that it accepted
 * last, which are in contact, and what a majority has.
 */
public final class ClusterView {

    private final Environment environment;
    private final ReplicatedRegister register;
    private final PeerTable peers;
    private final Supplier<String> selfId;

    /**
     * @param selfId the id of this process; empty before it starts
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

    /** All peers that are known. */
    public Iterable<PeerState> peers() {
        return peers.all();
    }

    /** The peer of this id; null where another process, or none, is known at its address. */
    public PeerState peer(String id) {
        PeerState peer = peers.at(RegisterValue.ipOf(id));
        return peer != null && peer.id().equals(id) ? peer : null;
    }

    /** The epoch of the members that this process goes by; 0 before there are any. */
    public long epoch() {
        RegisterValue value = register.acceptedValue();
        return value == null ? 0 : value.epoch();
    }

    /** Whether this is the id of a member, be it one that is being replaced. */
    public boolean isMember(String id) {
        RegisterValue value = register.acceptedValue();
        return value != null && (value.members().contains(id) || value.outgoing().contains(id));
    }

    /** Whether this process is a member. */
    public boolean isVoter() {
        return isMember(selfId());
    }

    /** The place of this process among the members, from 0. */
    public int memberRank() {
        RegisterValue value = register.acceptedValue();
        return value == null ? 0 : value.members().headSet(selfId()).size();
    }

    /** Whether a majority of each set of members has this. */
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
     * The highest value of a quantity that a majority of each set of members has reached; {@link
     * LeaseManager#NEVER_MILLIS} before there are members.
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

    /** When this process sent the last message that a majority is known to have received. */
    public long lastQuorumContactMillis() {
        return quorumReached(environment.nowMillis(), PeerState::lastAcknowledgedSendMillis);
    }

    /** No majority has answered this process of late: it may know less than others do. */
    public boolean isIsolated() {
        return lastQuorumContactMillis()
                < environment.nowMillis() - LeaseManager.CONTACT_TIMEOUT_MS;
    }

    /** Whether something came from this peer of late. */
    public boolean isInContact(PeerState peer) {
        return environment.nowMillis() - peer.lastContactMillis() < LeaseManager.CONTACT_TIMEOUT_MS;
    }
}
