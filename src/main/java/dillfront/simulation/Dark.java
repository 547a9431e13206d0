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
public final class Dark {

    /**
     * @param load what first tries ask for, as a part of what all nodes can do warm
     * @param coldFrom the part of its work that a node can do at its start
     * @param tries how often a client asks at the most
     * @param surge what is asked for in the first second, as a multiple of the usual
     * @param crowd how many clients ask in one moment as the routers are there, as a multiple of a
     *     second's first tries
     * @param lateNodes the part of the nodes that is back only after half of the time to warm
     * @param lateRouters the part of the routers that starts only then; their clients go to the
     *     others meanwhile
     */
    public record Case(
            int routers,
            int groups,
            int members,
            double load,
            double coldFrom,
            double tipMultiple,
            int tries,
            double surge,
            double crowd,
            double lateNodes,
            double lateRouters,
            long seed) {}

    /**
     * @param peak how near a cold node came to falling over, 1 and it did
     * @param served what was served until all were warm, as a part of what nodes could have done of
     *     it
     * @param wave of the tries that come again, how many came in the fullest tenth of a second of
     *     the crowd's, as a multiple of the mean over the two seconds behind it; 0 without a crowd
     * @param first when the first txn was served after the first router was there, in seconds
     */
    public record Outcome(double peak, double served, double first, double wave) {}

    private static final double COLD = 6;
    private static final double TIP_AFTER = 1;
    private static final double WORK = 0.02;
    private static final double WIRE = 0.0005;
    private static final double EXPIRY = 1.5;
    private static final double CROWD = 0.7;
    private static final int PARTS = 10;
    private static final Duration STEP = Duration.ofMillis(5);

    private record Event(double at, long number, Runnable what) {}

