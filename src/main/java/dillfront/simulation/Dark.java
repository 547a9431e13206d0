package dillfront.simulation;

import dillfront.routing.Decide;
import dillfront.routing.api.Effect;
import dillfront.routing.api.Handle;
import dillfront.routing.api.NodeRow;
import dillfront.routing.api.Outlet;
import dillfront.routing.api.Read;
import dillfront.routing.api.Report;
import dillfront.routing.api.Result;
import dillfront.routing.api.Role;
import dillfront.routing.api.Settings;
import dillfront.routing.api.Standing;
import dillfront.routing.api.TxnType;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates in virtual time how a whole fleet returns after a power loss. Up to the full number of
 * routers decide by {@link Decide} itself in front of nodes that warm up as slowly as their
 * settings allow and become overloaded when they receive too much work. Clients retry. Coarser than
 * {@link World}: one core per node, one duration for all statements, no connections and no lost
 * messages. The same case always gives the same run.
 */
public final class Dark {

    /**
     * @param load the first attempts that clients make, as a fraction of the capacity of all nodes
     *     when warm
     * @param coldFrom the fraction of its capacity that a node has at its start
     * @param tries the maximum number of attempts of a client
     * @param surge the request rate in the first second, as a multiple of the usual rate
     * @param crowd the number of clients that send a request at the same moment once the routers
     *     have started, as a multiple of the first attempts of one second
     * @param lateNodes the fraction of nodes that return only after half of the warm-up time
     * @param lateRouters the fraction of routers that start only then; their clients use other
     *     routers meanwhile
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
     * @param peak the highest load of a cold node as a fraction of its overload limit; the node is
     *     overloaded at 1
     * @param served the requests served until all nodes were warm, as a fraction of what the nodes
     *     could have served
     * @param wave of the retries after the burst, the number in the busiest tenth of a second, as a
     *     multiple of the mean over two seconds; 0 without a burst
     * @param first the time from the start of the first router to the first served transaction, in
     *     seconds
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
     * Retries by tenths of a second, starting shortly before the first requests of a burst time
     * out.
     */
    private final int[] waves = new int[20];

    private double peak;
    private double done;
    private double first = Double.NaN;

    private Dark(Case given) {
        this.given = given;
        chance = new SplittableRandom(given.seed);
    }

    /** Runs the case from the return of power until all nodes are warm. */
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
     * Sends the requests of one router's clients, one after the other; while the router has not
     * started, the clients use another one.
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
         * Returns the time at which the node completes one more request. A request that cannot be
         * completed in time is queued all the same.
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

    private final class Router implements Outlet {
        final double startsAt;

        /** Some routers get several times the mean load. */
        final double weight = 0.2 + Math.pow(chance.nextDouble(), 3) * 4;

        final long seed;
        double rate;
        Decide decide;
        private final List<Txn> txns = new ArrayList<>();
        private final List<Integer> free = new ArrayList<>();

        Router(int id, double startsAt) {
            this.startsAt = startsAt;
            seed = given.seed * 31 + id;
        }

        void start() {
            decide = new Decide(settings(), this, new SplittableRandom(seed));
            decide.at(span(now));
            list();
        }

        /**
         * Passes the complete server list to the routing engine, and again each time that a node
         * returns.
         */
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
                                    Standing.READY));
                } else {
                    next = Math.min(next, node.startsAt - now);
                }
            }
            decide.at(span(now));
            decide.list(true, rows);
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
            decide.at(span(now));
            int type = chance.nextInt(10) < 3 ? 0 : chance.nextInt(10) < 5 ? 1 : 2;
            txn.handle =
                    decide.take(
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
        public void rollBack(int slot) {
            txns.get(slot).answered = true;
        }

        @Override
        public void release(int node) {}

        @Override
        public void probe(int node) {
            after(
                    2 * WIRE,
                    () -> {
                        decide.at(span(now));
                        decide.probed(
                                node,
                                true,
                                new Report(
                                        span(now),
                                        nodes.get(node).leads() ? Role.PRIMARY : Role.REPLICA));
                    });
        }

        @Override
        public void follow() {}

        @Override
        public void wake(Duration in) {
            after(
                    in.toNanos() / 1e9,
                    () -> {
                        decide.at(span(now));
                        decide.woken();
                    });
        }

        private final class Txn {
            final int slot;
            final Router client;
            final int tries;
            Handle handle;
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
                decide.at(span(now));
                if (intime && !answered) {
                    answered = true;
                    done++;
                    first = Double.isNaN(first) ? now : first;
                }
                Role role = nodes.get(node).leads() ? Role.PRIMARY : Role.REPLICA;
                handle.ended(
                        node,
                        intime ? Result.COMMITTED : Result.TIMED_OUT,
                        span(took),
                        answered,
                        intime ? new Report(span(now), role) : Report.NOTHING,
                        Report.NOTHING);
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

    private Settings settings() {
        List<TxnType> types =
                List.of(
                        type(Effect.REFERENCED, Read.WRITE, 6),
                        type(Effect.REPEATABLE, Read.BOUNDED, 3),
                        type(Effect.REPEATABLE, Read.ANY, 2));
        return new Settings(
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

    private static TxnType type(Effect effect, Read read, double value) {
        return new TxnType(
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
