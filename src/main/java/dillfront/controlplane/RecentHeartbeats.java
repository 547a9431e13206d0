package dillfront.controlplane;

import dillfront.controlplane.peer.PeerMessage.ForwardedHeartbeat;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Database servers whose heartbeats came here of late, for the peers to know that they live. */
final class RecentHeartbeats {

    private static final int MAX_HEARTBEATS = 60_000;
    private static final int RETENTION_INTERVALS = 3;

    private final long retentionMillis;

    /** The last one first; a server that sent another stands there twice for a while. */
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

    /** What came at this moment or later. */
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
