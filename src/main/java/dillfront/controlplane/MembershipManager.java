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
 * The members of the control plane: the first ones are chosen by one process at the first start of
 * a system, all later ones by the lease holder, in two steps each.
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

    /** The members that were proposed and logged last. */
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

    /** This process was paused until now: the silence of others before says nothing. */
    void onProcessPaused() {
        resumedMillis = state.nowMillis();
    }

    /** This process ends: it is the first to be replaced. */
    void onLeaving() {
        leaving = true;
    }

    /**
     * Founds the system where it is new: the process at the lowest of the seed addresses does, once
     * each of the others has said that it is at its first start and belongs to no members.
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

    /** As the lease holder: proposes other members, or the second step of a change. */
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
        // All that the old members had when they agreed to the joint value is known here; the new
        // ones are to have it on their disks.
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

    /** The silence of a member that is not known here, or is another process now. */
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

    /** Whether that process has the server table and the records this far on its disk. */
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
