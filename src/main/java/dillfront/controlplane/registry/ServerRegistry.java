package dillfront.controlplane.registry;

import dillfront.common.protocol.ServerRow;
import dillfront.common.protocol.ServerState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * Holds all known database servers. Each change has a number, which is the version of the registry
 * after it, so that a peer requests only newer changes. Rows of servers that left are kept, so that
 * a late message does not restore them.
 */
public final class ServerRegistry {

    private static final int MAX_SERVERS = 20_000;
    private static final String STORAGE_PREFIX = "server:";

    /**
     * Prefix of the keys of announced departures without a proof. These are entries of their own,
     * which earlier versions ignore.
     */
    private static final String UNPROVEN_DEPARTURE_PREFIX = "departure:";

    private static final String UNPROVEN = "unproven";

    private final TreeMap<String, DatabaseServer> servers = new TreeMap<>();
    private final TreeMap<String, TreeMap<String, DatabaseServer>> serversByService =
            new TreeMap<>();

    /** Servers by the number of their last change. */
    private final TreeMap<Long, DatabaseServer> serversByChange = new TreeMap<>();

    /** Ids of evicted rows that are still on disk. */
    private final TreeSet<String> evicted = new TreeSet<>();

    /** Ids of servers that announced their shutdown by a leave call and may still serve. */
    private final TreeSet<String> leaving = new TreeSet<>();

    /** Servers that left, and whose departure has no recorded time yet. */
    private final List<DatabaseServer> newlyLeft = new ArrayList<>();

    private final LongSupplier clockMillis;
    private final boolean acceptsOlderRows;
    private long version;

    /**
     * Creates an empty registry.
     *
     * @param clockMillis the clock of this process, which the ages of drains refer to
     */
    public ServerRegistry(LongSupplier clockMillis) {
        this(clockMillis, false);
    }

    /**
     * Creates an empty registry.
     *
     * @param acceptsOlderRows whether an earlier state replaces a later one; only model checks set
     *     it
     */
    ServerRegistry(LongSupplier clockMillis, boolean acceptsOlderRows) {
        this.clockMillis = clockMillis;
        this.acceptsOlderRows = acceptsOlderRows;
    }

    // ---- queries

    /** Returns the server with this id; null if it is unknown. */
    public DatabaseServer get(String id) {
        return servers.get(id);
    }

    /** Returns the number of changes in this incarnation. */
    public long version() {
        return version;
    }

    /** Returns all servers, including those that left. */
    public Iterable<DatabaseServer> all() {
        return servers.values();
    }

    /** Returns the servers of this service that have not left, in the order of their ids. */
    public List<DatabaseServer> serversOf(String service) {
        List<DatabaseServer> presentServers = new ArrayList<>();
        for (DatabaseServer server : allOf(service).values()) {
            if (!server.hasLeft()) {
                presentServers.add(server);
            }
        }
        return presentServers;
    }

    /**
     * Returns the servers of this service, including those that left, in the order of their ids.
     */
    public List<DatabaseServer> knownServersOf(String service) {
        return List.copyOf(allOf(service).values());
    }

    private Map<String, DatabaseServer> allOf(String service) {
        TreeMap<String, DatabaseServer> all = serversByService.get(service);
        return all == null ? Collections.emptyMap() : all;
    }

    /** Returns the names of all services that have or had a server. */
    public Iterable<String> services() {
        return serversByService.keySet();
    }

    /** Returns the rows that changed after this version. */
    public List<ServerRow> rowsSince(long since) {
        List<ServerRow> rows = new ArrayList<>();
        for (DatabaseServer server : serversByChange.tailMap(since, false).values()) {
            rows.add(server.toRow(clockMillis.getAsLong()));
        }
        return rows;
    }

    // ---- changes

    /** Merges a row from a heartbeat or from a peer, and returns whether it changed anything. */
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
        if (server.merge(row, acceptsOlderRows, clockMillis.getAsLong()) || isNew) {
            recordChange(server);
            return true;
        }
        return false;
    }

    private static boolean isLeavingOrLeft(ServerState state) {
        return state.isAfter(ServerState.DRAINING);
    }

    /**
     * Marks servers as left whose address a new server of the same service has taken over. Only a
     * server's own call proves that; a message of another process may be late.
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
     * Applies a server's leave call. A server that was draining has stopped by now; any other may
     * serve for its drain time. The call of an unknown server is recorded as well, so that a late
     * heartbeat does not undo it.
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
            server.recordDrain(clockMillis.getAsLong());
            recordChange(server);
        }
        return server;
    }

    /**
     * Marks leaving servers as left once the delay has passed since both their announcement and
     * their last contact. Called periodically; also records the time of departures since the last
     * call.
     */
    public boolean expireLeaving(long nowMillis, long afterMillis) {
        newlyLeft.forEach(server -> server.recordDeparture(nowMillis));
        newlyLeft.clear();
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

    /**
     * Records that servers that stay have all that a server took along when it left, and returns
     * whether that was unknown.
     */
    public boolean proveDeparture(String id) {
        DatabaseServer server = servers.get(id);
        if (server == null || !server.hasLeft() || server.isDepartureProven()) {
            return false;
        }
        server.proveDeparture();
        recordChange(server);
        return true;
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
        if (server.hasLeft()) {
            newlyLeft.add(server);
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

    /**
     * Evicts the row with the oldest change among servers that left or are known only by a leave
     * call.
     */
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

    // ---- stored form

    /** Restores the stored servers at the start of the process. */
    public void restore(Map<String, String> entries, long nowMillis) {
        entries.forEach(
                (key, encoded) -> {
                    if (!key.startsWith(STORAGE_PREFIX)) {
                        return;
                    }
                    DatabaseServer server =
                            DatabaseServer.decode(key.substring(STORAGE_PREFIX.length()), encoded);
                    if (server != null) {
                        if (entries.containsKey(UNPROVEN_DEPARTURE_PREFIX + server.id())) {
                            server.restoreUnprovenDeparture();
                        }
                        server.resetContact(nowMillis);
                        add(server);
                        recordChange(server);
                    }
                });
    }

    /**
     * Returns the stored form of the changes after this version; a removed entry is an empty
     * string.
     */
    Map<String, String> encodeSince(long since) {
        Map<String, String> entries = new TreeMap<>();
        for (DatabaseServer server : serversByChange.tailMap(since, false).values()) {
            entries.put(STORAGE_PREFIX + server.id(), server.encode());
            if (server.hasLeft() && server.isAnnounced()) {
                entries.put(
                        UNPROVEN_DEPARTURE_PREFIX + server.id(),
                        server.isDepartureProven() ? "" : UNPROVEN);
            }
        }
        for (String id : evicted) {
            entries.putIfAbsent(STORAGE_PREFIX + id, "");
            entries.putIfAbsent(UNPROVEN_DEPARTURE_PREFIX + id, "");
        }
        evicted.clear();
        return entries;
    }
}
