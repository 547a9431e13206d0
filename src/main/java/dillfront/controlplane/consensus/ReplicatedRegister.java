package dillfront.controlplane.consensus;

import dillfront.common.config.Configuration;
import dillfront.common.message.BinaryDelta;
import dillfront.common.message.Compression;
import dillfront.common.message.MessageCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * One value, agreed on by ballots: the members and the configuration (CASPaxos). This is one
 * process's part in it, as acceptor, proposer and learner. It says what it holds in each message,
 * so a message that is lost, repeated or old does no harm; what it promised or accepted is on its
 * disk before it says so.
 */
public final class ReplicatedRegister {

    /** What it needs of the process that it is part of. */
    public interface Context {

        /** The id of this process. */
        String selfId();

        /** Milliseconds of a steady clock. */
        long nowMillis();

        /** Completes once it is on the disk, in the order of the calls. */
        CompletableFuture<Void> persist(Map<String, String> texts);

        /** There is something to say to the others. */
        void broadcast();

        /** A newer value is known to be decided. */
        void onDecided(RegisterValue value);

        /** A number from 0 to below this. */
        long randomBelow(long below);

        /** Whether this process holds the lease, without which no set is changed. */
        boolean holdsLease();

        /** Whether it does without this, as only a small world does to show what breaks. */
        default boolean isDisabled(SafetyRule defence) {
            return false;
        }
    }

    private static final int CHUNK_CHARS = 16_000;

    /** While another's ballot is under way, one's own waits so long. */
    private static final long HOLD_OFF_MS = 150;

    private static final long BACKOFF_MS = 20;
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    /** What was accepted and is not decided is proposed again after so long. */
    private static final long RECOVERY_DELAY_MS = 250;

    /**
     * Who lacks a decided value is sent it by others than its proposer after so long; and again
     * after this.
     */
    private static final long CATCH_UP_DELAY_MS = 300;

    private static final long RESEND_MS = 350;
    private static final int MAX_PROPOSALS = 256;

    /** What another process said last; each field only ever rises. */
    private static final class PeerState {
        Ballot promisedBallot = Ballot.NONE;
        Ballot acceptedBallot = Ballot.NONE;
        Ballot decidedBallot = Ballot.NONE;
        Ballot proposalBallot = Ballot.NONE;
        boolean proposalHasValue;

        /** The value that came last, and its ballot. */
        Ballot valueBallot = Ballot.NONE;

        RegisterValue value;

        /** Up to which of this process's values it has. */
        Ballot receivedBallot = Ballot.NONE;

        Ballot sentBallot = Ballot.NONE;
        long sentAtMillis;
    }

    private enum Phase {
        NONE,
        PERSIST_BALLOT,
        PREPARE,
        ACCEPT
    }

    private record MembershipStep(long epoch, SortedSet<String> members) {}

    private record Proposal(
            Configuration configuration, CompletableFuture<RegisterValue.Outcome> result) {}

    private final Context context;
    private final TreeMap<String, PeerState> peers = new TreeMap<>();

    /** On the disk. */
    private Ballot promisedBallot = Ballot.NONE;

    private Ballot acceptedBallot = Ballot.NONE;
    private RegisterValue acceptedValue;
    private boolean persisting;
    private long acceptedAtMillis;
    private Ballot decidedBallot = Ballot.NONE;
    private RegisterValue decidedValue;
    private int chunkCount;
    private Ballot ownBallot = Ballot.NONE;
    private Phase phase = Phase.NONE;
    private RegisterValue baseValue;
    private RegisterValue proposedValue;
    private int lostRounds;
    private long proposeAtMillis;
    private final List<Proposal> proposals = new ArrayList<>();

    /**
     * What the sets are to become: the epoch that this is meant for, and the next members; null for
     * the second step.
     */
    private MembershipStep membershipStep;

    private long recoverAtMillis = -1;

