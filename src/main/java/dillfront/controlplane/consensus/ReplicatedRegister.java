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
 * One value, the members and the configuration, agreed on by ballots without a log or a leader
 * (CASPaxos: Rystsov, "CASPaxos: Replicated State Machines without logs", 2018). An object of this
 * class is one process's part in it: acceptor, proposer and learner.
 *
 * <p>Invariants: what it promised or accepted is on its disk before it says so; nothing is accepted
 * below what was promised; a proposer offers the value of the highest ballot that any acceptor of a
 * majority had accepted, or a change of it; members change only on top of a value that is known to
 * be decided, in two steps, and while two sets of members are in force a majority of each is
 * needed.
 *
 * <p>Each message holds all that the process has to say, so one that is lost, repeated or late does
 * no harm. Called on one thread.
 */
public final class ReplicatedRegister {

    /** What the register needs of the process that it is part of. */
    public interface Context {

        /** The id of this process. */
        String selfId();

        /** Milliseconds of a steady clock. */
        long nowMillis();

        /**
         * Writes texts under names; completes once they are on the disk, in the order of the calls.
         */
        CompletableFuture<Void> persist(Map<String, String> texts);

        /** There is something new to say to the peers. */
        void broadcast();

        /** A newer value is known to be decided. */
        void onDecided(RegisterValue value);

        /** A random number from 0 to below this. */
        long randomBelow(long bound);

        /** Whether this process holds the lease, without which no members are changed. */
        boolean holdsLease();

        /** Whether a safety rule is left out; only model checks do so, to show what breaks. */
        default boolean isDisabled(SafetyRule rule) {
            return false;
        }
    }

    /** While another's ballot is under way, one's own waits so long. */
    private static final long COMPETING_ROUND_DELAY_MS = 150;

    private static final long BACKOFF_MS = 20;
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    /** What was accepted and is not decided is proposed again after so long. */
    private static final long RECOVERY_DELAY_MS = 250;

    /** A peer that lacks a decided value is sent it by others than its proposer after so long. */
    private static final long CATCH_UP_DELAY_MS = 300;

    private static final long RESEND_MS = 350;
    private static final int MAX_PENDING_PROPOSALS = 256;

    /** What a peer said last; each ballot only ever rises. */
    private static final class PeerState {
        Ballot promisedBallot = Ballot.NONE;
        Ballot acceptedBallot = Ballot.NONE;
        Ballot decidedBallot = Ballot.NONE;
        Ballot proposalBallot = Ballot.NONE;
        boolean proposalHasValue;

        /** The value that came last, and its ballot. */
        Ballot valueBallot = Ballot.NONE;

        RegisterValue value;

        /** The last of this process's values that it received. */
        Ballot receivedBallot = Ballot.NONE;

        Ballot sentBallot = Ballot.NONE;
        long sentAtMillis;

        /** Whether it offers a value that has arrived here. */
        boolean offersValue() {
            return proposalHasValue && valueBallot.equals(proposalBallot);
        }
    }

    private enum Phase {
        NONE,
        /** The own promise is being written. */
        PERSIST_BALLOT,
        PREPARE,
        ACCEPT
    }

    /**
     * A change of the members that the lease holder wants.
     *
     * @param epoch of the value that it is meant for
     * @param members the next set; null for the second step, which ends a joint set
     */
    private record MembershipStep(long epoch, SortedSet<String> members) {}

    private record Proposal(
            Configuration configuration, CompletableFuture<RegisterValue.Outcome> result) {}

    private final Context context;
    private final TreeMap<String, PeerState> peers = new TreeMap<>();
    private final RegisterStorage storage = new RegisterStorage();
    private final ValueEncoder encoder = new ValueEncoder();

    // The acceptor's state, as it is on the disk.
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
     * Takes over what the disk holds, at the start.
     *
     * @throws Configuration.InvalidConfigurationException where the configuration on it is of a
     *     form that this version does not know
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

    /** What is accepted here, decided or not; null before there is a system. */
    public RegisterValue acceptedValue() {
        return acceptedValue;
    }

    /** The newest value that is known to be decided; null where none is. */
    public RegisterValue decidedValue() {
        return decidedValue;
    }

