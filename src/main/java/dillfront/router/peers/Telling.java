package dillfront.router.peers;

import dillfront.router.discovery.Witnesses;
import dillfront.router.recovery.Digest;
import dillfront.router.recovery.Doubts;
import dillfront.router.recovery.Others;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Connects the local restrictions, in-doubt keys and closed nodes, with the datagrams that exchange
 * them with peers.
 */
public final class Telling implements Datagrams.Telling {

    /** The member lists, as far as they are exchanged with peers. */
    public interface Lists {
        long closedVersion();

        /** Returns generation and start time by node id, the latest last. */
        Map<String, long[]> closed();

        /** Called when a peer has reported the nodes closed by its lists. */
        void witnessed(Witnesses witnesses);
    }

    /** Null if in-doubt keys are not tracked. */
    private final Doubts doubts;

    private final Others others;
    private final Witnesses witnesses;
    private final Lists lists;
    private final Supplier<Duration> clock;

    /**
     * @param doubts null if in-doubt keys are not tracked
     * @param others null if in-doubt keys are not tracked
     */
    public Telling(
            Doubts doubts,
            Others others,
            Witnesses witnesses,
            Lists lists,
            Supplier<Duration> clock) {
        this.doubts = doubts;
        this.others = others;
        this.witnesses = witnesses;
        this.lists = lists;
        this.clock = clock;
    }

    @Override
    public long version() {
        return doubts == null ? 0 : doubts.version();
    }

    @Override
    public long[] own(int mostParts) {
        return doubts == null ? new long[0] : Digest.of(doubts.inDoubt(), mostParts).words();
    }

    @Override
    public long[] before(int peer) {
        return others == null ? null : others.before(peer);
    }

    @Override
    public int life(int peer) {
        return others == null ? 0 : others.life(peer);
    }

    @Override
    public void says(int peer, int life, long[] digest) {
        if (others != null) {
            others.says(peer, life, digest, clock.get());
        }
    }

    @Override
    public void echoes(int peer, long[] digest) {
        if (others != null) {
            others.echoes(peer, digest, clock.get());
        }
    }

    @Override
    public long closedVersion() {
        return lists.closedVersion();
    }

    @Override
    public long[] closed(int mostParts) {
        List<Map.Entry<String, long[]>> all = new ArrayList<>(lists.closed().entrySet());
        List<Map.Entry<String, long[]>> told =
                all.subList(Math.max(0, all.size() - mostParts / Codec.CLOSED_PARTS), all.size());
        long[] parts = new long[told.size() * Codec.CLOSED_PARTS];
        int at = 0;
        for (Map.Entry<String, long[]> one : told) {
            parts[at++] = Ring.hash(one.getKey());
            parts[at++] = one.getValue()[0];
            parts[at++] = one.getValue()[1];
        }
        return parts;
    }

    @Override
    public void closes(int peer, long[] words) {
        List<Witnesses.Word> said = new ArrayList<>();
        for (int i = 0; i + 2 < words.length; i += Codec.CLOSED_PARTS) {
            said.add(new Witnesses.Word(words[i], words[i + 1], words[i + 2]));
        }
        witnesses.says(peer, said);
        lists.witnessed(witnesses);
    }
}
