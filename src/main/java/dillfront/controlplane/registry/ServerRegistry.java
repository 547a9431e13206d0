package dillfront.controlplane.registry;

import dillfront.common.protocol.ServerRow;
import dillfront.common.protocol.ServerState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * All database servers that are known. Each change has a number, the version of the registry after
 * it, so that others ask only for what they lack. Rows of servers that left are kept, so that a
 * late message does not bring them back.
 */
public final class ServerRegistry {

    private static final int MAX_SERVERS = 20_000;
    private static final String STORAGE_PREFIX = "server:";

    private final TreeMap<String, DatabaseServer> servers = new TreeMap<>();
    private final TreeMap<String, TreeMap<String, DatabaseServer>> serversByService =
            new TreeMap<>();

    /** By the change that made them what they are. */
    private final TreeMap<Long, DatabaseServer> serversByChange = new TreeMap<>();

    /** Rows that were dropped and still stand on the disk. */
    private final TreeSet<String> evicted = new TreeSet<>();

    /** Ids of servers that announced their end by their leave call, and may serve on. */
    private final TreeSet<String> leaving = new TreeSet<>();

    private final boolean acceptsOlderRows;
    private long version;

    public ServerRegistry() {
        this(false);
    }

    /**
     * @param acceptsOlderRows an earlier state replaces a later one; only model checks do so
     */
    ServerRegistry(boolean acceptsOlderRows) {
        this.acceptsOlderRows = acceptsOlderRows;
    }

    // ---- queries

    /** The server of this id; null where it is not known. */
    public DatabaseServer get(String id) {
        return servers.get(id);
    }

    /** How many changes there were in this incarnation. */
    public long version() {
        return version;
    }

    /** All servers, also those that left. */
    public Iterable<DatabaseServer> all() {
        return servers.values();
    }

    /** The servers of this service that have not left, by their ids. */
    public List<DatabaseServer> serversOf(String service) {
        List<DatabaseServer> presentServers = new ArrayList<>();
        for (DatabaseServer server : allOf(service).values()) {
            if (!server.hasLeft()) {
                presentServers.add(server);
            }
        }
        return presentServers;
    }

    private Map<String, DatabaseServer> allOf(String service) {
        TreeMap<String, DatabaseServer> all = serversByService.get(service);
        return all == null ? Collections.emptyMap() : all;
    }

    /** The names of all services that have or had a server. */
    public Iterable<String> services() {
        return serversByService.keySet();
    }

    /** The rows that changed after this version. */
    public List<ServerRow> rowsSince(long since) {
        List<ServerRow> rows = new ArrayList<>();
        for (DatabaseServer server : serversByChange.tailMap(since, false).values()) {
            rows.add(server.toRow());
        }
        return rows;
    }

    // ---- changes

    /** Takes a row over, from a heartbeat or a control process; whether it changed anything. */
    public boolean merge(ServerRow row, long contactMillis) {
        if (row.id().isEmpty() || row.service().isEmpty() && !isLeavingOrLeft(row.state())) {
            return false;
        }
        DatabaseServer server = servers.get(row.id());
        boolean isNew = server == null || server.service().isEmpty() && !row.service().isEmpty();
        if (isNew) {
            DatabaseServer placeholder = server;
            server = new DatabaseServer(row.id(), row.service());
            if (placeholder != null) {
                server.copyShutdownState(placeholder);
                serversByChange.remove(placeholder.lastChangeVersion());
            }
            add(server);
        }
        server.recordContact(contactMillis);
        if (server.merge(row, acceptsOlderRows) || isNew) {
            recordChange(server);
            return true;
        }
        return false;
    }

    private static boolean isLeavingOrLeft(ServerState state) {
        return state.isAfter(ServerState.DRAINING);
    }

    /**
     * A new server has this one's address: whichever of the same service had it before is gone.
     * Only a server's own call says so, no message of another process, which may be late.
     */
    public boolean replacePredecessors(DatabaseServer successor) {
        boolean changed = false;
        for (DatabaseServer server : serversOf(successor.service())) {
            boolean isPredecessor =
                    server != successor && server.address().equals(successor.address());
            changed |= isPredecessor && markLeft(server.id());
        }
        return changed;
    }

