package dillfront.controlplane.registry;

import dillfront.common.protocol.ServerRow;
import dillfront.common.protocol.ServerState;

/** One database server, as its heartbeats tell of it. Changed by {@link ServerRegistry} alone. */
public final class DatabaseServer {

    private static final int STORED_FIELDS = 6;
    private static final long UNKNOWN = -1;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final String id;
    private final String service;

    /** Null before the first heartbeat, with the zone. */
    private String address;

    private String zoneName;
    private ServerState state = ServerState.READY;
    private String role = "";
    private long callSequence = UNKNOWN;
    private long lastContactMillis;
    private long lastDirectHeartbeatMillis = NEVER;
    private long leavingSinceMillis = UNKNOWN;
    private long lastChangeVersion;

    DatabaseServer(String id, String service) {
        this.id = id;
        this.service = service;
    }

    // ---- queries

    public String id() {
        return id;
    }

    /** Empty where only its leave call was received. */
    public String service() {
        return service;
    }

    public String address() {
        return address;
    }

    public String zoneName() {
        return zoneName;
    }

    public ServerState state() {
        return state;
    }

    /** As it reported it. */
    public String role() {
        return role;
    }

    /** The number of its last call that counted; -1 for none. */
    public long callSequence() {
        return callSequence;
    }

    /** When any control process last heard it, by this process's clock. */
    public long lastContactMillis() {
        return lastContactMillis;
    }

    /** When this process last received a heartbeat of it; long ago where it never did. */
    public long lastDirectHeartbeatMillis() {
        return lastDirectHeartbeatMillis;
    }

    /** The version of the registry in which it was last changed. */
    public long lastChangeVersion() {
        return lastChangeVersion;
    }

    /** It is gone, and its log with it. */
    public boolean hasLeft() {
        return state == ServerState.LEFT;
    }

    /** It announced its end, by either call, and serves on until then. */
    public boolean isDraining() {
        return state == ServerState.DRAINING || isLeaving();
    }

    /** It announced its end by its leave call, without draining before. */
    public boolean isLeaving() {
        return state == ServerState.LEAVING;
    }

    /** It reported that it accepts writes. */
    public boolean isPrimary() {
        return role.equals(ServerRow.PRIMARY_ROLE);
    }

    /** The row of a message. */
    public ServerRow toRow() {
        return new ServerRow(id, service, address, zoneName, state, role, callSequence);
    }

    // ---- changes

    /** A heartbeat came here now. */
    public void onDirectHeartbeat(long nowMillis) {
        lastDirectHeartbeatMillis = nowMillis;
    }

    /** Another control process received this call of it. */
    public void onForwardedHeartbeat(long contactMillis, long sequence) {
        recordContact(contactMillis);
        callSequence = Math.max(callSequence, sequence);
    }

    void recordContact(long millis) {
        lastContactMillis = Math.max(lastContactMillis, millis);
    }

    /** It was on the disk when this process started: its silence counts from then. */
    void resetContact(long millis) {
        lastContactMillis = millis;
    }

    void lastChangeVersion(long version) {
        lastChangeVersion = version;
    }

    void state(ServerState next) {
        state = next;
    }

    long leavingSinceMillis() {
        return leavingSinceMillis;
    }

    void leavingSinceMillis(long millis) {
        leavingSinceMillis = millis;
    }

    /** Only the leave call of it was received: nothing else is known. */
    void completePlaceholder() {
        address = "";
        zoneName = "";
    }

    /** What was heard of its end before its first heartbeat stands. */
    void copyShutdownState(DatabaseServer placeholder) {
        state = placeholder.state;
        leavingSinceMillis = placeholder.leavingSinceMillis;
    }

    /**
     * Takes a row over where it is newer.
     *
     * @param acceptsOlderState an earlier state replaces a later one; only model checks do so
     * @return whether anything changed that others must know
     */
    boolean merge(ServerRow row, boolean acceptsOlderState) {
        boolean changed = false;
        if (row.callSequence() >= callSequence || address == null) {
            callSequence = Math.max(callSequence, row.callSequence());
            changed = !row.address().equals(address) || !row.role().equals(role);
            address = row.address();
            zoneName = row.zoneName();
            role = row.role();
        }
        if (row.state().isAfter(state) || acceptsOlderState && row.state() != state) {
            state = row.state();
            changed = true;
        }
        return changed;
    }

    // ---- the form on disk

    String encode() {
        return String.join(
                "\n",
                service,
                address,
                zoneName,
                state.wireName(),
                role,
                Long.toString(callSequence));
    }

    /**
     * Reads what {@link #encode} made.
     *
     * @return null where the text is no server
     */
    static DatabaseServer decode(String id, String text) {
        String[] fields = text.split("\n", -1);
        if (fields.length != STORED_FIELDS) {
            return null;
        }
        DatabaseServer server = new DatabaseServer(id, fields[0]);
        server.address = fields[1];
        server.zoneName = fields[2];
        server.state = ServerState.parse(fields[3]);
        server.role = fields[4];
        server.callSequence = Long.parseLong(fields[5]);
        return server;
    }
}
