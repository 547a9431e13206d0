package dillfront.core;

import dillfront.host.Configuration;
import dillfront.host.Deflate;
import dillfront.host.Delta;
import dillfront.host.Pack;
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
public final class Register {

    /** What it needs of the process that it is part of. */
    public interface Ground {

        /** The id of this process. */
        String self();

        /** Milliseconds of a steady clock. */
        long now();

        /** Completes once it is on the disk, in the order of the calls. */
        CompletableFuture<Void> store(Map<String, String> texts);

        /** There is something to say to the others. */
        void tell();

        /** A newer value is known to be decided. */
        void decided(Value value);

        /** A number from 0 to below this. */
        long chance(long below);

        /** Whether this process holds the lease, without which no set is changed. */
        boolean holds();

        /** Whether it does without this, as only a small world does to show what breaks. */
        default boolean without(Defence defence) {
            return false;
        }
    }

    private static final int PIECE = 16_000;

    /** While another's ballot is under way, one's own waits so long. */
    private static final long HOLD_OFF_MS = 150;

    private static final long BACKOFF_MS = 20;
    private static final int MOST_DOUBLINGS = 4;

    /** What was accepted and is not decided is proposed again after so long. */
    private static final long STUCK_MS = 250;

    /**
     * Who lacks a decided value is sent it by others than its proposer after so long; and again
     * after this.
     */
    private static final long LACKS_MS = 300;

    private static final long AGAIN_MS = 350;
    private static final int MOST_ORDERS = 256;

    /** What another process said last; each field only ever rises. */
    private static final class View {
        Ballot promised = Ballot.NONE;
        Ballot accepted = Ballot.NONE;
        Ballot decided = Ballot.NONE;
        Ballot wants = Ballot.NONE;
        boolean accepting;

        /** The value that came last, and its ballot. */
        Ballot valueBallot = Ballot.NONE;

        Value value;

        /** Up to which of this process's values it has. */
        Ballot has = Ballot.NONE;

        Ballot sent = Ballot.NONE;
        long sentAt;
    }

    private enum Phase {
        NONE,
        OPENING,
        PREPARE,
        ACCEPT
    }

    private record Step(long epoch, SortedSet<String> members) {}

    private record Order(Configuration content, CompletableFuture<Value.Outcome> done) {}

    private final Ground ground;
    private final TreeMap<String, View> views = new TreeMap<>();

    /** On the disk. */
    private Ballot promised = Ballot.NONE;

    private Ballot accepted = Ballot.NONE;
    private Value value;
    private boolean writing;
    private long acceptedAt;
    private Ballot decided = Ballot.NONE;
    private Value decidedValue;
    private int pieces;
    private Ballot mine = Ballot.NONE;
    private Phase phase = Phase.NONE;
    private Value base;
    private Value proposed;
    private int lost;
    private long proposeAt;
    private final List<Order> orders = new ArrayList<>();

    /**
     * What the sets are to become: the epoch that this is meant for, and the next members; null for
     * the second step.
     */
    private Step step;

    private long stuckAt = -1;

    /**
     * The newest value that was told, as it went to those who have another; by the ballot of that.
     */
    private Ballot rowsOf = Ballot.NONE;

    private final TreeMap<Ballot, Map<String, Object>> rows = new TreeMap<>();

    public Register(Ground ground) {
        this.ground = ground;
    }

