package dillfront.simulation;

import dillfront.common.config.Configuration;
import dillfront.common.protocol.PrimaryRecord;
import dillfront.common.protocol.ServerRow;
import dillfront.common.protocol.ServerState;
import dillfront.controlplane.consensus.Ballot;
import dillfront.controlplane.consensus.QuorumRead;
import dillfront.controlplane.consensus.ReconfigurationBarrier;
import dillfront.controlplane.consensus.RegisterMessage;
import dillfront.controlplane.consensus.RegisterValue;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.consensus.SafetyRule;
import dillfront.controlplane.lease.FencingTokens;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.lease.LeaseMessage;
import dillfront.controlplane.lease.PeerLease;
import dillfront.controlplane.primary.PrimaryRecords;
import dillfront.controlplane.primary.RecordsMessage;
import dillfront.controlplane.registry.DatabaseServer;
import dillfront.controlplane.registry.RegistryMessage;
import dillfront.controlplane.registry.RegistryReplication;
import dillfront.controlplane.registry.ReplicationProgress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Model of a few control-plane processes that run the real {@link ReplicatedRegister}, {@link
 * LeaseManager}, {@link PrimaryRecords}, {@link RegistryReplication} and {@link
 * ReconfigurationBarrier}, with two operators, database servers, disks and the network between
 * them. Every event is a step chosen from outside. After each step the model checks these
 * invariants:
 *
 * <ul>
 *   <li>one ballot has one value; the values accepted by a majority of disks form one sequence:
 *       revision numbers keep their contents, the current revision never decreases, and the member
 *       sets change one step at a time through a joint set; a value that a process considers
 *       decided is part of that sequence;
 *   <li>an acknowledged configuration stays in that sequence permanently, and a refused one is
 *       there with another content;
 *   <li>the calls of the operators are linearizable ({@link LinearizabilityChecker});
 *   <li>at most one process holds the lease, a lease number belongs to one incarnation of one
 *       process, and each lease number is above those held before;
 *   <li>the lease holder knows until when former holders could claim their leases;
 *   <li>an acknowledged drain or leave of a server, and a primary record that a lease holder may
 *       act on, are on enough disks that no majority lacks them; a process has on disk what it
 *       reports as durable; a new failover coordinator knows what was acknowledged when its lease
 *       began; registry entries and records never go back, and a fencing token belongs to one
 *       record.
 * </ul>
 */
final class ControlWorld {

    /**
     * The kinds of steps. Their names and arguments are written out in traces, which tests replay.
     */
    enum Kind {
        /** a sends its message to b, which receives the message. */
        MESSAGE,
        /** a sends its message to b; the message stays in flight. */
        SENT,
        /** The a-th in-flight message is delivered, possibly again. */
        OLD,
        /** The first pending disk write of a completes. */
        DISK,
        /**
         * The first pending disk write of a fails; with b = 1 its data is nevertheless on disk
         * after a power loss before the next write completes.
         */
        REFUSED,
        /** a loses power after the first b of its pending writes were completed. */
        CRASH,
        START,
        /** The disk of a is replaced by an empty one. */
        EMPTY,
        /** The time advances by a milliseconds. */
        TIME,
        /** Operator a sends a configuration to process b % 8, with revision b / 8. */
        ORDER,
        /** Operator a stops waiting for its answer. */
        GIVE_UP,
        /** A read starts at a. */
        READ,
        /**
         * a, if it holds the lease, proposes the processes of the bits of b as members; without
         * bits, it finishes the membership change.
         */
        SETS,
        /** Messages from a to b are lost until JOIN. */
        CUT,
        JOIN,
        /** Server b / 3 reports at a that it is ready, draining or leaving. */
        SERVER,
        /** a, if it is the failover coordinator, records a primary of service b. */
        RECORD
    }

    record Step(Kind kind, int a, int b) {
        @Override
        public String toString() {
            return kind + " " + a + " " + b;
        }
    }

    /**
     * The size of a model and the limits of its steps.
     *
     * @param first all disks are empty and the first process bootstraps the cluster; else the first
     *     processes are members
     * @param lease whether the real lease manager runs; else the first process holds the lease
     * @param numbers configurations have revisions from 1 to this
     * @param sets the maximum number of membership steps; up to two: those of the initial steps,
     *     and the step that finishes the change
     * @param servers the maximum number of server reports; with these or records, only the failover
     *     coordinator changes memberships, by its own rule
     */
    record Scene(
            int processes,
            int members,
            boolean first,
            boolean lease,
            int numbers,
            int orders,
            int reads,
            int sent,
            int crashes,
            int empties,
            int refusals,
            int ticks,
            int sets,
            int cuts,
            int servers,
            int records) {

        Scene(
                int processes,
                int members,
                boolean first,
                boolean lease,
                int numbers,
                int orders,
                int reads,
                int sent,
                int crashes,
                int empties,
                int refusals,
                int ticks,
                int sets,
                int cuts) {
            this(
                    processes, members, first, lease, numbers, orders, reads, sent, crashes,
                    empties, refusals, ticks, sets, cuts, 0, 0);
        }

        /**
         * Returns whether the model includes the failover coordinator: servers and records of their
         * primaries.
         */
        boolean duty() {
            return servers + records > 0;
        }
    }

    private static final int OPERATORS = 2;

    /** Number of servers, each of a service of its own. */
    private static final int SERVERS = 2;

    private static final List<String> STATES = List.of("ready", "draining", "leaving", "left");
    private static final int[] TIMES = {10, 50, 250, 1_000};

    final Scene scene;
    private final SafetyRule without;
    private final long seed;
    final Process[] processes;
    final List<Step> steps = new ArrayList<>();
    final LinearizabilityChecker history = new LinearizabilityChecker();
    private final List<String> told = new ArrayList<>();
    private final List<Sent> sent = new ArrayList<>();
    private final boolean[][] cut;
    private final Asked[] asked = new Asked[OPERATORS];
    private final int[] left;
    private final TreeMap<Ballot, RegisterValue> values = new TreeMap<>();
    private final TreeMap<Ballot, TreeSet<String>> accepted = new TreeMap<>();

