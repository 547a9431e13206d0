package dillfront.controlplane;

import dillfront.controlplane.peer.PeerMessage.ForwardedHeartbeat;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps the database servers whose heartbeats this process received recently, for forwarding to the
 * peers as proof of liveness.
 */
final class RecentHeartbeats {

    private static final int MAX_HEARTBEATS = 60_000;
    private static final int RETENTION_INTERVALS = 3;

    private final long retentionMillis;

    /**
     * The most recent heartbeat first. A server that sent another heartbeat is listed twice until
     * the older entry expires.
     */
    private final ArrayDeque<DatabaseServer> servers = new ArrayDeque<>();

    RecentHeartbeats(long heartbeatIntervalMillis) {
        retentionMillis = RETENTION_INTERVALS * heartbeatIntervalMillis;
    }

    void add(DatabaseServer server) {
        servers.addFirst(server);
    }

    void expire(long nowMillis) {
        while (!servers.isEmpty()
                && (nowMillis - servers.getLast().lastDirectHeartbeatMillis() > retentionMillis
                        || servers.size() > MAX_HEARTBEATS)) {
            servers.removeLast();
        }
    }

    /** Returns the heartbeats received at this time or later. */
    List<ForwardedHeartbeat> since(long sinceMillis, long nowMillis) {
        List<ForwardedHeartbeat> heartbeats = new ArrayList<>();
        for (DatabaseServer server : servers) {
            if (server.lastDirectHeartbeatMillis() < sinceMillis) {
                break;
            }
            heartbeats.add(
                    new ForwardedHeartbeat(
                            server.id(),
                            nowMillis - server.lastDirectHeartbeatMillis(),
                            server.callSequence()));
        }
        return heartbeats;
    }
}
