package dillfront.simulation;

import dillfront.router.discovery.ClosedNodes;
import dillfront.router.recovery.InDoubtKeys;
import dillfront.routing.RoutingEngine;
import dillfront.routing.api.Consistency;
import dillfront.routing.api.MemberState;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.NodeRole;
import dillfront.routing.api.NodeRow;
import dillfront.routing.api.Repeatability;
import dillfront.routing.api.RoutingActions;
import dillfront.routing.api.RoutingSettings;
import dillfront.routing.api.SubmissionResult;
import dillfront.routing.api.TransactionHandle;
import dillfront.routing.api.TransactionType;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Checks exhaustively a model small enough for all its states: two routers that decide by {@link
 * RoutingEngine}, {@link InDoubtKeys} and {@link ClosedNodes} themselves, three nodes of one group
 * and two keys. The events are requests, sends, answers, lost connections, server lists, a drain,
 * disk syncs, a router crash, a power loss of all machines, and the passage of time, in every order
 * up to a depth. Each state is reached by replay from the initial state, so no state of the routers
 * is copied. Two orders lead to the same state if each router received the same inputs at the same
 * times and the rest of the model is equal.
 *
 * <p>Invariants: a key takes effect once; a declined transaction never runs; each request of a
 * running router is answered once by its expiry; nothing is sent to a node that a router knows to
 * drain, also after a restart if the drain was persisted; no bounded read is sent to data older
 * than its bound. Injected faults show that each invariant is checked.
 */
public final class RouterModelChecker {

    /** A fault that is injected into the routers. */
    public enum InjectedFault {
        NONE,
        SENDS_BEFORE_PERSISTING,
        FORGETS_IN_DOUBT_KEYS,
        TRUSTS_OLD_TIMES,
        FORGETS_DRAINS,
        KEEPS_OLD_POSITIONS,
        IGNORES_PEER_REPORTS,
        LOSES_ANSWERS
    }

    /**
     * @param states number of explored states
     * @param depth the deepest explored path
     * @param violation the first violated invariant and the steps that lead to it; null if all held
     */
    public record CheckResult(int states, int depth, String violation) {}

    private static final int ROUTERS = 2;
    private static final int NODES = 3;
    private static final int KEYS = 2;
    private static final int BOUNDED_READ = -1;
    private static final int ANY_READ = -2;
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration DEDUPLICATION_WINDOW = TICK.multipliedBy(2);
    private static final Duration EXPIRY = TICK.multipliedBy(2);
    private static final Duration MAX_STALENESS = TICK;
    private static final Duration WARM_UP = TICK.multipliedBy(40);

    /** Limits on one path; first the number of requests. */
    private static final int MAX_REQUESTS = 3;

    private static final int MAX_READS = 1;
    private static final int MAX_TICKS = 4;
    private static final int MAX_CRASHES = 2;
    private static final int MAX_CONNECTION_LOSSES = 1;
    private static final int MAX_GOSSIP_EXCHANGES = 1;

    private RouterModelChecker() {}

    /** Explores all states up to this depth in breadth-first order. */
    public static CheckResult explore(int depth, int maxStates, InjectedFault fault) {
        Set<String> visited = new HashSet<>();
        ArrayDeque<int[]> queue = new ArrayDeque<>(List.of(new int[0]));
        int deepest = 0;
        while (!queue.isEmpty() && visited.size() < maxStates) {
            int[] path = queue.poll();
            Model model = new Model(fault);
            for (int choice : path) {
                model.step(choice);
            }
            if (model.violation != null) {
                return new CheckResult(
                        visited.size(),
                        path.length,
                        model.violation + " after " + String.join(", ", model.steps));
            }
            if (!visited.add(model.state())) {
                continue;
            }
            deepest = Math.max(deepest, path.length);
            int choices = path.length < depth ? model.choices().size() : 0;
            for (int i = 0; i < choices; i++) {
                int[] longer = Arrays.copyOf(path, path.length + 1);
                longer[path.length] = i;
                queue.add(longer);
            }
        }
        return new CheckResult(visited.size(), deepest, null);
    }

