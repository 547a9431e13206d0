package dillfront.simulation;

import dillfront.router.gossip.Gossip;
import dillfront.router.gossip.Post;
import dillfront.router.gossip.Tuning;
import dillfront.router.gossip.Word;
import dillfront.router.peers.Codec;
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
        void claimed(int instance, Word claim, Duration age);
    }

    /** One instance; it may be off, or stand still, in which case what comes waits for it. */
    public final class Instance implements Post {

        public final int index;
        public Gossip gossip;

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
                    new Gossip(
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
                gossip.woken();
            }
            time.after(tuning.period().dividedBy(LOOKS), () -> beat(mine));
        }

        /** Sets its clocks, before anything is asked of it from outside. */
        public void at() {
            gossip.at(time.now(), EPOCH.plus(time.now()).plus(clock));
        }

        /** Does nothing for so long, as a stopped process; then reads all that came. */
        public void standStill(Duration span) {
            still = true;
            time.after(
                    span,
                    () -> {
                        still = false;
                        at();
                        gossip.woken();
                        waiting.forEach(Runnable::run);
                        waiting.clear();
                    });
        }

        private interface Told {
            void to(Gossip gossip, Instance at);
        }

        private void send(int to, List<Word> words, Told told) {
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
                                        other.gossip.from(index, incarnation, sent);
                                        words.forEach(w -> other.gossip.word(w, index));
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
        public void ping(int to, int number, List<Word> words) {
            send(to, words, (g, at) -> g.pinged(index, number));
        }

        @Override
        public void ack(int to, int number, List<Word> words) {
            send(to, words, (g, at) -> g.acked(index, number));
        }

        @Override
        public void ask(int to, int about, int number, List<Word> words) {
            send(to, words, (g, at) -> g.asked(index, about, number));
        }

        @Override
        public void push(int to, boolean swap, List<Word> words) {
            send(
                    to,
                    words,
                    (g, at) -> {
                        if (swap) {
                            g.swapped(index);
                        }
                    });
        }

        @Override
        public Word seal(Word own) {
            return own;
        }

        @Override
        public int bytes(List<Word> words) {
            return Codec.bytes(words.size());
        }

        @Override
        public void claimed(Word claim, Duration age) {
            ear.claimed(index, claim, age);
        }
    }

    public final Instance[] instances;
    public final Time time;

    /** Parts of all datagrams. */
    public double lost;

    public double doubled;
    public Duration delay = Duration.ofMillis(2);
    private final Tuning tuning;
    private final Ear ear;
    private final RandomGenerator chance;

    /** So many instances that all know each other from the start. */
    public Crowd(int count, Tuning tuning, Time time, long seed, Ear ear) {
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
            sum += instance.gossip.budget().sent();
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
                    there += a.gossip.members().present(b.index) ? 1 : 0;
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
                    there += a.gossip.members().present(b.index) ? 1 : 0;
                }
            }
        }
        return there / (double) Math.max(1, off);
    }
}
