package dillfront.simulation;

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
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A fleet that comes back cold as a whole, in virtual time: as many routers as there may be, each
 * deciding by {@link RoutingEngine} itself, before nodes that warm up as slowly as their settings
 * allow and fall over where they are pushed. Clients try again. Rougher than the world: one core a
 * node, one time for all statements, no connections, no lost messages. Same case, same run.
 */
public final class ColdStartSimulation {

    /**
     * @param loadFraction what first tries ask for, as a part of what all nodes can do warm
     * @param initialCapacity the part of its work that a node can do at its start
     * @param maxAttempts how often a client asks at the most
     * @param surgeFactor what is asked for in the first second, as a multiple of the usual
     * @param burst how many clients ask in one moment as the routers are there, as a multiple of a
     *     second's first tries
     * @param lateNodeFraction the part of the nodes that is back only after half of the time to
     *     warm
     * @param lateRouterFraction the part of the routers that starts only then; their clients go to
     *     the others meanwhile
     */
    public record Scenario(
            int routers,
            int groups,
            int members,
            double loadFraction,
            double initialCapacity,
            double overloadMultiple,
            int maxAttempts,
            double surgeFactor,
            double burst,
            double lateNodeFraction,
            double lateRouterFraction,
            long seed) {}

    /**
     * @param peakLoad how near a cold node came to falling over, 1 and it did
     * @param servedFraction what was served until all were warm, as a part of what nodes could have
     *     done of it
     * @param retryPeak of the tries that come again, how many came in the fullest tenth of a second
     *     of the crowd's, as a multiple of the mean over the two seconds behind it; 0 without a
     *     crowd
     * @param firstServedSeconds when the first txn was served after the first router was there, in
     *     seconds
     */
    public record Outcome(
            double peakLoad, double servedFraction, double firstServedSeconds, double retryPeak) {}

    private static final double WARM_UP_SECONDS = 6;
    private static final double OVERLOAD_WINDOW_SECONDS = 1;
    private static final double WORK_SECONDS = 0.02;
    private static final double NETWORK_DELAY_SECONDS = 0.0005;
    private static final double EXPIRY_SECONDS = 1.5;
    private static final double BURST_AT_SECONDS = 0.7;
    private static final int WINDOW_BUCKETS = 10;
    private static final Duration TICK = Duration.ofMillis(5);

