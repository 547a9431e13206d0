package dillfront.controlplane.peer;

import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import java.util.Collection;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** The peers that are known, by their addresses; bounded. */
public final class PeerTable {

    private static final int MAX_PEERS = 32;

    /** A peer that is no member and was silent for so long may be dropped for another. */
    private static final long EVICTION_AGE_MS = 60_000;

    private final Environment environment;
    private final NodeSettings settings;
    private final Predicate<String> isMember;
    private final Consumer<PeerState> onConnected;
    private final TreeMap<String, PeerState> peers = new TreeMap<>();
    private long startedMillis;

    /**
     * @param isMember whether this is the id of a member
     * @param onConnected runs once a connection to that peer is made
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

    /** The process starts now: the silence of peers counts from here. */
    public void start() {
        startedMillis = environment.nowMillis();
    }

    /** A control process may be at this address. */
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

    /** All peers, by their addresses. */
    public Collection<PeerState> all() {
        return peers.values();
    }

    /** The peer at this address; null where none is known. */
    public PeerState at(String ip) {
        return peers.get(ip);
    }
}
