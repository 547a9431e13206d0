package dillfront.simulation;

import dillfront.router.gossip.GossipConfig;
import dillfront.router.gossip.GossipProtocol;
import dillfront.router.gossip.GossipTransport;
import dillfront.router.gossip.GossipUpdate;
import dillfront.router.peers.GossipCodec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Instances that gossip in virtual time over a network that loses, doubles, delays and parts. Sizes
 * are those of the wire (dillfront.router.peers.Codec), signatures are taken as right: words here
 * are objects that nobody can change.
 */
public final class GossipSimulation {

    /** Looks at the clock, a period; as many as on sockets. */
    private static final int TICKS_PER_PERIOD = 10;

    private static final Duration EPOCH = Duration.ofDays(20_000);

    /** Hears what claims are new at an instance. */
    public interface ClaimListener {
        void onClaim(int instance, GossipUpdate claim, Duration age);
    }

    /** One instance; it may be off, or stand still, in which case what comes waits for it. */
    public final class Instance implements GossipTransport {

        public final int index;
        public GossipProtocol gossip;

        /** What its clock shows beyond the others'. */
        public Duration clockOffset = Duration.ZERO;

        public boolean stopped;

        /** The part of a parted network that it is in. */
        public int partition;

        public long datagrams;
        private boolean paused;
        private final List<Runnable> pendingDatagrams = new ArrayList<>();
        private int startCount;

        Instance(int index) {
            this.index = index;
        }

        /** Starts it from nothing. */
        public void start(List<Integer> seeds) {
            stopped = false;
            int expectedStart = ++startCount;
            gossip =
                    new GossipProtocol(
                            config,
                            instances.length,
                            index,
                            0,
                            this,
                            new SplittableRandom(random.nextLong()));
            updateClocks();
            gossip.join(seeds);
            scheduler.schedule(
                    Duration.ofNanos(random.nextLong(config.period().toNanos() / TICKS_PER_PERIOD)),
                    () -> tick(expectedStart));
        }

        private void tick(int expectedStart) {
            if (stopped || expectedStart != startCount) {
                return;
            }
            if (!paused) {
                updateClocks();
                gossip.tick();
            }
            scheduler.schedule(
                    config.period().dividedBy(TICKS_PER_PERIOD), () -> tick(expectedStart));
        }

        /** Sets its clocks, before anything is asked of it from outside. */
        public void updateClocks() {
            gossip.setClocks(scheduler.now(), EPOCH.plus(scheduler.now()).plus(clockOffset));
        }

        /** Does nothing for so long, as a stopped process; then reads all that came. */
        public void pause(Duration duration) {
            paused = true;
            scheduler.schedule(
                    duration,
                    () -> {
                        paused = false;
                        updateClocks();
                        gossip.tick();
                        pendingDatagrams.forEach(Runnable::run);
                        pendingDatagrams.clear();
                    });
        }

        private interface Delivery {
            void deliver(GossipProtocol gossip, Instance at);
        }

        private void send(int to, List<GossipUpdate> updates, Delivery delivery) {
            datagrams++;
            Instance receiver = instances[to];
            int copies = random.nextDouble() < duplicateRate ? 2 : 1;
            int incarnation = gossip.incarnation();
            Duration sentAt = EPOCH.plus(scheduler.now()).plus(clockOffset);
            for (int i = 0; i < copies; i++) {
                if (random.nextDouble() < lossRate || receiver.partition != partition) {
                    continue;
                }
                scheduler.schedule(
                        Duration.ofNanos(
                                (long) (meanDelay.toNanos() * (0.5 + random.nextDouble()))),
                        () -> {
                            if (receiver.stopped) {
                                return;
                            }
                            Runnable handler =
                                    () -> {
                                        receiver.updateClocks();
                                        receiver.gossip.receivedFrom(index, incarnation, sentAt);
                                        updates.forEach(
                                                update ->
                                                        receiver.gossip.receiveUpdate(
                                                                update, index));
                                        delivery.deliver(receiver.gossip, receiver);
                                    };
                            if (receiver.paused) {
                                receiver.pendingDatagrams.add(handler);
                            } else {
                                handler.run();
                            }
                        });
            }
        }

        @Override
        public void ping(int to, int sequence, List<GossipUpdate> updates) {
            send(to, updates, (receiver, at) -> receiver.handlePing(index, sequence));
        }

        @Override
        public void ack(int to, int sequence, List<GossipUpdate> updates) {
            send(to, updates, (receiver, at) -> receiver.handleAck(index, sequence));
        }

        @Override
        public void requestProbe(int to, int target, int sequence, List<GossipUpdate> updates) {
            send(
                    to,
                    updates,
                    (receiver, at) -> receiver.handleProbeRequest(index, target, sequence));
        }

        @Override
        public void push(int to, boolean exchange, List<GossipUpdate> updates) {
            send(
                    to,
                    updates,
                    (receiver, at) -> {
                        if (exchange) {
                            receiver.handleTableExchange(index);
                        }
                    });
        }

        @Override
        public GossipUpdate sign(GossipUpdate own) {
            return own;
        }

        @Override
        public int wireSize(List<GossipUpdate> updates) {
            return GossipCodec.wireSize(updates.size());
        }

        @Override
        public void claimReceived(GossipUpdate claim, Duration age) {
            claimListener.onClaim(index, claim, age);
        }
    }

    public final Instance[] instances;
    public final VirtualTimeScheduler scheduler;

    /** Parts of all datagrams. */
    public double lossRate;

    public double duplicateRate;
    public Duration meanDelay = Duration.ofMillis(2);
    private final GossipConfig config;
    private final ClaimListener claimListener;
    private final RandomGenerator random;

    /** So many instances that all know each other from the start. */
    public GossipSimulation(
            int count,
            GossipConfig config,
            VirtualTimeScheduler scheduler,
            long seed,
            ClaimListener claimListener) {
        this.config = config;
        this.scheduler = scheduler;
        this.claimListener = claimListener;
        random = new SplittableRandom(seed);
        instances = new Instance[count];
        for (int i = 0; i < count; i++) {
            instances[i] = new Instance(i);
        }
    }

    /** All at once, each knowing where one in twenty is, and three at the least. */
    public void start() {
        List<Integer> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(Math.max(3, instances.length / 20), instances.length); i++) {
            seeds.add(i);
        }
        for (Instance instance : instances) {
            instance.start(seeds);
        }
    }

    /** The mean of what one has sent so far, in bytes. */
    public double meanBytesSent() {
        double total = 0;
        for (Instance instance : instances) {
            total += instance.gossip.budget().bytesSent();
        }
        return total / instances.length;
    }

    /** Over all pairs of instances that are on: how many hold the other there. */
    public double knownFraction() {
        long pairs = 0;
        long present = 0;
        for (Instance a : instances) {
            for (Instance b : instances) {
                if (!a.stopped && !b.stopped && a != b) {
                    pairs++;
                    present += a.gossip.membership().isPresent(b.index) ? 1 : 0;
                }
            }
        }
        return present / (double) Math.max(1, pairs);
    }

    /** Over all pairs: how many hold one there, or suspect, that is off. */
    public double staleFraction() {
        long pairs = 0;
        long present = 0;
        for (Instance a : instances) {
            for (Instance b : instances) {
                if (!a.stopped && b.stopped) {
                    pairs++;
                    present += a.gossip.membership().isPresent(b.index) ? 1 : 0;
                }
            }
        }
        return present / (double) Math.max(1, pairs);
    }
}
