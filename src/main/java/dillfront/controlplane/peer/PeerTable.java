package dillfront.controlplane.peer;

import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import java.util.Collection;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Holds the known peers by address, up to a fixed number. */
public final class PeerTable {

    private static final int MAX_PEERS = 32;

    /** A peer that is not a member can be evicted after this time without contact. */
    private static final long EVICTION_AGE_MS = 60_000;

    private final Environment environment;
    private final NodeSettings settings;
    private final Predicate<String> isMember;
    private final Consumer<PeerState> onConnected;
    private final TreeMap<String, PeerState> peers = new TreeMap<>();
    private long startedMillis;

    /**
     * Creates an empty table.
     *
     * @param isMember whether an id is a member's
     * @param onConnected runs after a connection to a peer is established
     */
    public PeerTable(
            Environment environment,
            NodeSettings settings,
            Predicate<String> isMember,
            Consumer<PeerState> onConnected) {
        this.environment = environment;
        this.settings = settings;
        this.isMember = isMember;
        this.onConnected = onConnected;
    }

    /** Records the start of the process, from which the peers' time without contact counts. */
    public void start() {
        startedMillis = environment.nowMillis();
    }

    /** Adds a peer for an address at which a control process may run. */
    public void discover(String ip) {
        if (ip.equals(settings.ipAddress()) || peers.containsKey(ip)) {
            return;
        }
        if (peers.size() >= MAX_PEERS) {
            peers.values().removeIf(this::isEvictable);
        }
        if (peers.size() < MAX_PEERS) {
            peers.put(ip, create(ip));
        }
    }

    private PeerState create(String ip) {
        PeerLink link = new PeerLink(environment, settings.internalAddressOf(ip));
        PeerState peer = new PeerState(ip, link);
        link.onConnected(
                () -> {
                    peer.onConnected(
                            environment.nowMillis() - 2 * settings.heartbeatIntervalMillis());
                    onConnected.accept(peer);
                });
        return peer;
    }

    private boolean isEvictable(PeerState peer) {
        long lastContactMillis = Math.max(peer.lastContactMillis(), startedMillis);
        return !isMember.test(peer.id())
                && environment.nowMillis() - lastContactMillis > EVICTION_AGE_MS;
    }

    /** Returns all peers in the order of their addresses. */
    public Collection<PeerState> all() {
        return peers.values();
    }

    /** Returns the peer at this address; null if it is unknown. */
    public PeerState at(String ip) {
        return peers.get(ip);
    }
}
