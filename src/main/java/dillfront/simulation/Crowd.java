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
 * Gossip instances in virtual time over a network that loses, duplicates, delays and partitions
 * datagrams. Sizes are those of the wire format ({@link GossipCodec}); signatures are assumed to be
 * valid because updates are immutable objects here.
 */
public final class Crowd {

    /** Ticks per gossip period; the same number as with real sockets. */
    private static final int LOOKS = 10;

    private static final Duration EPOCH = Duration.ofDays(20_000);

    /** Receives the claims that are new at an instance. */
    public interface Ear {
        void claimed(int instance, GossipUpdate claim, Duration age);
    }

    /**
     * One gossip instance. The instance may be powered off or paused; datagrams that arrive during
     * a pause are handled when the pause ends.
     */
    public final class Instance implements GossipTransport {

        public final int index;
        public GossipProtocol gossip;

        /** Offset of this instance's wall clock from the clocks of the other instances. */
        public Duration clock = Duration.ZERO;

        public boolean off;

        /** The network partition that the instance is in. */
        public int side;

        public long datagrams;
        private boolean still;
        private final List<Runnable> waiting = new ArrayList<>();
        private int life;

        Instance(int index) {
            this.index = index;
        }

        /** Starts the instance with empty state and increments its incarnation. */
        public void start(List<Integer> seeds) {
            off = false;
            int mine = ++life;
            gossip =
                    new GossipProtocol(
                            tuning,
                            instances.length,
                            index,
                            0,
                            this,
                            new SplittableRandom(chance.nextLong()));
            at();
            gossip.join(seeds);
            time.after(
                    Duration.ofNanos(chance.nextLong(tuning.period().toNanos() / LOOKS)),
                    () -> beat(mine));
        }

        private void beat(int mine) {
            if (off || mine != life) {
                return;
            }
            if (!still) {
                at();
                gossip.tick();
            }
            time.after(tuning.period().dividedBy(LOOKS), () -> beat(mine));
        }

        /** Sets the clocks of the gossip protocol; required before each call from outside. */
        public void at() {
            gossip.setClocks(time.now(), EPOCH.plus(time.now()).plus(clock));
        }

        /**
         * Pauses the instance as a stopped process would be; the datagrams that arrive meanwhile
         * are handled at the end of the pause.
         */
        public void standStill(Duration span) {
            still = true;
            time.after(
                    span,
                    () -> {
                        still = false;
                        at();
                        gossip.tick();
                        waiting.forEach(Runnable::run);
                        waiting.clear();
                    });
        }

        private interface Told {
            void to(GossipProtocol gossip, Instance at);
        }

        private void send(int to, List<GossipUpdate> words, Told told) {
            datagrams++;
            Instance other = instances[to];
            int copies = chance.nextDouble() < doubled ? 2 : 1;
            int incarnation = gossip.incarnation();
            Duration sent = EPOCH.plus(time.now()).plus(clock);
            for (int i = 0; i < copies; i++) {
                if (chance.nextDouble() < lost || other.side != side) {
                    continue;
                }
                time.after(
                        Duration.ofNanos((long) (delay.toNanos() * (0.5 + chance.nextDouble()))),
                        () -> {
                            if (other.off) {
                                return;
                            }
                            Runnable read =
                                    () -> {
                                        other.at();
                                        other.gossip.receivedFrom(index, incarnation, sent);
                                        words.forEach(w -> other.gossip.receiveUpdate(w, index));
                                        told.to(other.gossip, other);
                                    };
                            if (other.still) {
                                other.waiting.add(read);
                            } else {
                                read.run();
                            }
                        });
            }
        }

        @Override
        public void ping(int to, int number, List<GossipUpdate> words) {
            send(to, words, (g, at) -> g.handlePing(index, number));
        }

        @Override
        public void ack(int to, int number, List<GossipUpdate> words) {
            send(to, words, (g, at) -> g.handleAck(index, number));
        }

        @Override
        public void requestProbe(int to, int about, int number, List<GossipUpdate> words) {
            send(to, words, (g, at) -> g.handleProbeRequest(index, about, number));
        }

        @Override
        public void push(int to, boolean swap, List<GossipUpdate> words) {
            send(
                    to,
                    words,
                    (g, at) -> {
                        if (swap) {
                            g.handleTableExchange(index);
                        }
                    });
        }

        @Override
        public GossipUpdate sign(GossipUpdate own) {
            return own;
        }

        @Override
        public int wireSize(List<GossipUpdate> words) {
            return GossipCodec.wireSize(words.size());
        }

        @Override
        public void claimReceived(GossipUpdate claim, Duration age) {
            ear.claimed(index, claim, age);
        }
    }

    public final Instance[] instances;
    public final Time time;

    /** Probability that a datagram is lost. */
    public double lost;

    public double doubled;
    public Duration delay = Duration.ofMillis(2);
    private final GossipConfig tuning;
    private final Ear ear;
    private final RandomGenerator chance;

    /** Creates instances whose peer registries all list each other from the start. */
    public Crowd(int count, GossipConfig tuning, Time time, long seed, Ear ear) {
        this.tuning = tuning;
        this.time = time;
        this.ear = ear;
        chance = new SplittableRandom(seed);
        instances = new Instance[count];
        for (int i = 0; i < count; i++) {
            instances[i] = new Instance(i);
        }
    }

    /** Starts all instances at once. Each has one in twenty of them as seeds, at least three. */
    public void start() {
        List<Integer> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(Math.max(3, instances.length / 20), instances.length); i++) {
            seeds.add(i);
        }
        for (Instance instance : instances) {
            instance.start(seeds);
        }
    }

    /** Returns the mean number of bytes sent per instance so far. */
    public double bytes() {
        double sum = 0;
        for (Instance instance : instances) {
            sum += instance.gossip.budget().bytesSent();
        }
        return sum / instances.length;
    }

    /**
     * Returns the fraction of pairs of running instances in which one lists the other as present.
     */
    public double known() {
        long on = 0;
        long there = 0;
        for (Instance a : instances) {
            for (Instance b : instances) {
                if (!a.off && !b.off && a != b) {
                    on++;
                    there += a.gossip.membership().isPresent(b.index) ? 1 : 0;
                }
            }
        }
        return there / (double) Math.max(1, on);
    }

    /**
     * Returns the fraction of pairs of a running and a stopped instance in which the running one
     * still lists the stopped one as present or suspected.
     */
    public double ghosts() {
        long off = 0;
        long there = 0;
        for (Instance a : instances) {
            for (Instance b : instances) {
                if (!a.off && b.off) {
                    off++;
                    there += a.gossip.membership().isPresent(b.index) ? 1 : 0;
                }
            }
        }
        return there / (double) Math.max(1, off);
    }
}
