package dillfront.simulation;

import static dillfront.routing.api.Durations.toSeconds;

import dillfront.router.gossip.GossipConfig;
import dillfront.router.gossip.GossipProtocol;
import dillfront.router.gossip.Symptom;
import dillfront.router.peers.PeerHealthExchange;
import dillfront.router.peers.PeerRegistry;
import dillfront.routing.RoutingEngine;
import dillfront.routing.api.Consistency;
import dillfront.routing.api.HealthObservation;
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
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Routers with the decisions as they are, each with txns of its own, before nodes that one script
 * makes hang; with gossip or without. Tells what the txns earned and how long routers went on
 * sending to what hung.
 */
public final class World {

    /** What one run is. */
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

    /** What the last router says to others, if it lies. */
    public enum Lie {
        NONE,
        ALL,
        PRIMARIES,
        HALF
    }

    /**
     * What came of it.
     *
     * @param value earned, as a part of what was asked
     * @param stopped from the first router's own evidence until the last stopped pouring
     * @param poured txns sent to what hung after the first router's evidence, trials included
     * @param doubts falsely held: node-beats at which a node that was well was doubted by hearsay,
     *     of all node-beats
     * @param bytes that one instance sent a second, in the mean
     */
    public record Outcome(
            double value, Duration stopped, int poured, double doubts, double bytes) {}

    private static final Duration BEAT = Duration.ofMillis(20);
    private static final Duration DIAL = Duration.ofMillis(250);
    private static final Duration WORK = Duration.ofMillis(20);

    /**
     * A router that sends one txn after such a gap, with nothing else out there, only tries the
     * node.
     */
    private static final Duration TRIAL = DIAL;

    private static final Duration CLIENT = Duration.ofMillis(750);
    private static final double[] VALUES = {3, 2, 6};

    /** By what the routers of a world speak with each other. */
    interface Wire {

        /** Starts them; their new claims go to the routers. */
        void start(List<Router> routers);

        /** Its clocks set. */
        GossipProtocol of(int router);

        /** The mean of what one has sent, in bytes. */
        double bytes();
    }

    private final Script script;
    private final GossipConfig tuning = GossipConfig.DEFAULT;
    private final List<Router> routers = new ArrayList<>();
    private final Wire wire;

    /**
     * @param times one a router
     */
    World(Script script, List<? extends Clockwork> times, Wire wire) {
        this.script = script;
        this.wire = wire;
        for (int i = 0; i < script.routers; i++) {
            routers.add(new Router(i, times.get(i)));
        }
    }

    /** In virtual time. */
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

    /** Each router's part begins on its own clockwork. */
    void start() {
        if (script.gossip) {
            wire.start(routers);
        }
        for (Router router : routers) {
            router.time.after(Duration.ZERO, router::begin);
        }
    }