    private record Step(String name, Runnable action) {}

    /** A transaction that a client requested. */
    private static final class Request {
        final RouterIncarnation router;
        final int id;

        /** Key of a write; negative for a read: BOUNDED_READ or ANY_READ. */
        final int key;

        final Duration startedAt;
        TransactionHandle handle;
        int outstanding;
        String answer;
        boolean executed;
        boolean finished;

        Request(RouterIncarnation router, int id, int key, Duration startedAt) {
            this.router = router;
            this.id = id;
            this.key = key;
            this.startedAt = startedAt;
        }
    }

    private enum SubmissionState {
        WAITING_FOR_SYNC,
        IN_FLIGHT,
        EXECUTED,
        ABANDONED,
        DONE
    }

    /** One submission of a transaction to a node. */
    private static final class Submission {
        final Request request;
        final int node;
        final Duration deadline;
        final Duration sentAt;
        SubmissionState state;
        SubmissionResult result;
        NodeReport report;

        Submission(
                Request request, int node, Duration limit, Duration sentAt, SubmissionState state) {
            this.request = request;
            this.node = node;
            this.sentAt = sentAt;
            deadline = sentAt.plus(limit);
            this.state = state;
        }
    }

    private static final class Model {
        final InjectedFault fault;
        final List<String> steps = new ArrayList<>();
        final List<Request> requests = new ArrayList<>();
        final List<Submission> submissions = new ArrayList<>();
        final RouterIncarnation[] routers = new RouterIncarnation[ROUTERS];

        /** In-doubt keys on each router's disk. */
        final List<TreeSet<Integer>> persistedKeys = new ArrayList<>();

        final List<TreeSet<String>> persistedDrains = new ArrayList<>();

        /** By key, the time at which it last took effect. */
        final Duration[] lastEffect = new Duration[KEYS];

        final int[] effectCounts = new int[KEYS];

        /** By key, the router whose transaction took effect last. */
        final int[] lastEffectBy = new int[KEYS];

        /** The time since which each router has reason to assume that a key may have run. */
        final Duration[][] mayHaveRunSince = new Duration[ROUTERS][KEYS];

        final Duration[] positions = new Duration[NODES];
        Duration now = Duration.ofSeconds(1000);
        Duration restartedAt;
        int listVersion = 1;
        boolean draining;
        int reads;
        int ticks;
        int crashes;

        /** Number of lost connections. */
        int breaks;

        int gossip;
        String violation;

        Model(InjectedFault fault) {
            this.fault = fault;
            Arrays.fill(positions, now);
            for (int index = 0; index < ROUTERS; index++) {
                persistedKeys.add(new TreeSet<>());
                persistedDrains.add(new TreeSet<>());
                routers[index] = new RouterIncarnation(this, index);
                routers[index].start();
            }
            if (fault == InjectedFault.FORGETS_DRAINS) {
                // This state lies deep in the search, so the exploration starts where the drain is
                // known and persisted.
                draining = true;
                listVersion++;
                for (RouterIncarnation router : routers) {
                    router.received();
                    router.sync();
                }
            }
        }

        /** Records a violation unless there is an earlier one. */
        void breaks(String rule) {
            violation = violation == null ? rule : violation;
        }

        void step(int choice) {
            Step step = choices().get(choice);
            steps.add(step.name);
            step.action.run();
        }

