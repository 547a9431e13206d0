package dillfront.controlplane.consensus;

import dillfront.common.config.Configuration;
import dillfront.controlplane.consensus.RegisterMessage.EncodedValue;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * Replicates one value, the member set and the configuration, with ballots and without a log or a
 * leader (CASPaxos: Rystsov, "CASPaxos: Replicated State Machines without logs", 2018). An instance
 * is the acceptor, proposer and learner of one process.
 *
 * <p>Invariants: a promise or an acceptance is on disk before the process reports it; an acceptor
 * accepts nothing below its promised ballot; a proposer proposes the value with the highest ballot
 * that any acceptor of a majority has accepted, or a change of that value; the member set changes
 * only on top of a value that is known to be decided, in two steps, and while two member sets are
 * in force a majority of each is required.
 *
 * <p>Each message carries the sender's complete state, so lost, duplicated and reordered messages
 * are harmless. Not thread-safe: all calls come from one thread.
 */
public final class ReplicatedRegister {

    /** The services that the surrounding process provides to the register. */
    public interface Context {

        /** Returns the id of this process. */
        String selfId();

        /** Returns the monotonic time in milliseconds. */
        long nowMillis();

        /**
         * Stores texts under their names. Completes once the texts are on disk; writes complete in
         * the order of the calls.
         */
        CompletableFuture<Void> persist(Map<String, String> texts);

        /** Requests that the current state is sent to all peers. */
        void broadcast();

        /** Called when a newer value is known to be decided. */
        void onDecided(RegisterValue value);

        /** Returns a random number from 0 (inclusive) to the bound (exclusive). */
        long randomBelow(long bound);

        /**
         * Returns whether this process holds the lease. Only the lease holder changes the member
         * set.
         */
        boolean holdsLease();

        /**
         * Returns whether a safety rule is disabled. Only model checks disable rules, to verify
         * that the violation is detected.
         */
        default boolean isDisabled(SafetyRule rule) {
            return false;
        }
    }

    /** Delay of the own next round while another proposer's round is in progress. */
    private static final long COMPETING_ROUND_DELAY_MS = 150;

    private static final long BACKOFF_MS = 20;
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    /** Delay after which an accepted but undecided value is proposed again. */
    private static final long RECOVERY_DELAY_MS = 250;

    /**
     * Delay after which processes other than the proposer send a decided value to a peer that lacks
     * it.
     */
    private static final long CATCH_UP_DELAY_MS = 300;

    private static final long RESEND_MS = 350;
    private static final int MAX_PENDING_PROPOSALS = 256;

    /** The last reported state of a peer. Ballots never decrease. */
    private static final class PeerState {
        Ballot promisedBallot = Ballot.NONE;
        Ballot acceptedBallot = Ballot.NONE;
        Ballot decidedBallot = Ballot.NONE;
        Ballot proposalBallot = Ballot.NONE;
        boolean proposalHasValue;

        /** The last value received from the peer, and its ballot. */
        Ballot valueBallot = Ballot.NONE;

        RegisterValue value;

        /** The ballot of the last value of this process that the peer received. */
        Ballot receivedBallot = Ballot.NONE;

        Ballot sentBallot = Ballot.NONE;
        long sentAtMillis;

        /**
         * Returns whether the peer is in its accept phase and its proposed value has been received.
         */
        boolean offersValue() {
            return proposalHasValue && valueBallot.equals(proposalBallot);
        }
    }

    private enum Phase {
        NONE,
        /** The process writes its own promise to disk. */
        PERSIST_BALLOT,
        PREPARE,
        ACCEPT
    }

    /**
     * A member change that the lease holder requests.
     *
     * @param epoch the epoch of the value that the change applies to
     * @param members the next member set; null for the second step, which ends a joint set
     */
    private record MembershipStep(long epoch, SortedSet<String> members) {}

    private record Proposal(
            Configuration configuration, CompletableFuture<RegisterValue.Outcome> result) {}

    private final Context context;
    private final TreeMap<String, PeerState> peers = new TreeMap<>();
    private final RegisterStorage storage = new RegisterStorage();
    private final ValueEncoder encoder = new ValueEncoder();

    // The acceptor's state, as stored on disk.
    private Ballot promisedBallot = Ballot.NONE;
    private Ballot acceptedBallot = Ballot.NONE;
    private RegisterValue acceptedValue;
    private long acceptedAtMillis;
    private boolean persisting;