    private record Event(double at, long number, Runnable action) {}

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Double.compare(a.at, b.at)
                                    : Long.compare(a.number, b.number));
    private long nextEventNumber;
    private double nowSeconds;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();

    /**
     * Tries that came again, by tenths of a second, from when the first of a crowd were given up.
     */
    private final int[] retriesByTenth = new int[20];

    private double peakLoad;
    private double servedCount;
    private double firstServedAt = Double.NaN;

    private ColdStartSimulation(Scenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed);
    }

    /** Plays it, from the return of power until all nodes are warm. */
    public static Outcome run(Scenario scenario) {
        return new ColdStartSimulation(scenario).run();
    }

    private static Duration toDuration(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private void schedule(double seconds, Runnable action) {
        events.add(new Event(nowSeconds + seconds, nextEventNumber++, action));
    }

    private Outcome run() {
        int count = scenario.groups * scenario.members;
        double lateStart = WARM_UP_SECONDS / 2;
        for (int i = 0; i < count; i++) {
            nodes.add(
                    new Node(
                            i,
                            random.nextDouble() < scenario.lateNodeFraction
                                    ? lateStart + random.nextDouble()
                                    : random.nextDouble() * 0.3));
        }
        double totalWeight = 0;
        for (int i = 0; i < scenario.routers; i++) {
            Router router =
                    new Router(
                            i,
                            random.nextDouble() < scenario.lateRouterFraction
                                    ? lateStart + random.nextDouble()
                                    : 0.3 + random.nextDouble() * 0.3);
            totalWeight += router.weight;
            routers.add(router);
            schedule(router.startsAt, router::start);
        }
        double rate = scenario.loadFraction * count / WORK_SECONDS;
        for (Router router : routers) {
            router.rate = rate * router.weight / totalWeight;
            schedule(0, () -> scheduleClients(router));
        }
        for (int i = 0; i < scenario.burst * rate; i++) {
            Router router = routers.get(random.nextInt(routers.size()));
            schedule(
                    BURST_AT_SECONDS + random.nextDouble() * 0.05,
                    () -> sendRequest(router, scenario.maxAttempts));
        }
        double end = (scenario.lateNodeFraction > 0 ? lateStart + 1 : 0.3) + WARM_UP_SECONDS;
        double possible = 0;
        double sampledUntil = 0;
        while (!events.isEmpty() && events.peek().at < end) {
            Event next = events.poll();
            for (; sampledUntil < next.at; sampledUntil += 0.05) {
                double capacity = 0;
                for (Node node : nodes) {
                    capacity +=
                            sampledUntil < node.startsAt || sampledUntil < 0.6
                                    ? 0
                                    : node.capacityAt(sampledUntil);
                }
                possible +=
                        0.05
                                * Math.min(
                                        rate * (sampledUntil < 1 ? scenario.surgeFactor : 1),
                                        capacity / WORK_SECONDS);
            }
            nowSeconds = next.at;
            next.action.run();
        }
        int busiest = 0;
        int total = 0;
        for (int retries : retriesByTenth) {
            busiest = Math.max(busiest, retries);
            total += retries;
        }
        return new Outcome(
                peakLoad,
                servedCount / possible,
                firstServedAt - 0.3,
                scenario.burst > 0 ? busiest * retriesByTenth.length / Math.max(1.0, total) : 0);
    }

    /**
     * The clients of one router, one after another; while it is not there they ask at another one.
     */
    private void scheduleClients(Router router) {
        double surge = nowSeconds < 1.5 ? scenario.surgeFactor : 1;
        schedule(
                -Math.log(1 - random.nextDouble()) / (router.rate * surge),
                () -> scheduleClients(router));
        sendRequest(router, scenario.maxAttempts);
    }

    private void sendRequest(Router ownRouter, int attemptsLeft) {
        int tenth = (int) ((nowSeconds - BURST_AT_SECONDS - EXPIRY_SECONDS / 2) * 10);
        if (attemptsLeft < scenario.maxAttempts && tenth >= 0 && tenth < retriesByTenth.length) {
            retriesByTenth[tenth]++;
        }
        Router router = ownRouter;
        for (int i = 0; i < 3 && router.routingEngine == null; i++) {
            router = routers.get(random.nextInt(routers.size()));
        }
        if (router.routingEngine == null) {
            if (attemptsLeft > 1) {
                schedule(0.2, () -> sendRequest(ownRouter, attemptsLeft - 1));
            }
        } else {
            router.handleRequest(ownRouter, attemptsLeft);
        }
    }

    private final class Node {
        final int id;
        final double startsAt;
        double freeAt;
        final double[] workByBucket = new double[WINDOW_BUCKETS];
        long currentBucket;

        Node(int id, double startsAt) {
            this.id = id;
            this.startsAt = startsAt;
        }

        boolean isPrimary() {
            return id % scenario.members == 0;
        }

        double capacityAt(double at) {
            return Math.min(
                    1,
                    scenario.initialCapacity
                            + (1 - scenario.initialCapacity) * (at - startsAt) / WARM_UP_SECONDS);
        }

        /**
         * When it will be done with one more; what it cannot be done with in time waits all the
         * same, as in a queue.
         */
        double enqueue() {
            long bucket = (long) (nowSeconds * WINDOW_BUCKETS / OVERLOAD_WINDOW_SECONDS);
            for (; currentBucket < bucket; currentBucket++) {
                workByBucket[(int) ((currentBucket + 1) % WINDOW_BUCKETS)] = 0;
            }
            workByBucket[(int) (bucket % WINDOW_BUCKETS)] += WORK_SECONDS;
            double capacity = capacityAt(nowSeconds);
            if (capacity < 1) {
                peakLoad =
                        Math.max(
                                peakLoad,
                                Arrays.stream(workByBucket).sum()
                                        / (scenario.overloadMultiple
                                                * capacity
                                                * OVERLOAD_WINDOW_SECONDS));
            }
            freeAt = Math.max(nowSeconds, freeAt) + WORK_SECONDS / capacity;
            return freeAt;
        }
    }

    private final class Router implements RoutingActions {
        final double startsAt;

        /** Some get several times the mean. */
        final double weight = 0.2 + Math.pow(random.nextDouble(), 3) * 4;

        final long seed;
        double rate;
        RoutingEngine routingEngine;
        private final List<Txn> txns = new ArrayList<>();
        private final List<Integer> freeSlots = new ArrayList<>();

        Router(int id, double startsAt) {
            this.startsAt = startsAt;
            seed = scenario.seed * 31 + id;
        }

        void start() {
            routingEngine = new RoutingEngine(settings(), this, new SplittableRandom(seed));
            routingEngine.setTime(toDuration(nowSeconds));
            updateServers();
        }

        /** The whole list as it is, and again as nodes come back. */
        private void updateServers() {
            List<NodeRow> rows = new ArrayList<>();
            double nextStart = Double.MAX_VALUE;
            for (Node node : nodes) {
                if (node.startsAt <= nowSeconds) {
                    rows.add(
                            new NodeRow(
                                    node.id,
                                    node.id / scenario.members,
                                    0,
                                    1,
                                    node.isPrimary(),
                                    toDuration(node.startsAt),
                                    MemberState.READY));
                } else {
                    nextStart = Math.min(nextStart, node.startsAt - nowSeconds);
                }
            }
            routingEngine.setTime(toDuration(nowSeconds));
            routingEngine.updateMembers(true, rows);
            if (nextStart < Double.MAX_VALUE) {
                schedule(nextStart + 1e-6, this::updateServers);
            }
        }

        void handleRequest(Router client, int attemptsLeft) {
            int slot = freeSlots.isEmpty() ? txns.size() : freeSlots.remove(freeSlots.size() - 1);
            Txn txn = new Txn(slot, client, attemptsLeft);
            if (slot == txns.size()) {
                txns.add(txn);
            } else {
                txns.set(slot, txn);
            }
            routingEngine.setTime(toDuration(nowSeconds));
            int type = random.nextInt(10) < 3 ? 0 : random.nextInt(10) < 5 ? 1 : 2;
            txn.handle =
                    routingEngine.accept(
                            slot,
                            type,
                            -1,
                            -1,
                            random.nextInt(scenario.groups),
                            toDuration(EXPIRY_SECONDS),
                            null,
                            Duration.ZERO,
                            null);
            txn.releaseSlotIfDone();
        }

        @Override
        public void submit(int slot, int node, Duration limit) {
            Txn txn = txns.get(slot);
            txn.outstanding++;
            double sentAt = nowSeconds;
            double limitSeconds = limit.toNanos() / 1e9;
            schedule(
                    NETWORK_DELAY_SECONDS,
                    () -> {
                        double completedAt = nodes.get(node).enqueue() + NETWORK_DELAY_SECONDS;
                        boolean inTime = completedAt - sentAt < limitSeconds;
                        schedule(
                                Math.max(
                                        0,
                                        (inTime ? completedAt : sentAt + limitSeconds)
                                                - nowSeconds),
                                () -> txn.complete(node, inTime, nowSeconds - sentAt));
                    });
        }

        @Override
        public void decline(int slot, Duration pause) {
            Txn txn = txns.get(slot);
            txn.answered = true;
            if (txn.attemptsLeft > 1) {
                schedule(
                        Math.max(0.001, pause.toNanos() / 1e9),
                        () -> sendRequest(txn.client, txn.attemptsLeft - 1));
            }
        }

        @Override
        public void reportUnknownOutcome(int slot) {
            txns.get(slot).answered = true;
        }

        @Override
        public void closeIdleConnections(int node) {}

        @Override
        public void probe(int node) {
            schedule(
                    2 * NETWORK_DELAY_SECONDS,
                    () -> {
                        routingEngine.setTime(toDuration(nowSeconds));
                        routingEngine.probeCompleted(
                                node,
                                true,
                                new NodeReport(
                                        toDuration(nowSeconds),
                                        nodes.get(node).isPrimary()
                                                ? NodeRole.PRIMARY
                                                : NodeRole.REPLICA));
                    });
        }

        @Override
        public void watchMemberList() {}

        @Override
        public void scheduleWakeUp(Duration in) {
            schedule(
                    in.toNanos() / 1e9,
                    () -> {
                        routingEngine.setTime(toDuration(nowSeconds));
                        routingEngine.onWakeUp();
                    });
        }

        private final class Txn {
            final int slot;
            final Router client;
            final int attemptsLeft;
            TransactionHandle handle;
            int outstanding;
            boolean answered;
            boolean slotReleased;

            Txn(int slot, Router client, int attemptsLeft) {
                this.slot = slot;
                this.client = client;
                this.attemptsLeft = attemptsLeft;
            }

            void complete(int node, boolean inTime, double elapsedSeconds) {
                outstanding--;
                routingEngine.setTime(toDuration(nowSeconds));
                if (inTime && !answered) {
                    answered = true;
                    servedCount++;
                    firstServedAt = Double.isNaN(firstServedAt) ? nowSeconds : firstServedAt;
                }
                NodeRole role = nodes.get(node).isPrimary() ? NodeRole.PRIMARY : NodeRole.REPLICA;
                handle.submissionEnded(
                        node,
                        inTime ? SubmissionResult.COMMITTED : SubmissionResult.TIMED_OUT,
                        toDuration(elapsedSeconds),
                        answered,
                        inTime ? new NodeReport(toDuration(nowSeconds), role) : NodeReport.EMPTY,
                        NodeReport.EMPTY);
                releaseSlotIfDone();
            }

            void releaseSlotIfDone() {
                if (handle != null && answered && outstanding == 0 && !slotReleased) {
                    slotReleased = true;
                    freeSlots.add(slot);
                }
            }
        }
    }

    private RoutingSettings settings() {
        List<TransactionType> types =
                List.of(
                        type(Repeatability.DEDUPLICATED, Consistency.WRITE, 6),
                        type(Repeatability.IDEMPOTENT, Consistency.BOUNDED_STALENESS, 3),
                        type(Repeatability.IDEMPOTENT, Consistency.EVENTUAL, 2));
        return new RoutingSettings(
                TICK,
                0,
                Duration.ofMillis(250),
                Duration.ofSeconds(2),
                6,
                true,
                false,
                Duration.ZERO,
                false,
                false,
                scenario.initialCapacity,
                toDuration(WARM_UP_SECONDS),
                scenario.overloadMultiple,
                toDuration(OVERLOAD_WINDOW_SECONDS),
                0.012,
                scenario.routers,
                types,
                List.of());
    }

    private static TransactionType type(Repeatability effect, Consistency read, double value) {
        return new TransactionType(
                effect,
                true,
                Duration.ofSeconds(2),
                read,
                Duration.ofMillis(200),
                toDuration(EXPIRY_SECONDS * 0.4),
                toDuration(EXPIRY_SECONDS),
                value,
                0);
    }
}
