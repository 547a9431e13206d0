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
public final class MembershipList {

    /** What this instance holds of another. */
    public enum State {
        UNKNOWN,
        ALIVE,
        SUSPECT,
        GONE,
        LEFT;

        /** It is there, or only suspected not to be. */
        boolean isPresent() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    /** Accusers beyond the first that shorten a suspicion (Lifeguard, section IV-B). */
    private static final int MAX_EXTRA_ACCUSERS = 3;

    /**
     * The shortest suspicion, in periods times the base-ten logarithm of the number of instances.
     */
    private static final double MIN_SUSPICION_PERIODS = 3;

    /** The longest, in shortest ones. */
    private static final double MAX_SUSPICION_MULTIPLE = 5;

    /** Local health runs from zero, well, to this (Lifeguard, section IV-A). */
    private static final int MAX_HEALTH_SCORE = 8;

    /** One row an instance. */
    static final class Peer {
        State state = State.UNKNOWN;
        int incarnation = -1;

        /** The last word of its own that it is there; passed on to those who ask for the table. */
        GossipUpdate aliveUpdate;

        /** Own time at which the state began. */
        Duration since = Duration.ZERO;

        /** Of a suspicion: who accuses, each once. Null where there is none. */
        int[] accusers;
    }

    private final Peer[] peers;
    private final int self;
    private final Duration period;
    private int alive = 1;
    private int goneCount;
    private int healthScore;
    private final List<Integer> suspects = new ArrayList<>();

    /** The order of probing: all that are there, mixed anew after each round. */
    private final List<Integer> probeRound = new ArrayList<>();

    private final RandomGenerator random;

    MembershipList(int instances, int self, Duration period, RandomGenerator random) {
        peers = new Peer[instances];
        this.self = self;
        this.period = period;
        this.random = random;
        Peer own = new Peer();
        own.state = State.ALIVE;
        peers[self] = own;
    }

    Peer entry(int peer) {
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
    public int alive() {
        return alive;
    }

    /** How many are held gone. */
    public int goneCount() {
        return goneCount;
    }

    /** How many may speak. */
    int instances() {
        return peers.length;
    }

    /** How ill this instance holds itself: zero is well. */
    public int healthScore() {
        return healthScore;
    }

    /** Spans that depend on this instance's own health grow with its illness. */
    Duration scaleByHealth(Duration duration) {
        return duration.multipliedBy(1 + healthScore);
    }

    /**
     * A probe failed, this instance was away, or others accuse it: it doubts itself first. Guards
     * against a slow router that condemns all others because it reads their acks too late.
     */
    void degradeHealth(int points) {
        healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + points);
    }

    void improveHealth() {
        healthScore = Math.max(0, healthScore - 1);
    }

    /**
     * It has said so itself, by a word that others passed on, or it has just spoken, where no word
     * is given. A word of an incarnation that was accused since changes nothing: guards against the
     * gone that come back with others' tables.
     *
     * @return whether anything changed
     */
    boolean alive(int peer, int incarnation, GossipUpdate aliveUpdate, Duration now) {
        Peer entry = entry(peer);
        if (incarnation < entry.incarnation || peer == self) {
            return false;
        }
        boolean newer = incarnation > entry.incarnation;
        // Its own datagram may have come before the word that others still lack.
        boolean newUpdate =
                aliveUpdate != null
                        && (entry.aliveUpdate == null
                                || incarnation > entry.aliveUpdate.incarnation());
        boolean changed =
                newer
                        || entry.state == State.UNKNOWN
                        || aliveUpdate == null && entry.state != State.ALIVE;
        entry.aliveUpdate = newUpdate ? aliveUpdate : entry.aliveUpdate;
        entry.incarnation = incarnation;
        if (changed) {
            changeState(entry, peer, State.ALIVE, now);
        }
        return changed || newUpdate;
    }

    void markLeft(int peer, int incarnation, Duration now) {
        Peer entry = entry(peer);
        if (incarnation >= entry.incarnation && peer != self) {
            entry.incarnation = incarnation;
            entry.aliveUpdate = null;
            changeState(entry, peer, State.LEFT, now);
        }
    }

    /**
     * Someone accuses it of silence, this instance or another; it counts only against the
     * incarnation that is known.
     *
     * @return whether that was new
     */
    boolean recordAccusation(int peer, int incarnation, int accuser, Duration now) {
        Peer entry = entry(peer);
        if (incarnation != entry.incarnation || !entry.state.isPresent()) {
            return false;
        }
        if (entry.state == State.ALIVE) {
            changeState(entry, peer, State.SUSPECT, now);
            entry.accusers = new int[] {accuser};
            suspects.add(peer);
        } else {
            for (int known : entry.accusers) {
                if (known == accuser) {
                    return false;
                }
            }
            if (entry.accusers.length > MAX_EXTRA_ACCUSERS) {
                return false;
            }
            entry.accusers = Arrays.copyOf(entry.accusers, entry.accusers.length + 1);
            entry.accusers[entry.accusers.length - 1] = accuser;
        }
        return true;
    }