    // The learner's state.
    private Ballot decidedBallot = Ballot.NONE;
    private RegisterValue decidedValue;

    // The proposer's state.
    private Ballot ownBallot = Ballot.NONE;
    private Phase phase = Phase.NONE;
    private RegisterValue baseValue;
    private RegisterValue proposedValue;
    private int lostRounds;
    private long proposeAtMillis;
    private long recoverAtMillis = -1;
    private final List<Proposal> proposals = new ArrayList<>();
    private MembershipStep membershipStep;

    public ReplicatedRegister(Context context) {
        this.context = context;
    }

    /**
     * Restores the acceptor's state from disk at startup.
     *
     * @throws Configuration.InvalidConfigurationException if this version does not support the
     *     format of the stored configuration
     */
    public void restore(Map<String, String> texts)
            throws Configuration.InvalidConfigurationException {
        RegisterStorage.AcceptorState state = storage.restore(texts);
        promisedBallot = state.promised();
        acceptedBallot = state.accepted();
        acceptedValue = state.value();
    }

    boolean isDisabled(SafetyRule rule) {
        return context.isDisabled(rule);
    }

    // ---- queries

    /** Returns the accepted value, decided or not; null before the cluster is bootstrapped. */
    public RegisterValue acceptedValue() {
        return acceptedValue;
    }

    /** Returns the newest value that is known to be decided; null for none. */
    public RegisterValue decidedValue() {
        return decidedValue;
    }

    /** Returns the ballot of {@link #decidedValue}. */
    public Ballot decidedBallot() {
        return decidedBallot;
    }

    /** Returns the ballot of {@link #acceptedValue}. */
    public Ballot acceptedBallot() {
        return acceptedBallot;
    }

    /** Returns the newest configuration that is known to be decided. */
    public Configuration committedConfiguration() {
        return decidedValue == null ? Configuration.NONE : decidedValue.configuration();
    }

    /**
     * Returns whether the disk was empty at startup and no promise or acceptance was made since.
     */
    public boolean isBlank() {
        return acceptedValue == null && promisedBallot.equals(Ballot.NONE) && !persisting;
    }

    /** Returns the highest ballot that any process is known to have accepted. */
    public Ballot highestKnownBallot() {
        Ballot highest = acceptedBallot;
        for (PeerState peer : peers.values()) {
            highest = Ballot.max(highest, Ballot.max(peer.acceptedBallot, peer.decidedBallot));
        }
        return highest;
    }

    /** Returns the highest ballot that the given process is known to have accepted. */
    public Ballot acceptedBallotOf(String id) {
        if (id.equals(context.selfId())) {
            return acceptedBallot;
        }
        return peers.containsKey(id) ? peers.get(id).acceptedBallot : Ballot.NONE;
    }

    // ---- requests

    /**
     * Proposes the initial value under the first ballot, once the value is on the local disk. Only
     * the process that bootstraps a new cluster calls this method.
     */
    public void bootstrap(SortedSet<String> members) {
        Ballot ballot = new Ballot(1, context.selfId());
        RegisterValue first = RegisterValue.initial(members);
        accept(ballot, first)
                .thenRun(
                        () -> {
                            ownBallot = ballot;
                            baseValue = first;
                            proposedValue = first;
                            phase = Phase.ACCEPT;
                            runProposer();
                        });
    }

    /**
     * Proposes a configuration.
     *
     * @return completes with the outcome once the outcome is decided; fails with {@link
     *     IllegalStateException} immediately if too many proposals are pending
     */
    public CompletableFuture<RegisterValue.Outcome> propose(Configuration configuration) {
        CompletableFuture<RegisterValue.Outcome> result = new CompletableFuture<>();
        if (proposals.size() >= MAX_PENDING_PROPOSALS) {
            result.completeExceptionally(new IllegalStateException("too many proposals wait"));
            return result;
        }
        proposals.add(new Proposal(configuration, result));
        completeProposals();
        poll();
        return result;
    }

    /**
     * Proposes a new member set, as the first of two steps. The step is dropped if this process no
     * longer holds the lease or the epoch has changed when the round starts its accept phase.
     */
    public void proposeMembers(long epoch, SortedSet<String> members) {
        membershipStep =
                new MembershipStep(
                        epoch, Collections.unmodifiableSortedSet(new TreeSet<>(members)));
        poll();
    }