        List<Step> choices() {
            List<Step> steps = new ArrayList<>();
            for (int index = 0; index < ROUTERS; index++) {
                RouterIncarnation router = routers[index];
                int sender = index;
                if (requests.size() < MAX_REQUESTS) {
                    for (int k = 0; k < KEYS; k++) {
                        int key = k;
                        // The second key is used only after the first, since the keys are
                        // symmetric.
                        if (k == 0 || requests.stream().anyMatch(request -> request.key == 0)) {
                            steps.add(
                                    new Step(
                                            "r" + index + " receives a request for k" + k,
                                            () -> router.startRequest(key)));
                        }
                    }
                }
                for (int read = BOUNDED_READ; read >= ANY_READ && reads < MAX_READS; read--) {
                    int key = read;
                    steps.add(
                            new Step(
                                    "r"
                                            + index
                                            + " receives a request for "
                                            + (read == ANY_READ ? "any read" : "a bounded read"),
                                    () -> {
                                        reads++;
                                        router.startRequest(key);
                                    }));
                }
                if (!router.unsynced.isEmpty()) {
                    steps.add(new Step("r" + index + " syncs", router::sync));
                }
                if (router.listVersion < listVersion) {
                    steps.add(new Step("r" + index + " receives the list", router::received));
                }
                if (gossip < MAX_GOSSIP_EXCHANGES && router.inDoubtKeys.inDoubtCount() > 0) {
                    steps.add(
                            new Step(
                                    "r" + index + " gossips its in-doubt keys",
                                    () -> {
                                        gossip++;
                                        routers[1 - sender].receiveGossip(router);
                                    }));
                }
                if (crashes < MAX_CRASHES && (router.isBusy() || !router.unsynced.isEmpty())) {
                    steps.add(
                            new Step(
                                    "r" + index + " crashes",
                                    () -> {
                                        crashes++;
                                        router.end();
                                        restart(sender);
                                    }));
                }
            }
            for (Submission submission : submissions) {
                String name = "txn " + submission.request.id + " at n" + submission.node;
                if (submission.state == SubmissionState.IN_FLIGHT
                        || submission.state == SubmissionState.ABANDONED) {
                    steps.add(new Step(name + " runs", () -> execute(submission)));
                }
                if (submission.state == SubmissionState.EXECUTED) {
                    steps.add(
                            new Step(
                                    name + " is answered",
                                    () -> complete(submission, submission.result)));
                }
                if (breaks < MAX_CONNECTION_LOSSES
                        && (submission.state == SubmissionState.IN_FLIGHT
                                || submission.state == SubmissionState.EXECUTED)) {
                    steps.add(
                            new Step(
                                    name + " loses its connection",
                                    () -> {
                                        breaks++;
                                        boolean pending =
                                                submission.state == SubmissionState.IN_FLIGHT;
                                        complete(submission, SubmissionResult.RESET);
                                        submission.state =
                                                pending
                                                        ? SubmissionState.ABANDONED
                                                        : SubmissionState.DONE;
                                    }));
                }
            }
            if (!draining) {
                steps.add(
                        new Step(
                                "n2 drains",
                                () -> {
                                    draining = true;
                                    listVersion++;
                                }));
            }
            if (crashes < MAX_CRASHES && !submissions.isEmpty()) {
                steps.add(new Step("power loss", this::losePower));
            }
            if (ticks < MAX_TICKS) {
                steps.add(new Step("time", this::tick));
            }
            return steps;
        }

        void restart(int index) {
            routers[index] = new RouterIncarnation(this, index);
            routers[index].start();
        }

        /** Power loss of all machines; replicas have lost the end of their logs. */
        void losePower() {
            crashes++;
            submissions.forEach(submission -> submission.state = SubmissionState.DONE);
            restartedAt = now;
            for (int node = 1; node < NODES; node++) {
                positions[node] = now.minus(TICK.multipliedBy(8));
            }
            for (RouterIncarnation router : routers) {
                router.end();
            }
            for (int index = 0; index < ROUTERS; index++) {
                restart(index);
            }
        }

        void tick() {
            ticks++;
            now = now.plus(TICK);
            for (int node = 0; node < NODES; node++) {
                // The first replica follows the primary, the second one receives nothing.
                positions[node] = node == 2 ? positions[node] : now;
            }
            for (Submission submission : List.copyOf(submissions)) {
                if ((submission.state == SubmissionState.IN_FLIGHT
                                || submission.state == SubmissionState.EXECUTED)
                        && submission.deadline.compareTo(now) <= 0) {
                    boolean pending = submission.state == SubmissionState.IN_FLIGHT;
                    complete(submission, SubmissionResult.TIMED_OUT);
                    submission.state = pending ? SubmissionState.ABANDONED : SubmissionState.DONE;
                } else if (submission.state == SubmissionState.WAITING_FOR_SYNC
                        && submission.deadline.compareTo(now) <= 0) {
                    complete(submission, SubmissionResult.UNSENT);
                }
            }
            for (RouterIncarnation router : routers) {
                router.wakeUp();
            }
            for (Request request : requests) {
                if (request.answer == null
                        && routers[request.router.index] == request.router
                        && request.startedAt.plus(EXPIRY).compareTo(now) < 0) {
                    breaks("txn " + request.id + " has no answer");
                }
            }
        }