    /** Values accepted by a majority of disks. */
    private final TreeMap<Ballot, RegisterValue> chosen = new TreeMap<>();

    private final TreeMap<String, Boolean> answered = new TreeMap<>();
    private final TreeMap<Long, String> fences = new TreeMap<>();

    /** The time until which a holder could claim that its lease is valid. */
    private long spokenUntil;

    private final Map<String, Configuration> contents = new HashMap<>();

    /**
     * Acknowledged state of each server, and the records that a holder could act on, by service.
     */
    private final TreeMap<String, Integer> acknowledged = new TreeMap<>();

    private final TreeMap<String, Long> acted = new TreeMap<>();
    private final TreeMap<Long, String> recorded = new TreeMap<>();
    private long calls;
    long now = 1_000_000;

    /** Whether an operation was answered or a value was chosen in this step. */
    private boolean ended;

    /** The first violated invariant; null if all held. */
    String broken;

    private record Sent(int from, int to, Message message) {}

    private record Asked(int operation, int at, String content) {}

    private record Write(Map<String, String> texts, CompletableFuture<Void> done) {}

    private static final class Read {
        final int operation;
        final long token;
        final QuorumRead reading = new QuorumRead();

        Read(int operation, long token) {
            this.operation = operation;
            this.token = token;
        }
    }

    ControlWorld(Scene scene, SafetyRule without, long seed) {
        this.scene = scene;
        this.without = without;
        this.seed = seed;
        processes = new Process[scene.processes];
        cut = new boolean[scene.processes][scene.processes];
        left = new int[Kind.values().length];
        Arrays.fill(left, Integer.MAX_VALUE);
        limit(Kind.ORDER, scene.orders);
        limit(Kind.READ, scene.reads);
        limit(Kind.SENT, scene.sent);
        limit(Kind.CRASH, scene.crashes);
        limit(Kind.EMPTY, scene.empties);
        limit(Kind.REFUSED, scene.refusals);
        limit(Kind.TIME, scene.ticks);
        limit(Kind.SETS, scene.sets);
        limit(Kind.CUT, scene.cuts);
        limit(Kind.SERVER, scene.servers);
        limit(Kind.RECORD, scene.records);
        TreeSet<String> members = new TreeSet<>();
        for (int i = 0; i < scene.processes; i++) {
            processes[i] = new Process(i);
            if (i < scene.members) {
                members.add(ip(i) + "/0");
            }
        }
        for (Process p : processes) {
            if (!scene.first) {
                p.disk.put("promised-ballot", "1 " + ip(0) + "/0");
                p.disk.put("accepted-ballot", "1 " + ip(0) + "/0");
                p.disk.put("epoch", "1");
                p.disk.put("members", String.join(",", members));
            }
            p.start();
        }
        look();
    }

    private void limit(Kind kind, int times) {
        left[kind.ordinal()] = times;
    }

    private static String ip(int index) {
        return "10.0.0." + index;
    }

    private boolean lacks(SafetyRule defence) {
        return without == defence;
    }

    private void breaks(String what) {
        broken = broken == null ? what : broken;
    }

    private Configuration content(long number, int by) {
        return contents.computeIfAbsent(
                number + "/" + by,
                key -> {
                    try {
                        return Configuration.parse(
                                ("{\"revision_number\":"
                                                + number
                                                + ",\"by\":"
                                                + by
                                                + ",\"services\":[],\"routes\":[]}")
                                        .getBytes(StandardCharsets.UTF_8));
                    } catch (Configuration.InvalidConfigurationException never) {
                        throw new IllegalStateException(never);
                    }
                });
    }

    private static String digest(Configuration of) {
        String body = new String(of.body(), StandardCharsets.UTF_8);
        int at = body.indexOf("\"by\":");
        return at < 0 ? "" : body.substring(at + 5, at + 6);
    }

    // ---- steps

    boolean can(Step step) {
        if (left[step.kind.ordinal()] <= 0) {
            return false;
        }
        boolean operator = step.kind == Kind.ORDER || step.kind == Kind.GIVE_UP;
        Process p =
                operator || step.kind == Kind.TIME || step.kind == Kind.OLD
                        ? null
                        : processes[step.a];
        boolean up = p != null && p.register != null;
        switch (step.kind) {
            case MESSAGE:
            case SENT:
                return step.a != step.b
                        && up
                        && !cut[step.a][step.b]
                        && processes[step.b].register != null;
            case OLD:
                return step.a < sent.size() && processes[sent.get(step.a).to].register != null;
            case DISK:
            case REFUSED:
                return up && !p.disk().isEmpty();
            case CRASH:
                return up && step.b <= p.disk().size();
            case START:
                return !up;
            case EMPTY:
                return !up && !p.disk.isEmpty();
            case ORDER:
                return asked[step.a] == null && processes[step.b % 8].register != null;
            case GIVE_UP:
                return asked[step.a] != null && left[Kind.ORDER.ordinal()] > 0;
            case READ:
                return up;
            case SETS:
                return up && p.changes(step.b);
            case SERVER:
                return up && p.register.acceptedValue() != null;
            case RECORD:
                return up && p.taken && p.holdsLease();
            case CUT:
                return step.a != step.b && !cut[step.a][step.b];
            case JOIN:
                return cut[step.a][step.b];
            default:
                return true;
        }
    }