    /** Proposes the second step of a member change, which removes the outgoing members. */
    public void proposeFinalMembers(long epoch) {
        membershipStep = new MembershipStep(epoch, null);
        poll();
    }

    /** Advances timers and starts a round if one is due. Called periodically. */
    public void poll() {
        long now = context.nowMillis();
        proposals.removeIf(proposal -> proposal.result().isDone());
        boolean undecided = acceptedValue != null && highestKnownBallot().isAbove(decidedBallot);
        if (!undecided) {
            recoverAtMillis = -1;
        } else if (recoverAtMillis < 0) {
            recoverAtMillis = now + RECOVERY_DELAY_MS + context.randomBelow(RECOVERY_DELAY_MS);
        }
        boolean recoveryDue =
                undecided
                        && now > recoverAtMillis
                        && acceptedValue.members().contains(context.selfId());
        boolean hasWork = !proposals.isEmpty() || membershipStep != null || recoveryDue;
        boolean canStart = phase == Phase.NONE && acceptedValue != null && !persisting;
        if (hasWork && canStart && now >= proposeAtMillis) {
            startRound();
        }
    }

    // ---- messages

    /** Returns the register message for a peer. */
    public RegisterMessage messageTo(String peerId) {
        PeerState peer = peers.computeIfAbsent(peerId, id -> new PeerState());
        boolean proposes = phase == Phase.PREPARE || phase == Phase.ACCEPT;
        boolean offers = phase == Phase.ACCEPT;
        Ballot ballot = offers ? ownBallot : acceptedBallot;
        RegisterValue value = offers ? proposedValue : acceptedValue;
        EncodedValue encoded = null;
        if (value != null && needsValue(peer, ballot, offers) && maySend(peer, ballot)) {
            // The first transmission is a delta to the peer's accepted value; retransmissions are
            // complete, in case the peer could not apply the delta.
            RegisterValue base =
                    peer.sentBallot.equals(ballot) ? null : valueOf(peer.acceptedBallot);
            encoded =
                    encoder.encode(
                            ballot, value, base == null ? Ballot.NONE : peer.acceptedBallot, base);
            peer.sentBallot = ballot;
            peer.sentAtMillis = context.nowMillis();
        }
        return new RegisterMessage(
                promisedBallot,
                acceptedBallot,
                decidedBallot,
                peer.valueBallot,
                proposes ? ownBallot : Ballot.NONE,
                offers,
                encoded == null ? Ballot.NONE : ballot,
                encoded);
    }

    private boolean needsValue(PeerState peer, Ballot ballot, boolean offers) {
        boolean hasValue =
                ballot.equals(peer.acceptedBallot)
                        || ballot.equals(peer.receivedBallot)
                        || peer.decidedBallot.compareTo(ballot) >= 0;
        if (hasValue || offers) {
            return !hasValue;
        }
        boolean isNewer = ballot.isAbove(peer.acceptedBallot);
        boolean prepares =
                peer.proposalBallot.equals(promisedBallot) && !peer.proposalHasValue && isNewer;
        boolean needsCatchUp =
                isNewer && context.nowMillis() - acceptedAtMillis > CATCH_UP_DELAY_MS;
        return prepares || needsCatchUp;
    }

    private boolean maySend(PeerState peer, Ballot ballot) {
        return !peer.sentBallot.equals(ballot)
                || context.nowMillis() - peer.sentAtMillis > RESEND_MS;
    }

    /**
     * Handles a new connection to a peer: messages in flight on the former connection may be lost.
     */
    public void onConnectionReset(String peerId) {
        PeerState peer = peers.get(peerId);
        if (peer != null) {
            peer.sentBallot = Ballot.NONE;
        }
    }

