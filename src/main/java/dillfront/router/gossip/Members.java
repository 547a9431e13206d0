package dillfront.router.gossip;

import static dillfront.routing.api.Durations.multiply;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Which instances are there, in the manner of SWIM with Lifeguard's local health: who is silent is
 * first suspected, and held gone only if it does not speak up in its time, which is shorter the
 * more others accuse it. Nobody tells others that an instance is gone: each comes to that by
 * itself, from accusations that their authors signed. A speaker's own word that it is there, of a
 * later incarnation, ends all accusations; it alone can say it.
 *
 * <p>Rows are by index in the ring of those who may speak, so the table is as long as the ring and
 * no longer.
 */
public final class Members {

    /** What this instance holds of another. */
    public enum State {
        UNKNOWN,
        ALIVE,
        SUSPECT,
        GONE,
        LEFT;

        /** It is there, or only suspected not to be. */
        boolean present() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    /** Accusers beyond the first that shorten a suspicion (Lifeguard, section IV-B). */
    private static final int ACCUSERS = 3;

    /**
     * The shortest suspicion, in periods times the base-ten logarithm of the number of instances.
     */
    private static final double SUSPICION = 3;

    /** The longest, in shortest ones. */
    private static final double SUSPICION_LONGEST = 5;

    /** Local health runs from zero, well, to this (Lifeguard, section IV-A). */
    private static final int WORST = 8;

    /** One row an instance. */
    static final class Peer {
        State state = State.UNKNOWN;
        int incarnation = -1;

        /** The last word of its own that it is there; passed on to those who ask for the table. */
        Word alive;

        /** Own time at which the state began. */
        Duration since = Duration.ZERO;

        /** Of a suspicion: who accuses, each once. Null where there is none. */
        int[] accusers;
    }

    private final Peer[] peers;
    private final int self;
    private final Duration period;
    private int there = 1;
    private int gone;
    private int ill;
    private final List<Integer> suspects = new ArrayList<>();

    /** The order of probing: all that are there, mixed anew after each round. */
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

    /** How many are there by this instance's knowledge, suspects and itself included. */
    public int there() {
        return there;
    }

    /** How many are held gone. */
    public int gone() {
        return gone;
    }

    /** How many may speak. */
    int instances() {
        return peers.length;
    }

    /** How ill this instance holds itself: zero is well. */
    public int ill() {
        return ill;
    }

    /** Spans that depend on this instance's own health grow with its illness. */
    Duration patient(Duration span) {
        return span.multipliedBy(1 + ill);
    }

    /**
     * A probe failed, this instance was away, or others accuse it: it doubts itself first. Guards
     * against a slow router that condemns all others because it reads their acks too late.
     */
    void worse(int by) {
        ill = Math.min(WORST, ill + by);
    }

    void better() {
        ill = Math.max(0, ill - 1);
    }

    /**
     * It has said so itself, by a word that others passed on, or it has just spoken, where no word
     * is given. A word of an incarnation that was accused since changes nothing: guards against the
     * gone that come back with others' tables.
     *
     * @return whether anything changed
     */
    boolean there(int peer, int incarnation, Word alive, Duration now) {
        Peer p = row(peer);
        if (incarnation < p.incarnation || peer == self) {
            return false;
        }
        boolean newer = incarnation > p.incarnation;
        // Its own datagram may have come before the word that others still lack.
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
     * Someone accuses it of silence, this instance or another; it counts only against the
     * incarnation that is known.
     *
     * @return whether that was new
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

    /** Those whose time to speak up is over. */
    void condemn(Duration now) {
        for (int i = suspects.size() - 1; i >= 0; i--) {
            int peer = suspects.get(i);
            Peer p = peers[peer];
            if (now.compareTo(p.since.plus(patient(suspicion(p.accusers.length)))) > 0) {
                enter(p, peer, State.GONE, now);
            }
        }
    }

    /** This instance was away: nobody could speak up to it. */
    void away(Duration by) {
        for (int peer : suspects) {
            peers[peer].since = peers[peer].since.plus(by);
        }
    }

    /**
     * How long a suspect has to speak up: from the longest down to the shortest with the logarithm
     * of accusers.
     */
    private Duration suspicion(int accusers) {
        double shortest = SUSPICION * Math.max(1, Math.log10(there + 1));
        double longest = shortest * SUSPICION_LONGEST;
        double part = Math.log(accusers) / Math.log(ACCUSERS + 1);
        return multiply(period, longest - (longest - shortest) * Math.min(1, part));
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
            // Somewhere in what is left of the round, so that those who come at once are not probed
            // at once.
            round.add(round.isEmpty() ? 0 : chance.nextInt(round.size() + 1), peer);
        }
        p.state = state;
        p.since = now;
    }

    /** Whose turn it is to be probed: each that is there once a round, or -1 where nobody is. */
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

    /** It is there, or only suspected not to be. */
    public boolean present(int peer) {
        return state(peer).present();
    }

    /**
     * Up to so many others that are there and not suspect, each once, by chance; never the one that
     * is left out.
     */
    List<Integer> some(int most, int but) {
        List<Integer> found = new ArrayList<>(most);
        int tries = 4 * most + 8;
        while (found.size() < most && tries-- > 0) {
            find(chance.nextInt(peers.length), but, found);
        }
        // Few are there of many that may be: looked for in order, from a place by chance.
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

    /** One that was there once and is held gone, by chance; -1 where there is none. */
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
     * Words of others that they are there, for a table that lacks them: so many, from a place by
     * chance.
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
