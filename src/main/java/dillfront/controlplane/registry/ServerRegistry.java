package dillfront.controlplane.registry;

import dillfront.common.message.MessageCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The table of all database servers. Every change has a number, so that others ask only for what
 * they lack.
 */
public final class ServerRegistry {

    /**
     * Rows of those that left are kept so that a late word does not bring them back; so many at the
     * most.
     */
    private static final int MAX_SERVERS = 20_000;

    private static final TreeMap<String, DatabaseServer> EMPTY = new TreeMap<>();
    private static final String STORAGE_PREFIX = "server:";

    private final TreeMap<String, DatabaseServer> servers = new TreeMap<>();
    private final TreeMap<String, TreeMap<String, DatabaseServer>> serversByService =
            new TreeMap<>();

    /** By the change that made them what they are, so that whoever lacks a few is told of a few. */
    private final TreeMap<Long, DatabaseServer> byChange = new TreeMap<>();

    private final TreeSet<String> evicted = new TreeSet<>();

    /** Those that said that they leave, and may serve on. */
    private final TreeSet<String> leaving = new TreeSet<>();

    private long version;

    /** Rows go back too, as only a small world has it. */
    private final boolean acceptsOlderRows;

    public ServerRegistry() {
        this(false);
    }

    public ServerRegistry(boolean back) {
        this.acceptsOlderRows = back;
    }

    public DatabaseServer get(String id) {
        return servers.get(id);
    }

    public long version() {
        return version;
    }

    public Iterable<DatabaseServer> all() {
        return servers.values();
    }

    /** The servers of this service that have not left. */
    public List<DatabaseServer> serversOf(String service) {
        List<DatabaseServer> of = new ArrayList<>();
        for (DatabaseServer m : serversByService.getOrDefault(service, EMPTY).values()) {
            if (!m.hasLeft()) {
                of.add(m);
            }
        }
        return of;
    }

    public Iterable<String> services() {
        return serversByService.keySet();
    }

    private void recordChange(DatabaseServer m) {
        byChange.remove(m.changeNumber);
        m.changeNumber = ++version;
        byChange.put(m.changeNumber, m);
        if (m.isLeaving()) {
            leaving.add(m.id);
        } else {
            leaving.remove(m.id);
        }
    }

    private void add(DatabaseServer m) {
        if (!servers.containsKey(m.id) && servers.size() >= MAX_SERVERS) {
            evictOldest();
        }
        servers.put(m.id, m);
        if (!m.service.isEmpty()) {
            serversByService.computeIfAbsent(m.service, s -> new TreeMap<>()).put(m.id, m);
        }
    }

    /** What the disk held, at the start. */
    public void restore(Map<String, String> kept, long now) {
        kept.forEach(
                (name, text) -> {
                    DatabaseServer m =
                            name.startsWith(STORAGE_PREFIX)
                                    ? DatabaseServer.decode(
                                            name.substring(STORAGE_PREFIX.length()), text)
                                    : null;
                    if (m != null) {
                        m.lastHeardMillis = now;
                        add(m);
                        recordChange(m);
                    }
                });
    }

    /**
     * What has changed since, as it goes to the disk; of those that left too, so that no late
     * message brings one back.
     */
    Map<String, String> encodeSince(long since) {
        Map<String, String> kept = new TreeMap<>();
        for (DatabaseServer m : byChange.tailMap(since, false).values()) {
            kept.put(STORAGE_PREFIX + m.id, m.encode());
        }
        evicted.forEach(id -> kept.putIfAbsent(STORAGE_PREFIX + id, ""));
        evicted.clear();
        return kept;
    }

    /** Takes a row in, from a beat or from another control process; whether it changed anything. */
    public boolean merge(MessageCodec.Fields row, long heard) {
        String id = row.string("i");
        String service = row.string("v");
        if (id.isEmpty()
                || service.isEmpty()
                        && DatabaseServer.stateRank(row.string("st"))
                                < DatabaseServer.stateRank("leaving")) {
            return false;
        }
        DatabaseServer is = servers.get(id);
        boolean fresh = is == null || is.service.isEmpty() && !service.isEmpty();
        if (fresh) {
            DatabaseServer before = is;
            is = new DatabaseServer(id, service);
            if (before != null) {
                // Its leave was heard before it was: that stands.
                is.state = before.state;
                is.leavingSinceMillis = before.leavingSinceMillis;
                byChange.remove(before.changeNumber);
            }
            add(is);
        }
        is.lastHeardMillis = Math.max(is.lastHeardMillis, heard);
        if (is.merge(row, acceptsOlderRows) || fresh) {
            recordChange(is);
            return true;
        }
        return false;
    }

    /**
     * A new server has this one's address: whichever of the same service had it before is gone.
     * That the new one has its log is not said; one that left took it along, and the new one
     * copies. Only a server's own call says so, never hearsay, which may be late.
     */
    public boolean replacePredecessors(DatabaseServer fresh) {
        boolean any = false;
        for (DatabaseServer m : serversOf(fresh.service)) {
            boolean same = m != fresh && m.address.equals(fresh.address);
            any |= same && markLeft(m.id);
        }
        return any;
    }

    /**
     * It said that it leaves. One that said before that it drains ends now; any other serves on as
     * long as one that drains. That of a server that is not known here, and may be elsewhere, is
     * kept like any other, so that no late beat undoes it.
     */
    public DatabaseServer markLeaving(String id) {
        DatabaseServer is = servers.get(id);
        if (is == null) {
            is = new DatabaseServer(id, "");
            is.address = "";
            is.zoneName = "";
            add(is);
        }
        if (is.state.equals("draining")) {
            markLeft(id);
        } else if (DatabaseServer.stateRank(is.state) < DatabaseServer.stateRank("leaving")) {
            is.state = "leaving";
            recordChange(is);
        }
        return is;
    }

    /**
     * Those that left so long ago that they have surely ended, and were not heard since, are gone.
     */
    public boolean expireLeaving(long now, long after) {
        boolean any = false;
        for (String id : List.copyOf(leaving)) {
            DatabaseServer m = servers.get(id);
            if (m.leavingSinceMillis < 0) {
                m.leavingSinceMillis = now;
            } else if (now - Math.max(m.leavingSinceMillis, m.lastHeardMillis) > after) {
                any |= markLeft(id);
            }
        }
        return any;
    }

    boolean markLeft(String id) {
        DatabaseServer is = servers.get(id);
        if (is == null || is.hasLeft()) {
            return false;
        }
        is.state = "left";
        recordChange(is);
        return true;
    }

    private void evictOldest() {
        DatabaseServer oldest = null;
        for (DatabaseServer m : servers.values()) {
            if ((m.hasLeft() || m.service.isEmpty())
                    && (oldest == null || m.changeNumber < oldest.changeNumber)) {
                oldest = m;
            }
        }
        if (oldest != null) {
            servers.remove(oldest.id);
            evicted.add(oldest.id);
            leaving.remove(oldest.id);
            byChange.remove(oldest.changeNumber);
            TreeMap<String, DatabaseServer> same =
                    serversByService.getOrDefault(oldest.service, EMPTY);
            same.remove(oldest.id);
            if (same.isEmpty()) {
                serversByService.remove(oldest.service);
            }
        }
    }

    /** What changed since. */
    public List<Object> rowsSince(long change) {
        List<Object> out = new ArrayList<>();
        for (DatabaseServer m : byChange.tailMap(change, false).values()) {
            out.add(m.toRow());
        }
        return out;
    }
}