    void step(Step step) {
        steps.add(step);
        left[step.kind.ordinal()]--;
        switch (step.kind) {
            case MESSAGE -> processes[step.b].hear(processes[step.a].say(step.b));
            case SENT -> sent.add(new Sent(step.a, step.b, processes[step.a].say(step.b)));
            case OLD -> processes[sent.get(step.a).to].hear(sent.get(step.a).message);
            case DISK -> processes[step.a].written();
            case REFUSED -> processes[step.a].refused(step.b == 1);
            case CRASH -> processes[step.a].crash(step.b);
            case START -> processes[step.a].start();
            case EMPTY -> processes[step.a].empty();
            case TIME -> now += step.a;
            case ORDER -> order(step.a, step.b % 8, step.b / 8);
            case GIVE_UP -> {
                history.end(asked[step.a].operation, now, LinearizabilityChecker.Outcome.UNKNOWN);
                told.add("gives up " + step.a);
                asked[step.a] = null;
            }
            case READ -> processes[step.a].read();
            case SETS -> processes[step.a].sets(step.b);
            case SERVER -> processes[step.a].server(step.b / 3, step.b % 3);
            case RECORD -> processes[step.a].record("s" + step.b);
            case CUT -> cut[step.a][step.b] = true;
            case JOIN -> {
                cut[step.a][step.b] = false;
                if (processes[step.a].register != null) {
                    processes[step.a].register.onConnectionReset(processes[step.b].id);
                }
            }
            default -> throw new IllegalStateException();
        }
        for (Process p : processes) {
            if (p.register != null) {
                p.look(step.kind == Kind.TIME);
            }
        }
        look();
    }

    private void look() {
        for (Process p : processes) {
            if (p.register != null) {
                observe(p);
            }
        }
        accepted.forEach(
                (ballot, by) -> {
                    RegisterValue value = values.get(ballot);
                    if (value != null
                            && !chosen.containsKey(ballot)
                            && value.isDecidedBy(by::contains)) {
                        choose(ballot, value);
                    }
                });
        for (Process p : processes) {
            if (p.register != null) {
                believes(p);
            }
        }
        holders();
        duties();
        if (ended) {
            ended = false;
            String fault = history.check();
            if (fault != null) {
                breaks(fault);
            }
            stands();
        }
    }

    /** Returns all steps that are possible next. */
    List<Step> choices() {
        List<Step> all = new ArrayList<>();
        int n = scene.processes;
        for (int i = 0; i < n; i++) {
            for (int j = 0; j < n; j++) {
                may(all, Kind.MESSAGE, i, j);
                may(all, Kind.SENT, i, j);
                if (i != j) {
                    may(all, cut[i][j] ? Kind.JOIN : Kind.CUT, i, j);
                }
            }
            may(all, Kind.DISK, i, 0);
            may(all, Kind.REFUSED, i, 0);
            may(all, Kind.REFUSED, i, 1);
            for (int done = 0;
                    processes[i].register != null && done <= processes[i].disk().size();
                    done++) {
                may(all, Kind.CRASH, i, done);
            }
            may(all, Kind.START, i, 0);
            may(all, Kind.EMPTY, i, 0);
            may(all, Kind.READ, i, 0);
            for (int b = 0; b < 3 * SERVERS; b++) {
                may(all, Kind.SERVER, i, b);
            }
            for (int b = 0; b < SERVERS; b++) {
                may(all, Kind.RECORD, i, b);
            }
            // With few membership steps allowed, the initial steps have started the changes and
            // only the finishing steps remain.
            for (int mask = 0; mask < (scene.sets > 2 ? 1 << n : 1); mask++) {
                if (mask == 0 || Integer.bitCount(mask) >= 2) {
                    may(all, Kind.SETS, i, mask);
                }
            }
        }
        for (int o = 0; o < OPERATORS; o++) {
            for (int i = 0; i < n; i++) {
                for (int number = 1; number <= scene.numbers; number++) {
                    may(all, Kind.ORDER, o, i + 8 * number);
                }
            }
            may(all, Kind.GIVE_UP, o, 0);
        }
        for (int k = 0; k < sent.size(); k++) {
            may(all, Kind.OLD, k, 0);
        }
        for (int time : TIMES) {
            may(all, Kind.TIME, time, 0);
        }
        return all;
    }

    private void may(List<Step> all, Kind kind, int a, int b) {
        Step step = new Step(kind, a, b);
        if (can(step)) {
            all.add(step);
        }
    }

    private void order(int operator, int at, long number) {
        Configuration content = content(number, operator);
        String digest = Integer.toString(operator);
        Asked one =
                new Asked(
                        history.begin(now, "operator " + operator, number, digest),
                        at,
                        number + "/" + digest);
        asked[operator] = one;
        told.add("asks " + operator + " " + one.content);
        processes[at]
                .register
                .propose(content)
                .whenComplete(
                        (outcome, fault) -> {
                            if (asked[operator] == one && fault == null) {
                                asked[operator] = null;
                                boolean taken = outcome == RegisterValue.Outcome.ACCEPTED;
                                history.end(
                                        one.operation,
                                        now,
                                        taken
                                                ? LinearizabilityChecker.Outcome.ACKNOWLEDGED
                                                : LinearizabilityChecker.Outcome.REFUSED);
                                told.add(operator + " is told " + outcome);
                                if (!Boolean.valueOf(taken)
                                        .equals(answered.getOrDefault(one.content, taken))) {
                                    breaks("order " + one.content + " was both refused and acknowledged");
                                }
                                answered.put(one.content, taken);
                                ended = true;
                            }
                        });
    }

    // ---- invariants

    /** Checks that the newest chosen value agrees with all answers. */
    private void stands() {
        if (chosen.isEmpty()) {
            if (!answered.isEmpty()) {
                breaks("answered although no value is chosen: " + answered);
            }
            return;
        }
        RegisterValue newest = chosen.lastEntry().getValue();
        answered.forEach(
                (content, taken) -> {
                    String[] parts = content.split("/");
                    Configuration is =
                            content(Long.parseLong(parts[0]), Integer.parseInt(parts[1]));
                    RegisterValue.Outcome outcome = newest.outcome(is);
                    if (outcome
                            != (taken
                                    ? RegisterValue.Outcome.ACCEPTED
                                    : RegisterValue.Outcome.CONFLICT)) {
                        breaks(
                                "order "
                                        + content
                                        + " was "
                                        + (taken ? "acknowledged" : "refused")
                                        + ", and in the newest value it is "
                                        + outcome
                                        + ": "
                                        + text(newest));
                    }
                });
    }

