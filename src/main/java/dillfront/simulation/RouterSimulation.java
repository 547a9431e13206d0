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
 * Simulates routers, each with its own transactions, in front of nodes of which the scenario makes
 * one hang, with or without gossip. Routing is decided by {@link RoutingEngine} itself. Reports the
 * value that the transactions earned and how long routers kept sending to the hung node.
 */
public final class RouterSimulation {

    /** Parameters of one run. */
    public record Scenario(
            int routers,
            int groups,
            int members,
            double txnsPerSecond,
            int hungNode,
            Duration hangStart,
            Duration hangDuration,
            Duration end,
            boolean gossip,
            FalseClaims falseClaims,
            long seed) {}

    /** The nodes that the last router falsely reports as hung. */
    public enum FalseClaims {
        NONE,
        ALL,
        PRIMARIES,
        HALF
    }

    /**
     * Result of one run.
     *
     * @param earnedFraction the earned value as a fraction of the requested value
     * @param timeToStop from the first router's own evidence until the last router stopped sending
     *     to the hung node
     * @param sentToHungNode transactions sent to the hung node after the first router's evidence,
     *     trial requests included
     * @param falseSuspicionRate the rate of false suspicions: node ticks at which a healthy node
     *     was suspected because of peer reports, as a fraction of all node ticks
     * @param bytesPerSecond mean bytes per second sent by one instance
     */
    public record Outcome(
            double earnedFraction,
            Duration timeToStop,
            int sentToHungNode,
            double falseSuspicionRate,
            double bytesPerSecond) {}

    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);
    private static final Duration MEAN_SERVICE_TIME = Duration.ofMillis(20);

    /**
     * A transaction sent to the hung node after this pause, with none other outstanding there, is a
     * trial request and does not count as continued sending.
     */
    private static final Duration TRIAL_PAUSE = CONNECT_TIMEOUT;

    private static final Duration CLIENT_TIMEOUT = Duration.ofMillis(750);
    private static final double[] VALUE_BY_TYPE = {3, 2, 6};

    /** Gossip network between the routers of a simulation. */
    interface GossipNetwork {

        /** Starts the gossip instances; new claims are passed to the routers. */
        void start(List<Router> routers);

        /** Returns the gossip protocol of a router with its clocks set. */
        GossipProtocol protocolOf(int router);

        /** Returns the mean number of bytes sent per instance. */
        double meanBytesSent();
    }

    private final Scenario scenario;
    private final GossipConfig gossipConfig = GossipConfig.DEFAULT;
    private final List<Router> routers = new ArrayList<>();
    private final GossipNetwork gossipNetwork;

    /**
     * @param schedulers one scheduler per router
     */
    RouterSimulation(
            Scenario scenario,
            List<? extends TaskScheduler> schedulers,
            GossipNetwork gossipNetwork) {
        this.scenario = scenario;
        this.gossipNetwork = gossipNetwork;
        for (int i = 0; i < scenario.routers; i++) {
            routers.add(new Router(i, schedulers.get(i)));
        }
    }

    /** Runs the scenario in virtual time. */
    public static Outcome run(Scenario scenario) {
        VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
        RouterSimulation[] simulation = new RouterSimulation[1];
        GossipSimulation gossip =
                new GossipSimulation(
                        scenario.routers,
                        GossipConfig.DEFAULT,
                        scheduler,
                        scenario.seed + 1,
                        (instance, claim, age) ->
                                simulation[0]
                                        .routers
                                        .get(instance)
                                        .peerHealth
                                        .onClaim(claim, age, scheduler.now()));
        simulation[0] =
                new RouterSimulation(
                        scenario,
                        Collections.nCopies(scenario.routers, scheduler),
                        new GossipNetwork() {
                            @Override
                            public void start(List<Router> routers) {
                                gossip.start();
                            }

                            @Override
                            public GossipProtocol protocolOf(int router) {
                                gossip.instances[router].updateClocks();
                                return gossip.instances[router].gossip;
                            }

                            @Override
                            public double meanBytesSent() {
                                return gossip.meanBytesSent();
                            }
                        });
        simulation[0].start();
        scheduler.runUntil(scenario.end);
        return simulation[0].result();
    }

    /** Starts each router on its own scheduler. */
    void start() {
        if (scenario.gossip) {
            gossipNetwork.start(routers);
        }
        for (Router router : routers) {
            router.scheduler.schedule(Duration.ZERO, router::start);
        }
    }

    /** Returns the result; to be called after the end of the run. */
    Outcome result() {
        double requested = 0;
        double earned = 0;
        long nodeTicks = 0;
        long falseSuspicions = 0;
        int sentAfterEvidence = 0;
        Duration firstEvidence = null;
        Duration lastSend = Duration.ZERO;
        for (Router router : routers) {
            requested += router.requestedValue;
            earned += router.earnedValue;
            nodeTicks += router.nodeTicks;
            falseSuspicions += router.falseSuspicions;
            firstEvidence =
                    router.firstEvidence == null
                                    || firstEvidence != null
                                            && firstEvidence.compareTo(router.firstEvidence) < 0
                            ? firstEvidence
                            : router.firstEvidence;
            lastSend =
                    router.lastSendToHungNode.compareTo(lastSend) > 0
                            ? router.lastSendToHungNode
                            : lastSend;
        }
        for (Router router : routers) {
            for (Duration at : router.sendsToHungNode) {
                sentAfterEvidence +=
                        firstEvidence != null && at.compareTo(firstEvidence) > 0 ? 1 : 0;
            }
        }
        Duration timeToStop =
                firstEvidence == null || lastSend.compareTo(firstEvidence) < 0
                        ? Duration.ZERO
                        : lastSend.minus(firstEvidence);
        return new Outcome(
                earned / requested,
                timeToStop,
                sentAfterEvidence,
                falseSuspicions / (double) Math.max(1, nodeTicks),
                scenario.gossip ? gossipNetwork.meanBytesSent() / toSeconds(scenario.end) : 0);
    }

    private int nodeCount() {
        return scenario.groups * scenario.members;
    }

    private boolean isHung(int node, Duration at) {
        return node == scenario.hungNode
                && at.compareTo(scenario.hangStart) >= 0
                && at.compareTo(scenario.hangStart.plus(scenario.hangDuration)) < 0;
    }

    private static RoutingSettings settings(int routers) {
        Duration millisecond = Duration.ofMillis(1);
        return new RoutingSettings(
                millisecond.multipliedBy(5),
                0,
                CONNECT_TIMEOUT,
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
                                millisecond.multipliedBy(200),
                                millisecond.multipliedBy(300),
                                CLIENT_TIMEOUT,
                                3,
                                0),
                        new TransactionType(
                                Repeatability.IDEMPOTENT,
                                false,
                                Duration.ZERO,
                                Consistency.EVENTUAL,
                                Duration.ZERO,
                                millisecond.multipliedBy(300),
                                CLIENT_TIMEOUT,
                                2,
                                0),
                        new TransactionType(
                                Repeatability.DEDUPLICATED,
                                true,
                                Duration.ofSeconds(2),
                                Consistency.WRITE,
                                Duration.ZERO,
                                CLIENT_TIMEOUT,
                                CLIENT_TIMEOUT,
                                6,
                                0)),
                List.of());
    }

    private static final class Txn {
        final int type;
        final Duration arrivedAt;
        TransactionHandle handle;
        boolean answered;

        Txn(int type, Duration arrivedAt) {
            this.type = type;
            this.arrivedAt = arrivedAt;
        }
    }

    /** One router; all of its work runs on its own scheduler. */
    final class Router implements RoutingActions, PeerHealthExchange.RoutingDecisions {

        final int index;
        final TaskScheduler scheduler;
        final PeerHealthExchange peerHealth;
        private final RoutingEngine routingEngine;
        private final RandomGenerator random;
        private final List<Txn> txns = new ArrayList<>();

        /** For the hung node: the time of the last send or of the start of a suspicion. */
        private Duration lastSendOrSuspicion;

        private boolean hungNodeSuspected;
        private int outstandingAtHungNode;
        private Duration firstEvidence;
        private Duration lastSendToHungNode = Duration.ZERO;
        private final List<Duration> sendsToHungNode = new ArrayList<>();
        private double requestedValue;
        private double earnedValue;
        private long nodeTicks;
        private long falseSuspicions;

        Router(int index, TaskScheduler scheduler) {
            this.index = index;
            this.scheduler = scheduler;
            random = new SplittableRandom(scenario.seed * 1_000_003 + index);
            routingEngine =
                    new RoutingEngine(
                            settings(scenario.routers),
                            this,
                            new SplittableRandom(random.nextLong()));
            peerHealth = new PeerHealthExchange(gossipConfig, scenario.routers, this);
            peerHealth.setGossip(() -> gossipNetwork.protocolOf(index));
        }

        private boolean publishesFalseClaims() {
            return scenario.falseClaims != FalseClaims.NONE && index == scenario.routers - 1;
        }

        private void start() {
            List<NodeRow> rows = new ArrayList<>();
            for (int node = 0; node < nodeCount(); node++) {
                rows.add(
                        new NodeRow(
                                node,
                                node / scenario.members,
                                0,
                                1,
                                node % scenario.members == 0,
                                null,
                                MemberState.READY));
                peerHealth.addNode(node, "node-" + node);
            }
            routingEngine.setTime(scheduler.now());
            routingEngine.updateMembers(true, rows);
            scheduleNextTxn();
            tick();
            if (publishesFalseClaims()) {
                scheduler.schedule(scenario.hangStart.dividedBy(2), this::publishFalseClaims);
            }
        }

        private void publishFalseClaims() {
            for (int node = 0; node < nodeCount(); node++) {
                boolean claimed =
                        switch (scenario.falseClaims) {
                            case ALL -> true;
                            case PRIMARIES -> node % scenario.members == 0;
                            case HALF -> node < nodeCount() / 2;
                            default -> false;
                        };
                if (claimed) {
                    gossipNetwork
                            .protocolOf(index)
                            .publishClaim(
                                    PeerRegistry.hash("node-" + node),
                                    Symptom.HUNG,
                                    5,
                                    Duration.ofSeconds(1));
                }
            }
            scheduler.schedule(gossipConfig.period(), this::publishFalseClaims);
        }

        private void scheduleNextTxn() {
            Duration gap =
                    Duration.ofNanos(
                            (long)
                                    (-Math.log(1 - random.nextDouble())
                                            / scenario.txnsPerSecond
                                            * 1e9));
            scheduler.schedule(
                    gap,
                    () -> {
                        double draw = random.nextDouble();
                        int type = draw < 0.2 ? 0 : draw < 0.85 ? 1 : 2;
                        Txn txn = new Txn(type, scheduler.now());
                        txns.add(txn);
                        requestedValue += VALUE_BY_TYPE[type];
                        routingEngine.setTime(scheduler.now());
                        int id = txns.size() - 1;
                        txn.handle =
                                routingEngine.accept(
                                        id,
                                        type,
                                        -1,
                                        -1,
                                        random.nextInt(scenario.groups),
                                        CLIENT_TIMEOUT,
                                        null,
                                        Duration.ZERO,
                                        null);
                        scheduleNextTxn();
                    });
        }

        /** Does what the router daemon does at each tick, and nothing more. */
        private void tick() {
            scheduler.schedule(
                    TICK_INTERVAL,
                    () -> {
                        routingEngine.setTime(scheduler.now());
                        if (firstEvidence == null
                                && isHung(scenario.hungNode, scheduler.now())
                                && routingEngine.observeHealth(scenario.hungNode).isFaulty()) {
                            firstEvidence = scheduler.now();
                        }
                        // A router that publishes false claims does not retract them by reporting
                        // its own observations.
                        if (scenario.gossip && !publishesFalseClaims()) {
                            peerHealth.tick(scheduler.now());
                            for (int node = 0; node < nodeCount(); node++) {
                                nodeTicks++;
                                boolean healthy =
                                        node != scenario.hungNode
                                                || scheduler.now().compareTo(scenario.hangStart)
                                                        < 0;
                                falseSuspicions += peerHealth.isSuspected(node) && healthy ? 1 : 0;
                            }
                        }
                        tick();
                    });
        }

        @Override
        public HealthObservation observeHealth(int node) {
            return routingEngine.observeHealth(node);
        }

        @Override
        public void setSuspected(int node, boolean suspected) {
            if (node == scenario.hungNode) {
                lastSendOrSuspicion =
                        suspected && !hungNodeSuspected && lastSendOrSuspicion == null
                                ? scheduler.now()
                                : lastSendOrSuspicion;
                hungNodeSuspected = suspected;
            }
            routingEngine.setTime(scheduler.now());
            routingEngine.setSuspected(node, suspected);
        }

        @Override
        public void better(int node) {
            routingEngine.setTime(scheduler.now());
            routingEngine.advanceTrial(node);
        }

        @Override
        public void submit(int slot, int node, Duration limit) {
            Txn txn = txns.get(slot);
            Duration now = scheduler.now();
            if (isHung(node, now)) {
                boolean isTrial =
                        lastSendOrSuspicion != null
                                && outstandingAtHungNode == 0
                                && now.minus(lastSendOrSuspicion).compareTo(TRIAL_PAUSE) >= 0;
                lastSendOrSuspicion = now;
                lastSendToHungNode = isTrial ? lastSendToHungNode : now;
                sendsToHungNode.add(now);
            }
            outstandingAtHungNode += node == scenario.hungNode ? 1 : 0;
            Duration serviceTime =
                    Duration.ofNanos(
                            (long) (MEAN_SERVICE_TIME.toNanos() * (0.5 + random.nextDouble())));
            boolean responds =
                    !isHung(node, now)
                            && !isHung(node, now.plus(serviceTime))
                            && serviceTime.compareTo(limit) < 0;
            scheduler.schedule(
                    responds ? serviceTime : limit,
                    () -> {
                        routingEngine.setTime(scheduler.now());
                        outstandingAtHungNode -= node == scenario.hungNode ? 1 : 0;
                        Duration position =
                                scheduler.now().minusMillis(node % scenario.members == 0 ? 0 : 20);
                        NodeRole role =
                                node % scenario.members == 0 ? NodeRole.PRIMARY : NodeRole.REPLICA;
                        boolean answersTxn = responds && !txn.answered;
                        if (answersTxn) {
                            txn.answered = true;
                            boolean timely =
                                    scheduler.now().minus(txn.arrivedAt).toMillis()
                                            <= (txn.type == 2 ? 750 : 300);
                            earnedValue += timely ? VALUE_BY_TYPE[txn.type] : 0;
                        }
                        NodeReport report =
                                responds ? new NodeReport(position, role) : NodeReport.EMPTY;
                        txn.handle.submissionEnded(
                                node,
                                responds ? SubmissionResult.COMMITTED : SubmissionResult.TIMED_OUT,
                                scheduler.now().minus(now),
                                txn.answered,
                                report,
                                NodeReport.EMPTY);
                    });
        }

        @Override
        public void decline(int slot, Duration pause) {
            txns.get(slot).answered = true;
        }

        @Override
        public void reportUnknownOutcome(int slot) {
            txns.get(slot).answered = true;
        }

        @Override
        public void closeIdleConnections(int node) {}

        /** A hung node does not answer probes. */
        @Override
        public void probe(int node) {
            boolean responds = !isHung(node, scheduler.now());
            scheduler.schedule(
                    responds ? Duration.ofMillis(2) : CONNECT_TIMEOUT,
                    () -> {
                        routingEngine.setTime(scheduler.now());
                        NodeRole role =
                                node % scenario.members == 0 ? NodeRole.PRIMARY : NodeRole.REPLICA;
                        routingEngine.probeCompleted(
                                node,
                                responds,
                                responds
                                        ? new NodeReport(scheduler.now().minusMillis(20), role)
                                        : NodeReport.EMPTY);
                    });
        }

        @Override
        public void watchMemberList() {}

        @Override
        public void scheduleWakeUp(Duration delay) {
            scheduler.schedule(
                    delay,
                    () -> {
                        routingEngine.setTime(scheduler.now());
                        routingEngine.onWakeUp();
                    });
        }
    }
}
