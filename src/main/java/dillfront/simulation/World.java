package dillfront.simulation;

import static dillfront.routing.api.Spans.seconds;

import dillfront.router.gossip.GossipConfig;
import dillfront.router.gossip.GossipProtocol;
import dillfront.router.gossip.Symptom;
import dillfront.router.peers.PeerHealthExchange;
import dillfront.router.peers.PeerRegistry;
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
import dillfront.routing.api.Sight;
import dillfront.routing.api.Standing;
import dillfront.routing.api.TxnType;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Simulates routers, each with its own transactions, in front of nodes of which the scenario makes
 * one hang, with or without gossip. Routing is decided by {@link Decide} itself. Reports the value
 * that the transactions earned and how long routers kept sending to the hung node.
 */
public final class World {

    /** Parameters of one run. */
    public record Script(
            int routers,
            int groups,
            int members,
            double txnsPerSecond,
            int hung,
            Duration hangs,
            Duration lasts,
            Duration end,
            boolean gossip,
            Lie lie,
            long seed) {}

    /** The nodes that the last router falsely reports as hung. */
    public enum Lie {
        NONE,
        ALL,
        PRIMARIES,
        HALF
    }

    /**
     * Result of one run.
     *
     * @param value the earned value as a fraction of the requested value
     * @param stopped from the first router's own evidence until the last router stopped sending to
     *     the hung node
     * @param poured transactions sent to the hung node after the first router's evidence, trial
     *     requests included
     * @param doubts the rate of false suspicions: node ticks at which a healthy node was suspected
     *     because of peer reports, as a fraction of all node ticks
     * @param bytes mean bytes per second sent by one instance
     */
    public record Outcome(
            double value, Duration stopped, int poured, double doubts, double bytes) {}

    private static final Duration BEAT = Duration.ofMillis(20);
    private static final Duration DIAL = Duration.ofMillis(250);
    private static final Duration WORK = Duration.ofMillis(20);

    /**
     * A transaction sent to the hung node after this pause, with none other outstanding there, is a
     * trial request and does not count as continued sending.
     */
    private static final Duration TRIAL = DIAL;

    private static final Duration CLIENT = Duration.ofMillis(750);
    private static final double[] VALUES = {3, 2, 6};

    /** Gossip network between the routers of a simulation. */
    interface Wire {

        /** Starts the gossip instances; new claims are passed to the routers. */
        void start(List<Router> routers);

        /** Returns the gossip protocol of a router with its clocks set. */
        GossipProtocol of(int router);

        /** Returns the mean number of bytes sent per instance. */
        double bytes();
    }

    private final Script script;
    private final GossipConfig tuning = GossipConfig.DEFAULT;
    private final List<Router> routers = new ArrayList<>();
    private final Wire wire;

    /**
     * @param times one scheduler per router
     */
    World(Script script, List<? extends Clockwork> times, Wire wire) {
        this.script = script;
        this.wire = wire;
        for (int i = 0; i < script.routers; i++) {
            routers.add(new Router(i, times.get(i)));
        }
    }

    /** Runs the scenario in virtual time. */
    public static Outcome play(Script script) {
        Time time = new Time();
        World[] world = new World[1];
        Crowd crowd =
                new Crowd(
                        script.routers,
                        GossipConfig.DEFAULT,
                        time,
                        script.seed + 1,
                        (at, claim, age) ->
                                world[0].routers
                                        .get(at)
                                        .neighbours
                                        .receiveClaim(claim, age, time.now()));
        world[0] =
                new World(
                        script,
                        Collections.nCopies(script.routers, time),
                        new Wire() {
                            @Override
                            public void start(List<Router> routers) {
                                crowd.start();
                            }

                            @Override
                            public GossipProtocol of(int router) {
                                crowd.instances[router].at();
                                return crowd.instances[router].gossip;
                            }

                            @Override
                            public double bytes() {
                                return crowd.bytes();
                            }
                        });
        world[0].start();
        time.until(script.end);
        return world[0].outcome();
    }

    /** Starts each router on its own scheduler. */
    void start() {
        if (script.gossip) {
            wire.start(routers);
        }
        for (Router router : routers) {
            router.time.after(Duration.ZERO, router::begin);
        }
    }

