package dillfront.controlplane;

import dillfront.controlplane.consensus.Ballot;
import dillfront.controlplane.consensus.MembershipPolicy;
import dillfront.controlplane.consensus.MembershipPolicy.Candidate;
import dillfront.controlplane.consensus.ReconfigurationBarrier;
import dillfront.controlplane.consensus.RegisterValue;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.failover.FailoverCoordinator;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.peer.PeerState;
import dillfront.controlplane.peer.PeerTable;
import dillfront.controlplane.registry.RegistryReplication;
import dillfront.controlplane.state.ControlState;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Manages the membership of the control plane. One process chooses the initial members at the first
 * start of a system; the lease holder proposes all later changes, each in two steps.
 */
final class MembershipManager {

    private final ControlState state;
    private final ProcessIdentity identity;
    private final PeerTable peers;
    private final RegistryReplication registryReplication;
    private final FailoverCoordinator failover;
    private final ReconfigurationBarrier barrier = new ReconfigurationBarrier();
    private long startedMillis;
    private long resumedMillis = LeaseManager.NEVER_MILLIS;
    private boolean leaving;

    /** The members of the last proposal, so that a repeated proposal is logged once. */
    private SortedSet<String> proposedMembers = new TreeSet<>();

    MembershipManager(
            ControlState state,
            ProcessIdentity identity,
            PeerTable peers,
            RegistryReplication registryReplication,
            FailoverCoordinator failover) {
        this.state = state;
        this.identity = identity;
        this.peers = peers;
        this.registryReplication = registryReplication;
        this.failover = failover;
    }

    void start() {
        startedMillis = state.nowMillis();
    }

    /**
     * Restarts the measurement of the time since the last contact after a pause of this process,
     * which received no messages during the pause.
     */
    void onProcessPaused() {
        resumedMillis = state.nowMillis();
    }

    /** Marks this process as leaving, which makes it the first member to be replaced. */
    void onLeaving() {
        leaving = true;
    }

    /**
     * Bootstraps a new system. Only the process at the lowest seed address does so, and only once
     * every other seed has reported that it is at its first start and belongs to no membership.
     * Otherwise two groups could bootstrap separately.
     */
    void bootstrapIfFounder() {
        List<String> seeds = new ArrayList<>(new TreeSet<>(state.settings().seedIps()));
        if (!identity.isFirstStart()
                || !identity.isDurable()
                || !state.register().isBlank()
                || seeds.isEmpty()
                || !seeds.get(0).equals(state.settings().ipAddress())) {
            return;
        }
        TreeSet<String> members = new TreeSet<>();
        members.add(identity.id());
        for (String ip : seeds) {
            PeerState peer = peers.at(ip);
            if (peer != null
                    && peer.isFirstStart()
                    && peer.lastAcknowledgedSendMillis() >= startedMillis) {
                members.add(peer.id());
            }
        }
        if (members.size() == seeds.size()) {
            state.environment().trace("bootstrap members=" + members);
            state.register().bootstrap(members);
        }
    }

    /**
     * Proposes a membership change, or the second step of one, if this process acts as lease
     * holder.
     */
    void reconfigure() {
        ReplicatedRegister register = state.register();
        RegisterValue decided = register.decidedValue();
        if (decided == null
                || !failover.isActing()
                || !register.highestKnownBallot().equals(register.decidedBallot())) {
            return;
        }
        if (!decided.isJoint()) {
            barrier.reset();
            proposeNext(decided);
            return;
        }
        // The old members' state at the time they accepted the joint value is known here. The new
        // members must have it on disk before the change is completed.
        Ballot joint = register.decidedBallot();
        if (barrier.canFinish(
                decided,
                joint,
                id -> register.acceptedBallotOf(id).equals(joint),
                registryReplication.version(),
                state.records().newestNumber(),
                this::hasOnDisk)) {
            register.proposeFinalMembers(decided.epoch());
        }
    }

    private void proposeNext(RegisterValue decided) {
        SortedSet<String> next =
                MembershipPolicy.nextMembers(
                        decided.members(),
                        candidates(decided),
                        state.settings().toleratedMachineLosses());
        boolean isChange = !next.equals(decided.members());
        if (isChange && !next.equals(proposedMembers)) {
            state.environment().warn("members-change from=" + decided.members() + " to=" + next);
        }
        proposedMembers = next;
        if (isChange) {
            state.register().proposeMembers(decided.epoch(), next);
        }
    }

    private List<Candidate> candidates(RegisterValue decided) {
        List<Candidate> candidates = new ArrayList<>();
        candidates.add(new Candidate(identity.id(), state.settings().zoneName(), 0, true, leaving));
        for (PeerState peer : peers.all()) {
            if (!peer.id().isEmpty()) {
                candidates.add(
                        new Candidate(
                                peer.id(),
                                peer.zoneName(),
                                millisSinceContact(peer.lastContactMillis()),
                                isCaughtUp(peer, decided),
                                peer.isLeaving()));
            }
        }
        for (String member : decided.members()) {
            if (state.cluster().peer(member) == null && !member.equals(identity.id())) {
                candidates.add(
                        new Candidate(
                                member, "", unknownMemberMillisSinceContact(member), false, false));
            }
        }
        return candidates;
    }

    private long millisSinceContact(long lastContactMillis) {
        long contactMillis = Math.max(lastContactMillis, startedMillis);
        return state.nowMillis() - Math.max(contactMillis, resumedMillis);
    }

    /**
     * Returns the time since the last contact with a member that is not in the peer table, or a
     * fixed value if another process has taken over its address.
     */
    private long unknownMemberMillisSinceContact(String member) {
        PeerState other = peers.at(RegisterValue.ipOf(member));
        boolean isReplaced = other != null && !other.id().isEmpty();
        return isReplaced
                ? MembershipPolicy.ADDRESS_REUSED_MILLIS
                : millisSinceContact(LeaseManager.NEVER_MILLIS);
    }

    private boolean isCaughtUp(PeerState peer, RegisterValue decided) {
        ReplicatedRegister register = state.register();
        return peer.lastAcknowledgedSendMillis()
                        > state.nowMillis() - LeaseManager.CONTACT_TIMEOUT_MS
                && peer.epoch() == decided.epoch()
                && peer.recordNumber() >= state.records().newestNumber()
                && register.acceptedBallotOf(peer.id()).equals(register.decidedBallot());
    }

    /**
     * Returns whether that process has stored the server table and the primary records up to these
     * versions.
     */
    boolean hasOnDisk(String id, long registryVersion, long recordNumber) {
        if (id.equals(identity.id())) {
            return registryReplication.durableVersion() >= registryVersion
                    && state.records().durableNumber() >= recordNumber;
        }
        PeerState peer = state.cluster().peer(id);
        return peer != null
                && registryReplication.durableVersionOf(peer.registryProgress()) >= registryVersion
                && peer.recordNumber() >= recordNumber;
    }
}
