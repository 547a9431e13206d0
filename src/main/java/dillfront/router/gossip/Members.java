package dillfront.router.gossip;

import static dillfront.routing.api.Spans.times;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Tracks the membership of the router group by SWIM with Lifeguard's local health. A peer that does
 * not answer is first suspected, and considered gone only if it does not refute the suspicion in
 * time; that time is shorter the more instances accuse it. No instance announces that another one
 * is gone: each concludes that by itself from accusations signed by their authors. Only the accused
 * instance can refute an accusation, by an ALIVE update with a higher incarnation.
 *
 * <p>Rows are indexed by the registered instances, which bounds the table.
 */
public final class Members {

    /** State of an instance as seen by the local one. */
    public enum State {
        UNKNOWN,
        ALIVE,
        SUSPECT,
        GONE,
        LEFT;

        /** Returns whether the instance is alive or only suspected. */
        boolean present() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    /** Accusers beyond the first that shorten a suspicion (Lifeguard, section IV-B). */
    private static final int ACCUSERS = 3;

    /** Shortest suspicion, in periods times the base-ten logarithm of the number of instances. */
    private static final double SUSPICION = 3;

    /** Longest suspicion, as a multiple of the shortest one. */
    private static final double SUSPICION_LONGEST = 5;

    /** Upper bound of the local health score; zero is healthy (Lifeguard, section IV-A). */
    private static final int WORST = 8;

    /** State of one instance. */
    static final class Peer {
        State state = State.UNKNOWN;
        int incarnation = -1;

        /** Latest ALIVE update of the instance itself, forwarded in table exchanges. */
        Word alive;

        /** Local time at which the state began. */
        Duration since = Duration.ZERO;

        /** Distinct accusers during a suspicion; null otherwise. */
        int[] accusers;
    }

    private final Peer[] peers;
    private final int self;
    private final Duration period;
    private int there = 1;
    private int gone;
    private int ill;
    private final List<Integer> suspects = new ArrayList<>();

    /** Probe order of the current round: all present instances, shuffled again after each round. */
    private final List<Integer> round = new ArrayList<>();

    private final RandomGenerator chance;

    Members(int instances, int self, Duration period, RandomGenerator chance) {
        peers = new Peer[instances];
        this.self = self;
        this.period = period;
        this.chance = chance;
        Peer own = new Peer();
        own.state = State.ALIVE;
        peers[self] = own;
    }

    Peer row(int peer) {
        if (peers[peer] == null) {
            peers[peer] = new Peer();
        }
        return peers[peer];
    }

    public State state(int peer) {
        return peers[peer] == null ? State.UNKNOWN : peers[peer].state;
    }

    public int incarnation(int peer) {
        return peers[peer] == null ? -1 : peers[peer].incarnation;
    }

    /** Returns the number of present instances, including suspected ones and this one. */
    public int there() {
        return there;
    }

    /** Returns the number of instances considered gone. */
    public int gone() {
        return gone;
    }

    /** Returns the number of registered instances. */
    int instances() {
        return peers.length;
    }

    /** Returns the local health score; zero is healthy. */
    public int ill() {
        return ill;
    }

    /** Scales a duration by the local health score, so that a slow instance waits longer. */
    Duration patient(Duration span) {
        return span.multipliedBy(1 + ill);
    }

    /**
     * Raises the local health score after a failed probe, a pause of this instance or an accusation
     * against it, so that a slow router which reads acks too late does not declare all its peers
     * gone.
     */
    void worse(int by) {
        ill = Math.min(WORST, ill + by);
    }

    void better() {
        ill = Math.max(0, ill - 1);
    }

    /**
     * Records that an instance is alive, by its own forwarded update or, if none is given, by a
     * datagram from it. An update of an incarnation that has been accused since changes nothing, so
     * that table exchanges do not bring back peers that are gone.
     *
     * @return whether anything changed
     */
    boolean there(int peer, int incarnation, Word alive, Duration now) {
        Peer p = row(peer);
        if (incarnation < p.incarnation || peer == self) {
            return false;
        }
        boolean newer = incarnation > p.incarnation;
        // The datagram of the instance may have arrived before its update, which peers still lack.
        boolean news = alive != null && (p.alive == null || incarnation > p.alive.incarnation());
        boolean changed =
                newer || p.state == State.UNKNOWN || alive == null && p.state != State.ALIVE;
        p.alive = news ? alive : p.alive;
        p.incarnation = incarnation;
        if (changed) {
            enter(p, peer, State.ALIVE, now);
        }
        return changed || news;
    }

    void left(int peer, int incarnation, Duration now) {
        Peer p = row(peer);
        if (incarnation >= p.incarnation && peer != self) {
            p.incarnation = incarnation;
            p.alive = null;
            enter(p, peer, State.LEFT, now);
        }
    }