    /**
     * The newest value that was told, as it went to those who have another; by the ballot of that.
     */
    private Ballot encodedBallot = Ballot.NONE;

    private final TreeMap<Ballot, Map<String, Object>> encodedValues = new TreeMap<>();

    public ReplicatedRegister(Context ground) {
        this.context = ground;
    }

    /** From the disk, at the start. */
    public void restore(Map<String, String> kept)
            throws Configuration.InvalidConfigurationException {
        promisedBallot = Ballot.parse(kept.getOrDefault("promised-ballot", ""));
        acceptedBallot = Ballot.parse(kept.getOrDefault("accepted-ballot", ""));
        chunkCount = Integer.parseInt(kept.getOrDefault("pieces", "0"));
        if (acceptedBallot == Ballot.NONE) {
            return;
        }
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < chunkCount; i++) {
            text.append(kept.getOrDefault("piece" + i, ""));
        }
        Configuration configuration =
                text.length() == 0
                        ? Configuration.NONE
                        : Configuration.parse(text.toString().getBytes(StandardCharsets.UTF_8));
        TreeMap<Long, Long> past = new TreeMap<>();
        for (String one : kept.getOrDefault("past", "").split(",")) {
            int colon = one.indexOf(':');
            if (colon > 0) {
                past.put(
                        Long.parseLong(one.substring(0, colon)),
                        Long.parseLong(one.substring(colon + 1)));
            }
        }
        acceptedValue =
                new RegisterValue(
                        Long.parseLong(kept.getOrDefault("epoch", "0")),
                        RegisterValue.parseIds(kept.getOrDefault("members", "")),
                        RegisterValue.parseIds(kept.getOrDefault("outgoing", "")),
                        RegisterValue.parseIds(kept.getOrDefault("dropped", "")),
                        configuration,
                        past);
    }

    boolean isDisabled(SafetyRule defence) {
        return context.isDisabled(defence);
    }

    // ---- what its process asks

    /** What is accepted here, decided or not; null before there is a system. */
    public RegisterValue acceptedValue() {
        return acceptedValue;
    }

    /** The newest that is known to be decided; null where nothing is. */
    public RegisterValue decidedValue() {
        return decidedValue;
    }

    public Ballot decidedBallot() {
        return decidedBallot;
    }

    public Ballot acceptedBallot() {
        return acceptedBallot;
    }

    /** The newest configuration that is known to be decided. */
    public Configuration committedConfiguration() {
        return decidedValue == null ? Configuration.NONE : decidedValue.configuration();
    }

    /**
     * Nothing is accepted or promised here: a disk that was empty, and nobody has said anything
     * yet.
     */
    public boolean isBlank() {
        return acceptedValue == null && promisedBallot == Ballot.NONE && !persisting;
    }

    /** The highest ballot that anybody was heard to have accepted. */
    public Ballot highestKnownBallot() {
        Ballot highest = acceptedBallot;
        for (PeerState v : peers.values()) {
            highest = Ballot.max(highest, Ballot.max(v.acceptedBallot, v.decidedBallot));
        }
        return highest;
    }

    /** What that process has accepted, as far as was heard. */
    public Ballot acceptedBallotOf(String id) {
        return id.equals(context.selfId())
                ? acceptedBallot
                : peers.containsKey(id) ? peers.get(id).acceptedBallot : Ballot.NONE;
    }

    /**
     * The first value of all, under the first ballot, offered once it is on this disk; only the
     * founder calls this.
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
     * Completes with what became of it, once that is decided; fails at once where too many wait.
     */
    public CompletableFuture<RegisterValue.Outcome> propose(Configuration content) {
        CompletableFuture<RegisterValue.Outcome> done = new CompletableFuture<>();
        if (proposals.size() >= MAX_PROPOSALS) {
            done.completeExceptionally(new IllegalStateException("too many orders wait"));
            return done;
        }
        proposals.add(new Proposal(content, done));
        completeProposals();
        poll();
        return done;
    }

    /**
     * Another set of members, as the first of two steps; passed over where the holder or the epoch
     * is another by then.
     */
    public void proposeMembers(long epoch, SortedSet<String> next) {
        membershipStep =
                new MembershipStep(epoch, Collections.unmodifiableSortedSet(new TreeSet<>(next)));
        poll();
    }

    /** The second step: the new set alone. */
    public void proposeFinalMembers(long epoch) {
        membershipStep = new MembershipStep(epoch, null);
        poll();
    }

    /** Called often: timers. */
    public void poll() {
        long now = context.nowMillis();
        proposals.removeIf(o -> o.result().isDone());
        boolean open = acceptedValue != null && highestKnownBallot().isAbove(decidedBallot);
        recoverAtMillis =
                !open
                        ? -1
                        : recoverAtMillis < 0
                                ? now + RECOVERY_DELAY_MS + context.randomBelow(RECOVERY_DELAY_MS)
                                : recoverAtMillis;
        boolean stuck =
                open && now > recoverAtMillis && acceptedValue.members().contains(context.selfId());
        boolean wants = !proposals.isEmpty() || membershipStep != null || stuck;
        if (phase == Phase.NONE
                && wants
                && acceptedValue != null
                && !persisting
                && now >= proposeAtMillis) {
            startRound();
        }
    }

    // ---- messages

    /** What goes into a message to that process. */
    public Map<String, Object> messageTo(String to) {
        PeerState v = peers.computeIfAbsent(to, id -> new PeerState());
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("pb", promisedBallot.encode());
        out.put("ab", acceptedBallot.encode());
        out.put("db", decidedBallot.encode());
        out.put("hv", v.valueBallot.encode());
        boolean asks = phase == Phase.PREPARE || phase == Phase.ACCEPT;
        if (asks) {
            out.put("wb", ownBallot.encode());
            out.put("wa", phase == Phase.ACCEPT);
        }
        boolean offers = phase == Phase.ACCEPT;
        Ballot ballot = offers ? ownBallot : acceptedBallot;
        RegisterValue is = offers ? proposedValue : acceptedValue;
        if (is != null && needsValue(v, ballot, offers)) {
            long now = context.nowMillis();
            if (!v.sentBallot.equals(ballot) || now - v.sentAtMillis > RESEND_MS) {
                // Against what it has, once; where that did not help, whole.
                RegisterValue has = v.sentBallot.equals(ballot) ? null : valueOf(v.acceptedBallot);
                out.put("vb", ballot.encode());
                out.put(
                        "v",
                        encodeValue(ballot, is, has == null ? Ballot.NONE : v.acceptedBallot, has));
                v.sentBallot = ballot;
                v.sentAtMillis = now;
            }
        }
        return out;
    }

    /** What was sent to it may be lost: its connection is another. */
    public void onConnectionReset(String to) {
        PeerState v = peers.get(to);
        if (v != null) {
            v.sentBallot = Ballot.NONE;
        }
    }

    private boolean needsValue(PeerState v, Ballot ballot, boolean offers) {
        if (ballot.equals(v.acceptedBallot)
                || ballot.equals(v.receivedBallot)
                || v.decidedBallot.compareTo(ballot) >= 0) {
            return false;
        }
        if (offers) {
            return true;
        }
        boolean prepares =
                v.proposalBallot.equals(promisedBallot)
                        && !v.proposalHasValue
                        && ballot.isAbove(v.acceptedBallot);
        boolean behind =
                ballot.isAbove(v.acceptedBallot)
                        && context.nowMillis() - acceptedAtMillis > CATCH_UP_DELAY_MS;
        return prepares || behind;
    }

    /** How a value goes to whoever has that other one; what is made for one serves all. */
    private Map<String, Object> encodeValue(
            Ballot ballot, RegisterValue of, Ballot than, RegisterValue other) {
        if (!ballot.equals(encodedBallot)) {
            encodedBallot = ballot;
            encodedValues.clear();
        }
        return encodedValues.computeIfAbsent(
                than,
                t -> {
                    Map<String, Object> row = new LinkedHashMap<>();
                    row.put("e", of.epoch());
                    row.put("m", RegisterValue.formatIds(of.members()));
                    row.put("o", RegisterValue.formatIds(of.outgoing()));
                    row.put("x", RegisterValue.formatIds(of.retired()));
                    // The other may have numbers that were never decided, or with another content:
                    // then the past goes whole.
                    boolean rises =
                            other != null
                                    && other.mergedDigests(of.revisionDigests())
                                            .equals(of.revisionDigests());
                    List<Object> past = new ArrayList<>();
                    of.revisionDigests()
                            .forEach(
                                    (version, digest) -> {
                                        if (!rises
                                                || !digest.equals(
                                                        other.revisionDigests().get(version))) {
                                            past.add(version);
                                            past.add(digest);
                                        }
                                    });
                    row.put("p", past);
                    row.put("pr", rises);
                    if (other == null) {
                        row.put("cz", Compression.compress(of.configuration().body()));
                    } else {
                        row.put("b", than.encode());
                        if (!Arrays.equals(
                                of.configuration().body(), other.configuration().body())) {
                            row.put(
                                    "cx",
                                    BinaryDelta.create(
                                            other.configuration().body(),
                                            of.configuration().body()));
                        }
                    }
                    return row;
                });
    }

    /** Null where it says what it is by another value that is not known here. */
    private RegisterValue decodeValue(MessageCodec.Fields row)
            throws Configuration.InvalidConfigurationException {
        RegisterValue other = row.has("b") ? valueOf(Ballot.parse(row.string("b"))) : null;
        if (row.has("b") && other == null) {
            return null;
        }
        TreeMap<Long, Long> past = new TreeMap<>();
        List<String> numbers = row.strings("p");
        for (int i = 0; i + 1 < numbers.size(); i += 2) {
            past.put(Long.parseLong(numbers.get(i)), Long.parseLong(numbers.get(i + 1)));
        }
        Configuration configuration = other == null ? Configuration.NONE : other.configuration();
        try {
            byte[] body =
                    row.has("cx")
                            ? BinaryDelta.apply(configuration.body(), row.bytes("cx"))
                            : other == null
                                    ? Compression.decompress(row.bytes("cz"), BinaryDelta.MAX_BYTES)
                                    : null;
            configuration =
                    body == null
                            ? configuration
                            : body.length == 0 ? Configuration.NONE : Configuration.parse(body);
        } catch (BinaryDelta.InvalidDeltaException | Compression.CorruptDataException bad) {
            return null;
        }
        return new RegisterValue(
                row.number("e", 0),
                RegisterValue.parseIds(row.string("m")),
                RegisterValue.parseIds(row.string("o")),
                RegisterValue.parseIds(row.string("x")),
                configuration,
                row.flag("pr") && other != null ? other.mergedDigests(past) : past);
    }

    /** A message of that process; an old one changes nothing. */
    public void receive(String from, MessageCodec.Fields in)
            throws Configuration.InvalidConfigurationException {
        PeerState v = peers.computeIfAbsent(from, id -> new PeerState());
        v.promisedBallot = Ballot.max(v.promisedBallot, Ballot.parse(in.string("pb")));
        v.acceptedBallot = Ballot.max(v.acceptedBallot, Ballot.parse(in.string("ab")));
        v.decidedBallot = Ballot.max(v.decidedBallot, Ballot.parse(in.string("db")));
        v.receivedBallot = Ballot.max(v.receivedBallot, Ballot.parse(in.string("hv")));
        Ballot wants = Ballot.parse(in.string("wb"));
        if (wants.isAbove(v.proposalBallot)) {
            v.proposalBallot = wants;
            v.proposalHasValue = in.flag("wa");
        } else if (wants.equals(v.proposalBallot)) {
            v.proposalHasValue |= in.flag("wa");
        }
        Ballot ballot = Ballot.parse(in.string("vb"));
        if (ballot.isAbove(v.valueBallot) && in.has("v")) {
            Object row = in.all().get("v");
            if (row instanceof Map<?, ?> map) {
                @SuppressWarnings("unchecked")
                Map<String, Object> fields = (Map<String, Object>) map;
                RegisterValue is = decodeValue(new MessageCodec.Fields(fields));
                v.value = is == null ? v.value : is;
                v.valueBallot = is == null ? v.valueBallot : ballot;
            }
        }
        advance();
    }

    /** Whoever is no longer there is forgotten, unless it is a member. */
    public void retainPeers(Predicate<String> there) {
        peers.keySet()
                .removeIf(
                        id ->
                                !there.test(id)
                                        && (acceptedValue == null
                                                || !acceptedValue.members().contains(id)
                                                        && !acceptedValue.outgoing().contains(id)));
    }

    private void advance() {
        learnFromPeers();
        runAcceptor();
        runProposer();
    }

    /** The value of a ballot, where this process has it from anywhere. */
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
        for (PeerState v : peers.values()) {
            if (ballot.equals(v.valueBallot)) {
                return v.value;
            }
        }
        return null;
    }

    // ---- learner

    private void learnFromPeers() {
        Ballot best = decidedBallot;
        for (PeerState v : peers.values()) {
            if (v.decidedBallot.isAbove(best) && valueOf(v.decidedBallot) != null) {
                best = v.decidedBallot;
            }
        }
        List<Ballot> seen = new ArrayList<>();
        seen.add(acceptedBallot);
        peers.values().forEach(v -> seen.add(v.acceptedBallot));
        for (Ballot ballot : seen) {
            if (ballot.isAbove(best)) {
                RegisterValue is = valueOf(ballot);
                if (is != null && is.isDecidedBy(id -> hasAccepted(id, ballot))) {
                    best = ballot;
                }
            }
        }
        if (best.isAbove(decidedBallot)) {
            learn(best, valueOf(best));
        }
    }

    private void learn(Ballot ballot, RegisterValue is) {
        if (!ballot.isAbove(decidedBallot)) {
            return;
        }
        decidedBallot = ballot;
        decidedValue = is;
        if (!ballot.proposer().equals(context.selfId())) {
            proposeAtMillis =
                    Math.min(
                            proposeAtMillis, context.nowMillis() + context.randomBelow(BACKOFF_MS));
        }
        if (ballot.isAbove(acceptedBallot) && !persisting) {
            // What is decided may be taken over whatever was promised: it cannot be undone.
            accept(ballot, is);
        }
        completeProposals();
        context.onDecided(is);
        context.broadcast();
    }

    private void completeProposals() {
        RegisterValue by =
                context.isDisabled(SafetyRule.ANSWER_BY_DECIDED) ? acceptedValue : decidedValue;
        if (by == null) {
            return;
        }
        List<Proposal> over = new ArrayList<>();
        proposals.removeIf(
                o -> by.outcome(o.configuration()) != RegisterValue.Outcome.PENDING && over.add(o));
        over.forEach(o -> o.result().complete(by.outcome(o.configuration())));
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
        Ballot best = promisedBallot;
        PeerState of = null;
        for (PeerState v : peers.values()) {
            boolean offer = v.proposalHasValue && v.valueBallot.equals(v.proposalBallot);
            boolean news =
                    v.proposalBallot.isAbove(best)
                            || context.isDisabled(SafetyRule.PROMISE_KEPT)
                                    && offer
                                    && v.proposalBallot.isAbove(acceptedBallot)
                            || of == null
                                    && v.proposalBallot.equals(best)
                                    && offer
                                    && v.proposalBallot.isAbove(acceptedBallot);
            if (news && (offer || !v.proposalHasValue)) {
                best = v.proposalBallot;
                of = v;
            }
        }
        if (of == null) {
            return;
        }
        if (of.proposalHasValue) {
            accept(of.proposalBallot, of.value);
        } else {
            promise(of.proposalBallot);
        }
        proposeAtMillis = Math.max(proposeAtMillis, context.nowMillis() + HOLD_OFF_MS);
    }

    private CompletableFuture<Void> promise(Ballot ballot) {
        return persist(
                Map.of("promised-ballot", ballot.encode()),
                () -> promisedBallot = Ballot.max(promisedBallot, ballot));
    }

    private CompletableFuture<Void> accept(Ballot ballot, RegisterValue is) {
        Map<String, String> record = new HashMap<>();
        record.put("promised-ballot", Ballot.max(promisedBallot, ballot).encode());
        record.put("accepted-ballot", ballot.encode());
        record.put("epoch", Long.toString(is.epoch()));
        record.put("members", RegisterValue.formatIds(is.members()));
        record.put("outgoing", RegisterValue.formatIds(is.outgoing()));
        record.put("dropped", RegisterValue.formatIds(is.retired()));
        StringBuilder past = new StringBuilder();
        is.revisionDigests()
                .forEach(
                        (version, digest) ->
                                past.append(version).append(':').append(digest).append(','));
        record.put("past", past.toString());
        int before = chunkCount;
        if (acceptedValue == null || is.configuration() != acceptedValue.configuration()) {
            addChunks(record, new String(is.configuration().body(), StandardCharsets.UTF_8));
        }
        CompletableFuture<Void> done =
                persist(
                        record,
                        () -> {
                            promisedBallot = Ballot.max(promisedBallot, ballot);
                            acceptedBallot = ballot;
                            acceptedValue = is;
                            acceptedAtMillis = context.nowMillis();
                        });
        done.exceptionally(
                fault -> {
                    chunkCount = Math.max(before, chunkCount);
                    return null;
                });
        return done;
    }

    private void addChunks(Map<String, String> record, String text) {
        int count = 0;
        for (int at = 0; at < text.length(); count++) {
            int end = Math.min(text.length(), at + CHUNK_CHARS);
            if (end < text.length() && Character.isHighSurrogate(text.charAt(end - 1))) {
                end--;
            }
            record.put("piece" + count, text.substring(at, end));
            at = end;
        }
        for (int i = count; i < chunkCount; i++) {
            record.put("piece" + i, "");
        }
        chunkCount = count;
        record.put("pieces", Integer.toString(count));
    }

    /**
     * One write at a time; what was heard meanwhile is looked at once it is done. Nothing is said
     * before.
     */
    private CompletableFuture<Void> persist(Map<String, String> record, Runnable then) {
        persisting = true;
        CompletableFuture<Void> done = context.persist(record);
        return done.whenComplete(
                (is, fault) -> {
                    persisting = false;
                    if (fault == null) {
                        then.run();
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
        for (PeerState v : peers.values()) {
            round =
                    Math.max(
                            round,
                            Math.max(
                                    v.promisedBallot.round(),
                                    Math.max(v.acceptedBallot.round(), v.proposalBallot.round())));
        }
        ownBallot = new Ballot(round + 1, context.selfId());
        phase = Phase.PERSIST_BALLOT;
        Ballot ballot = ownBallot;
        promise(ballot)
                .whenComplete(
                        (is, fault) -> {
                            if (!ballot.equals(ownBallot) || phase != Phase.PERSIST_BALLOT) {
                                return;
                            }
                            if (fault != null) {
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
        proposeAtMillis =
                Math.max(
                        proposeAtMillis,
                        context.nowMillis()
                                + BACKOFF_MS
                                + context.randomBelow(BACKOFF_MS << lostRounds));
    }

    private void runProposer() {
        if (phase != Phase.PREPARE && phase != Phase.ACCEPT) {
            return;
        }
        boolean beaten = promisedBallot.isAbove(ownBallot);
        for (PeerState v : peers.values()) {
            beaten |= v.promisedBallot.isAbove(ownBallot);
        }
        if (beaten) {
            abandonRound();
            return;
        }
        if (phase == Phase.PREPARE) {
            onPromises();
        } else {
            onAcceptances();
        }
    }

    private boolean hasPromised(String id) {
        return id.equals(context.selfId())
                ? promisedBallot.equals(ownBallot)
                : peers.containsKey(id) && peers.get(id).promisedBallot.equals(ownBallot);
    }

    private void onPromises() {
        Ballot highest = acceptedBallot;
        for (Map.Entry<String, PeerState> one : peers.entrySet()) {
            if (hasPromised(one.getKey()) && !context.isDisabled(SafetyRule.HIGHEST_ACCEPTED)) {
                highest = Ballot.max(highest, one.getValue().acceptedBallot);
            }
        }
        RegisterValue follows = valueOf(highest);
        boolean promises =
                context.isDisabled(SafetyRule.PROMISES_OF_MAJORITY)
                        || follows != null && follows.isQuorum(this::hasPromised);
        if (follows == null || persisting || !promises) {
            return;
        }
        boolean known =
                highest.equals(decidedBallot) || context.isDisabled(SafetyRule.SETS_ON_DECIDED);
        RegisterValue next = known ? follows.withoutRetired() : follows;
        for (Proposal order : proposals) {
            next = order.result().isDone() ? next : apply(next, order.configuration());
        }
        if (known && membershipStep != null) {
            boolean may =
                    context.holdsLease()
                            && membershipStep.epoch() == next.epoch()
                            && next.isJoint() == (membershipStep.members() == null);
            next =
                    !may
                            ? next
                            : next.isJoint()
                                    ? leaveJoint(next)
                                    : enterJoint(next, membershipStep.members());
            membershipStep = null;
        }
        baseValue = follows;
        proposedValue = next;
        phase = Phase.ACCEPT;
        context.broadcast();
        accept(ownBallot, next)
                .exceptionally(
                        fault -> {
                            abandonRound();
                            return null;
                        });
    }

    private RegisterValue apply(RegisterValue into, Configuration order) {
        return (context.isDisabled(SafetyRule.ONE_CONTENT)
                        ? into.withoutRevision(order.revision())
                        : into)
                .withConfiguration(order);
    }

    private RegisterValue enterJoint(RegisterValue on, SortedSet<String> next) {
        return context.isDisabled(SafetyRule.JOINT_MAJORITIES)
                ? on.jointWith(next).withoutOutgoing().withoutRetired()
                : on.jointWith(next);
    }

    private RegisterValue leaveJoint(RegisterValue joint) {
        return context.isDisabled(SafetyRule.OLDER_EPOCHS)
                ? joint.withoutOutgoing().withoutRetired()
                : joint.withoutOutgoing();
    }

    private boolean hasAccepted(String id, Ballot ballot) {
        Ballot is = acceptedBallotOf(id);
        return is.equals(ballot) || context.isDisabled(SafetyRule.ONE_BALLOT) && is.isAbove(ballot);
    }

    private void onAcceptances() {
        Ballot ballot = ownBallot;
        if (proposedValue.isDecidedBy(id -> hasAccepted(id, ballot))
                && (context.isDisabled(SafetyRule.OLDER_EPOCHS)
                        || baseValue.isQuorum(id -> hasAccepted(id, ballot)))) {
            phase = Phase.NONE;
            lostRounds = 0;
            learn(ballot, proposedValue);
            // Whoever waits for this one to end goes first.
            proposeAtMillis =
                    Math.max(
                            proposeAtMillis,
                            context.nowMillis() + BACKOFF_MS + context.randomBelow(BACKOFF_MS));
            poll();
        }
    }
}