    /**
     * Handles a message from a peer. Outdated messages have no effect.
     *
     * @throws Configuration.InvalidConfigurationException if this version does not support the
     *     format of the configuration in the message
     */
    public void receive(String peerId, RegisterMessage message)
            throws Configuration.InvalidConfigurationException {
        PeerState peer = peers.computeIfAbsent(peerId, id -> new PeerState());
        peer.promisedBallot = Ballot.max(peer.promisedBallot, message.promised());
        peer.acceptedBallot = Ballot.max(peer.acceptedBallot, message.accepted());
        peer.decidedBallot = Ballot.max(peer.decidedBallot, message.decided());
        peer.receivedBallot = Ballot.max(peer.receivedBallot, message.received());
        if (message.proposal().isAbove(peer.proposalBallot)) {
            peer.proposalBallot = message.proposal();
            peer.proposalHasValue = message.proposalHasValue();
        } else if (message.proposal().equals(peer.proposalBallot)) {
            peer.proposalHasValue |= message.proposalHasValue();
        }
        if (message.value() != null && message.valueBallot().isAbove(peer.valueBallot)) {
            RegisterValue value = decode(message.value());
            if (value != null) {
                peer.value = value;
                peer.valueBallot = message.valueBallot();
            }
        }
        advance();
    }

    /** Returns null if the value is a delta to a base that is unknown to this process. */
    private RegisterValue decode(EncodedValue encoded)
            throws Configuration.InvalidConfigurationException {
        RegisterValue base = encoded.isComplete() ? null : valueOf(encoded.base());
        return encoded.isComplete() || base != null ? ValueEncoder.decode(encoded, base) : null;
    }

    /** Removes the state of peers that are neither known nor members. */
    public void retainPeers(Predicate<String> isKnown) {
        peers.keySet().removeIf(id -> !isKnown.test(id) && !isMember(id));
    }

    private boolean isMember(String id) {
        return acceptedValue != null
                && (acceptedValue.members().contains(id) || acceptedValue.outgoing().contains(id));
    }

    private void advance() {
        learnFromPeers();
        runAcceptor();
        runProposer();
    }

    /** Returns the value of a ballot if this process has received that value; null otherwise. */
    private RegisterValue valueOf(Ballot ballot) {
        if (ballot.equals(acceptedBallot)) {
            return acceptedValue;
        }
        if (ballot.equals(decidedBallot)) {
            return decidedValue;
        }
        if (ballot.equals(ownBallot) && phase == Phase.ACCEPT) {
            return proposedValue;
        }
        for (PeerState peer : peers.values()) {
            if (ballot.equals(peer.valueBallot)) {
                return peer.value;
            }
        }
        return null;
    }

    // ---- learner

    private void learnFromPeers() {
        Ballot newest = decidedBallot;
        for (PeerState peer : peers.values()) {
            if (peer.decidedBallot.isAbove(newest) && valueOf(peer.decidedBallot) != null) {
                newest = peer.decidedBallot;
            }
        }
        List<Ballot> candidates = new ArrayList<>();
        candidates.add(acceptedBallot);
        peers.values().forEach(peer -> candidates.add(peer.acceptedBallot));
        for (Ballot ballot : candidates) {
            if (ballot.isAbove(newest)) {
                RegisterValue value = valueOf(ballot);
                if (value != null && value.isDecidedBy(id -> hasAccepted(id, ballot))) {
                    newest = ballot;
                }
            }
        }
        if (newest.isAbove(decidedBallot)) {
            learn(newest, valueOf(newest));
        }
    }

    private void learn(Ballot ballot, RegisterValue value) {
        if (!ballot.isAbove(decidedBallot)) {
            return;
        }
        decidedBallot = ballot;
        decidedValue = value;
        if (!ballot.proposer().equals(context.selfId())) {
            proposeAtMillis =
                    Math.min(
                            proposeAtMillis, context.nowMillis() + context.randomBelow(BACKOFF_MS));
        }
        if (ballot.isAbove(acceptedBallot) && !persisting) {
            // A decided value may be accepted regardless of the promised ballot, because the
            // decision is final.
            accept(ballot, value);
        }
        completeProposals();
        context.onDecided(value);
        context.broadcast();
    }

    private void completeProposals() {
        RegisterValue value =
                context.isDisabled(SafetyRule.ANSWER_BY_DECIDED) ? acceptedValue : decidedValue;
        if (value == null) {
            return;
        }
        List<Proposal> completed = new ArrayList<>();
        for (Proposal proposal : proposals) {
            if (value.outcome(proposal.configuration()) != RegisterValue.Outcome.PENDING) {
                completed.add(proposal);
            }
        }
        proposals.removeAll(completed);
        completed.forEach(
                proposal -> proposal.result().complete(value.outcome(proposal.configuration())));
    }

    // ---- acceptor