    /**
     * Takes a server's leave call. One that drained before ends now; any other serves on as long as
     * one that drains. The call of a server that is not known here is kept like any other, so that
     * no late heartbeat undoes it.
     */
    public DatabaseServer markLeaving(String id) {
        DatabaseServer server = servers.get(id);
        if (server == null) {
            server = new DatabaseServer(id, "");
            server.completePlaceholder();
            add(server);
        }
        if (server.state() == ServerState.DRAINING) {
            markLeft(id);
        } else if (ServerState.LEAVING.isAfter(server.state())) {
            server.state(ServerState.LEAVING);
            recordChange(server);
        }
        return server;
    }

    /**
     * Servers that announced their end so long ago that they have surely ended, and were not heard
     * since, have left.
     */
    public boolean expireLeaving(long nowMillis, long afterMillis) {
        boolean changed = false;
        for (String id : List.copyOf(leaving)) {
            DatabaseServer server = servers.get(id);
            if (server.leavingSinceMillis() < 0) {
                server.leavingSinceMillis(nowMillis);
            } else if (nowMillis - Math.max(server.leavingSinceMillis(), server.lastContactMillis())
                    > afterMillis) {
                changed |= markLeft(id);
            }
        }
        return changed;
    }

    private boolean markLeft(String id) {
        DatabaseServer server = servers.get(id);
        if (server == null || server.hasLeft()) {
            return false;
        }
        server.state(ServerState.LEFT);
        recordChange(server);
        return true;
    }

    private void recordChange(DatabaseServer server) {
        serversByChange.remove(server.lastChangeVersion());
        server.lastChangeVersion(++version);
        serversByChange.put(server.lastChangeVersion(), server);
        if (server.isLeaving()) {
            leaving.add(server.id());
        } else {
            leaving.remove(server.id());
        }
    }

    private void add(DatabaseServer server) {
        if (!servers.containsKey(server.id()) && servers.size() >= MAX_SERVERS) {
            evictOldest();
        }
        servers.put(server.id(), server);
        if (!server.service().isEmpty()) {
            serversByService
                    .computeIfAbsent(server.service(), name -> new TreeMap<>())
                    .put(server.id(), server);
        }
    }

    /** Drops the row that changed longest ago, of those that left or are not known otherwise. */
    private void evictOldest() {
        DatabaseServer oldest = null;
        for (DatabaseServer server : servers.values()) {
            if ((server.hasLeft() || server.service().isEmpty())
                    && (oldest == null
                            || server.lastChangeVersion() < oldest.lastChangeVersion())) {
                oldest = server;
            }
        }
        if (oldest == null) {
            return;
        }
        servers.remove(oldest.id());
        evicted.add(oldest.id());
        leaving.remove(oldest.id());
        serversByChange.remove(oldest.lastChangeVersion());
        TreeMap<String, DatabaseServer> ofService = serversByService.get(oldest.service());
        if (ofService != null) {
            ofService.remove(oldest.id());
            if (ofService.isEmpty()) {
                serversByService.remove(oldest.service());
            }
        }
    }

    // ---- the form on disk

    /** Takes over what the disk held, at the start. */
    public void restore(Map<String, String> entries, long nowMillis) {
        entries.forEach(
                (key, encoded) -> {
                    if (!key.startsWith(STORAGE_PREFIX)) {
                        return;
                    }
                    DatabaseServer server =
                            DatabaseServer.decode(key.substring(STORAGE_PREFIX.length()), encoded);
                    if (server != null) {
                        server.resetContact(nowMillis);
                        add(server);
                        recordChange(server);
                    }
                });
    }

    /** What changed after this version, as it goes to the disk; a dropped row is an empty text. */
    Map<String, String> encodeSince(long since) {
        Map<String, String> entries = new TreeMap<>();
        for (DatabaseServer server : serversByChange.tailMap(since, false).values()) {
            entries.put(STORAGE_PREFIX + server.id(), server.encode());
        }
        evicted.forEach(id -> entries.putIfAbsent(STORAGE_PREFIX + id, ""));
        evicted.clear();
        return entries;
    }
}