    /** Once all is over. */
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
                script.gossip ? wire.bytes() / toSeconds(script.end) : 0);
    }

    private int nodes() {
        return script.groups * script.members;
    }

    private boolean hangs(int node, Duration at) {
        return node == script.hung
                && at.compareTo(script.hangs) >= 0
                && at.compareTo(script.hangs.plus(script.lasts)) < 0;
    }

    private static RoutingSettings settings(int routers) {
        Duration ms = Duration.ofMillis(1);
        return new RoutingSettings(
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
                        new TransactionType(
                                Repeatability.IDEMPOTENT,
                                false,
                                Duration.ZERO,
                                Consistency.BOUNDED_STALENESS,
                                ms.multipliedBy(200),
                                ms.multipliedBy(300),
                                CLIENT,
                                3,
                                0),
                        new TransactionType(
                                Repeatability.IDEMPOTENT,
                                false,
                                Duration.ZERO,
                                Consistency.EVENTUAL,
                                Duration.ZERO,
                                ms.multipliedBy(300),
                                CLIENT,
                                2,
                                0),
                        new TransactionType(
                                Repeatability.DEDUPLICATED,
                                true,
                                Duration.ofSeconds(2),
                                Consistency.WRITE,
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
        TransactionHandle handle;
        boolean over;

        Txn(int type, Duration came) {
            this.type = type;
            this.came = came;
        }
    }

    /** One router; all of it on its own clockwork. */
    final class Router implements RoutingActions, PeerHealthExchange.RoutingDecisions {

        final int index;
        final Clockwork time;
        final PeerHealthExchange neighbours;
        private final RoutingEngine decide;
        private final RandomGenerator mine;
        private final List<Txn> txns = new ArrayList<>();

        /** At the node that hangs: the last send, or the begin of a doubt; and how many are out. */
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
                    new RoutingEngine(
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
                                MemberState.READY));
                neighbours.addNode(n, "node-" + n);
            }
            decide.setTime(time.now());
            decide.updateMembers(true, rows);
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
                        decide.setTime(time.now());
                        int id = txns.size() - 1;
                        txn.handle =
                                decide.accept(
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

        /** What the daemon does at its beat, and nothing more. */
        private void beat() {
            time.after(
                    BEAT,
                    () -> {
                        decide.setTime(time.now());
                        if (evidence == null
                                && hangs(script.hung, time.now())
                                && decide.observeHealth(script.hung).isFaulty()) {
                            evidence = time.now();
                        }
                        // He who lies does not take it back by telling what he sees.
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
        public HealthObservation observeHealth(int node) {
            return decide.observeHealth(node);
        }

        @Override
        public void setSuspected(int node, boolean doubted) {
            if (node == script.hung) {
                heldBack = doubted && !doubts && heldBack == null ? time.now() : heldBack;
                doubts = doubted;
            }
            decide.setTime(time.now());
            decide.setSuspected(node, doubted);
        }

        @Override
        public void better(int node) {
            decide.setTime(time.now());
            decide.advanceTrial(node);
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
                        decide.setTime(time.now());
                        outAtHung -= node == script.hung ? 1 : 0;
                        Duration position =
                                time.now().minusMillis(node % script.members == 0 ? 0 : 20);
                        NodeRole role =
                                node % script.members == 0 ? NodeRole.PRIMARY : NodeRole.REPLICA;
                        boolean first = answers && !txn.over;
                        if (first) {
                            txn.over = true;
                            boolean timely =
                                    time.now().minus(txn.came).toMillis()
                                            <= (txn.type == 2 ? 750 : 300);
                            earned += timely ? VALUES[txn.type] : 0;
                        }
                        NodeReport note =
                                answers ? new NodeReport(position, role) : NodeReport.EMPTY;
                        txn.handle.submissionEnded(
                                node,
                                answers ? SubmissionResult.COMMITTED : SubmissionResult.TIMED_OUT,
                                time.now().minus(now),
                                txn.over,
                                note,
                                NodeReport.EMPTY);
                    });
        }

        @Override
        public void decline(int txn, Duration pause) {
            txns.get(txn).over = true;
        }

        @Override
        public void reportUnknownOutcome(int txn) {
            txns.get(txn).over = true;
        }

        @Override
        public void closeIdleConnections(int node) {}

        /** A hung node answers no probe either. */
        @Override
        public void probe(int node) {
            boolean answers = !hangs(node, time.now());
            time.after(
                    answers ? Duration.ofMillis(2) : DIAL,
                    () -> {
                        decide.setTime(time.now());
                        NodeRole role =
                                node % script.members == 0 ? NodeRole.PRIMARY : NodeRole.REPLICA;
                        decide.probeCompleted(
                                node,
                                answers,
                                answers
                                        ? new NodeReport(time.now().minusMillis(20), role)
                                        : NodeReport.EMPTY);
                    });
        }

        @Override
        public void watchMemberList() {}

        @Override
        public void scheduleWakeUp(Duration in) {
            time.after(
                    in,
                    () -> {
                        decide.setTime(time.now());
                        decide.onWakeUp();
                    });
        }
    }
}