        void execute(Submission submission) {
            boolean abandoned = submission.state == SubmissionState.ABANDONED;
            submission.state = abandoned ? SubmissionState.DONE : SubmissionState.EXECUTED;
            int key = submission.request.key;
            submission.report =
                    new NodeReport(
                            positions[submission.node],
                            submission.node == 0 ? NodeRole.PRIMARY : NodeRole.REPLICA);
            if (key >= 0 && submission.node != 0) {
                submission.result = SubmissionResult.MISS;
                return;
            }
            submission.result = SubmissionResult.COMMITTED;
            if (key >= 0
                    && (lastEffect[key] == null
                            || now.minus(lastEffect[key]).compareTo(DEDUPLICATION_WINDOW) > 0)) {
                lastEffect[key] = now;
                submission.request.executed = true;
                if (++effectCounts[key] > 1
                        && lastEffectBy[key] == submission.request.router.index) {
                    // The network delayed a submission that the router had given up on: the
                    // platform counts the deduplication window from the send.
                    if (!abandoned) {
                        breaks("k" + key + " took effect twice");
                    }
                }
                lastEffectBy[key] = submission.request.router.index;
                if ("declined".equals(submission.request.answer)) {
                    breaks("txn " + submission.request.id + " was declined and ran");
                }
            }
        }

        void complete(Submission submission, SubmissionResult result) {
            submission.state = SubmissionState.DONE;
            RouterIncarnation router = submission.request.router;
            if (routers[router.index] == router) {
                router.handleResult(submission, result);
            }
        }

        String state() {
            StringBuilder out = new StringBuilder();
            out.append(now.toMillis())
                    .append(Arrays.toString(lastEffect))
                    .append(Arrays.toString(effectCounts))
                    .append(listVersion)
                    .append(draining)
                    .append(reads)
                    .append(ticks)
                    .append(crashes)
                    .append(breaks)
                    .append(gossip)
                    .append(persistedKeys)
                    .append(persistedDrains)
                    .append(Arrays.deepToString(mayHaveRunSince))
                    .append(Arrays.toString(lastEffectBy));
            Set<String> inFlight = new TreeSet<>();
            for (Submission submission : submissions) {
                if (submission.state != SubmissionState.DONE) {
                    inFlight.add(
                            submission.request.router.index
                                    + "/"
                                    + submission.request.key
                                    + "/"
                                    + submission.node
                                    + submission.state
                                    + submission.sentAt.toMillis()
                                    + submission.result
                                    + submission.request.router.requests.indexOf(submission.request)
                                    + (routers[submission.request.router.index]
                                            == submission.request.router));
                }
            }
            out.append(inFlight).append(requests.size());
            for (RouterIncarnation router : routers) {
                out.append('|').append(router.inputs).append(router.unsynced);
            }
            return out.toString();
        }
    }