    private static String text(RegisterValue of) {
        return "epoch "
                + of.epoch()
                + " of "
                + of.members()
                + (of.outgoing().isEmpty() ? "" : " and " + of.outgoing())
                + (of.retired().isEmpty() ? "" : " without " + of.retired())
                + " number "
                + of.configuration().revision()
                + "/"
                + digest(of.configuration())
                + " past "
                + of.revisionDigests();
    }

    private void observe(Process p) {
        Ballot ballot = p.register.acceptedBallot();
        if (!ballot.equals(p.seen)) {
            p.seen = ballot;
            known(ballot, p.register.acceptedValue());
            accepted.computeIfAbsent(ballot, b -> new TreeSet<>()).add(p.id);
        }
        if (!p.register.decidedBallot().equals(p.seenDecided)) {
            known(p.register.decidedBallot(), p.register.decidedValue());
        }
    }

    private void known(Ballot ballot, RegisterValue value) {
        RegisterValue other = values.putIfAbsent(ballot, value);
        if (other != null && !text(other).equals(text(value))) {
            breaks("two values under ballot " + ballot + ": " + text(other) + "; " + text(value));
        }
    }

    private void believes(Process p) {
        Ballot decided = p.register.decidedBallot();
        if (!decided.equals(p.seenDecided)) {
            p.seenDecided = decided;
            if (!chosen.containsKey(decided)) {
                breaks(
                        p.id
                                + " considers a value decided that is not: "
                                + decided
                                + " "
                                + text(p.register.decidedValue()));
            }
        }
        if (scene.lease && p.lease.isHeld()) {
            String life = p.id + " life " + p.life;
            if (!fences.isEmpty() && p.lease.number() < fences.lastKey()) {
                breaks(
                        "lease number "
                                + p.lease.number()
                                + " is held after number "
                                + fences.lastKey());
            }
            if (!fences.containsKey(p.lease.number())
                    && Math.max(now, p.lease.formerLeaseEndMillis()) < spokenUntil) {
                breaks(
                        "the lease holder is "
                                + life
                                + ", which assumes that former leases ended by "
                                + p.lease.formerLeaseEndMillis()
                                + ", not "
                                + spokenUntil);
            }
            spokenUntil = Math.max(spokenUntil, p.lease.validUntilMillis());
            if (!life.equals(fences.computeIfAbsent(p.lease.number(), n -> life))) {
                breaks(
                        "lease number "
                                + p.lease.number()
                                + " is of "
                                + fences.get(p.lease.number())
                                + " and of "
                                + life);
            }
        }
    }

    private void choose(Ballot ballot, RegisterValue value) {
        Map.Entry<Ballot, RegisterValue> lower = chosen.lowerEntry(ballot);
        Map.Entry<Ballot, RegisterValue> higher = chosen.higherEntry(ballot);
        chosen.put(ballot, value);
        String fault = lower == null ? null : follows(lower.getValue(), value);
        fault = fault == null && higher != null ? follows(value, higher.getValue()) : fault;
        if (fault != null) {
            breaks("two sequences of decided values: " + fault);
        }
        ended = true;
    }

    /**
     * Returns null if the second value may follow the first, directly or after a few others of the
     * same member sets; else a description of the violation.
     */
    private String follows(RegisterValue before, RegisterValue after) {
        String both = text(before) + ", then " + text(after);
        boolean steps =
                after.epoch() == before.epoch()
                        && after.members().equals(before.members())
                        && after.outgoing().equals(before.outgoing());
        boolean joins =
                after.epoch() == before.epoch() + 1
                        && !before.isJoint()
                        && after.outgoing().equals(before.members());
        boolean drops =
                after.epoch() == before.epoch() + 1
                        && before.isJoint()
                        && !after.isJoint()
                        && after.members().equals(before.members());
        // With a safety rule disabled, a deviating sequence of member sets is no violation by
        // itself, only its harm is.
        boolean harmless = without != null && after.epoch() > before.epoch();
        if (!steps && !joins && !drops && !harmless) {
            return "sets: " + both;
        }
        if (!after.revisionDigests().entrySet().containsAll(before.revisionDigests().entrySet())) {
            return "numbers: " + both;
        }
        long rises = after.configuration().revision() - before.configuration().revision();
        return rises < 0
                        || rises == 0
                                && !digest(before.configuration())
                                        .equals(digest(after.configuration()))
                ? "in force: " + both
                : null;
    }

    private void holders() {
        Process holder = null;
        for (Process p : processes) {
            if (scene.lease && p.register != null && p.lease.isHeld()) {
                if (holder != null) {
                    breaks(
                            "two processes hold the lease: "
                                    + holder.id
                                    + " with "
                                    + holder.lease.number()
                                    + ", "
                                    + p.id
                                    + " with "
                                    + p.lease.number());
                }
                holder = p;
            }
        }
    }

    /**
     * Checks that acknowledged server states and records that a holder could act on are not lost.
     */
    private void duties() {
        if (!scene.duty()) {
            return;
        }
        for (Process p : processes) {
            if (p.register != null) {
                p.onlyForward();
                p.claims();
                if (p.taken) {
                    p.mayAct();
                }
            }
        }
        acknowledged.forEach(
                (server, rank) ->
                        everyMajority(
                                p -> p.onDisk(server) >= rank, server + " is " + STATES.get(rank)));
        acted.forEach(
                (service, number) ->
                        everyMajority(
                                p -> p.recordOnDisk(service) >= number,
                                service + " has record " + number));
    }

