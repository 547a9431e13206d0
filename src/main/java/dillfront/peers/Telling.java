package dillfront.peers;

import dillfront.recovery.Digest;
import dillfront.recovery.Doubts;
import dillfront.recovery.Others;
import java.time.Duration;
import java.util.function.Supplier;

/** Between the keys in doubt and the datagrams that tell them. */
public final class Telling implements Datagrams.Telling {

    private final Doubts doubts;
    private final Others others;
    private final Supplier<Duration> clock;

    public Telling(Doubts doubts, Others others, Supplier<Duration> clock) {
        this.doubts = doubts;
        this.others = others;
        this.clock = clock;
    }

    @Override
    public long version() {
        return doubts.version();
    }

    @Override
    public long[] own(int mostParts) {
        return Digest.of(doubts.inDoubt(), mostParts).words();
    }

    @Override
    public long[] before(int peer) {
        return others.before(peer);
    }

    @Override
    public int life(int peer) {
        return others.life(peer);
    }

    @Override
    public void says(int peer, int life, long[] digest) {
        others.says(peer, life, digest, clock.get());
    }

    @Override
    public void echoes(int peer, long[] digest) {
        others.echoes(peer, digest, clock.get());
    }
}