    /**
     * Records an accusation of this instance or a peer; it counts only against the known
     * incarnation.
     *
     * @return whether the accusation was new
     */
    boolean accused(int peer, int incarnation, int by, Duration now) {
        Peer p = row(peer);
        if (incarnation != p.incarnation || !p.state.present()) {
            return false;
        }
        if (p.state == State.ALIVE) {
            enter(p, peer, State.SUSPECT, now);
            p.accusers = new int[] {by};
            suspects.add(peer);
        } else {
            for (int one : p.accusers) {
                if (one == by) {
                    return false;
                }
            }
            if (p.accusers.length > ACCUSERS) {
                return false;
            }
            p.accusers = Arrays.copyOf(p.accusers, p.accusers.length + 1);
            p.accusers[p.accusers.length - 1] = by;
        }
        return true;
    }

    /** Moves the instances whose suspicion has timed out to GONE. */
    void condemn(Duration now) {
        for (int i = suspects.size() - 1; i >= 0; i--) {
            int peer = suspects.get(i);
            Peer p = peers[peer];
            if (now.compareTo(p.since.plus(patient(suspicion(p.accusers.length)))) > 0) {
                enter(p, peer, State.GONE, now);
            }
        }
    }

    /**
     * Extends all suspicions by a pause of this instance, during which no refutation could arrive.
     */
    void away(Duration by) {
        for (int peer : suspects) {
            peers[peer].since = peers[peer].since.plus(by);
        }
    }

    /**
     * Returns the time that a suspected instance has for a refutation: from the longest down to the
     * shortest with the logarithm of the number of accusers.
     */
    private Duration suspicion(int accusers) {
        double shortest = SUSPICION * Math.max(1, Math.log10(there + 1));
        double longest = shortest * SUSPICION_LONGEST;
        double part = Math.log(accusers) / Math.log(ACCUSERS + 1);
        return times(period, longest - (longest - shortest) * Math.min(1, part));
    }

    private void enter(Peer p, int peer, State state, Duration now) {
        boolean was = p.state.present();
        boolean is = state.present();
        there += (is ? 1 : 0) - (was ? 1 : 0);
        gone += (state == State.GONE ? 1 : 0) - (p.state == State.GONE ? 1 : 0);
        if (p.state == State.SUSPECT) {
            suspects.remove((Integer) peer);
            p.accusers = null;
        }
        if (is && !was) {
            // A random position in the rest of the round, so that instances which join together are
            // not all probed at once.
            round.add(round.isEmpty() ? 0 : chance.nextInt(round.size() + 1), peer);
        }
        p.state = state;
        p.since = now;
    }

    /**
     * Returns the next instance to probe, each present one once per round, or -1 if there is none.
     */
    int next() {
        while (!round.isEmpty()) {
            int peer = round.remove(round.size() - 1);
            if (present(peer)) {
                return peer;
            }
        }
        for (int peer = 0; peer < peers.length; peer++) {
            if (peer != self && present(peer)) {
                round.add(chance.nextInt(round.size() + 1), peer);
            }
        }
        return round.isEmpty() ? -1 : round.remove(round.size() - 1);
    }

    /** Returns whether the instance is alive or only suspected. */
    public boolean present(int peer) {
        return state(peer).present();
    }

    /**
     * Returns up to the given number of distinct random instances that are alive, except the
     * excluded one.
     */
    List<Integer> some(int most, int but) {
        List<Integer> found = new ArrayList<>(most);
        int tries = 4 * most + 8;
        while (found.size() < most && tries-- > 0) {
            find(chance.nextInt(peers.length), but, found);
        }
        // Only few of the registered instances are present: scan from a random index.
        int from = chance.nextInt(peers.length);
        for (int i = 0; found.size() < Math.min(most, there - 1) && i < peers.length; i++) {
            find((from + i) % peers.length, but, found);
        }
        return found;
    }

    private void find(int peer, int but, List<Integer> found) {
        if (peer != self && peer != but && state(peer) == State.ALIVE && !found.contains(peer)) {
            found.add(peer);
        }
    }

    /** Returns a random instance considered gone, or -1 if there is none. */
    int goneOne() {
        int from = chance.nextInt(peers.length);
        for (int i = 0; i < peers.length; i++) {
            int peer = (from + i) % peers.length;
            if (state(peer) == State.GONE) {
                return peer;
            }
        }
        return -1;
    }

    /**
     * Returns up to the given number of ALIVE updates from a random index on, for the table of a
     * peer.
     */
    List<Word> slice(int most) {
        List<Word> words = new ArrayList<>(most);
        int from = chance.nextInt(peers.length);
        for (int i = 0; i < peers.length && words.size() < most; i++) {
            Peer p = peers[(from + i) % peers.length];
            if (p != null && p.alive != null && p.state == State.ALIVE) {
                words.add(p.alive);
            }
        }
        return words;
    }
}