    /**
     * Checks that the processes which lack the data on disk are not a majority of the current
     * member sets.
     */
    private void everyMajority(Predicate<Process> has, String what) {
        RegisterValue is = newest();
        if (is != null
                && is.isQuorum(
                        of ->
                                Arrays.stream(processes)
                                        .anyMatch(
                                                p ->
                                                        p.id.equals(of)
                                                                && p.disk.containsKey("id")
                                                                && !has.test(p)))) {
            breaks("a majority lacks on disk that " + what + ": " + text(is));
        }
    }

    /** Returns the newest chosen value. */
    RegisterValue newest() {
        return chosen.isEmpty() ? null : chosen.lastEntry().getValue();
    }

    /** Returns the state that determines all further behavior. */
    String state() {
        StateDump dump = new StateDump();
        dump.add(now)
                .add(left)
                .add(told)
                .add(cut)
                .add(asked)
                .add(chosen)
                .add(accepted)
                .add(fences)
                .add(spokenUntil)
                .add(answered);
        if (scene.duty()) {
            dump.add(acknowledged).add(acted).add(recorded).add(calls);
        }
        TreeSet<String> ways = new TreeSet<>();
        for (Sent one : sent) {
            ways.add(new StateDump().add(one.from).add(one.to).add(one.message).toString());
        }
        dump.add(ways);
        for (Process p : processes) {
            dump.add(p.disk)
                    .add(p.doubtful)
                    .add(p.empties)
                    .add(p.life)
                    .add(p.id)
                    .add(p.register == null);
            if (p.register != null) {
                dump.add(p.writes.stream().map(Write::texts).toList())
                        .add(p.register)
                        .add(p.lease)
                        .add(p.peers)
                        .add(p.token)
                        .add(p.readings);
                if (scene.duty()) {
                    dump.add(p.table)
                            .add(p.records)
                            .add(p.settling)
                            .add(p.held)
                            .add(p.heldFrom)
                            .add(p.taken)
                            .add(p.given)
                            .add(p.began)
                            .add(p.waits)
                            .add(p.rows)
                            .add(p.numbers);
                }
            }
        }
        return dump.toString();
    }

    // ---- processes

    /** A message between two processes. */
    private record Message(
            int from,
            int life,
            long clock,
            long echoClock,
            int echoLife,
            String echoId,
            String id,
            long epoch,
            RegisterMessage register,
            boolean firstStart,
            long token,
            long echoToken,
            LeaseMessage lease,
            RegistryMessage registry,
            RecordsMessage records) {}

    /** State of a peer according to its last message. */
    private static final class Peer {
        final PeerLease lease = new PeerLease();
        int life = -1;
        long clock;
        long lastAnsweredSend = LeaseManager.NEVER_MILLIS;
        boolean firstStart;
        boolean answers;
        long itsToken;
        long token = -1;
        ReplicationProgress registryProgress = new ReplicationProgress();
        long recordNumber = -1;

        String id() {
            return lease.id();
        }
    }

    /** A pending server acknowledgement that completes once a majority has stored the change. */
    private record Waits(String server, int rank, long change) {}

    /**
     * One control-plane process: the calls around register and lease that the real core makes, and
     * nothing else.
     */
    final class Process implements LeaseManager.Context {
        private static final long LOOK_MS = 50;
        final int index;
        final TreeMap<String, String> disk = new TreeMap<>();
        final ArrayDeque<Write> writes = new ArrayDeque<>();

        /** Data of a failed write that may be on disk nevertheless. */
        Map<String, String> doubtful = Map.of();

        int empties;
        int life = -1;
        String id = "";

        /** Null while the process is down. */
        ReplicatedRegister register;

        LeaseManager lease;

        /** The peers for which there is new state that was not sent yet. */
        final boolean[] news = new boolean[scene.processes];

        Peer[] peers;
        long token;
        List<Read> readings;
        Ballot seen = Ballot.NONE;
        Ballot seenDecided = Ballot.NONE;
        private long chances;
        RegistryReplication table;
        PrimaryRecords records;
        ReconfigurationBarrier settling;

        /**
         * The lease number under which this process is the failover coordinator, the start of that
         * lease, and whether the process knows the records of earlier holders.
         */
        long held;

        long heldFrom;
        boolean taken;
        FencingTokens given;

        /**
         * Server states acknowledged when the lease began; the coordinator at that time is
         * responsible for later ones.
         */
        TreeMap<String, Integer> began = new TreeMap<>();

        final List<Waits> waits = new ArrayList<>();

        /** The latest server states and record numbers seen in this incarnation. */
        final TreeMap<String, Integer> rows = new TreeMap<>();

        final TreeMap<String, Long> numbers = new TreeMap<>();

        Process(int index) {
            this.index = index;
        }

        void start() {
            life++;
            if (disk.isEmpty() || !disk.containsKey("id")) {
                disk.put("id", ip(index) + "/" + (lacks(SafetyRule.NEW_ID) ? 0 : empties));
            }
            id = disk.get("id");
            writes.clear();
            peers = new Peer[scene.processes];
            for (int i = 0; i < peers.length; i++) {
                peers[i] = new Peer();
            }
            token = 0;
            readings = new ArrayList<>();
            seen = Ballot.NONE;
            seenDecided = Ballot.NONE;
            ReplicatedRegister fresh = new ReplicatedRegister(this);
            lease = new LeaseManager(this);
            try {
                fresh.restore(new TreeMap<>(disk));
            } catch (Configuration.InvalidConfigurationException bad) {
                breaks(id + " cannot restore its state from disk: " + bad.getMessage());
            }
            register = fresh;
            lease.restore(new TreeMap<>(disk));
            table = new RegistryReplication(this);
            records = new PrimaryRecords(this);
            settling = new ReconfigurationBarrier();
            table.restore(new TreeMap<>(disk), now);
            records.restore(new TreeMap<>(disk));
            given = new FencingTokens(this);
            held = 0;
            taken = false;
            waits.clear();
            rows.clear();
            numbers.clear();
            Arrays.fill(news, true);
            look(true);
        }

