package dillfront.controlplane.registry;

import dillfront.common.protocol.ServerRow;
import dillfront.common.protocol.ServerState;

/**
 * One database server, as reported by its heartbeats. Only {@link ServerRegistry} changes its state
 * and address.
 */
public final class DatabaseServer {

    private static final int STORED_FIELDS = 6;
    private static final long UNKNOWN = -1;
    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final long NOT_RECORDED = Long.MAX_VALUE / 2;

    private final String id;
    private final String service;

    /** Null before the first heartbeat, like the zone name. */
    private String address;

    private String zoneName;
    private ServerState state = ServerState.READY;
    private String role = "";
    private long callSequence = UNKNOWN;
    private long lastContactMillis;
    private long lastDirectHeartbeatMillis = NEVER;
    private long leavingSinceMillis = UNKNOWN;

    /**
     * When the server announced its shutdown, by this process's clock, as far as any process knows;
     * far in the past if no process knows.
     */
    private long drainingSinceMillis = NOT_RECORDED;

    /** When this process learned that the server left. */
    private long leftSinceMillis = NOT_RECORDED;

    private boolean departureProven;

    private long lastChangeVersion;

    DatabaseServer(String id, String service) {
        this.id = id;
        this.service = service;
    }

    // ---- queries

    public String id() {
        return id;
    }

    /** Returns the service; empty if only the server's leave call was received. */
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

    /** Returns the role that the server reported. */
    public String role() {
        return role;
    }

    /** Returns the sequence number of the newest call of the server; -1 for none. */
    public long callSequence() {
        return callSequence;
    }

    /**
     * Returns when any control process last received a call of the server, by this process's clock.
     */
    public long lastContactMillis() {
        return lastContactMillis;
    }

    /**
     * Returns the time by which a server that left has departed: that of its last call, or when
     * this process learned that it left, whichever is later. A time far in the future until {@link
     * ServerRegistry#expireLeaving} has recorded it.
     */
    public long departureMillis() {
        return Math.max(lastContactMillis, leftSinceMillis);
    }

    /**
     * Returns when this process itself last received a heartbeat of the server; a time far in the
     * past if it never did.
     */
    public long lastDirectHeartbeatMillis() {
        return lastDirectHeartbeatMillis;
    }

    /** Returns the version of the registry that contains the server's last change. */
    public long lastChangeVersion() {
        return lastChangeVersion;
    }

    /** Returns whether the server is gone, together with its transaction log. */
    public boolean hasLeft() {
        return state == ServerState.LEFT;
    }

    /**
     * Returns whether the server has announced its shutdown, by either call, and may still serve.
     */
    public boolean isDraining() {
        return state == ServerState.DRAINING || isLeaving();
    }

    /**
     * Returns whether the server has announced its shutdown by a leave call, without draining
     * before.
     */
    public boolean isLeaving() {
        return state == ServerState.LEAVING;
    }

    /**
     * Returns how long ago the server announced its shutdown, in milliseconds; a long time if that
     * is unknown, and a negative number if it did not announce it.
     */
    public long drainAgeMillis(long nowMillis) {
        return isAnnounced()
                ? Math.min(ServerRow.MAX_DRAIN_AGE_MS, Math.max(0, nowMillis - drainingSinceMillis))
                : UNKNOWN;
    }

    /** Returns whether the server announced its shutdown. */
    public boolean isAnnounced() {
        return drainingSinceMillis != NOT_RECORDED;
    }

    /** Returns whether the server left, and a server that stays has all that it took along. */
    public boolean isDepartureProven() {
        return departureProven;
    }

    /** Returns whether the server reported that it accepts writes. */
    public boolean isPrimary() {
        return role.equals(ServerRow.PRIMARY_ROLE);
    }

    /** Returns the row that represents the server in messages. */
    public ServerRow toRow(long nowMillis) {
        return new ServerRow(
                id,
                service,
                address,
                zoneName,
                state,
                role,
                callSequence,
                drainAgeMillis(nowMillis),
                departureProven);
    }

    // ---- changes

    /** Records a heartbeat that this process received. */
    public void onDirectHeartbeat(long nowMillis) {
        lastDirectHeartbeatMillis = nowMillis;
    }

    /** Records a call of the server that another control process received. */
    public void onForwardedHeartbeat(long contactMillis, long sequence) {
        recordContact(contactMillis);
        callSequence = Math.max(callSequence, sequence);
    }

    void recordContact(long millis) {
        lastContactMillis = Math.max(lastContactMillis, millis);
    }

    /**
     * Counts the time since the last contact with a restored server from the start of this process.
     */
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

    /** Records that the server announced its shutdown at this time or earlier. */
    void recordDrain(long millis) {
        drainingSinceMillis = Math.min(drainingSinceMillis, millis);
    }

    void recordDeparture(long millis) {
        leftSinceMillis = Math.min(leftSinceMillis, millis);
    }

    void proveDeparture() {
        departureProven = true;
    }

    /** Completes a placeholder for a server of which only the leave call was received. */
    void completePlaceholder() {
        address = "";
        zoneName = "";
    }

    /** Copies the shutdown state that was received before the first heartbeat. */
    void copyShutdownState(DatabaseServer placeholder) {
        state = placeholder.state;
        leavingSinceMillis = placeholder.leavingSinceMillis;
        drainingSinceMillis = placeholder.drainingSinceMillis;
    }

    /**
     * Merges a row, keeping the newer call and the later state.
     *
     * @param acceptsOlderState whether an earlier state replaces a later one; only model checks set
     *     it
     * @return whether anything changed that others must learn
     */
    boolean merge(ServerRow row, boolean acceptsOlderState, long nowMillis) {
        boolean changed = false;
        boolean announced = row.state().isAfter(ServerState.READY) && !leftUnannounced(row);
        // A row without an age says nothing about a drain whose start is recorded.
        boolean knowsLess = isAnnounced() && row.drainAgeMillis() < 0;
        if (announced && !knowsLess) {
            boolean knownAsReady = address != null && state == ServerState.READY;
            recordDrain(nowMillis - row.drainAgeMillis(knownAsReady));
        }
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
        if (row.departureProven() && !departureProven) {
            departureProven = true;
            changed = true;
        }
        return changed;
    }

    /** Returns whether the server left without an announcement, according to the row. */
    private static boolean leftUnannounced(ServerRow row) {
        return row.state() == ServerState.LEFT && row.drainAgeMillis() < 0;
    }

    // ---- stored form

    /** Records that the stored server had left after an announcement, and lacks a proof. */
    void restoreUnprovenDeparture() {
        recordDrain(NEVER);
    }

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
     * Decodes the result of {@link #encode}.
     *
     * @return null if the text has the wrong number of fields
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
        if (server.isDraining()) {
            server.recordDrain(NEVER);
        }
        return server;
    }
}