    /** Those whose time to speak up is over. */
    void expireSuspicions(Duration now) {
        for (int i = suspects.size() - 1; i >= 0; i--) {
            int peer = suspects.get(i);
            Peer entry = peers[peer];
            if (now.compareTo(entry.since.plus(scaleByHealth(suspicionTime(entry.accusers.length))))
                    > 0) {
                changeState(entry, peer, State.GONE, now);
            }
        }
    }

    /** This instance was away: nobody could speak up to it. */
    void extendSuspicions(Duration pause) {
        for (int peer : suspects) {
            peers[peer].since = peers[peer].since.plus(pause);
        }
    }

    /**
     * How long a suspect has to speak up: from the longest down to the shortest with the logarithm
     * of accusers.
     */
    private Duration suspicionTime(int accusers) {
        double shortest = MIN_SUSPICION_PERIODS * Math.max(1, Math.log10(alive + 1));
        double longest = shortest * MAX_SUSPICION_MULTIPLE;
        double shortening = Math.log(accusers) / Math.log(MAX_EXTRA_ACCUSERS + 1);
        return multiply(period, longest - (longest - shortest) * Math.min(1, shortening));
    }

    private void changeState(Peer entry, int peer, State state, Duration now) {
        boolean wasPresent = entry.state.isPresent();
        boolean nowPresent = state.isPresent();
        alive += (nowPresent ? 1 : 0) - (wasPresent ? 1 : 0);
        goneCount += (state == State.GONE ? 1 : 0) - (entry.state == State.GONE ? 1 : 0);
        if (entry.state == State.SUSPECT) {
            suspects.remove((Integer) peer);
            entry.accusers = null;
        }
        if (nowPresent && !wasPresent) {
            // Somewhere in what is left of the round, so that those who come at once are not probed
            // at once.
            probeRound.add(probeRound.isEmpty() ? 0 : random.nextInt(probeRound.size() + 1), peer);
        }
        entry.state = state;
        entry.since = now;
    }

    /** Whose turn it is to be probed: each that is there once a round, or -1 where nobody is. */
    int nextToProbe() {
        while (!probeRound.isEmpty()) {
            int peer = probeRound.remove(probeRound.size() - 1);
            if (isPresent(peer)) {
                return peer;
            }
        }
        for (int peer = 0; peer < peers.length; peer++) {
            if (peer != self && isPresent(peer)) {
                probeRound.add(random.nextInt(probeRound.size() + 1), peer);
            }
        }
        return probeRound.isEmpty() ? -1 : probeRound.remove(probeRound.size() - 1);
    }

    /** It is there, or only suspected not to be. */
    public boolean isPresent(int peer) {
        return state(peer).isPresent();
    }

    /**
     * Up to so many others that are there and not suspect, each once, by chance; never the one that
     * is left out.
     */
    List<Integer> randomAlive(int count, int excluded) {
        List<Integer> result = new ArrayList<>(count);
        int attempts = 4 * count + 8;
        while (result.size() < count && attempts-- > 0) {
            addIfAlive(random.nextInt(peers.length), excluded, result);
        }
        // Few are there of many that may be: looked for in order, from a place by chance.
        int from = random.nextInt(peers.length);
        for (int i = 0; result.size() < Math.min(count, alive - 1) && i < peers.length; i++) {
            addIfAlive((from + i) % peers.length, excluded, result);
        }
        return result;
    }

    private void addIfAlive(int peer, int excluded, List<Integer> result) {
        if (peer != self
                && peer != excluded
                && state(peer) == State.ALIVE
                && !result.contains(peer)) {
            result.add(peer);
        }
    }

    /** One that was there once and is held gone, by chance; -1 where there is none. */
    int randomGone() {
        int from = random.nextInt(peers.length);
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
    List<GossipUpdate> aliveUpdates(int count) {
        List<GossipUpdate> updates = new ArrayList<>(count);
        int from = random.nextInt(peers.length);
        for (int i = 0; i < peers.length && updates.size() < count; i++) {
            Peer entry = peers[(from + i) % peers.length];
            if (entry != null && entry.aliveUpdate != null && entry.state == State.ALIVE) {
                updates.add(entry.aliveUpdate);
            }
        }
        return updates;
    }
}
