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
 * A few control processes by their real {@link ReplicatedRegister}, {@link LeaseManager}, {@link
 * PrimaryRecords}, {@link Table} and {@link ReconfigurationBarrier}, two operators, database
 * servers, their disks and what lies between them, all of it moved by steps that are chosen from
 * outside. After each step it is looked at whether all still holds:
 *
 * <ul>
 *   <li>one ballot has one value; values that enough disks accepted are one line: past numbers keep
 *       their contents, the number in force never falls, sets change by one step of two at a time;
 *       what a process takes for decided is one of them;
 *   <li>what was acknowledged stands in that line, what was refused stands there with another
 *       content, for ever;
 *   <li>the calls of the operators are linearizable ({@link LinearizabilityChecker});
 *   <li>one process at a time holds the lease, a number of it belongs to one life of one process,
 *       and each is above those held before;
 *   <li>whoever holds the lease knows until when those before could say that theirs runs;
 *   <li>that a server drains or left, once acknowledged, and a record that a holder may act on, are
 *       on the disks of enough that no majority lacks them; who says to have them has them, and who
 *       takes the duty over knows what there was when its lease began; rows and records never go
 *       back, and a number is one record's.
 * </ul>
 */
final class ControlPlaneModel {

    /** What may happen. */
    enum Kind {
        /** a says its message to b, which hears it. */
        MESSAGE,
        /** a says its message to b; it is on its way. */
        SENT,
        /** The message that was put on its way as the a-th comes, be it again. */
        OLD,
        /** The first write of a's disk is done. */
        DISK,
        /**
         * The first write of a's disk fails; b = 1: yet it is there after a loss of power before
         * the next one is done.
         */
        REFUSED,
        /** a loses its power; the first b of its writes were done. */
        CRASH,
        START,
        /** a's disk is gone. */
        EMPTY,
        /** Milliseconds pass. */
        TIME,
        /** Operator a sends an order to process b % 8, with number b / 8. */
        ORDER,
        /** Operator a has no answer. */
        GIVE_UP,
        /** A read at a. */
        READ,
        /**
         * a, if it holds the lease, wants the processes of the bits of b as members; without bits,
         * the second step.
         */
        SETS,
        /** What a says does not reach b, until it does. */
        CUT,
        JOIN,
        /** Server b / 3 says at a that it is ready, that it drains, or that it leaves. */
        SERVER,
        /** a, if it has the duty, records who leads service b. */
        RECORD
    }

    record Step(Kind kind, int a, int b) {
        @Override
        public String toString() {
            return kind + " " + a + " " + b;
        }
    }

    /**
     * What there is, and how often each thing may happen.
     *
     * @param freshStart nothing is on the disks, and the first process founds; else the first ones
     *     are members
     * @param usesLeaseManager whether the real lease runs; else the first process holds it
     * @param revisions orders have numbers from 1 to this
     * @param maxMembershipSteps changes of the sets that may be asked for; up to two: those that
     *     the first steps ask for, and the step that settles them
     * @param maxServerReports what servers say; with these or records, sets are changed and settled
     *     only by whoever has the duty, by its rule
     */
    record ModelLimits(
            int processes,
            int members,
            boolean freshStart,
            boolean usesLeaseManager,
            int revisions,
            int maxWrites,
            int maxReads,
            int maxInFlight,
            int maxCrashes,
            int maxDiskLosses,
            int maxWriteFailures,
            int maxTimeSteps,
            int maxMembershipSteps,
            int maxLinkCuts,
            int maxServerReports,
            int maxRecords) {

        ModelLimits(
                int processes,
                int members,
                boolean freshStart,
                boolean usesLeaseManager,
                int revisions,
                int maxWrites,
                int maxReads,
                int maxInFlight,
                int maxCrashes,
                int maxDiskLosses,
                int maxWriteFailures,
                int maxTimeSteps,
                int maxMembershipSteps,
                int maxLinkCuts) {
            this(
                    processes,
                    members,
                    freshStart,
                    usesLeaseManager,
                    revisions,
                    maxWrites,
                    maxReads,
                    maxInFlight,
                    maxCrashes,
                    maxDiskLosses,
                    maxWriteFailures,
                    maxTimeSteps,
                    maxMembershipSteps,
                    maxLinkCuts,
                    0,
                    0);
        }

        /** There is a duty: servers, and records of who leads. */
        boolean hasCoordinator() {
            return maxServerReports + maxRecords > 0;
        }
    }

    private static final int OPERATORS = 2;

    /** Servers, each of a service of its own. */
    private static final int SERVER_COUNT = 2;

    private static final List<String> SERVER_STATES =
            List.of("ready", "draining", "leaving", "left");
    private static final int[] TIME_STEPS_MILLIS = {10, 50, 250, 1_000};

    final ModelLimits limits;
    private final SafetyRule disabledRule;
    private final long seed;
    final ControlProcess[] processes;
    final List<Step> steps = new ArrayList<>();
    final LinearizabilityChecker history = new LinearizabilityChecker();
    private final List<String> operatorEvents = new ArrayList<>();
    private final List<InFlightMessage> inFlight = new ArrayList<>();
    private final boolean[][] linkCut;
    private final PendingWrite[] pendingWrites = new PendingWrite[OPERATORS];
    private final int[] remainingSteps;
    private final TreeMap<Ballot, RegisterValue> valuesByBallot = new TreeMap<>();
    private final TreeMap<Ballot, TreeSet<String>> acceptorsByBallot = new TreeMap<>();

    /** What enough disks accepted. */
    private final TreeMap<Ballot, RegisterValue> chosen = new TreeMap<>();

    private final TreeMap<String, Boolean> answers = new TreeMap<>();
    private final TreeMap<Long, String> leaseHolders = new TreeMap<>();

    /** Until when a holder could say that its lease runs. */
    private long claimedUntilMillis;

    private final Map<String, Configuration> contents = new HashMap<>();

    /**
     * How far servers are, as it was acknowledged to them; and records that a holder could act on,
     * by service.
     */
    private final TreeMap<String, Integer> acknowledgedStates = new TreeMap<>();

    private final TreeMap<String, Long> actionableRecords = new TreeMap<>();
    private final TreeMap<Long, String> recordTexts = new TreeMap<>();
    private long callSequence;
    long now = 1_000_000;

    /** Something was answered or chosen in this step. */
    private boolean historyChanged;

    /** What did not hold first. */
    String violation;