    /** Returns the result; to be called after the end of the run. */
    Outcome outcome() {
        double asked = 0;
        double earned = 0;
        long beats = 0;
        long falseDoubts = 0;
        int poured = 0;
        Duration first = null;
        Duration last = Duration.ZERO;
        for (Router r : routers) {
            asked += r.asked;
            earned += r.earned;
            beats += r.beats;
            falseDoubts += r.falseDoubts;
            first =
                    r.evidence == null || first != null && first.compareTo(r.evidence) < 0
                            ? first
                            : r.evidence;
            last = r.lastPour.compareTo(last) > 0 ? r.lastPour : last;
        }
        for (Router r : routers) {
            for (Duration at : r.pours) {
                poured += first != null && at.compareTo(first) > 0 ? 1 : 0;
            }
        }
        Duration stopped =
                first == null || last.compareTo(first) < 0 ? Duration.ZERO : last.minus(first);
        return new Outcome(
                earned / asked,
                stopped,
                poured,
                falseDoubts / (double) Math.max(1, beats),
                script.gossip ? wire.bytes() / seconds(script.end) : 0);
    }

    private int nodes() {
        return script.groups * script.members;
    }

    private boolean hangs(int node, Duration at) {
        return node == script.hung
                && at.compareTo(script.hangs) >= 0
                && at.compareTo(script.hangs.plus(script.lasts)) < 0;
    }

    private static Settings settings(int routers) {
        Duration ms = Duration.ofMillis(1);
        return new Settings(
                ms.multipliedBy(5),
                0,
                DIAL,
                Duration.ofSeconds(2),
                6,
                true,
                false,
                Duration.ZERO,
                false,
                false,
                0.2,
                Duration.ofSeconds(9),
                2,
                Duration.ofSeconds(1),
                0.012,
                routers,
                List.of(
                        new TxnType(
                                Effect.REPEATABLE,
                                false,
                                Duration.ZERO,
                                Read.BOUNDED,
                                ms.multipliedBy(200),
                                ms.multipliedBy(300),
                                CLIENT,
                                3,
                                0),
                        new TxnType(
                                Effect.REPEATABLE,
                                false,
                                Duration.ZERO,
                                Read.ANY,
                                Duration.ZERO,
                                ms.multipliedBy(300),
                                CLIENT,
                                2,
                                0),
                        new TxnType(
                                Effect.REFERENCED,
                                true,
                                Duration.ofSeconds(2),
                                Read.WRITE,
                                Duration.ZERO,
                                CLIENT,
                                CLIENT,
                                6,
                                0)),
                List.of());
    }

    private static final class Txn {
        final int type;
        final Duration came;
        Handle handle;
        boolean over;

        Txn(int type, Duration came) {
            this.type = type;
            this.came = came;
        }
    }

    /** One router; all of its work runs on its own scheduler. */
    final class Router implements Outlet, PeerHealthExchange.RoutingDecisions {

        final int index;
        final Clockwork time;
        final PeerHealthExchange neighbours;
        private final Decide decide;
        private final RandomGenerator mine;
        private final List<Txn> txns = new ArrayList<>();

        /** For the hung node: the time of the last send or of the start of a suspicion. */
        private Duration heldBack;

        private boolean doubts;
        private int outAtHung;
        private Duration evidence;
        private Duration lastPour = Duration.ZERO;
        private final List<Duration> pours = new ArrayList<>();
        private double asked;
        private double earned;
        private long beats;
        private long falseDoubts;

        Router(int index, Clockwork time) {
            this.index = index;
            this.time = time;
            mine = new SplittableRandom(script.seed * 1_000_003 + index);
            decide =
                    new Decide(
                            settings(script.routers), this, new SplittableRandom(mine.nextLong()));
            neighbours = new PeerHealthExchange(tuning, script.routers, this);
            neighbours.setGossip(() -> wire.of(index));
        }

        private boolean lies() {
            return script.lie != Lie.NONE && index == script.routers - 1;
        }

        private void begin() {
            List<NodeRow> rows = new ArrayList<>();
            for (int n = 0; n < nodes(); n++) {
                rows.add(
                        new NodeRow(
                                n,
                                n / script.members,
                                0,
                                1,
                                n % script.members == 0,
                                null,
                                Standing.READY));
                neighbours.addNode(n, "node-" + n);
            }
            decide.at(time.now());
            decide.list(true, rows);
            arrive();
            beat();
            if (lies()) {
                time.after(script.hangs.dividedBy(2), this::lie);
            }
        }

        private void lie() {
            for (int node = 0; node < nodes(); node++) {
                boolean says =
                        switch (script.lie) {
                            case ALL -> true;
                            case PRIMARIES -> node % script.members == 0;
                            case HALF -> node < nodes() / 2;
                            default -> false;
                        };
                if (says) {
                    wire.of(index)
                            .publishClaim(
                                    PeerRegistry.hash("node-" + node),
                                    Symptom.HUNG,
                                    5,
                                    Duration.ofSeconds(1));
                }
            }
            time.after(tuning.period(), this::lie);
        }