        void crash(int done) {
            if (done == 0) {
                disk.putAll(doubtful);
            }
            for (int i = 0; i < done; i++) {
                disk.putAll(writes.poll().texts);
            }
            doubtful = Map.of();
            writes.clear();
            register = null;
        }

        void empty() {
            disk.clear();
            empties++;
        }

        ArrayDeque<Write> disk() {
            return writes;
        }

        void written() {
            Write first = writes.poll();
            disk.putAll(first.texts);
            doubtful = Map.of();
            first.done.complete(null);
        }

        void refused(boolean there) {
            Write first = writes.poll();
            doubtful = there ? first.texts : Map.of();
            first.done.completeExceptionally(new IllegalStateException("disk write failed"));
        }

        void look(boolean time) {
            if (time && scene.lease) {
                lease.poll();
            }
            register.poll();
            found();
            readings();
            if (scene.duty()) {
                duty();
                table.persist(
                        Arrays.stream(peers).map(v -> v.registryProgress).toList(),
                        () -> Arrays.fill(news, true));
                acknowledge();
            }
        }

        /** Bootstraps the cluster as the real core does. */
        private void found() {
            if (!scene.first || index != 0 || !register.isBlank()) {
                return;
            }
            TreeSet<String> ids = new TreeSet<>();
            ids.add(id);
            for (int i = 0; i < scene.members; i++) {
                if (i != index && peers[i].firstStart && peers[i].answers) {
                    ids.add(peers[i].id());
                }
            }
            if (ids.size() == scene.members
                    || lacks(SafetyRule.FOUNDER_HEARS_ALL) && ids.size() > scene.members / 2) {
                register.bootstrap(ids);
            }
        }

        Message say(int to) {
            news[to] = false;
            Peer peer = peers[to];
            return new Message(
                    index,
                    life,
                    now,
                    peer.clock,
                    peer.life,
                    peer.id(),
                    id,
                    epoch(),
                    peer.id().isEmpty() ? null : register.messageTo(peer.id()),
                    scene.first && register.isBlank(),
                    token,
                    peer.itsToken,
                    lease.message(),
                    scene.duty() ? table.messageTo(peer.registryProgress) : null,
                    scene.duty() ? records.messageTo(peer.recordNumber) : null);
        }

        void hear(Message message) {
            Peer peer = peers[message.from()];
            if (message.life() == peer.life && message.clock() < peer.clock) {
                return;
            }
            if (message.life() != peer.life || !message.id().equals(peer.id())) {
                peer.life = message.life();
                peer.lease.reset(message.id());
                peer.lastAnsweredSend = LeaseManager.NEVER_MILLIS;
                peer.answers = false;
                peer.token = -1;
                peer.itsToken = 0;
                peer.registryProgress = new ReplicationProgress();
                peer.recordNumber = -1;
            }
            peer.clock = message.clock();
            peer.itsToken = Math.max(peer.itsToken, message.token());
            boolean answersThis = message.echoLife() == life && message.echoId().equals(id);
            if (answersThis) {
                peer.lastAnsweredSend = Math.max(peer.lastAnsweredSend, message.echoClock());
                peer.token = Math.max(peer.token, message.echoToken());
                peer.answers = true;
            }
            if (scene.duty()
                    && table.receive(message.registry(), peer.registryProgress, answersThis)) {
                Arrays.fill(news, true);
            }
            peer.lease.epoch(message.epoch());
            peer.firstStart = message.firstStart();
            if (message.register() != null) {
                try {
                    register.receive(peer.id(), message.register());
                } catch (Configuration.InvalidConfigurationException bad) {
                    breaks("a message is malformed: " + bad.getMessage());
                }
            }
            peer.lease.update(message.lease(), now);
            peer.lease.recordContact(now);
            if (scene.duty()) {
                peer.recordNumber = message.records().durableNumber();
                if (records.receive(message.records())) {
                    Arrays.fill(news, true);
                }
            }
            if (scene.lease) {
                lease.onRequest(peer.lease, message.lease().requestedNumber(), peer.clock);
                lease.onRelease(
                        peer.lease,
                        message.lease().abandonedNumber(),
                        message.lease().abandonedWasHeld());
            }
        }

        void read() {
            readings.add(new Read(history.begin(now, "reader at " + index), ++token));
            told.add("reads " + index);
        }

        /** Completes reads as the real core does. */
        private void readings() {
            for (Read one : List.copyOf(readings)) {
                Configuration got =
                        lacks(SafetyRule.FRESH_MAJORITY) && register.decidedValue() != null
                                ? register.committedConfiguration()
                                : one.reading.poll(
                                        register,
                                        of ->
                                                of.equals(id)
                                                        || peer(of) != null
                                                                && peer(of).token >= one.token);
                if (got != null) {
                    readings.remove(one);
                    history.end(one.operation, now, got.revision(), digest(got));
                    told.add(index + " reads " + got.revision() + "/" + digest(got));
                    ended = true;
                }
            }
        }

        private SortedSet<String> set(int mask) {
            TreeSet<String> set = new TreeSet<>();
            for (int i = 0; i < scene.processes; i++) {
                String known = i == index ? id : peers[i].id();
                if ((mask >> i & 1) == 1 && !known.isEmpty()) {
                    set.add(known);
                }
            }
            return set;
        }

        boolean changes(int mask) {
            RegisterValue is = base();
            if (is == null || !holdsLease() || scene.duty() && !taken) {
                return false;
            }
            if (is.isJoint()) {
                return mask == 0 && (!scene.duty() || settles(is));
            }
            return mask != 0
                    && set(mask).size() == Integer.bitCount(mask)
                    && !set(mask).equals(is.members());
        }

        private RegisterValue base() {
            return lacks(SafetyRule.SETS_ON_DECIDED)
                    ? register.acceptedValue()
                    : register.decidedValue();
        }

