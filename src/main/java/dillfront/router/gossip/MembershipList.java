package dillfront.router.gossip;

import static dillfront.routing.api.Durations.multiply;

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
public final class MembershipList {

    /** State of an instance as seen by the local one. */
    public enum State {
        UNKNOWN,
        ALIVE,
        SUSPECT,
        GONE,
        LEFT;

        /** Returns whether the instance is alive or only suspected. */
        boolean isPresent() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    /** Accusers beyond the first that shorten a suspicion (Lifeguard, section IV-B). */
    private static final int MAX_EXTRA_ACCUSERS = 3;

    /** Shortest suspicion, in periods times the base-ten logarithm of the number of instances. */
    private static final double MIN_SUSPICION_PERIODS = 3;

    /** Longest suspicion, as a multiple of the shortest one. */
    private static final double MAX_SUSPICION_MULTIPLE = 5;

    /** Upper bound of the local health score; zero is healthy (Lifeguard, section IV-A). */
    private static final int MAX_HEALTH_SCORE = 8;

    /** State of one instance. */
    static final class Peer {
        State state = State.UNKNOWN;
        int incarnation = -1;

        /** Latest ALIVE update of the instance itself, forwarded in table exchanges. */
        GossipUpdate aliveUpdate;

        /** Local time at which the state began. */
        Duration since = Duration.ZERO;

        /** Distinct accusers during a suspicion; null otherwise. */
        int[] accusers;
    }

    private final Peer[] peers;
    private final int self;
    private final Duration period;
    private int alive = 1;
    private int goneCount;
    private int healthScore;
    private final List<Integer> suspects = new ArrayList<>();

    /** Probe order of the current round: all present instances, shuffled again after each round. */
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

    /**
     * Returns the number of present instances, including suspected ones and this one. The overload
     * with arguments records that an instance is alive.
     */
    public int alive() {
        return alive;
    }

    /** Returns the number of instances considered gone. */
    public int goneCount() {
        return goneCount;
    }

    /** Returns the number of registered instances. */
    int instances() {
        return peers.length;
    }

    /** Returns the local health score; zero is healthy. */
    public int healthScore() {
        return healthScore;
    }

    /** Scales a duration by the local health score, so that a slow instance waits longer. */
    Duration scaleByHealth(Duration duration) {
        return duration.multipliedBy(1 + healthScore);
    }

    /**
     * Raises the local health score after a failed probe, a pause of this instance or an accusation
     * against it, so that a slow router which reads acks too late does not declare all its peers
     * gone.
     */
    void degradeHealth(int points) {
        healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + points);
    }

    void improveHealth() {
        healthScore = Math.max(0, healthScore - 1);
    }

    /**
     * Records that an instance is alive, from its forwarded update or, if none is given, from a
     * datagram that it sent. An update of an incarnation that has been accused since changes
     * nothing, so that table exchanges do not make peers present again that are gone.
     *
     * @return whether anything changed
     */
    boolean alive(int peer, int incarnation, GossipUpdate aliveUpdate, Duration now) {
        Peer entry = entry(peer);
        if (incarnation < entry.incarnation || peer == self) {
            return false;
        }
        boolean newer = incarnation > entry.incarnation;
        // The datagram of the instance may have arrived before its update, which peers still lack.
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
     * Records an accusation of this instance or a peer; it counts only against the known
     * incarnation.
     *
     * @return whether the accusation was new
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

    /** Moves the instances whose suspicion has timed out to GONE. */
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

    /**
     * Extends all suspicions by a pause of this instance, during which no refutation could arrive.
     */
    void extendSuspicions(Duration pause) {
        for (int peer : suspects) {
            peers[peer].since = peers[peer].since.plus(pause);
        }
    }

    /**
     * Returns the time that a suspected instance has for a refutation: from the longest down to the
     * shortest with the logarithm of the number of accusers.
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
            // A random position in the rest of the round, so that instances which join together are
            // not all probed at once.
            probeRound.add(probeRound.isEmpty() ? 0 : random.nextInt(probeRound.size() + 1), peer);
        }
        entry.state = state;
        entry.since = now;
    }

    /**
     * Returns the next instance to probe, each present one once per round, or -1 if there is none.
     */
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

    /** Returns whether the instance is alive or only suspected. */
    public boolean isPresent(int peer) {
        return state(peer).isPresent();
    }

    /**
     * Returns up to the given number of distinct random instances that are alive, except the
     * excluded one.
     */
    List<Integer> randomAlive(int count, int excluded) {
        List<Integer> result = new ArrayList<>(count);
        int attempts = 4 * count + 8;
        while (result.size() < count && attempts-- > 0) {
            addIfAlive(random.nextInt(peers.length), excluded, result);
        }
        // Only few of the registered instances are present: scan from a random index.
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

    /** Returns a random instance considered gone, or -1 if there is none. */
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
     * Returns up to the given number of ALIVE updates from a random index on, for the table of a
     * peer.
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