    private record InFlightMessage(int from, int to, Message message) {}

    private record PendingWrite(int operation, int process, String content) {}

    private record DiskWrite(Map<String, String> entries, CompletableFuture<Void> done) {}

    private static final class PendingRead {
        final int operation;
        final long token;
        final QuorumRead quorumRead = new QuorumRead();

        PendingRead(int operation, long token) {
            this.operation = operation;
            this.token = token;
        }
    }

    ControlPlaneModel(ModelLimits limits, SafetyRule disabledRule, long seed) {
        this.limits = limits;
        this.disabledRule = disabledRule;
        this.seed = seed;
        processes = new ControlProcess[limits.processes];
        linkCut = new boolean[limits.processes][limits.processes];
        remainingSteps = new int[Kind.values().length];
        Arrays.fill(remainingSteps, Integer.MAX_VALUE);
        limit(Kind.ORDER, limits.maxWrites);
        limit(Kind.READ, limits.maxReads);
        limit(Kind.SENT, limits.maxInFlight);
        limit(Kind.CRASH, limits.maxCrashes);
        limit(Kind.EMPTY, limits.maxDiskLosses);
        limit(Kind.REFUSED, limits.maxWriteFailures);
        limit(Kind.TIME, limits.maxTimeSteps);
        limit(Kind.SETS, limits.maxMembershipSteps);
        limit(Kind.CUT, limits.maxLinkCuts);
        limit(Kind.SERVER, limits.maxServerReports);
        limit(Kind.RECORD, limits.maxRecords);
        TreeSet<String> members = new TreeSet<>();
        for (int i = 0; i < limits.processes; i++) {
            processes[i] = new ControlProcess(i);
            if (i < limits.members) {
                members.add(ip(i) + "/0");
            }
        }
        for (ControlProcess process : processes) {
            if (!limits.freshStart) {
                process.disk.put("promised-ballot", "1 " + ip(0) + "/0");
                process.disk.put("accepted-ballot", "1 " + ip(0) + "/0");
                process.disk.put("epoch", "1");
                process.disk.put("members", String.join(",", members));
            }
            process.start();
        }
        checkInvariants();
    }

    private void limit(Kind kind, int maximum) {
        remainingSteps[kind.ordinal()] = maximum;
    }

    private static String ip(int index) {
        return "10.0.0." + index;
    }

    private boolean lacksRule(SafetyRule rule) {
        return disabledRule == rule;
    }

    private void recordViolation(String description) {
        violation = violation == null ? description : violation;
    }