    /** The ballot of {@link #decidedValue}. */
    public Ballot decidedBallot() {
        return decidedBallot;
    }

    /** The ballot of {@link #acceptedValue}. */
    public Ballot acceptedBallot() {
        return acceptedBallot;
    }

    /** The newest configuration that is known to be decided. */
    public Configuration committedConfiguration() {
        return decidedValue == null ? Configuration.NONE : decidedValue.configuration();
    }

    /** Whether the disk was empty and nothing was promised or accepted since. */
    public boolean isBlank() {
        return acceptedValue == null && promisedBallot.equals(Ballot.NONE) && !persisting;
    }

    /** The highest ballot that any process is known to have accepted. */
    public Ballot highestKnownBallot() {
        Ballot highest = acceptedBallot;
        for (PeerState peer : peers.values()) {
            highest = Ballot.max(highest, Ballot.max(peer.acceptedBallot, peer.decidedBallot));
        }
        return highest;
    }

    /** The ballot that this process is known to have accepted. */
    public Ballot acceptedBallotOf(String id) {
        if (id.equals(context.selfId())) {
            return acceptedBallot;
        }
        return peers.containsKey(id) ? peers.get(id).acceptedBallot : Ballot.NONE;
    }

    // ---- requests

    /**
     * Offers the first value of all under the first ballot, once it is on this disk. Only the
     * process that begins a new system calls this.
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
     * @return completes with what became of it once that is decided; fails with {@link
     *     IllegalStateException} at once where too many wait
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
     * Proposes other members, as the first of two steps. Passed over where another process holds
     * the lease, or the epoch is another, by the time that it could be decided.
     */
    public void proposeMembers(long epoch, SortedSet<String> members) {
        membershipStep =
                new MembershipStep(
                        epoch, Collections.unmodifiableSortedSet(new TreeSet<>(members)));
        poll();
    }

    /** Proposes the second step: the new members alone. */
    public void proposeFinalMembers(long epoch) {
        membershipStep = new MembershipStep(epoch, null);
        poll();
    }

    /** Advances timers; called often. */
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

    /** What this process says of the register to that one. */
    public RegisterMessage messageTo(String peerId) {
        PeerState peer = peers.computeIfAbsent(peerId, id -> new PeerState());
        boolean proposes = phase == Phase.PREPARE || phase == Phase.ACCEPT;
        boolean offers = phase == Phase.ACCEPT;
        Ballot ballot = offers ? ownBallot : acceptedBallot;
        RegisterValue value = offers ? proposedValue : acceptedValue;
        EncodedValue encoded = null;
        if (value != null && needsValue(peer, ballot, offers) && maySend(peer, ballot)) {
            // Against what it has, once; where that did not help, whole.
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

    /** What was sent to this peer may be lost: its connection is another. */
    public void onConnectionReset(String peerId) {
        PeerState peer = peers.get(peerId);
        if (peer != null) {
            peer.sentBallot = Ballot.NONE;
        }
    }

    /**
     * Takes a message of that peer; an old one changes nothing.
     *
     * @throws Configuration.InvalidConfigurationException where its value holds a configuration of
     *     a form that this version does not know
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

    /** Null where the value is told by its difference from one that is not known here. */
    private RegisterValue decode(EncodedValue encoded)
            throws Configuration.InvalidConfigurationException {
        RegisterValue base = encoded.isComplete() ? null : valueOf(encoded.base());
        return encoded.isComplete() || base != null ? ValueEncoder.decode(encoded, base) : null;
    }

    /** Forgets peers that are not known any more and are no members. */
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

    /** The value of a ballot, where this process has it from anywhere; else null. */
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
            // What is decided may be accepted whatever was promised: it cannot be undone.
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
     * The peer whose round is to be answered, by its ballot and what was promised; null for none.
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
     * One write at a time. Nothing is said before it is done; what was received meanwhile is looked
     * at then.
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

    /** This ballot is lost or cannot go on: another after a while. */
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

    /** The base with all proposals that wait, and a change of members where that may be made. */
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
            // A proposer that waits for this round to end goes first.
            long pause = BACKOFF_MS + context.randomBelow(BACKOFF_MS);
            proposeAtMillis = Math.max(proposeAtMillis, context.nowMillis() + pause);
            poll();
        }
    }
}
