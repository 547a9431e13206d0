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
public final class Crowd {

    /** Looks at the clock, a period; as many as on sockets. */
    private static final int LOOKS = 10;

    private static final Duration EPOCH = Duration.ofDays(20_000);

    /** Hears what claims are new at an instance. */
    public interface Ear {
        void claimed(int instance, GossipUpdate claim, Duration age);
    }

    /** One instance; it may be off, or stand still, in which case what comes waits for it. */
    public final class Instance implements GossipTransport {

        public final int index;
        public GossipProtocol gossip;

        /** What its clock shows beyond the others'. */
        public Duration clock = Duration.ZERO;

        public boolean off;

        /** The part of a parted network that it is in. */
        public int side;

        public long datagrams;
        private boolean still;
        private final List<Runnable> waiting = new ArrayList<>();
        private int life;

        Instance(int index) {
            this.index = index;
        }

        /** Starts it from nothing. */
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

        /** Sets its clocks, before anything is asked of it from outside. */
        public void at() {
            gossip.setClocks(time.now(), EPOCH.plus(time.now()).plus(clock));
        }

        /** Does nothing for so long, as a stopped process; then reads all that came. */
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

    /** Parts of all datagrams. */
    public double lost;

    public double doubled;
    public Duration delay = Duration.ofMillis(2);
    private final GossipConfig tuning;
    private final Ear ear;
    private final RandomGenerator chance;

    /** So many instances that all know each other from the start. */
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
    public double bytes() {
        double sum = 0;
        for (Instance instance : instances) {
            sum += instance.gossip.budget().bytesSent();
        }
        return sum / instances.length;
    }

    /** Over all pairs of instances that are on: how many hold the other there. */
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

    /** Over all pairs: how many hold one there, or suspect, that is off. */
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