    private void runAcceptor() {
        if (persisting) {
            return;
        }
        if (decidedBallot.isAbove(acceptedBallot)) {
            accept(decidedBallot, decidedValue);
            return;
        }
        PeerState proposer = highestProposer();
        if (proposer == null) {
            return;
        }
        if (proposer.proposalHasValue) {
            accept(proposer.proposalBallot, proposer.value);
        } else {
            promise(proposer.proposalBallot);
        }
        proposeAtMillis = Math.max(proposeAtMillis, context.nowMillis() + COMPETING_ROUND_DELAY_MS);
    }

    /**
     * Returns the peer whose round this acceptor answers next, by ballot and promise; null for
     * none.
     */
    private PeerState highestProposer() {
        Ballot highest = promisedBallot;
        PeerState proposer = null;
        for (PeerState peer : peers.values()) {
            boolean acceptable = peer.offersValue() && peer.proposalBallot.isAbove(acceptedBallot);
            boolean isHigher = peer.proposalBallot.isAbove(highest);
            boolean belowPromise = context.isDisabled(SafetyRule.PROMISE_KEPT) && acceptable;
            boolean promisedBefore =
                    proposer == null && peer.proposalBallot.equals(highest) && acceptable;
            if ((isHigher || belowPromise || promisedBefore)
                    && (peer.offersValue() || !peer.proposalHasValue)) {
                highest = peer.proposalBallot;
                proposer = peer;
            }
        }
        return proposer;
    }

    private CompletableFuture<Void> promise(Ballot ballot) {
        return persist(
                RegisterStorage.promise(ballot),
                () -> promisedBallot = Ballot.max(promisedBallot, ballot));
    }

    private CompletableFuture<Void> accept(Ballot ballot, RegisterValue value) {
        int chunksBefore = storage.chunkCount();
        Ballot promised = Ballot.max(promisedBallot, ballot);
        CompletableFuture<Void> done =
                persist(
                        storage.acceptance(promised, ballot, value, acceptedValue),
                        () -> {
                            promisedBallot = Ballot.max(promisedBallot, ballot);
                            acceptedBallot = ballot;
                            acceptedValue = value;
                            acceptedAtMillis = context.nowMillis();
                        });
        done.exceptionally(
                error -> {
                    storage.onWriteFailed(chunksBefore);
                    return null;
                });
        return done;
    }

    /**
     * Writes to disk, one write at a time. The new state is reported only after the write; messages
     * received meanwhile are processed then.
     */
    private CompletableFuture<Void> persist(Map<String, String> texts, Runnable onDurable) {
        persisting = true;
        return context.persist(texts)
                .whenComplete(
                        (ignored, error) -> {
                            persisting = false;
                            if (error == null) {
                                onDurable.run();
                                context.broadcast();
                                advance();
                                poll();
                            }
                        });
    }

    // ---- proposer

    private void startRound() {
        long round =
                Math.max(
                        promisedBallot.round(),
                        Math.max(acceptedBallot.round(), ownBallot.round()));
        for (PeerState peer : peers.values()) {
            round = Math.max(round, peer.promisedBallot.round());
            round = Math.max(round, peer.acceptedBallot.round());
            round = Math.max(round, peer.proposalBallot.round());
        }
        Ballot ballot = new Ballot(round + 1, context.selfId());
        ownBallot = ballot;
        phase = Phase.PERSIST_BALLOT;
        promise(ballot)
                .whenComplete(
                        (ignored, error) -> {
                            if (!ballot.equals(ownBallot) || phase != Phase.PERSIST_BALLOT) {
                                return;
                            }
                            if (error != null) {
                                abandonRound();
                                return;
                            }
                            phase = Phase.PREPARE;
                            context.broadcast();
                            runProposer();
                        });
    }

    /**
     * Ends the round after preemption or a failed write. The next round starts after a randomized
     * backoff.
     */
    private void abandonRound() {
        phase = Phase.NONE;
        lostRounds = Math.min(lostRounds + 1, MAX_BACKOFF_DOUBLINGS);
        long backoff = BACKOFF_MS + context.randomBelow(BACKOFF_MS << lostRounds);
        proposeAtMillis = Math.max(proposeAtMillis, context.nowMillis() + backoff);
    }