        void sets(int mask) {
            if (mask == 0) {
                register.proposeFinalMembers(base().epoch());
            } else {
                register.proposeMembers(base().epoch(), set(mask));
            }
        }

        /** Returns whether the membership change may finish, as the real core does. */
        private boolean settles(RegisterValue is) {
            Ballot joint = register.decidedBallot();
            return settling.canFinish(
                    is,
                    joint,
                    of -> register.acceptedBallotOf(of).equals(joint),
                    table.version(),
                    records.newestNumber(),
                    (of, change, record) ->
                            has(
                                    of,
                                    table.durableVersion() >= change
                                            && records.durableNumber() >= record,
                                    v ->
                                            table.durableVersionOf(v.registryProgress) >= change
                                                    && v.recordNumber >= record));
        }

        private boolean has(String of, boolean itself, Predicate<Peer> other) {
            return of.equals(id) ? itself : peer(of) != null && other.test(peer(of));
        }

        private boolean quorum(boolean itself, Predicate<Peer> other) {
            RegisterValue is = register.acceptedValue();
            return is != null && is.isQuorum(of -> has(of, itself, other));
        }

        // ---- failover coordinator

        /** Starts and ends the failover coordinator with the lease, as the real process does. */
        private void duty() {
            long number = !holdsLease() || !isVoter() ? 0 : scene.lease ? lease.number() : life + 1;
            if (held != number) {
                held = number;
                heldFrom = now;
                began = new TreeMap<>(acknowledged);
                if (held != 0) {
                    given.startLease(held);
                }
                taken = false;
            }
            boolean one = register.decidedValue() != null && !register.decidedValue().isJoint();
            if (one) {
                settling.reset();
            }
            if (held != 0
                    && !taken
                    && quorum(
                            true,
                            v ->
                                    records.hasAllRecordsOf(
                                            scene.lease
                                                    ? v.lastAnsweredSend >= heldFrom
                                                    : v.answers,
                                            v.recordNumber))) {
                taken = true;
                began.forEach(
                        (server, rank) -> {
                            if (STATES.indexOf(stateOf(server)) < rank) {
                                breaks(
                                        id
                                                + " becomes failover coordinator and does not know that "
                                                + server
                                                + " is "
                                                + STATES.get(rank));
                            }
                        });
                records.renumberAll(given::next);
            }
            if (taken && register.decidedValue() != null && register.decidedValue().isJoint()) {
                // Evaluated at each step so that the barrier is set as early as possible.
                settles(register.decidedValue());
            }
        }

        void record(String service) {
            long number = given.next();
            records.merge(new PrimaryRecord(service, number, "of " + number, false, false));
        }

        /**
         * Marks the records of this lease that a majority has stored as ones that the coordinator
         * may act on, and checks that the coordinator knows all such records.
         */
        void mayAct() {
            for (PrimaryRecord lead : records.all()) {
                long number = lead.number();
                if (number >> 20 == held
                        && quorum(
                                records.durableNumber() >= number, v -> v.recordNumber >= number)) {
                    acted.merge(lead.service(), number, Math::max);
                }
            }
            acted.forEach(
                    (service, number) -> {
                        if (records.get(service) == null
                                || records.get(service).number() < number) {
                            breaks(
                                    id
                                            + " is failover coordinator and does not know record "
                                            + number
                                            + " of "
                                            + service);
                        }
                    });
        }

        /** Handles a server report as the real core does. */
        void server(int server, int state) {
            String name = "d" + server;
            if (state < 2) {
                table.merge(
                        new ServerRow(
                                name,
                                "s" + server,
                                "x",
                                "z",
                                ServerState.parse(STATES.get(state)),
                                "replica",
                                ++calls),
                        now);
            } else if (changeNumberOf(name) < 0 && lacks(SafetyRule.ROWS_OF_LEAVES)) {
                acknowledged.merge(name, state, Math::max);
                return;
            } else {
                table.markLeaving(name);
            }
            awaits(name);
        }

        /** Returns the version of the last change of this row, or -1 if there is none. */
        private long changeNumberOf(String server) {
            DatabaseServer row = table.get(server);
            return row == null ? -1 : row.lastChangeVersion();
        }

        /** Returns the state of a server, or an empty text if the server is unknown. */
        private String stateOf(String server) {
            DatabaseServer row = table.get(server);
            return row == null ? "" : row.state().wireName();
        }

        private void awaits(String name) {
            int is = STATES.indexOf(stateOf(name));
            if (is > 0) {
                waits.add(new Waits(name, is, changeNumberOf(name)));
            }
            Arrays.fill(news, true);
        }

        /** Acknowledges server reports as the real core does. */
        private void acknowledge() {
            if (!waits.isEmpty()) {
                long agreed =
                        reached(
                                table.durableVersion(),
                                v ->
                                        table.acknowledgedVersionOf(
                                                v.registryProgress, v.lease.epoch(), epoch()));
                for (Waits one : List.copyOf(waits)) {
                    if (one.change <= agreed) {
                        waits.remove(one);
                        acknowledged.merge(one.server, one.rank, Math::max);
                    }
                }
            }
        }

        /** Checks that rows and records only move forward within an incarnation. */
        void onlyForward() {
            for (int i = 0; i < SERVERS; i++) {
                String server = "d" + i;
                int rank = STATES.indexOf(stateOf(server));
                if (rows.getOrDefault(server, -1) > rank) {
                    breaks(server + " is " + stateOf(server) + " again at " + id);
                }
                rows.put(server, rank);
            }
            for (PrimaryRecord lead : records.all()) {
                if (numbers.getOrDefault(lead.service(), -1L) > lead.number()) {
                    breaks(lead.service() + " has record " + lead.number() + " again at " + id);
                }
                numbers.put(lead.service(), lead.number());
                String text = lead.service() + " " + lead.primary();
                if (!text.equals(recorded.computeIfAbsent(lead.number(), n -> text))) {
                    breaks("two records under number " + lead.number());
                }
            }
        }