    private final Case given;
    private final SplittableRandom chance;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Double.compare(a.at, b.at)
                                    : Long.compare(a.number, b.number));
    private long number;
    private double now;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();

    /**
     * Tries that came again, by tenths of a second, from when the first of a crowd were given up.
     */
    private final int[] waves = new int[20];

    private double peak;
    private double done;
    private double first = Double.NaN;

    private Dark(Case given) {
        this.given = given;
        chance = new SplittableRandom(given.seed);
    }

    /** Plays it, from the return of power until all nodes are warm. */
    public static Outcome play(Case given) {
        return new Dark(given).play();
    }

    private static Duration span(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private void after(double seconds, Runnable what) {
        events.add(new Event(now + seconds, number++, what));
    }

    private Outcome play() {
        int count = given.groups * given.members;
        double late = COLD / 2;
        for (int i = 0; i < count; i++) {
            nodes.add(
                    new Node(
                            i,
                            chance.nextDouble() < given.lateNodes
                                    ? late + chance.nextDouble()
                                    : chance.nextDouble() * 0.3));
        }
        double weights = 0;
        for (int i = 0; i < given.routers; i++) {
            Router router =
                    new Router(
                            i,
                            chance.nextDouble() < given.lateRouters
                                    ? late + chance.nextDouble()
                                    : 0.3 + chance.nextDouble() * 0.3);
            weights += router.weight;
            routers.add(router);
            after(router.startsAt, router::start);
        }
        double rate = given.load * count / WORK;
        for (Router router : routers) {
            router.rate = rate * router.weight / weights;
            after(0, () -> client(router));
        }
        for (int i = 0; i < given.crowd * rate; i++) {
            Router router = routers.get(chance.nextInt(routers.size()));
            after(CROWD + chance.nextDouble() * 0.05, () -> ask(router, given.tries));
        }
        double end = (given.lateNodes > 0 ? late + 1 : 0.3) + COLD;
        double could = 0;
        double from = 0;
        while (!events.isEmpty() && events.peek().at < end) {
            Event next = events.poll();
            for (; from < next.at; from += 0.05) {
                double able = 0;
                for (Node node : nodes) {
                    able += from < node.startsAt || from < 0.6 ? 0 : node.warmth(from);
                }
                could += 0.05 * Math.min(rate * (from < 1 ? given.surge : 1), able / WORK);
            }
            now = next.at;
            next.what.run();
        }
        int fullest = 0;
        int all = 0;
        for (int again : waves) {
            fullest = Math.max(fullest, again);
            all += again;
        }
        return new Outcome(
                peak,
                done / could,
                first - 0.3,
                given.crowd > 0 ? fullest * waves.length / Math.max(1.0, all) : 0);
    }

    /**
     * The clients of one router, one after another; while it is not there they ask at another one.
     */
    private void client(Router router) {
        double surge = now < 1.5 ? given.surge : 1;
        after(-Math.log(1 - chance.nextDouble()) / (router.rate * surge), () -> client(router));
        ask(router, given.tries);
    }

    private void ask(Router of, int tries) {
        int wave = (int) ((now - CROWD - EXPIRY / 2) * 10);
        if (tries < given.tries && wave >= 0 && wave < waves.length) {
            waves[wave]++;
        }
        Router to = of;
        for (int i = 0; i < 3 && to.decide == null; i++) {
            to = routers.get(chance.nextInt(routers.size()));
        }
        if (to.decide == null) {
            if (tries > 1) {
                after(0.2, () -> ask(of, tries - 1));
            }
        } else {
            to.take(of, tries);
        }
    }

    private final class Node {
        final int id;
        final double startsAt;
        double free;
        final double[] sent = new double[PARTS];
        long part;

        Node(int id, double startsAt) {
            this.id = id;
            this.startsAt = startsAt;
        }

        boolean leads() {
            return id % given.members == 0;
        }

        double warmth(double at) {
            return Math.min(1, given.coldFrom + (1 - given.coldFrom) * (at - startsAt) / COLD);
        }

        /**
         * When it will be done with one more; what it cannot be done with in time waits all the
         * same, as in a queue.
         */
        double take() {
            long in = (long) (now * PARTS / TIP_AFTER);
            for (; part < in; part++) {
                sent[(int) ((part + 1) % PARTS)] = 0;
            }
            sent[(int) (in % PARTS)] += WORK;
            double warmth = warmth(now);
            if (warmth < 1) {
                peak =
                        Math.max(
                                peak,
                                Arrays.stream(sent).sum()
                                        / (given.tipMultiple * warmth * TIP_AFTER));
            }
            free = Math.max(now, free) + WORK / warmth;
            return free;
        }
    }

    private final class Router implements RoutingActions {
        final double startsAt;

        /** Some get several times the mean. */
        final double weight = 0.2 + Math.pow(chance.nextDouble(), 3) * 4;

        final long seed;
        double rate;
        RoutingEngine decide;
        private final List<Txn> txns = new ArrayList<>();
        private final List<Integer> free = new ArrayList<>();

        Router(int id, double startsAt) {
            this.startsAt = startsAt;
            seed = given.seed * 31 + id;
        }

        void start() {
            decide = new RoutingEngine(settings(), this, new SplittableRandom(seed));
            decide.setTime(span(now));
            list();
        }

        /** The whole list as it is, and again as nodes come back. */
        private void list() {
            List<NodeRow> rows = new ArrayList<>();
            double next = Double.MAX_VALUE;
            for (Node node : nodes) {
                if (node.startsAt <= now) {
                    rows.add(
                            new NodeRow(
                                    node.id,
                                    node.id / given.members,
                                    0,
                                    1,
                                    node.leads(),
                                    span(node.startsAt),
                                    MemberState.READY));
                } else {
                    next = Math.min(next, node.startsAt - now);
                }
            }
            decide.setTime(span(now));
            decide.updateMembers(true, rows);
            if (next < Double.MAX_VALUE) {
                after(next + 1e-6, this::list);
            }
        }

        void take(Router client, int tries) {
            int slot = free.isEmpty() ? txns.size() : free.remove(free.size() - 1);
            Txn txn = new Txn(slot, client, tries);
            if (slot == txns.size()) {
                txns.add(txn);
            } else {
                txns.set(slot, txn);
            }
            decide.setTime(span(now));
            int type = chance.nextInt(10) < 3 ? 0 : chance.nextInt(10) < 5 ? 1 : 2;
            txn.handle =
                    decide.accept(
                            slot,
                            type,
                            -1,
                            -1,
                            chance.nextInt(given.groups),
                            span(EXPIRY),
                            null,
                            Duration.ZERO,
                            null);
            txn.end();
        }

        @Override
        public void submit(int slot, int node, Duration limit) {
            Txn txn = txns.get(slot);
            txn.out++;
            double sentAt = now;
            double most = limit.toNanos() / 1e9;
            after(
                    WIRE,
                    () -> {
                        double at = nodes.get(node).take() + WIRE;
                        boolean intime = at - sentAt < most;
                        after(
                                Math.max(0, (intime ? at : sentAt + most) - now),
                                () -> txn.ended(node, intime, now - sentAt));
                    });
        }

        @Override
        public void decline(int slot, Duration pause) {
            Txn txn = txns.get(slot);
            txn.answered = true;
            if (txn.tries > 1) {
                after(Math.max(0.001, pause.toNanos() / 1e9), () -> ask(txn.client, txn.tries - 1));
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
            after(
                    2 * WIRE,
                    () -> {
                        decide.setTime(span(now));
                        decide.probeCompleted(
                                node,
                                true,
                                new NodeReport(
                                        span(now),
                                        nodes.get(node).leads()
                                                ? NodeRole.PRIMARY
                                                : NodeRole.REPLICA));
                    });
        }

        @Override
        public void watchMemberList() {}

        @Override
        public void scheduleWakeUp(Duration in) {
            after(
                    in.toNanos() / 1e9,
                    () -> {
                        decide.setTime(span(now));
                        decide.onWakeUp();
                    });
        }

        private final class Txn {
            final int slot;
            final Router client;
            final int tries;
            TransactionHandle handle;
            int out;
            boolean answered;
            boolean over;

            Txn(int slot, Router client, int tries) {
                this.slot = slot;
                this.client = client;
                this.tries = tries;
            }

            void ended(int node, boolean intime, double took) {
                out--;
                decide.setTime(span(now));
                if (intime && !answered) {
                    answered = true;
                    done++;
                    first = Double.isNaN(first) ? now : first;
                }
                NodeRole role = nodes.get(node).leads() ? NodeRole.PRIMARY : NodeRole.REPLICA;
                handle.submissionEnded(
                        node,
                        intime ? SubmissionResult.COMMITTED : SubmissionResult.TIMED_OUT,
                        span(took),
                        answered,
                        intime ? new NodeReport(span(now), role) : NodeReport.EMPTY,
                        NodeReport.EMPTY);
                end();
            }

            void end() {
                if (handle != null && answered && out == 0 && !over) {
                    over = true;
                    free.add(slot);
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
                STEP,
                0,
                Duration.ofMillis(250),
                Duration.ofSeconds(2),
                6,
                true,
                false,
                Duration.ZERO,
                false,
                false,
                given.coldFrom,
                span(COLD),
                given.tipMultiple,
                span(TIP_AFTER),
                0.012,
                given.routers,
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
                span(EXPIRY * 0.4),
                span(EXPIRY),
                value,
                0);
    }
}