        private void arrive() {
            Duration gap =
                    Duration.ofNanos(
                            (long) (-Math.log(1 - mine.nextDouble()) / script.txnsPerSecond * 1e9));
            time.after(
                    gap,
                    () -> {
                        double kind = mine.nextDouble();
                        int type = kind < 0.2 ? 0 : kind < 0.85 ? 1 : 2;
                        Txn txn = new Txn(type, time.now());
                        txns.add(txn);
                        asked += VALUES[type];
                        decide.at(time.now());
                        int id = txns.size() - 1;
                        txn.handle =
                                decide.take(
                                        id,
                                        type,
                                        -1,
                                        -1,
                                        mine.nextInt(script.groups),
                                        CLIENT,
                                        null,
                                        Duration.ZERO,
                                        null);
                        arrive();
                    });
        }

        /** Does what the router daemon does at each tick, and nothing more. */
        private void beat() {
            time.after(
                    BEAT,
                    () -> {
                        decide.at(time.now());
                        if (evidence == null
                                && hangs(script.hung, time.now())
                                && decide.observeHealth(script.hung).ill()) {
                            evidence = time.now();
                        }
                        // A router that publishes false claims does not retract them by reporting
                        // its own observations.
                        if (script.gossip && !lies()) {
                            neighbours.tick(time.now());
                            for (int n = 0; n < nodes(); n++) {
                                beats++;
                                boolean well =
                                        n != script.hung || time.now().compareTo(script.hangs) < 0;
                                falseDoubts += neighbours.isSuspected(n) && well ? 1 : 0;
                            }
                        }
                        beat();
                    });
        }

        @Override
        public Sight observeHealth(int node) {
            return decide.observeHealth(node);
        }

        @Override
        public void setSuspected(int node, boolean doubted) {
            if (node == script.hung) {
                heldBack = doubted && !doubts && heldBack == null ? time.now() : heldBack;
                doubts = doubted;
            }
            decide.at(time.now());
            decide.setSuspected(node, doubted);
        }

        @Override
        public void better(int node) {
            decide.at(time.now());
            decide.better(node);
        }

        @Override
        public void submit(int id, int node, Duration limit) {
            Txn txn = txns.get(id);
            Duration now = time.now();
            if (hangs(node, now)) {
                boolean tries =
                        heldBack != null
                                && outAtHung == 0
                                && now.minus(heldBack).compareTo(TRIAL) >= 0;
                heldBack = now;
                lastPour = tries ? lastPour : now;
                pours.add(now);
            }
            outAtHung += node == script.hung ? 1 : 0;
            Duration work = Duration.ofNanos((long) (WORK.toNanos() * (0.5 + mine.nextDouble())));
            boolean answers =
                    !hangs(node, now) && !hangs(node, now.plus(work)) && work.compareTo(limit) < 0;
            time.after(
                    answers ? work : limit,
                    () -> {
                        decide.at(time.now());
                        outAtHung -= node == script.hung ? 1 : 0;
                        Duration position =
                                time.now().minusMillis(node % script.members == 0 ? 0 : 20);
                        Role role = node % script.members == 0 ? Role.PRIMARY : Role.REPLICA;
                        boolean first = answers && !txn.over;
                        if (first) {
                            txn.over = true;
                            boolean timely =
                                    time.now().minus(txn.came).toMillis()
                                            <= (txn.type == 2 ? 750 : 300);
                            earned += timely ? VALUES[txn.type] : 0;
                        }
                        Report note = answers ? new Report(position, role) : Report.NOTHING;
                        txn.handle.ended(
                                node,
                                answers ? Result.COMMITTED : Result.TIMED_OUT,
                                time.now().minus(now),
                                txn.over,
                                note,
                                Report.NOTHING);
                    });
        }

        @Override
        public void decline(int txn, Duration pause) {
            txns.get(txn).over = true;
        }

        @Override
        public void rollBack(int txn) {
            txns.get(txn).over = true;
        }

        @Override
        public void release(int node) {}

        /** A hung node does not answer probes. */
        @Override
        public void probe(int node) {
            boolean answers = !hangs(node, time.now());
            time.after(
                    answers ? Duration.ofMillis(2) : DIAL,
                    () -> {
                        decide.at(time.now());
                        Role role = node % script.members == 0 ? Role.PRIMARY : Role.REPLICA;
                        decide.probed(
                                node,
                                answers,
                                answers
                                        ? new Report(time.now().minusMillis(20), role)
                                        : Report.NOTHING);
                    });
        }

        @Override
        public void follow() {}

        @Override
        public void wake(Duration in) {
            time.after(
                    in,
                    () -> {
                        decide.at(time.now());
                        decide.woken();
                    });
        }
    }
}