    private void runProposer() {
        if (phase != Phase.PREPARE && phase != Phase.ACCEPT) {
            return;
        }
        boolean preempted = promisedBallot.isAbove(ownBallot);
        for (PeerState peer : peers.values()) {
            preempted |= peer.promisedBallot.isAbove(ownBallot);
        }
        if (preempted) {
            abandonRound();
        } else if (phase == Phase.PREPARE) {
            onPromises();
        } else {
            onAcceptances();
        }
    }

    private boolean hasPromised(String id) {
        if (id.equals(context.selfId())) {
            return promisedBallot.equals(ownBallot);
        }
        return peers.containsKey(id) && peers.get(id).promisedBallot.equals(ownBallot);
    }

    private void onPromises() {
        Ballot highest = acceptedBallot;
        for (Map.Entry<String, PeerState> peer : peers.entrySet()) {
            if (hasPromised(peer.getKey()) && !context.isDisabled(SafetyRule.HIGHEST_ACCEPTED)) {
                highest = Ballot.max(highest, peer.getValue().acceptedBallot);
            }
        }
        RegisterValue base = valueOf(highest);
        boolean majority =
                context.isDisabled(SafetyRule.PROMISES_OF_MAJORITY)
                        || base != null && base.isQuorum(this::hasPromised);
        if (base == null || persisting || !majority) {
            return;
        }
        baseValue = base;
        proposedValue = nextValue(base, highest.equals(decidedBallot));
        phase = Phase.ACCEPT;
        context.broadcast();
        accept(ownBallot, proposedValue)
                .exceptionally(
                        error -> {
                            abandonRound();
                            return null;
                        });
    }

    /**
     * Returns the base value with all pending proposals applied, and with the pending member change
     * if it is permitted.
     */
    private RegisterValue nextValue(RegisterValue base, boolean baseIsDecided) {
        boolean mayChangeMembers = baseIsDecided || context.isDisabled(SafetyRule.SETS_ON_DECIDED);
        RegisterValue next = mayChangeMembers ? base.withoutRetired() : base;
        for (Proposal proposal : proposals) {
            if (!proposal.result().isDone()) {
                next = withConfiguration(next, proposal.configuration());
            }
        }
        if (mayChangeMembers && membershipStep != null) {
            next = withMembershipStep(next, membershipStep);
            membershipStep = null;
        }
        return next;
    }

    private RegisterValue withConfiguration(RegisterValue value, Configuration configuration) {
        RegisterValue base =
                context.isDisabled(SafetyRule.ONE_CONTENT)
                        ? value.withoutRevision(configuration.revision())
                        : value;
        return base.withConfiguration(configuration);
    }

    private RegisterValue withMembershipStep(RegisterValue value, MembershipStep step) {
        boolean isFinalStep = step.members() == null;
        if (!context.holdsLease()
                || step.epoch() != value.epoch()
                || value.isJoint() != isFinalStep) {
            return value;
        }
        if (!isFinalStep) {
            RegisterValue joint = value.withJointMembers(step.members());
            return context.isDisabled(SafetyRule.JOINT_MAJORITIES)
                    ? joint.withoutOutgoing().withoutRetired()
                    : joint;
        }
        RegisterValue finalValue = value.withoutOutgoing();
        return context.isDisabled(SafetyRule.OLDER_EPOCHS)
                ? finalValue.withoutRetired()
                : finalValue;
    }

    private boolean hasAccepted(String id, Ballot ballot) {
        Ballot accepted = acceptedBallotOf(id);
        return accepted.equals(ballot)
                || context.isDisabled(SafetyRule.ONE_BALLOT) && accepted.isAbove(ballot);
    }

    private void onAcceptances() {
        Ballot ballot = ownBallot;
        boolean acceptedByBaseQuorum =
                context.isDisabled(SafetyRule.OLDER_EPOCHS)
                        || baseValue.isQuorum(id -> hasAccepted(id, ballot));
        if (acceptedByBaseQuorum && proposedValue.isDecidedBy(id -> hasAccepted(id, ballot))) {
            phase = Phase.NONE;
            lostRounds = 0;
            learn(ballot, proposedValue);
            // Another proposer that waits for this round to end goes first.
            long pause = BACKOFF_MS + context.randomBelow(BACKOFF_MS);
            proposeAtMillis = Math.max(proposeAtMillis, context.nowMillis() + pause);
            poll();
        }
    }
}