    /** One incarnation of a router: the routing engine and the state between it and the model. */
    private static final class RouterIncarnation
            implements RoutingActions, InDoubtKeys.KeyStore, ClosedNodes.Listener {
        final Model model;
        final int index;
        final List<Request> requests = new ArrayList<>();
        final List<String> inputs = new ArrayList<>();

        /**
         * Changes that are not yet synced to disk: {@code +0} adds a key, {@code -0} removes it,
         * and {@code n2} is a drain.
         */
        final TreeSet<String> unsynced = new TreeSet<>();

        final Duration startedAt;
        final RoutingEngine routingEngine;
        final InDoubtKeys inDoubtKeys;
        final ClosedNodes closings = new ClosedNodes();
        final Set<Integer> peerInDoubtKeys = new TreeSet<>();

        /** In-doubt keys that other routers reported to this incarnation. */
        final Set<Integer> received = new TreeSet<>();

        int listVersion;

        RouterIncarnation(Model model, int index) {
            this.model = model;
            this.index = index;
            startedAt = model.now;
            inDoubtKeys = new InDoubtKeys(new InDoubtKeys.Limits(16, Duration.ofHours(1)), this);
            routingEngine = new RoutingEngine(settings(), this, new SplittableRandom(index));
        }

        private static RoutingSettings settings() {
            List<TransactionType> types =
                    List.of(
                            new TransactionType(
                                    Repeatability.DEDUPLICATED,
                                    true,
                                    DEDUPLICATION_WINDOW,
                                    Consistency.WRITE,
                                    Duration.ZERO,
                                    EXPIRY.dividedBy(2),
                                    EXPIRY,
                                    6,
                                    0.3),
                            new TransactionType(
                                    Repeatability.IDEMPOTENT,
                                    true,
                                    DEDUPLICATION_WINDOW,
                                    Consistency.BOUNDED_STALENESS,
                                    MAX_STALENESS,
                                    EXPIRY.dividedBy(2),
                                    EXPIRY,
                                    2,
                                    0),
                            new TransactionType(
                                    Repeatability.IDEMPOTENT,
                                    true,
                                    DEDUPLICATION_WINDOW,
                                    Consistency.EVENTUAL,
                                    Duration.ZERO,
                                    EXPIRY.dividedBy(2),
                                    EXPIRY,
                                    2,
                                    0));
            return new RoutingSettings(
                    Duration.ofMillis(5),
                    0,
                    TICK,
                    TICK.multipliedBy(4),
                    6,
                    false,
                    false,
                    Duration.ZERO,
                    false,
                    false,
                    1,
                    WARM_UP,
                    2,
                    Duration.ofSeconds(1),
                    0.012,
                    ROUTERS,
                    types,
                    List.of());
        }

        /**
         * Restores the persisted state, then applies the server list of the configuration, which is
         * older than all drains.
         */
        void start() {
            closings.listener(this);
            if (model.fault != InjectedFault.FORGETS_DRAINS) {
                model.persistedDrains
                        .get(index)
                        .forEach(id -> closings.close(id, MemberState.DRAINING, 0, 2));
            }
            routingEngine.setTime(model.now);
            for (int key : model.persistedKeys.get(index)) {
                if (model.fault == InjectedFault.TRUSTS_OLD_TIMES) {
                    inDoubtKeys.begin(key, model.now);
                    inDoubtKeys.recordSend(key, model.now);
                    inDoubtKeys.recordEnd(key, true, false);
                    inDoubtKeys.finish(key, model.now);
                } else if (model.fault != InjectedFault.FORGETS_IN_DOUBT_KEYS) {
                    inDoubtKeys.restore(key, model.now);
                }
                model.mayHaveRunSince[index][key] = InDoubtKeys.BEFORE_THIS_RUN;
            }
            unsynced.clear();
            applyServerList(1);
        }

        private void applyServerList(int version) {
            listVersion = version;
            inputs.add("list " + version + "@" + model.now.toMillis());
            List<NodeRow> rows = new ArrayList<>();
            for (int node = 0; node < NODES; node++) {
                MemberState listedState =
                        version > 1 && node == 2 ? MemberState.DRAINING : MemberState.READY;
                MemberState effectiveState = closings.update("n" + node, listedState, 0, version);
                rows.add(new NodeRow(node, 0, 0, 1, node == 0, null, effectiveState));
            }
            routingEngine.setTime(model.now);
            routingEngine.updateMembers(true, rows);
            if (model.fault == InjectedFault.KEEPS_OLD_POSITIONS && model.restartedAt != null) {
                // The position of the second replica that a former incarnation knew, as if it still
                // held.
                routingEngine.nodeReported(
                        1, NodeReport.EMPTY, new NodeReport(model.restartedAt, NodeRole.REPLICA));
            }
        }

        /** Applies the current server list. */
        void received() {
            applyServerList(model.listVersion);
        }

        void wakeUp() {
            inputs.add("wake@" + model.now.toMillis());
            routingEngine.setTime(model.now);
            routingEngine.onWakeUp();
        }

        void receiveGossip(RouterIncarnation other) {
            inputs.add("in-doubt keys " + inDoubtKeysOf(other));
            if (model.fault != InjectedFault.IGNORES_PEER_REPORTS) {
                peerInDoubtKeys.addAll(inDoubtKeysOf(other));
            }
            // Reports of other routers are not persisted and apply to this incarnation only.
            received.addAll(inDoubtKeysOf(other));
        }

        private static Set<Integer> inDoubtKeysOf(RouterIncarnation other) {
            Set<Integer> keys = new TreeSet<>();
            other.inDoubtKeys.inDoubt().forEach(key -> keys.add((int) (long) key));
            return keys;
        }

        boolean isBusy() {
            return requests.stream()
                    .anyMatch(request -> request.answer == null || request.outstanding > 0);
        }

        void startRequest(int key) {
            Request request = new Request(this, model.requests.size(), key, model.now);
            model.requests.add(request);
            requests.add(request);
            inputs.add("ask " + key + "@" + model.now.toMillis());
            routingEngine.setTime(model.now);
            if (key >= 0 && !inDoubtKeys.begin(key, model.now)) {
                answer(request, "declined");
                return;
            }
            Duration mayHaveRun = key < 0 ? null : inDoubtKeys.mayHaveRunSince(key);
            mayHaveRun =
                    mayHaveRun == null && peerInDoubtKeys.contains(key)
                            ? InDoubtKeys.BEFORE_THIS_RUN
                            : mayHaveRun;
            request.handle =
                    routingEngine.accept(
                            requests.size() - 1,
                            key < 0 ? -key : 0,
                            -1,
                            -1,
                            0,
                            EXPIRY,
                            null,
                            Duration.ZERO,
                            mayHaveRun);
            end(request);
        }

        private void answer(Request request, String answer) {
            if (request.answer != null) {
                model.breaks(
                        "txn " + request.id + " was answered " + request.answer + " and " + answer);
            }
            request.answer = answer;
            if (answer.equals("declined") && request.executed) {
                model.breaks("txn " + request.id + " ran and was declined");
            }
        }

        private void end(Request request) {
            if (request.handle != null
                    && request.answer != null
                    && request.outstanding == 0
                    && !request.finished
                    && request.key >= 0) {
                request.finished = true;
                inDoubtKeys.finish(request.key, model.now);
            }
        }

        void handleResult(Submission submission, SubmissionResult result) {
            Request request = submission.request;
            inputs.add(
                    "end "
                            + requests.indexOf(request)
                            + result
                            + submission.node
                            + "@"
                            + model.now.toMillis());
            request.outstanding--;
            boolean acknowledged = result == SubmissionResult.COMMITTED && request.answer == null;
            if (request.key >= 0) {
                inDoubtKeys.recordEnd(request.key, result.mayHaveRun(), acknowledged);
            }
            if (acknowledged) {
                answer(request, "committed");
                if (request.key >= 0) {
                    model.mayHaveRunSince[index][request.key] = null;
                }
            }
            routingEngine.setTime(model.now);
            boolean hasReport =
                    result == SubmissionResult.COMMITTED || result == SubmissionResult.MISS;
            request.handle.submissionEnded(
                    submission.node,
                    result,
                    model.now.minus(submission.sentAt),
                    request.answer != null,
                    hasReport ? submission.report : NodeReport.EMPTY,
                    NodeReport.EMPTY);
            end(request);
        }

        /** Kills the incarnation; changes that were not synced are lost. */
        void end() {
            for (Request request : requests) {
                request.answer = request.answer == null ? "lost" : request.answer;
            }
            for (Submission submission : model.submissions) {
                if (submission.request.router == this) {
                    submission.state =
                            submission.state == SubmissionState.IN_FLIGHT
                                    ? SubmissionState.ABANDONED
                                    : submission.state == SubmissionState.ABANDONED
                                            ? SubmissionState.ABANDONED
                                            : SubmissionState.DONE;
                }
            }
        }

        void sync() {
            inputs.add("sync@" + model.now.toMillis());
            for (String change : unsynced) {
                int key = change.charAt(0) == 'n' ? -1 : Integer.parseInt(change.substring(1));
                if (change.charAt(0) == '+') {
                    model.persistedKeys.get(index).add(key);
                } else if (change.charAt(0) == '-') {
                    model.persistedKeys.get(index).remove(key);
                } else {
                    model.persistedDrains.get(index).add(change);
                }
            }
            unsynced.clear();
            for (Submission submission : List.copyOf(model.submissions)) {
                if (submission.state == SubmissionState.WAITING_FOR_SYNC
                        && submission.request.router == this) {
                    routingEngine.setTime(model.now);
                    if (submission.request.answer == null
                            && !peerInDoubtKeys.contains(submission.request.key)
                            && submission.request.handle.maySend(submission.node)) {
                        send(submission);
                    } else {
                        model.complete(submission, SubmissionResult.UNSENT);
                    }
                }
            }
        }

        private void send(Submission submission) {
            submission.state = SubmissionState.IN_FLIGHT;
            int key = submission.request.key;
            if (submission.node == 2
                    && (listVersion > 1 || model.persistedDrains.get(index).contains("n2"))) {
                model.breaks("txn " + submission.request.id + " was sent to n2, which drains");
            }
            if (submission.request.answer != null) {
                model.breaks("txn " + submission.request.id + " was sent after its answer");
            }
            if (key < 0) {
                if (key == BOUNDED_READ
                        && submission.node != 0
                        && model.positions[submission.node].compareTo(
                                        model.now.minus(MAX_STALENESS))
                                < 0) {
                    model.breaks(
                            "a read was sent to n" + submission.node + ", which is too far behind");
                }
                return;
            }
            Duration mayHaveRun =
                    received.contains(key)
                            ? InDoubtKeys.BEFORE_THIS_RUN
                            : model.mayHaveRunSince[index][key];
            if (mayHaveRun != null
                    && model.now.minus(mayHaveRun).compareTo(DEDUPLICATION_WINDOW) >= 0) {
                model.breaks(
                        "k" + key + " was sent by r" + index + ", which knew that it may have run");
            }
            model.mayHaveRunSince[index][key] = mayHaveRun == null ? model.now : mayHaveRun;
        }

        // ---- callbacks of the routing engine

        @Override
        public void submit(int txn, int node, Duration limit) {
            Request request = requests.get(txn);
            request.outstanding++;
            if (request.key >= 0) {
                inDoubtKeys.recordSend(request.key, model.now);
            }
            boolean persisted =
                    request.key < 0
                            || model.fault == InjectedFault.SENDS_BEFORE_PERSISTING
                            || !unsynced.contains("+" + request.key)
                                    && model.persistedKeys.get(index).contains(request.key);
            Submission submission =
                    new Submission(
                            request, node, limit, model.now, SubmissionState.WAITING_FOR_SYNC);
            model.submissions.add(submission);
            if (persisted && !peerInDoubtKeys.contains(request.key)) {
                send(submission);
            }
        }

        @Override
        public void decline(int txn, Duration pause) {
            if (model.fault != InjectedFault.LOSES_ANSWERS) {
                answer(requests.get(txn), "declined");
            }
        }

        @Override
        public void reportUnknownOutcome(int txn) {
            answer(requests.get(txn), "rolled back");
        }

        @Override
        public void closeIdleConnections(int node) {}

        @Override
        public void probe(int node) {}

        @Override
        public void watchMemberList() {}

        @Override
        public void scheduleWakeUp(Duration delay) {}

        // ---- storage

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void store(long key) {
            unsynced.remove("-" + key);
            unsynced.add("+" + key);
        }

        @Override
        public void remove(long key) {
            unsynced.remove("+" + key);
            unsynced.add("-" + key);
        }

        @Override
        public void nodeClosed(String id, MemberState standing, long startedMs, long version) {
            unsynced.add(id);
        }

        @Override
        public void nodeOpened(String id) {}
    }
}