    private Configuration configuration(long revision, int operator) {
        return contents.computeIfAbsent(
                revision + "/" + operator,
                key -> {
                    try {
                        return Configuration.parse(
                                ("{\"revision_number\":"
                                                + revision
                                                + ",\"by\":"
                                                + operator
                                                + ",\"services\":[],\"routes\":[]}")
                                        .getBytes(StandardCharsets.UTF_8));
                    } catch (Configuration.InvalidConfigurationException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    private static String digest(Configuration configuration) {
        String body = new String(configuration.body(), StandardCharsets.UTF_8);
        int at = body.indexOf("\"by\":");
        return at < 0 ? "" : body.substring(at + 5, at + 6);
    }

    // ---- steps

    boolean isPossible(Step step) {
        if (remainingSteps[step.kind.ordinal()] <= 0) {
            return false;
        }
        boolean operatorStep = step.kind == Kind.ORDER || step.kind == Kind.GIVE_UP;
        ControlProcess process =
                operatorStep || step.kind == Kind.TIME || step.kind == Kind.OLD
                        ? null
                        : processes[step.a];
        boolean running = process != null && process.register != null;
        switch (step.kind) {
            case MESSAGE:
            case SENT:
                return step.a != step.b
                        && running
                        && !linkCut[step.a][step.b]
                        && processes[step.b].register != null;
            case OLD:
                return step.a < inFlight.size()
                        && processes[inFlight.get(step.a).to].register != null;
            case DISK:
            case REFUSED:
                return running && !process.disk().isEmpty();
            case CRASH:
                return running && step.b <= process.disk().size();
            case START:
                return !running;
            case EMPTY:
                return !running && !process.disk.isEmpty();
            case ORDER:
                return pendingWrites[step.a] == null && processes[step.b % 8].register != null;
            case GIVE_UP:
                return pendingWrites[step.a] != null && remainingSteps[Kind.ORDER.ordinal()] > 0;
            case READ:
                return running;
            case SETS:
                return running && process.canChangeMembers(step.b);
            case SERVER:
                return running && process.register.acceptedValue() != null;
            case RECORD:
                return running && process.isCoordinator && process.holdsLease();
            case CUT:
                return step.a != step.b && !linkCut[step.a][step.b];
            case JOIN:
                return linkCut[step.a][step.b];
            default:
                return true;
        }
    }

    void step(Step step) {
        steps.add(step);
        remainingSteps[step.kind.ordinal()]--;
        switch (step.kind) {
            case MESSAGE -> processes[step.b].receive(processes[step.a].messageTo(step.b));
            case SENT ->
                    inFlight.add(
                            new InFlightMessage(
                                    step.a, step.b, processes[step.a].messageTo(step.b)));
            case OLD -> processes[inFlight.get(step.a).to].receive(inFlight.get(step.a).message);
            case DISK -> processes[step.a].completeWrite();
            case REFUSED -> processes[step.a].failWrite(step.b == 1);
            case CRASH -> processes[step.a].crash(step.b);
            case START -> processes[step.a].start();
            case EMPTY -> processes[step.a].replaceDisk();
            case TIME -> now += step.a;
            case ORDER -> startWrite(step.a, step.b % 8, step.b / 8);
            case GIVE_UP -> {
                history.end(
                        pendingWrites[step.a].operation,
                        now,
                        LinearizabilityChecker.Outcome.UNKNOWN);
                operatorEvents.add("gives up " + step.a);
                pendingWrites[step.a] = null;
            }
            case READ -> processes[step.a].startRead();
            case SETS -> processes[step.a].changeMembers(step.b);
            case SERVER -> processes[step.a].reportServer(step.b / 3, step.b % 3);
            case RECORD -> processes[step.a].issueRecord("s" + step.b);
            case CUT -> linkCut[step.a][step.b] = true;
            case JOIN -> {
                linkCut[step.a][step.b] = false;
                if (processes[step.a].register != null) {
                    processes[step.a].register.onConnectionReset(processes[step.b].id);
                }
            }
            default -> throw new IllegalStateException();
        }
        for (ControlProcess process : processes) {
            if (process.register != null) {
                process.poll(step.kind == Kind.TIME);
            }
        }
        checkInvariants();
    }

    private void checkInvariants() {
        for (ControlProcess process : processes) {
            if (process.register != null) {
                recordAccepted(process);
            }
        }
        acceptorsByBallot.forEach(
                (ballot, acceptors) -> {
                    RegisterValue value = valuesByBallot.get(ballot);
                    if (value != null
                            && !chosen.containsKey(ballot)
                            && value.isDecidedBy(acceptors::contains)) {
                        recordChosen(ballot, value);
                    }
                });
        for (ControlProcess process : processes) {
            if (process.register != null) {
                checkDecidedAndLease(process);
            }
        }
        checkSingleHolder();
        checkCoordinators();
        if (historyChanged) {
            historyChanged = false;
            String historyFault = history.check();
            if (historyFault != null) {
                recordViolation(historyFault);
            }
            checkAnswers();
        }
    }

    /** All that may happen next. */
    List<Step> possibleSteps() {
        List<Step> all = new ArrayList<>();
        int processCount = limits.processes;
        for (int process = 0; process < processCount; process++) {
            for (int peer = 0; peer < processCount; peer++) {
                addIfPossible(all, Kind.MESSAGE, process, peer);
                addIfPossible(all, Kind.SENT, process, peer);
                if (process != peer) {
                    addIfPossible(
                            all, linkCut[process][peer] ? Kind.JOIN : Kind.CUT, process, peer);
                }
            }
            addIfPossible(all, Kind.DISK, process, 0);
            addIfPossible(all, Kind.REFUSED, process, 0);
            addIfPossible(all, Kind.REFUSED, process, 1);
            for (int completedWrites = 0;
                    processes[process].register != null
                            && completedWrites <= processes[process].disk().size();
                    completedWrites++) {
                addIfPossible(all, Kind.CRASH, process, completedWrites);
            }
            addIfPossible(all, Kind.START, process, 0);
            addIfPossible(all, Kind.EMPTY, process, 0);
            addIfPossible(all, Kind.READ, process, 0);
            for (int argument = 0; argument < 3 * SERVER_COUNT; argument++) {
                addIfPossible(all, Kind.SERVER, process, argument);
            }
            for (int argument = 0; argument < SERVER_COUNT; argument++) {
                addIfPossible(all, Kind.RECORD, process, argument);
            }
            // Where few changes may be asked for, the first steps have asked for the sets; the
            // second step of each is left.
            for (int memberBits = 0;
                    memberBits < (limits.maxMembershipSteps > 2 ? 1 << processCount : 1);
                    memberBits++) {
                if (memberBits == 0 || Integer.bitCount(memberBits) >= 2) {
                    addIfPossible(all, Kind.SETS, process, memberBits);
                }
            }
        }
        for (int operator = 0; operator < OPERATORS; operator++) {
            for (int process = 0; process < processCount; process++) {
                for (int revision = 1; revision <= limits.revisions; revision++) {
                    addIfPossible(all, Kind.ORDER, operator, process + 8 * revision);
                }
            }
            addIfPossible(all, Kind.GIVE_UP, operator, 0);
        }
        for (int message = 0; message < inFlight.size(); message++) {
            addIfPossible(all, Kind.OLD, message, 0);
        }
        for (int time : TIME_STEPS_MILLIS) {
            addIfPossible(all, Kind.TIME, time, 0);
        }
        return all;
    }

    private void addIfPossible(List<Step> all, Kind kind, int a, int b) {
        Step step = new Step(kind, a, b);
        if (isPossible(step)) {
            all.add(step);
        }
    }

    private void startWrite(int operator, int process, long revision) {
        Configuration configuration = configuration(revision, operator);
        String digest = Integer.toString(operator);
        PendingWrite write =
                new PendingWrite(
                        history.begin(now, "operator " + operator, revision, digest),
                        process,
                        revision + "/" + digest);
        pendingWrites[operator] = write;
        operatorEvents.add("asks " + operator + " " + write.content);
        processes[process]
                .register
                .propose(configuration)
                .whenComplete(
                        (result, error) -> {
                            if (pendingWrites[operator] == write && error == null) {
                                pendingWrites[operator] = null;
                                boolean accepted = result == RegisterValue.Outcome.ACCEPTED;
                                history.end(
                                        write.operation,
                                        now,
                                        accepted
                                                ? LinearizabilityChecker.Outcome.ACKNOWLEDGED
                                                : LinearizabilityChecker.Outcome.REFUSED);
                                operatorEvents.add(operator + " is told " + result);
                                if (!Boolean.valueOf(accepted)
                                        .equals(answers.getOrDefault(write.content, accepted))) {
                                    recordViolation(
                                            "order "
                                                    + write.content
                                                    + " is refused and acknowledged");
                                }
                                answers.put(write.content, accepted);
                                historyChanged = true;
                            }
                        });
    }

    // ---- what must hold

    /** What was answered stands in the newest chosen value. */
    private void checkAnswers() {
        if (chosen.isEmpty()) {
            if (!answers.isEmpty()) {
                recordViolation("answered, with nothing chosen: " + answers);
            }
            return;
        }
        RegisterValue newest = chosen.lastEntry().getValue();
        answers.forEach(
                (content, accepted) -> {
                    String[] revisionAndOperator = content.split("/");
                    Configuration configuration =
                            configuration(
                                    Long.parseLong(revisionAndOperator[0]),
                                    Integer.parseInt(revisionAndOperator[1]));
                    RegisterValue.Outcome outcome = newest.outcome(configuration);
                    if (outcome
                            != (accepted
                                    ? RegisterValue.Outcome.ACCEPTED
                                    : RegisterValue.Outcome.CONFLICT)) {
                        recordViolation(
                                "order "
                                        + content
                                        + " was "
                                        + (accepted ? "acknowledged" : "refused")
                                        + ", and in the newest value it is "
                                        + outcome
                                        + ": "
                                        + describe(newest));
                    }
                });
    }

    private static String describe(RegisterValue value) {
        return "epoch "
                + value.epoch()
                + " of "
                + value.members()
                + (value.outgoing().isEmpty() ? "" : " and " + value.outgoing())
                + (value.retired().isEmpty() ? "" : " without " + value.retired())
                + " number "
                + value.configuration().revision()
                + "/"
                + digest(value.configuration())
                + " past "
                + value.revisionDigests();
    }

    private void recordAccepted(ControlProcess process) {
        Ballot ballot = process.register.acceptedBallot();
        if (!ballot.equals(process.seenAccepted)) {
            process.seenAccepted = ballot;
            recordValue(ballot, process.register.acceptedValue());
            acceptorsByBallot.computeIfAbsent(ballot, b -> new TreeSet<>()).add(process.id);
        }
        if (!process.register.decidedBallot().equals(process.seenDecided)) {
            recordValue(process.register.decidedBallot(), process.register.decidedValue());
        }
    }

    private void recordValue(Ballot ballot, RegisterValue value) {
        RegisterValue other = valuesByBallot.putIfAbsent(ballot, value);
        if (other != null && !describe(other).equals(describe(value))) {
            recordViolation(
                    "two values under ballot "
                            + ballot
                            + ": "
                            + describe(other)
                            + "; "
                            + describe(value));
        }
    }

    private void checkDecidedAndLease(ControlProcess process) {
        Ballot decided = process.register.decidedBallot();
        if (!decided.equals(process.seenDecided)) {
            process.seenDecided = decided;
            if (!chosen.containsKey(decided)) {
                recordViolation(
                        process.id
                                + " takes for decided what is not: "
                                + decided
                                + " "
                                + describe(process.register.decidedValue()));
            }
        }
        if (limits.usesLeaseManager && process.lease.isHeld()) {
            String incarnation = process.id + " life " + process.incarnation;
            if (!leaseHolders.isEmpty() && process.lease.number() < leaseHolders.lastKey()) {
                recordViolation(
                        "the lease's number "
                                + process.lease.number()
                                + " is held after "
                                + leaseHolders.lastKey());
            }
            if (!leaseHolders.containsKey(process.lease.number())
                    && Math.max(now, process.lease.formerLeaseEndMillis()) < claimedUntilMillis) {
                recordViolation(
                        "the lease is "
                                + incarnation
                                + "'s, who may think that what was said before is over by "
                                + process.lease.formerLeaseEndMillis()
                                + ", not "
                                + claimedUntilMillis);
            }
            claimedUntilMillis = Math.max(claimedUntilMillis, process.lease.validUntilMillis());
            if (!incarnation.equals(
                    leaseHolders.computeIfAbsent(process.lease.number(), n -> incarnation))) {
                recordViolation(
                        "the lease's number "
                                + process.lease.number()
                                + " is of "
                                + leaseHolders.get(process.lease.number())
                                + " and of "
                                + incarnation);
            }
        }
    }

    private void recordChosen(Ballot ballot, RegisterValue value) {
        Map.Entry<Ballot, RegisterValue> lower = chosen.lowerEntry(ballot);
        Map.Entry<Ballot, RegisterValue> higher = chosen.higherEntry(ballot);
        chosen.put(ballot, value);
        String problem = lower == null ? null : sequenceViolation(lower.getValue(), value);
        problem =
                problem == null && higher != null
                        ? sequenceViolation(value, higher.getValue())
                        : problem;
        if (problem != null) {
            recordViolation("two lines of decided values: " + problem);
        }
        historyChanged = true;
    }

    /** Null where this value may be the next one, or one after a few of the same sets. */
    private String sequenceViolation(RegisterValue before, RegisterValue after) {
        String description = describe(before) + ", then " + describe(after);
        boolean sameSets =
                after.epoch() == before.epoch()
                        && after.members().equals(before.members())
                        && after.outgoing().equals(before.outgoing());
        boolean startsChange =
                after.epoch() == before.epoch() + 1
                        && !before.isJoint()
                        && after.outgoing().equals(before.members());
        boolean finishesChange =
                after.epoch() == before.epoch() + 1
                        && before.isJoint()
                        && !after.isJoint()
                        && after.members().equals(before.members());
        // Without a defence only what does harm counts, not that the steps are others.
        boolean tolerated = disabledRule != null && after.epoch() > before.epoch();
        if (!sameSets && !startsChange && !finishesChange && !tolerated) {
            return "sets: " + description;
        }
        if (!after.revisionDigests().entrySet().containsAll(before.revisionDigests().entrySet())) {
            return "numbers: " + description;
        }
        long revisionIncrease =
                after.configuration().revision() - before.configuration().revision();
        return revisionIncrease < 0
                        || revisionIncrease == 0
                                && !digest(before.configuration())
                                        .equals(digest(after.configuration()))
                ? "in force: " + description
                : null;
    }

    private void checkSingleHolder() {
        ControlProcess holder = null;
        for (ControlProcess process : processes) {
            if (limits.usesLeaseManager && process.register != null && process.lease.isHeld()) {
                if (holder != null) {
                    recordViolation(
                            "two hold the lease: "
                                    + holder.id
                                    + " with "
                                    + holder.lease.number()
                                    + ", "
                                    + process.id
                                    + " with "
                                    + process.lease.number());
                }
                holder = process;
            }
        }
    }

    /** What was acknowledged to servers, and what a holder could act on, is not lost. */
    private void checkCoordinators() {
        if (!limits.hasCoordinator()) {
            return;
        }
        for (ControlProcess process : processes) {
            if (process.register != null) {
                process.checkMonotonic();
                process.checkDurableReports();
                if (process.isCoordinator) {
                    process.checkActionableRecords();
                }
            }
        }
        acknowledgedStates.forEach(
                (server, rank) ->
                        checkMajorityHas(
                                process -> process.stateOnDisk(server) >= rank,
                                server + " is " + SERVER_STATES.get(rank)));
        actionableRecords.forEach(
                (service, number) ->
                        checkMajorityHas(
                                process -> process.recordOnDisk(service) >= number,
                                service + " has record " + number));
    }

    /** None of those that are there and lack it are a majority of the sets in force. */
    private void checkMajorityHas(Predicate<ControlProcess> has, String description) {
        RegisterValue value = newestChosen();
        if (value != null
                && value.isQuorum(
                        member ->
                                Arrays.stream(processes)
                                        .anyMatch(
                                                process ->
                                                        process.id.equals(member)
                                                                && process.disk.containsKey("id")
                                                                && !has.test(process)))) {
            recordViolation(
                    "a majority does not have on disk that "
                            + description
                            + ": "
                            + describe(value));
        }
    }

    /** The value in force, for whoever looks from outside. */
    RegisterValue newestChosen() {
        return chosen.isEmpty() ? null : chosen.lastEntry().getValue();
    }

    /** All that the future depends on. */
    String state() {
        StateDump dump = new StateDump();
        dump.add(now)
                .add(remainingSteps)
                .add(operatorEvents)
                .add(linkCut)
                .add(pendingWrites)
                .add(chosen)
                .add(acceptorsByBallot)
                .add(leaseHolders)
                .add(claimedUntilMillis)
                .add(answers);
        if (limits.hasCoordinator()) {
            dump.add(acknowledgedStates).add(actionableRecords).add(recordTexts).add(callSequence);
        }
        TreeSet<String> messages = new TreeSet<>();
        for (InFlightMessage message : inFlight) {
            messages.add(
                    new StateDump()
                            .add(message.from)
                            .add(message.to)
                            .add(message.message)
                            .toString());
        }
        dump.add(messages);
        for (ControlProcess process : processes) {
            dump.add(process.disk)
                    .add(process.failedEntries)
                    .add(process.diskLosses)
                    .add(process.incarnation)
                    .add(process.id)
                    .add(process.register == null);
            if (process.register != null) {
                dump.add(process.writes.stream().map(DiskWrite::entries).toList())
                        .add(process.register)
                        .add(process.lease)
                        .add(process.peers)
                        .add(process.token)
                        .add(process.pendingReads);
                if (limits.hasCoordinator()) {
                    dump.add(process.registry)
                            .add(process.records)
                            .add(process.barrier)
                            .add(process.coordinatorLease)
                            .add(process.coordinatorLeaseStart)
                            .add(process.isCoordinator)
                            .add(process.fencingTokens)
                            .add(process.statesAtLeaseStart)
                            .add(process.pendingAcknowledgements)
                            .add(process.seenStates)
                            .add(process.seenRecords);
                }
            }
        }
        return dump.toString();
    }

    // ---- a process

    /** What one process says to another. */
    private record Message(
            int from,
            int incarnation,
            long clock,
            long echoClock,
            int echoIncarnation,
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

    /** Another process, as its last message told. */
    private static final class Peer {
        final PeerLease lease = new PeerLease();
        int incarnation = -1;
        long lastClock;
        long lastAnsweredSend = LeaseManager.NEVER_MILLIS;
        boolean firstStart;
        boolean hasAnswered;
        long peerToken;
        long answeredToken = -1;
        ReplicationProgress registryProgress = new ReplicationProgress();
        long recordNumber = -1;

        String id() {
            return lease.id();
        }
    }

    /** A server waits until a majority has its row as far as this. */
    private record PendingAcknowledgement(String server, int rank, long changeVersion) {}

    /** One control process: what {@code core.Core} does around register and lease, and no more. */
    final class ControlProcess implements LeaseManager.Context {
        private static final long POLL_INTERVAL_MS = 50;
        final int index;
        final TreeMap<String, String> disk = new TreeMap<>();
        final ArrayDeque<DiskWrite> writes = new ArrayDeque<>();

        /** What the disk refused, and may hold all the same. */
        Map<String, String> failedEntries = Map.of();

        int diskLosses;
        int incarnation = -1;
        String id = "";

        /** Null while it is down. */
        ReplicatedRegister register;

        LeaseManager lease;

        /** To whom there is something to say that was not yet said. */
        final boolean[] hasUnsentState = new boolean[limits.processes];

        Peer[] peers;
        long token;
        List<PendingRead> pendingReads;
        Ballot seenAccepted = Ballot.NONE;
        Ballot seenDecided = Ballot.NONE;
        private long randomDraws;
        RegistryReplication registry;
        PrimaryRecords records;
        ReconfigurationBarrier barrier;

        /**
         * The lease under which it has the duty, since when, and whether it knows what earlier
         * holders recorded.
         */
        long coordinatorLease;

        long coordinatorLeaseStart;
        boolean isCoordinator;
        FencingTokens fencingTokens;

        /**
         * What was acknowledged to servers when the lease began: later words are for whoever has
         * the duty by then.
         */
        TreeMap<String, Integer> statesAtLeaseStart = new TreeMap<>();

        final List<PendingAcknowledgement> pendingAcknowledgements = new ArrayList<>();

        /** As far as rows and records were seen here in this life. */
        final TreeMap<String, Integer> seenStates = new TreeMap<>();

        final TreeMap<String, Long> seenRecords = new TreeMap<>();

        ControlProcess(int index) {
            this.index = index;
        }

        void start() {
            incarnation++;
            if (disk.isEmpty() || !disk.containsKey("id")) {
                disk.put("id", ip(index) + "/" + (lacksRule(SafetyRule.NEW_ID) ? 0 : diskLosses));
            }
            id = disk.get("id");
            writes.clear();
            peers = new Peer[limits.processes];
            for (int i = 0; i < peers.length; i++) {
                peers[i] = new Peer();
            }
            token = 0;
            pendingReads = new ArrayList<>();
            seenAccepted = Ballot.NONE;
            seenDecided = Ballot.NONE;
            ReplicatedRegister restored = new ReplicatedRegister(this);
            lease = new LeaseManager(this);
            try {
                restored.restore(new TreeMap<>(disk));
            } catch (Configuration.InvalidConfigurationException e) {
                recordViolation(id + " cannot read its disk: " + e.getMessage());
            }
            register = restored;
            lease.restore(new TreeMap<>(disk));
            registry = new RegistryReplication(this);
            records = new PrimaryRecords(this);
            barrier = new ReconfigurationBarrier();
            registry.restore(new TreeMap<>(disk), now);
            records.restore(new TreeMap<>(disk));
            fencingTokens = new FencingTokens(this);
            coordinatorLease = 0;
            isCoordinator = false;
            pendingAcknowledgements.clear();
            seenStates.clear();
            seenRecords.clear();
            Arrays.fill(hasUnsentState, true);
            poll(true);
        }

        void crash(int completedWrites) {
            if (completedWrites == 0) {
                disk.putAll(failedEntries);
            }
            for (int i = 0; i < completedWrites; i++) {
                disk.putAll(writes.poll().entries);
            }
            failedEntries = Map.of();
            writes.clear();
            register = null;
        }

        void replaceDisk() {
            disk.clear();
            diskLosses++;
        }

        ArrayDeque<DiskWrite> disk() {
            return writes;
        }

        void completeWrite() {
            DiskWrite first = writes.poll();
            disk.putAll(first.entries);
            failedEntries = Map.of();
            first.done.complete(null);
        }

        void failWrite(boolean stored) {
            DiskWrite first = writes.poll();
            failedEntries = stored ? first.entries : Map.of();
            first.done.completeExceptionally(new IllegalStateException("the disk refuses"));
        }

        void poll(boolean timeAdvanced) {
            if (timeAdvanced && limits.usesLeaseManager) {
                lease.poll();
            }
            register.poll();
            bootstrapIfReady();
            pendingReads();
            if (limits.hasCoordinator()) {
                updateCoordinator();
                registry.persist(
                        Arrays.stream(peers).map(peer -> peer.registryProgress).toList(),
                        () -> Arrays.fill(hasUnsentState, true));
                completeAcknowledgements();
            }
        }

        /** As {@code core.Core.found}. */
        private void bootstrapIfReady() {
            if (!limits.freshStart || index != 0 || !register.isBlank()) {
                return;
            }
            TreeSet<String> ids = new TreeSet<>();
            ids.add(id);
            for (int i = 0; i < limits.members; i++) {
                if (i != index && peers[i].firstStart && peers[i].hasAnswered) {
                    ids.add(peers[i].id());
                }
            }
            if (ids.size() == limits.members
                    || lacksRule(SafetyRule.FOUNDER_HEARS_ALL) && ids.size() > limits.members / 2) {
                register.bootstrap(ids);
            }
        }

        Message messageTo(int peerIndex) {
            hasUnsentState[peerIndex] = false;
            Peer peer = peers[peerIndex];
            return new Message(
                    index,
                    incarnation,
                    now,
                    peer.lastClock,
                    peer.incarnation,
                    peer.id(),
                    id,
                    epoch(),
                    peer.id().isEmpty() ? null : register.messageTo(peer.id()),
                    limits.freshStart && register.isBlank(),
                    token,
                    peer.peerToken,
                    lease.message(),
                    limits.hasCoordinator() ? registry.messageTo(peer.registryProgress) : null,
                    limits.hasCoordinator() ? records.messageTo(peer.recordNumber) : null);
        }

        void receive(Message message) {
            Peer peer = peers[message.from()];
            if (message.incarnation() == peer.incarnation && message.clock() < peer.lastClock) {
                return;
            }
            if (message.incarnation() != peer.incarnation || !message.id().equals(peer.id())) {
                peer.incarnation = message.incarnation();
                peer.lease.reset(message.id());
                peer.lastAnsweredSend = LeaseManager.NEVER_MILLIS;
                peer.hasAnswered = false;
                peer.answeredToken = -1;
                peer.peerToken = 0;
                peer.registryProgress = new ReplicationProgress();
                peer.recordNumber = -1;
            }
            peer.lastClock = message.clock();
            peer.peerToken = Math.max(peer.peerToken, message.token());
            boolean answersCurrentIncarnation =
                    message.echoIncarnation() == incarnation && message.echoId().equals(id);
            if (answersCurrentIncarnation) {
                peer.lastAnsweredSend = Math.max(peer.lastAnsweredSend, message.echoClock());
                peer.answeredToken = Math.max(peer.answeredToken, message.echoToken());
                peer.hasAnswered = true;
            }
            if (limits.hasCoordinator()
                    && registry.receive(
                            message.registry(), peer.registryProgress, answersCurrentIncarnation)) {
                Arrays.fill(hasUnsentState, true);
            }
            peer.lease.epoch(message.epoch());
            peer.firstStart = message.firstStart();
            if (message.register() != null) {
                try {
                    register.receive(peer.id(), message.register());
                } catch (Configuration.InvalidConfigurationException e) {
                    recordViolation("a message is not understood: " + e.getMessage());
                }
            }
            peer.lease.update(message.lease(), now);
            peer.lease.recordContact(now);
            if (limits.hasCoordinator()) {
                peer.recordNumber = message.records().durableNumber();
                if (records.receive(message.records())) {
                    Arrays.fill(hasUnsentState, true);
                }
            }
            if (limits.usesLeaseManager) {
                lease.onRequest(peer.lease, message.lease().requestedNumber(), peer.lastClock);
                lease.onRelease(
                        peer.lease,
                        message.lease().abandonedNumber(),
                        message.lease().abandonedWasHeld());
            }
        }

        void startRead() {
            pendingReads.add(new PendingRead(history.begin(now, "reader at " + index), ++token));
            operatorEvents.add("reads " + index);
        }

        /** As {@code core.Core.read}. */
        private void pendingReads() {
            for (PendingRead read : List.copyOf(pendingReads)) {
                Configuration configuration =
                        lacksRule(SafetyRule.FRESH_MAJORITY) && register.decidedValue() != null
                                ? register.committedConfiguration()
                                : read.quorumRead.poll(
                                        register,
                                        member ->
                                                member.equals(id)
                                                        || peer(member) != null
                                                                && peer(member).answeredToken
                                                                        >= read.token);
                if (configuration != null) {
                    pendingReads.remove(read);
                    history.end(
                            read.operation, now, configuration.revision(), digest(configuration));
                    operatorEvents.add(
                            index
                                    + " reads "
                                    + configuration.revision()
                                    + "/"
                                    + digest(configuration));
                    historyChanged = true;
                }
            }
        }

        private SortedSet<String> memberSet(int memberBits) {
            TreeSet<String> members = new TreeSet<>();
            for (int process = 0; process < limits.processes; process++) {
                String peerId = process == index ? id : peers[process].id();
                if ((memberBits >> process & 1) == 1 && !peerId.isEmpty()) {
                    members.add(peerId);
                }
            }
            return members;
        }

        boolean canChangeMembers(int memberBits) {
            RegisterValue value = baseValue();
            if (value == null || !holdsLease() || limits.hasCoordinator() && !isCoordinator) {
                return false;
            }
            if (value.isJoint()) {
                return memberBits == 0 && (!limits.hasCoordinator() || canFinishChange(value));
            }
            return memberBits != 0
                    && memberSet(memberBits).size() == Integer.bitCount(memberBits)
                    && !memberSet(memberBits).equals(value.members());
        }

        private RegisterValue baseValue() {
            return lacksRule(SafetyRule.SETS_ON_DECIDED)
                    ? register.acceptedValue()
                    : register.decidedValue();
        }

        void changeMembers(int memberBits) {
            if (memberBits == 0) {
                register.proposeFinalMembers(baseValue().epoch());
            } else {
                register.proposeMembers(baseValue().epoch(), memberSet(memberBits));
            }
        }

        /** As {@code core.Core.change}. */
        private boolean canFinishChange(RegisterValue value) {
            Ballot jointBallot = register.decidedBallot();
            return barrier.canFinish(
                    value,
                    jointBallot,
                    member -> register.acceptedBallotOf(member).equals(jointBallot),
                    registry.version(),
                    records.newestNumber(),
                    (member, version, record) ->
                            satisfies(
                                    member,
                                    registry.durableVersion() >= version
                                            && records.durableNumber() >= record,
                                    peer ->
                                            registry.durableVersionOf(peer.registryProgress)
                                                            >= version
                                                    && peer.recordNumber >= record));
        }

        private boolean satisfies(String member, boolean selfSatisfies, Predicate<Peer> condition) {
            return member.equals(id)
                    ? selfSatisfies
                    : peer(member) != null && condition.test(peer(member));
        }

        private boolean hasQuorum(boolean selfSatisfies, Predicate<Peer> condition) {
            RegisterValue value = register.acceptedValue();
            return value != null
                    && value.isQuorum(member -> satisfies(member, selfSatisfies, condition));
        }

        // ---- the duty

        /** As {@code core.Duty.look} and {@code take}. */
        private void updateCoordinator() {
            long leaseNumber =
                    !holdsLease() || !isVoter()
                            ? 0
                            : limits.usesLeaseManager ? lease.number() : incarnation + 1;
            if (coordinatorLease != leaseNumber) {
                coordinatorLease = leaseNumber;
                coordinatorLeaseStart = now;
                statesAtLeaseStart = new TreeMap<>(acknowledgedStates);
                if (coordinatorLease != 0) {
                    fencingTokens.startLease(coordinatorLease);
                }
                isCoordinator = false;
            }
            boolean stable = register.decidedValue() != null && !register.decidedValue().isJoint();
            if (stable) {
                barrier.reset();
            }
            if (coordinatorLease != 0
                    && !isCoordinator
                    && hasQuorum(
                            true,
                            peer ->
                                    records.hasAllRecordsOf(
                                            limits.usesLeaseManager
                                                    ? peer.lastAnsweredSend >= coordinatorLeaseStart
                                                    : peer.hasAnswered,
                                            peer.recordNumber))) {
                isCoordinator = true;
                statesAtLeaseStart.forEach(
                        (server, rank) -> {
                            if (SERVER_STATES.indexOf(stateOf(server)) < rank) {
                                recordViolation(
                                        id
                                                + " takes the duty over and does not know that "
                                                + server
                                                + " is "
                                                + SERVER_STATES.get(rank));
                            }
                        });
                records.renumberAll(fencingTokens::next);
            }
            if (isCoordinator
                    && register.decidedValue() != null
                    && register.decidedValue().isJoint()) {
                // Looked at often: the mark is set as soon as it may be.
                canFinishChange(register.decidedValue());
            }
        }

        void issueRecord(String service) {
            long number = fencingTokens.next();
            records.merge(new PrimaryRecord(service, number, "of " + number, false, false));
        }

        /** What it recorded and a majority has, it may act on; what was acted on it knows. */
        void checkActionableRecords() {
            for (PrimaryRecord record : records.all()) {
                long number = record.number();
                if (number >> 20 == coordinatorLease
                        && hasQuorum(
                                records.durableNumber() >= number,
                                peer -> peer.recordNumber >= number)) {
                    actionableRecords.merge(record.service(), number, Math::max);
                }
            }
            actionableRecords.forEach(
                    (service, number) -> {
                        if (records.get(service) == null
                                || records.get(service).number() < number) {
                            recordViolation(
                                    id
                                            + " has the duty and does not know record "
                                            + number
                                            + " of "
                                            + service);
                        }
                    });
        }

        /** As {@code core.Core.beat} and {@code leave}. */
        void reportServer(int server, int state) {
            String serverName = "d" + server;
            if (state < 2) {
                registry.merge(
                        new ServerRow(
                                serverName,
                                "s" + server,
                                "x",
                                "z",
                                ServerState.parse(SERVER_STATES.get(state)),
                                "replica",
                                ++callSequence),
                        now);
            } else if (changeNumberOf(serverName) < 0 && lacksRule(SafetyRule.ROWS_OF_LEAVES)) {
                acknowledgedStates.merge(serverName, state, Math::max);
                return;
            } else {
                registry.markLeaving(serverName);
            }
            awaitAcknowledgement(serverName);
        }

        /** The change that made this row what it is; -1 where there is none. */
        private long changeNumberOf(String server) {
            DatabaseServer row = registry.get(server);
            return row == null ? -1 : row.lastChangeVersion();
        }

        /** Empty where there is no such row. */
        private String stateOf(String server) {
            DatabaseServer row = registry.get(server);
            return row == null ? "" : row.state().wireName();
        }

        private void awaitAcknowledgement(String server) {
            int rank = SERVER_STATES.indexOf(stateOf(server));
            if (rank > 0) {
                pendingAcknowledgements.add(
                        new PendingAcknowledgement(server, rank, changeNumberOf(server)));
            }
            Arrays.fill(hasUnsentState, true);
        }

        /** As {@code core.Core.acknowledge}. */
        private void completeAcknowledgements() {
            if (!pendingAcknowledgements.isEmpty()) {
                long majorityVersion =
                        quorumReachedBy(
                                registry.durableVersion(),
                                peer ->
                                        registry.acknowledgedVersionOf(
                                                peer.registryProgress,
                                                peer.lease.epoch(),
                                                epoch()));
                for (PendingAcknowledgement pending : List.copyOf(pendingAcknowledgements)) {
                    if (pending.changeVersion <= majorityVersion) {
                        pendingAcknowledgements.remove(pending);
                        acknowledgedStates.merge(pending.server, pending.rank, Math::max);
                    }
                }
            }
        }

        /** Rows and records only go on, within a life. */
        void checkMonotonic() {
            for (int i = 0; i < SERVER_COUNT; i++) {
                String server = "d" + i;
                int rank = SERVER_STATES.indexOf(stateOf(server));
                if (seenStates.getOrDefault(server, -1) > rank) {
                    recordViolation(server + " is " + stateOf(server) + " again at " + id);
                }
                seenStates.put(server, rank);
            }
            for (PrimaryRecord record : records.all()) {
                if (seenRecords.getOrDefault(record.service(), -1L) > record.number()) {
                    recordViolation(
                            record.service()
                                    + " has record "
                                    + record.number()
                                    + " again at "
                                    + id);
                }
                seenRecords.put(record.service(), record.number());
                String text = record.service() + " " + record.primary();
                if (!text.equals(recordTexts.computeIfAbsent(record.number(), n -> text))) {
                    recordViolation("two records under number " + record.number());
                }
            }
        }

        /**
         * What it says to have on its disk of the records, and what it was told that others have of
         * its rows, is there.
         */
        void checkDurableReports() {
            actionableRecords.forEach(
                    (service, number) -> {
                        if (records.durableNumber() >= number && recordOnDisk(service) < number) {
                            recordViolation(
                                    id
                                            + " says that it has record "
                                            + records.durableNumber()
                                            + " and all before, and lacks "
                                            + number
                                            + " of "
                                            + service);
                        }
                    });
            for (int i = 0; i < SERVER_COUNT; i++) {
                String server = "d" + i;
                int rank = SERVER_STATES.indexOf(stateOf(server));
                long version = changeNumberOf(server);
                for (int peerIndex = 0; version >= 0 && peerIndex < peers.length; peerIndex++) {
                    ControlProcess peerProcess = processes[peerIndex];
                    if (peerIndex != index
                            && peerProcess.id.equals(peers[peerIndex].id())
                            && peerProcess.disk.containsKey("id")
                            && registry.durableVersionOf(peers[peerIndex].registryProgress)
                                    >= version
                            && peerProcess.stateOnDisk(server) < rank) {
                        recordViolation(
                                id
                                        + " was told that "
                                        + peerProcess.id
                                        + " keeps its change "
                                        + version
                                        + ", and there "
                                        + server
                                        + " is not "
                                        + SERVER_STATES.get(rank));
                    }
                }
            }
        }

        int stateOnDisk(String server) {
            String text = disk.get("server:" + server);
            return text == null ? -1 : SERVER_STATES.indexOf(text.split("\n")[3]);
        }

        long recordOnDisk(String service) {
            String text = disk.get("lead:" + service);
            return text == null ? -1 : Long.parseLong(text.split("\n")[0]);
        }

        private Peer peer(String processId) {
            for (Peer peer : peers) {
                if (peer.id().equals(processId)) {
                    return peer;
                }
            }
            return null;
        }

        // ---- what register and lease ask

        @Override
        public String selfId() {
            return id;
        }

        @Override
        public long nowMillis() {
            return now;
        }

        @Override
        public CompletableFuture<Void> persist(Map<String, String> entries) {
            DiskWrite write = new DiskWrite(entries, new CompletableFuture<>());
            writes.add(write);
            boolean promise =
                    entries.containsKey("promised-ballot")
                            && !entries.containsKey("accepted-ballot");
            boolean ownBallot =
                    promise && Ballot.parse(entries.get("promised-ballot")).proposer().equals(id);
            boolean beforeWrite =
                    lacksRule(SafetyRule.BALLOT_ON_DISK) && ownBallot
                            || lacksRule(SafetyRule.PROMISE_ON_DISK) && promise && !ownBallot
                            || lacksRule(SafetyRule.ACCEPTED_ON_DISK)
                                    && entries.containsKey("accepted-ballot")
                            || lacksRule(SafetyRule.LEASE_ON_DISK)
                                    && entries.containsKey("promised")
                            || lacksRule(SafetyRule.ROWS_ON_DISK)
                                    && entries.keySet().stream()
                                            .anyMatch(name -> name.startsWith("server:"))
                            || lacksRule(SafetyRule.RECORDS_ON_DISK)
                                    && entries.keySet().stream()
                                            .anyMatch(name -> name.startsWith("lead:"));
            if (beforeWrite) {
                if (entries.containsKey("accepted-ballot")) {
                    acceptorsByBallot
                            .computeIfAbsent(
                                    Ballot.parse(entries.get("accepted-ballot")),
                                    b -> new TreeSet<>())
                            .add(id);
                }
                write.done.complete(null);
            }
            return write.done;
        }

        @Override
        public void broadcast() {
            // When is chosen from outside.
            Arrays.fill(hasUnsentState, true);
        }

        @Override
        public void onDecided(RegisterValue value) {
            // Seen after the step.
        }

        @Override
        public long randomBelow(long below) {
            long mixed =
                    seed * 0x9E3779B97F4A7C15L
                            + index * 0xBF58476D1CE4E5B9L
                            + randomDraws++ * 0x94D049BB133111EBL;
            mixed = (mixed ^ mixed >>> 31) * 0xD6E8FEB86659FD93L;
            return seed == 0 ? 0 : Long.remainderUnsigned(mixed ^ mixed >>> 32, below);
        }

        @Override
        public boolean holdsLease() {
            return lacksRule(SafetyRule.SETS_BY_HOLDER)
                    || (limits.usesLeaseManager ? lease.isHeld() : index == 0);
        }

        @Override
        public boolean isDisabled(SafetyRule rule) {
            return lacksRule(rule);
        }

        @Override
        public long epoch() {
            return register == null || register.acceptedValue() == null
                    ? 0
                    : register.acceptedValue().epoch();
        }

        @Override
        public boolean isMember(String processId) {
            RegisterValue value = register.acceptedValue();
            return value != null
                    && (value.members().contains(processId)
                            || value.outgoing().contains(processId));
        }

        @Override
        public boolean isVoter() {
            return isMember(id);
        }

        @Override
        public boolean isIsolated() {
            return quorumReachedBy(now, peer -> peer.lastAnsweredSend) < now - 1_300;
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
            List<PeerLease> leases = new ArrayList<>();
            for (int i = 0; i < peers.length; i++) {
                if (i != index) {
                    leases.add(peers[i].lease);
                }
            }
            return leases;
        }

        @Override
        public long quorumReached(long own, ToLongFunction<LeaseManager.Voter> quantity) {
            return quorumReachedBy(own, peer -> quantity.applyAsLong(peer.lease));
        }

        private long quorumReachedBy(long own, ToLongFunction<Peer> quantity) {
            RegisterValue value = register.acceptedValue();
            if (value == null) {
                return LeaseManager.NEVER_MILLIS;
            }
            return value.quorumReached(
                    member -> {
                        if (member.equals(id)) {
                            return own;
                        }
                        Peer peer = peer(member);
                        return peer == null
                                ? LeaseManager.NEVER_MILLIS
                                : quantity.applyAsLong(peer);
                    });
        }
    }
}