    /** From the disk, at the start. */
    public void load(Map<String, String> kept) throws Configuration.Invalid {
        promised = Ballot.of(kept.getOrDefault("promised-ballot", ""));
        accepted = Ballot.of(kept.getOrDefault("accepted-ballot", ""));
        pieces = Integer.parseInt(kept.getOrDefault("pieces", "0"));
        if (accepted == Ballot.NONE) {
            return;
        }
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < pieces; i++) {
            text.append(kept.getOrDefault("piece" + i, ""));
        }
        Configuration configuration =
                text.length() == 0
                        ? Configuration.NONE
                        : Configuration.read(text.toString().getBytes(StandardCharsets.UTF_8));
        TreeMap<Long, Long> past = new TreeMap<>();
        for (String one : kept.getOrDefault("past", "").split(",")) {
            int colon = one.indexOf(':');
            if (colon > 0) {
                past.put(
                        Long.parseLong(one.substring(0, colon)),
                        Long.parseLong(one.substring(colon + 1)));
            }
        }
        value =
                new Value(
                        Long.parseLong(kept.getOrDefault("epoch", "0")),
                        Value.ids(kept.getOrDefault("members", "")),
                        Value.ids(kept.getOrDefault("outgoing", "")),
                        Value.ids(kept.getOrDefault("dropped", "")),
                        configuration,
                        past);
    }

    boolean without(Defence defence) {
        return ground.without(defence);
    }

    // ---- what its process asks

    /** What is accepted here, decided or not; null before there is a system. */
    public Value held() {
        return value;
    }

    /** The newest that is known to be decided; null where nothing is. */
    public Value decided() {
        return decidedValue;
    }

    public Ballot decidedBallot() {
        return decided;
    }

    public Ballot accepted() {
        return accepted;
    }

    /** The newest configuration that is known to be decided. */
    public Configuration committed() {
        return decidedValue == null ? Configuration.NONE : decidedValue.configuration();
    }

    /**
     * Nothing is accepted or promised here: a disk that was empty, and nobody has said anything
     * yet.
     */
    public boolean blank() {
        return value == null && promised == Ballot.NONE && !writing;
    }

    /** The highest ballot that anybody was heard to have accepted. */
    public Ballot highest() {
        Ballot highest = accepted;
        for (View v : views.values()) {
            highest = Ballot.highest(highest, Ballot.highest(v.accepted, v.decided));
        }
        return highest;
    }

    /** What that process has accepted, as far as was heard. */
    public Ballot acceptedBy(String id) {
        return id.equals(ground.self())
                ? accepted
                : views.containsKey(id) ? views.get(id).accepted : Ballot.NONE;
    }

    /**
     * The first value of all, under the first ballot, offered once it is on this disk; only the
     * founder calls this.
     */
    public void found(SortedSet<String> members) {
        Ballot ballot = new Ballot(1, ground.self());
        Value first = Value.founded(members);
        accept(ballot, first)
                .thenRun(
                        () -> {
                            mine = ballot;
                            base = first;
                            proposed = first;
                            phase = Phase.ACCEPT;
                            proposer();
                        });
    }

    /**
     * Completes with what became of it, once that is decided; fails at once where too many wait.
     */
    public CompletableFuture<Value.Outcome> order(Configuration content) {
        CompletableFuture<Value.Outcome> done = new CompletableFuture<>();
        if (orders.size() >= MOST_ORDERS) {
            done.completeExceptionally(new IllegalStateException("too many orders wait"));
            return done;
        }
        orders.add(new Order(content, done));
        answer();
        look();
        return done;
    }

    /**
     * Another set of members, as the first of two steps; passed over where the holder or the epoch
     * is another by then.
     */
    public void members(long epoch, SortedSet<String> next) {
        step = new Step(epoch, Collections.unmodifiableSortedSet(new TreeSet<>(next)));
        look();
    }

    /** The second step: the new set alone. */
    public void settle(long epoch) {
        step = new Step(epoch, null);
        look();
    }

    /** Called often: timers. */
    public void look() {
        long now = ground.now();
        orders.removeIf(o -> o.done().isDone());
        boolean open = value != null && highest().above(decided);
        stuckAt = !open ? -1 : stuckAt < 0 ? now + STUCK_MS + ground.chance(STUCK_MS) : stuckAt;
        boolean stuck = open && now > stuckAt && value.members().contains(ground.self());
        boolean wants = !orders.isEmpty() || step != null || stuck;
        if (phase == Phase.NONE && wants && value != null && !writing && now >= proposeAt) {
            open();
        }
    }

    // ---- messages

    /** What goes into a message to that process. */
    public Map<String, Object> say(String to) {
        View v = views.computeIfAbsent(to, id -> new View());
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("pb", promised.kept());
        out.put("ab", accepted.kept());
        out.put("db", decided.kept());
        out.put("hv", v.valueBallot.kept());
        boolean asks = phase == Phase.PREPARE || phase == Phase.ACCEPT;
        if (asks) {
            out.put("wb", mine.kept());
            out.put("wa", phase == Phase.ACCEPT);
        }
        boolean offers = phase == Phase.ACCEPT;
        Ballot ballot = offers ? mine : accepted;
        Value is = offers ? proposed : value;
        if (is != null && lacks(v, ballot, offers)) {
            long now = ground.now();
            if (!v.sent.equals(ballot) || now - v.sentAt > AGAIN_MS) {
                // Against what it has, once; where that did not help, whole.
                Value has = v.sent.equals(ballot) ? null : of(v.accepted);
                out.put("vb", ballot.kept());
                out.put("v", row(ballot, is, has == null ? Ballot.NONE : v.accepted, has));
                v.sent = ballot;
                v.sentAt = now;
            }
        }
        return out;
    }

    /** What was sent to it may be lost: its connection is another. */
    public void again(String to) {
        View v = views.get(to);
        if (v != null) {
            v.sent = Ballot.NONE;
        }
    }

    private boolean lacks(View v, Ballot ballot, boolean offers) {
        if (ballot.equals(v.accepted) || ballot.equals(v.has) || v.decided.compareTo(ballot) >= 0) {
            return false;
        }
        if (offers) {
            return true;
        }
        boolean prepares = v.wants.equals(promised) && !v.accepting && ballot.above(v.accepted);
        boolean behind = ballot.above(v.accepted) && ground.now() - acceptedAt > LACKS_MS;
        return prepares || behind;
    }

    /** How a value goes to whoever has that other one; what is made for one serves all. */
    private Map<String, Object> row(Ballot ballot, Value of, Ballot than, Value other) {
        if (!ballot.equals(rowsOf)) {
            rowsOf = ballot;
            rows.clear();
        }
        return rows.computeIfAbsent(
                than,
                t -> {
                    Map<String, Object> row = new LinkedHashMap<>();
                    row.put("e", of.epoch());
                    row.put("m", Value.text(of.members()));
                    row.put("o", Value.text(of.outgoing()));
                    row.put("x", Value.text(of.dropped()));
                    // The other may have numbers that were never decided, or with another content:
                    // then the past goes whole.
                    boolean rises = other != null && other.pastWith(of.past()).equals(of.past());
                    List<Object> past = new ArrayList<>();
                    of.past()
                            .forEach(
                                    (version, digest) -> {
                                        if (!rises || !digest.equals(other.past().get(version))) {
                                            past.add(version);
                                            past.add(digest);
                                        }
                                    });
                    row.put("p", past);
                    row.put("pr", rises);
                    if (other == null) {
                        row.put("cz", Deflate.of(of.configuration().body()));
                    } else {
                        row.put("b", than.kept());
                        if (!Arrays.equals(
                                of.configuration().body(), other.configuration().body())) {
                            row.put(
                                    "cx",
                                    Delta.of(
                                            other.configuration().body(),
                                            of.configuration().body()));
                        }
                    }
                    return row;
                });
    }

    /** Null where it says what it is by another value that is not known here. */
    private Value value(Pack.Fields row) throws Configuration.Invalid {
        Value other = row.has("b") ? of(Ballot.of(row.text("b"))) : null;
        if (row.has("b") && other == null) {
            return null;
        }
        TreeMap<Long, Long> past = new TreeMap<>();
        List<String> numbers = row.texts("p");
        for (int i = 0; i + 1 < numbers.size(); i += 2) {
            past.put(Long.parseLong(numbers.get(i)), Long.parseLong(numbers.get(i + 1)));
        }
        Configuration configuration = other == null ? Configuration.NONE : other.configuration();
        try {
            byte[] body =
                    row.has("cx")
                            ? Delta.apply(configuration.body(), row.bytes("cx"))
                            : other == null ? Deflate.back(row.bytes("cz"), Delta.MOST) : null;
            configuration =
                    body == null
                            ? configuration
                            : body.length == 0 ? Configuration.NONE : Configuration.read(body);
        } catch (Delta.Bad | Deflate.Bad bad) {
            return null;
        }
        return new Value(
                row.number("e", 0),
                Value.ids(row.text("m")),
                Value.ids(row.text("o")),
                Value.ids(row.text("x")),
                configuration,
                row.bit("pr") && other != null ? other.pastWith(past) : past);
    }

    /** A message of that process; an old one changes nothing. */
    public void hear(String from, Pack.Fields in) throws Configuration.Invalid {
        View v = views.computeIfAbsent(from, id -> new View());
        v.promised = Ballot.highest(v.promised, Ballot.of(in.text("pb")));
        v.accepted = Ballot.highest(v.accepted, Ballot.of(in.text("ab")));
        v.decided = Ballot.highest(v.decided, Ballot.of(in.text("db")));
        v.has = Ballot.highest(v.has, Ballot.of(in.text("hv")));
        Ballot wants = Ballot.of(in.text("wb"));
        if (wants.above(v.wants)) {
            v.wants = wants;
            v.accepting = in.bit("wa");
        } else if (wants.equals(v.wants)) {
            v.accepting |= in.bit("wa");
        }
        Ballot ballot = Ballot.of(in.text("vb"));
        if (ballot.above(v.valueBallot) && in.has("v")) {
            Object row = in.all().get("v");
            if (row instanceof Map<?, ?> map) {
                @SuppressWarnings("unchecked")
                Map<String, Object> fields = (Map<String, Object>) map;
                Value is = value(new Pack.Fields(fields));
                v.value = is == null ? v.value : is;
                v.valueBallot = is == null ? v.valueBallot : ballot;
            }
        }
        consider();
    }

    /** Whoever is no longer there is forgotten, unless it is a member. */
    public void retain(Predicate<String> there) {
        views.keySet()
                .removeIf(
                        id ->
                                !there.test(id)
                                        && (value == null
                                                || !value.members().contains(id)
                                                        && !value.outgoing().contains(id)));
    }

    private void consider() {
        learnFromOthers();
        acceptor();
        proposer();
    }

    /** The value of a ballot, where this process has it from anywhere. */
    private Value of(Ballot ballot) {
        if (ballot.equals(accepted)) {
            return value;
        }
        if (ballot.equals(decided)) {
            return decidedValue;
        }
        if (ballot.equals(mine) && phase == Phase.ACCEPT) {
            return proposed;
        }
        for (View v : views.values()) {
            if (ballot.equals(v.valueBallot)) {
                return v.value;
            }
        }
        return null;
    }

    // ---- learner

    private void learnFromOthers() {
        Ballot best = decided;
        for (View v : views.values()) {
            if (v.decided.above(best) && of(v.decided) != null) {
                best = v.decided;
            }
        }
        List<Ballot> seen = new ArrayList<>();
        seen.add(accepted);
        views.values().forEach(v -> seen.add(v.accepted));
        for (Ballot ballot : seen) {
            if (ballot.above(best)) {
                Value is = of(ballot);
                if (is != null && is.decidedBy(id -> counts(id, ballot))) {
                    best = ballot;
                }
            }
        }
        if (best.above(decided)) {
            learn(best, of(best));
        }
    }

    private void learn(Ballot ballot, Value is) {
        if (!ballot.above(decided)) {
            return;
        }
        decided = ballot;
        decidedValue = is;
        if (!ballot.proposer().equals(ground.self())) {
            proposeAt = Math.min(proposeAt, ground.now() + ground.chance(BACKOFF_MS));
        }
        if (ballot.above(accepted) && !writing) {
            // What is decided may be taken over whatever was promised: it cannot be undone.
            accept(ballot, is);
        }
        answer();
        ground.decided(is);
        ground.tell();
    }

    private void answer() {
        Value by = ground.without(Defence.ANSWER_BY_DECIDED) ? value : decidedValue;
        if (by == null) {
            return;
        }
        List<Order> over = new ArrayList<>();
        orders.removeIf(o -> by.outcome(o.content()) != Value.Outcome.OPEN && over.add(o));
        over.forEach(o -> o.done().complete(by.outcome(o.content())));
    }

    // ---- acceptor

    private void acceptor() {
        if (writing) {
            return;
        }
        if (decided.above(accepted)) {
            accept(decided, decidedValue);
            return;
        }
        Ballot best = promised;
        View of = null;
        for (View v : views.values()) {
            boolean offer = v.accepting && v.valueBallot.equals(v.wants);
            boolean news =
                    v.wants.above(best)
                            || ground.without(Defence.PROMISE_KEPT)
                                    && offer
                                    && v.wants.above(accepted)
                            || of == null
                                    && v.wants.equals(best)
                                    && offer
                                    && v.wants.above(accepted);
            if (news && (offer || !v.accepting)) {
                best = v.wants;
                of = v;
            }
        }
        if (of == null) {
            return;
        }
        if (of.accepting) {
            accept(of.wants, of.value);
        } else {
            promise(of.wants);
        }
        proposeAt = Math.max(proposeAt, ground.now() + HOLD_OFF_MS);
    }

    private CompletableFuture<Void> promise(Ballot ballot) {
        return write(
                Map.of("promised-ballot", ballot.kept()),
                () -> promised = Ballot.highest(promised, ballot));
    }

    private CompletableFuture<Void> accept(Ballot ballot, Value is) {
        Map<String, String> record = new HashMap<>();
        record.put("promised-ballot", Ballot.highest(promised, ballot).kept());
        record.put("accepted-ballot", ballot.kept());
        record.put("epoch", Long.toString(is.epoch()));
        record.put("members", Value.text(is.members()));
        record.put("outgoing", Value.text(is.outgoing()));
        record.put("dropped", Value.text(is.dropped()));
        StringBuilder past = new StringBuilder();
        is.past()
                .forEach(
                        (version, digest) ->
                                past.append(version).append(':').append(digest).append(','));
        record.put("past", past.toString());
        int before = pieces;
        if (value == null || is.configuration() != value.configuration()) {
            pieces(record, new String(is.configuration().body(), StandardCharsets.UTF_8));
        }
        CompletableFuture<Void> done =
                write(
                        record,
                        () -> {
                            promised = Ballot.highest(promised, ballot);
                            accepted = ballot;
                            value = is;
                            acceptedAt = ground.now();
                        });
        done.exceptionally(
                fault -> {
                    pieces = Math.max(before, pieces);
                    return null;
                });
        return done;
    }

    private void pieces(Map<String, String> record, String text) {
        int count = 0;
        for (int at = 0; at < text.length(); count++) {
            int end = Math.min(text.length(), at + PIECE);
            if (end < text.length() && Character.isHighSurrogate(text.charAt(end - 1))) {
                end--;
            }
            record.put("piece" + count, text.substring(at, end));
            at = end;
        }
        for (int i = count; i < pieces; i++) {
            record.put("piece" + i, "");
        }
        pieces = count;
        record.put("pieces", Integer.toString(count));
    }

    /**
     * One write at a time; what was heard meanwhile is looked at once it is done. Nothing is said
     * before.
     */
    private CompletableFuture<Void> write(Map<String, String> record, Runnable then) {
        writing = true;
        CompletableFuture<Void> done = ground.store(record);
        return done.whenComplete(
                (is, fault) -> {
                    writing = false;
                    if (fault == null) {
                        then.run();
                        ground.tell();
                        consider();
                        look();
                    }
                });
    }

    // ---- proposer

    private void open() {
        long round = Math.max(promised.round(), Math.max(accepted.round(), mine.round()));
        for (View v : views.values()) {
            round =
                    Math.max(
                            round,
                            Math.max(
                                    v.promised.round(),
                                    Math.max(v.accepted.round(), v.wants.round())));
        }
        mine = new Ballot(round + 1, ground.self());
        phase = Phase.OPENING;
        Ballot ballot = mine;
        promise(ballot)
                .whenComplete(
                        (is, fault) -> {
                            if (!ballot.equals(mine) || phase != Phase.OPENING) {
                                return;
                            }
                            if (fault != null) {
                                give();
                                return;
                            }
                            phase = Phase.PREPARE;
                            ground.tell();
                            proposer();
                        });
    }

    /** This ballot is lost or cannot go on: another after a while. */
    private void give() {
        phase = Phase.NONE;
        lost = Math.min(lost + 1, MOST_DOUBLINGS);
        proposeAt =
                Math.max(proposeAt, ground.now() + BACKOFF_MS + ground.chance(BACKOFF_MS << lost));
    }

    private void proposer() {
        if (phase != Phase.PREPARE && phase != Phase.ACCEPT) {
            return;
        }
        boolean beaten = promised.above(mine);
        for (View v : views.values()) {
            beaten |= v.promised.above(mine);
        }
        if (beaten) {
            give();
            return;
        }
        if (phase == Phase.PREPARE) {
            prepared();
        } else {
            counted();
        }
    }

    private boolean promisedTo(String id) {
        return id.equals(ground.self())
                ? promised.equals(mine)
                : views.containsKey(id) && views.get(id).promised.equals(mine);
    }

    private void prepared() {
        Ballot highest = accepted;
        for (Map.Entry<String, View> one : views.entrySet()) {
            if (promisedTo(one.getKey()) && !ground.without(Defence.HIGHEST_ACCEPTED)) {
                highest = Ballot.highest(highest, one.getValue().accepted);
            }
        }
        Value follows = of(highest);
        boolean promises =
                ground.without(Defence.PROMISES_OF_MAJORITY)
                        || follows != null && follows.quorum(this::promisedTo);
        if (follows == null || writing || !promises) {
            return;
        }
        boolean known = highest.equals(decided) || ground.without(Defence.SETS_ON_DECIDED);
        Value next = known ? follows.clean() : follows;
        for (Order order : orders) {
            next = order.done().isDone() ? next : fold(next, order.content());
        }
        if (known && step != null) {
            boolean may =
                    ground.holds()
                            && step.epoch() == next.epoch()
                            && next.joint() == (step.members() == null);
            next = !may ? next : next.joint() ? drop(next) : join(next, step.members());
            step = null;
        }
        base = follows;
        proposed = next;
        phase = Phase.ACCEPT;
        ground.tell();
        accept(mine, next)
                .exceptionally(
                        fault -> {
                            give();
                            return null;
                        });
    }

    private Value fold(Value into, Configuration order) {
        return (ground.without(Defence.ONE_CONTENT) ? into.without(order.version()) : into)
                .with(order);
    }

    private Value join(Value on, SortedSet<String> next) {
        return ground.without(Defence.JOINT_MAJORITIES)
                ? on.towards(next).settled().clean()
                : on.towards(next);
    }

    private Value drop(Value joint) {
        return ground.without(Defence.OLDER_EPOCHS) ? joint.settled().clean() : joint.settled();
    }

    private boolean counts(String id, Ballot ballot) {
        Ballot is = acceptedBy(id);
        return is.equals(ballot) || ground.without(Defence.ONE_BALLOT) && is.above(ballot);
    }

    private void counted() {
        Ballot ballot = mine;
        if (proposed.decidedBy(id -> counts(id, ballot))
                && (ground.without(Defence.OLDER_EPOCHS)
                        || base.quorum(id -> counts(id, ballot)))) {
            phase = Phase.NONE;
            lost = 0;
            learn(ballot, proposed);
            // Whoever waits for this one to end goes first.
            proposeAt = Math.max(proposeAt, ground.now() + BACKOFF_MS + ground.chance(BACKOFF_MS));
            look();
        }
    }
}