        /**
         * Checks that the records which the process reports as durable are on its disk, and that
         * the rows which it believes stored at peers are on their disks.
         */
        void claims() {
            acted.forEach(
                    (service, number) -> {
                        if (records.durableNumber() >= number && recordOnDisk(service) < number) {
                            breaks(
                                    id
                                            + " reports record "
                                            + records.durableNumber()
                                            + " and all before as durable, and lacks on disk "
                                            + number
                                            + " of "
                                            + service);
                        }
                    });
            for (int i = 0; i < SERVERS; i++) {
                String server = "d" + i;
                int rank = STATES.indexOf(stateOf(server));
                long change = changeNumberOf(server);
                for (int other = 0; change >= 0 && other < peers.length; other++) {
                    Process p = processes[other];
                    if (other != index
                            && p.id.equals(peers[other].id())
                            && p.disk.containsKey("id")
                            && table.durableVersionOf(peers[other].registryProgress) >= change
                            && p.onDisk(server) < rank) {
                        breaks(
                                id
                                        + " received the report that "
                                        + p.id
                                        + " stored its change "
                                        + change
                                        + ", and there "
                                        + server
                                        + " is not "
                                        + STATES.get(rank));
                    }
                }
            }
        }

        int onDisk(String server) {
            String text = disk.get("server:" + server);
            return text == null ? -1 : STATES.indexOf(text.split("\n")[3]);
        }

        long recordOnDisk(String service) {
            String text = disk.get("lead:" + service);
            return text == null ? -1 : Long.parseLong(text.split("\n")[0]);
        }

        private Peer peer(String of) {
            for (Peer v : peers) {
                if (v.id().equals(of)) {
                    return v;
                }
            }
            return null;
        }

        // ---- callbacks of the register and the lease

        @Override
        public String selfId() {
            return id;
        }

        @Override
        public long nowMillis() {
            return now;
        }

        @Override
        public CompletableFuture<Void> persist(Map<String, String> texts) {
            Write write = new Write(texts, new CompletableFuture<>());
            writes.add(write);
            boolean ballot =
                    texts.containsKey("promised-ballot") && !texts.containsKey("accepted-ballot");
            boolean own =
                    ballot && Ballot.parse(texts.get("promised-ballot")).proposer().equals(id);
            boolean early =
                    lacks(SafetyRule.BALLOT_ON_DISK) && own
                            || lacks(SafetyRule.PROMISE_ON_DISK) && ballot && !own
                            || lacks(SafetyRule.ACCEPTED_ON_DISK)
                                    && texts.containsKey("accepted-ballot")
                            || lacks(SafetyRule.LEASE_ON_DISK) && texts.containsKey("promised")
                            || lacks(SafetyRule.ROWS_ON_DISK)
                                    && texts.keySet().stream()
                                            .anyMatch(name -> name.startsWith("server:"))
                            || lacks(SafetyRule.RECORDS_ON_DISK)
                                    && texts.keySet().stream()
                                            .anyMatch(name -> name.startsWith("lead:"));
            if (early) {
                if (texts.containsKey("accepted-ballot")) {
                    accepted.computeIfAbsent(
                                    Ballot.parse(texts.get("accepted-ballot")),
                                    b -> new TreeSet<>())
                            .add(id);
                }
                write.done.complete(null);
            }
            return write.done;
        }

        @Override
        public void broadcast() {
            // The time of sending is chosen by the steps.
            Arrays.fill(news, true);
        }

        @Override
        public void onDecided(RegisterValue value) {
            // Checked after the step.
        }

        @Override
        public long randomBelow(long below) {
            long mixed =
                    seed * 0x9E3779B97F4A7C15L
                            + index * 0xBF58476D1CE4E5B9L
                            + chances++ * 0x94D049BB133111EBL;
            mixed = (mixed ^ mixed >>> 31) * 0xD6E8FEB86659FD93L;
            return seed == 0 ? 0 : Long.remainderUnsigned(mixed ^ mixed >>> 32, below);
        }

        @Override
        public boolean holdsLease() {
            return lacks(SafetyRule.SETS_BY_HOLDER) || (scene.lease ? lease.isHeld() : index == 0);
        }

        @Override
        public boolean isDisabled(SafetyRule defence) {
            return lacks(defence);
        }

        @Override
        public long epoch() {
            return register == null || register.acceptedValue() == null
                    ? 0
                    : register.acceptedValue().epoch();
        }

        @Override
        public boolean isMember(String of) {
            RegisterValue is = register.acceptedValue();
            return is != null && (is.members().contains(of) || is.outgoing().contains(of));
        }

        @Override
        public boolean isVoter() {
            return isMember(id);
        }

        @Override
        public boolean isIsolated() {
            return reached(now, v -> v.lastAnsweredSend) < now - 1_300;
        }

        @Override
        public int memberRank() {
            return register.acceptedValue() == null
                    ? 0
                    : register.acceptedValue().members().headSet(id).size();
        }

        @Override
        public long diskStalledMillis() {
            return 0;
        }

        @Override
        public Iterable<? extends LeaseManager.Voter> peers() {
            List<PeerLease> others = new ArrayList<>();
            for (int i = 0; i < peers.length; i++) {
                if (i != index) {
                    others.add(peers[i].lease);
                }
            }
            return others;
        }

        @Override
        public long quorumReached(long own, ToLongFunction<LeaseManager.Voter> quantity) {
            return reached(own, peer -> quantity.applyAsLong(peer.lease));
        }

        private long reached(long own, ToLongFunction<Peer> quantity) {
            RegisterValue value = register.acceptedValue();
            if (value == null) {
                return LeaseManager.NEVER_MILLIS;
            }
            return value.quorumReached(
                    of -> {
                        if (of.equals(id)) {
                            return own;
                        }
                        Peer peer = peer(of);
                        return peer == null
                                ? LeaseManager.NEVER_MILLIS
                                : quantity.applyAsLong(peer);
                    });
        }
    }
}
