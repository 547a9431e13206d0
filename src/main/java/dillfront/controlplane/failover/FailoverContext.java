package dillfront.controlplane.failover;

import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.environment.Environment;
import dillfront.common.protocol.PrimaryRecord;
import dillfront.common.protocol.ServerStatus;
import dillfront.controlplane.lease.FencingTokens;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.peer.PeerState;
import dillfront.controlplane.primary.DataPlaneObservations;
import dillfront.controlplane.primary.PrimaryObservation;
import dillfront.controlplane.registry.DatabaseServer;
import dillfront.controlplane.state.ControlState;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Provides the state shared by the classes of a failover: the control process's state, the lease
 * under which it acts, and common checks.
 */
final class FailoverContext {

    /** Time for a server to answer a query. */
    static final long QUERY_TIMEOUT_MS = 500;

    /** Pause before a call or a query is repeated. */
    static final long RETRY_MS = 200;

    /** Minimum remaining lease time for starting a call. */
    private static final long MIN_LEASE_REMAINING_MS = 300;

    private final ControlState state;
    private final DataPlaneObservations dataPlanes;
    private final FencingTokens tokens;
    private final PlatformClient platform;
    private final DepartureProofs departures = new DepartureProofs(this);

    /** The number of the lease under which this process acts; 0 for none. */
    private long leaseNumber;

    private long leaseStartMillis;
    private long formerLeaseEndMillis = LeaseManager.NEVER_MILLIS;
    private boolean recordsTakenOver;
    private long resumedMillis = LeaseManager.NEVER_MILLIS;

    FailoverContext(ControlState state, DataPlaneObservations dataPlanes, FencingTokens tokens) {
        this.state = state;
        this.dataPlanes = dataPlanes;
        this.tokens = tokens;
        platform = new PlatformClient(state.environment(), state.settings());
    }

    ControlState state() {
        return state;
    }

    DataPlaneObservations dataPlanes() {
        return dataPlanes;
    }

    PlatformClient platform() {
        return platform;
    }

    DepartureProofs departures() {
        return departures;
    }

    Environment environment() {
        return state.environment();
    }

    long now() {
        return state.nowMillis();
    }

    long heartbeatIntervalMillis() {
        return state.settings().heartbeatIntervalMillis();
    }

    // ---- the lease

    long leaseNumber() {
        return leaseNumber;
    }

    long leaseStartMillis() {
        return leaseStartMillis;
    }

    /** Starts acting under a lease, or stops acting (0). */
    void startLease(long number) {
        leaseNumber = number;
        recordsTakenOver = false;
        if (number != 0) {
            leaseStartMillis = now();
            formerLeaseEndMillis = state.lease().formerLeaseEndMillis();
            tokens.startLease(number);
        }
    }

    /**
     * Returns the latest time at which former holders may have claimed that their leases end, as
     * known when this lease began. Each former lease had the promise of a member among those whose
     * promises assigned this one. What a member reports that promises later, such as one that
     * restarted and does not know which lease was in use, adds nothing.
     */
    long formerLeaseEndMillis() {
        return formerLeaseEndMillis;
    }

    boolean hasTakenOverRecords() {
        return recordsTakenOver;
    }

    void recordsTakenOver() {
        recordsTakenOver = true;
    }

    /** Returns whether this process holds the lease and knows all records of earlier holders. */
    boolean isActing() {
        return recordsTakenOver && state.lease().isHeld() && state.lease().number() == leaseNumber;
    }

    /** Returns whether this process is acting and its lease lasts long enough to start a call. */
    boolean mayAct() {
        return isActing() && state.lease().validUntilMillis() - now() > MIN_LEASE_REMAINING_MS;
    }

    long nextFencingToken() {
        return tokens.next();
    }

    /** Stores a primary record and requests updates of peers and data planes. */
    void storeRecord(PrimaryRecord record) {
        if (state.records().merge(record)) {
            state.requestUpdates();
        }
    }

    /** Returns whether this is the newest record of its service. */
    boolean isCurrent(PrimaryRecord record) {
        return state.records().get(record.service()) == record;
    }

    // ---- servers

    DatabaseServer server(String id) {
        return state.registry().get(id);
    }

    /** Returns whether the server is known and has not left. */
    static boolean isPresent(DatabaseServer server) {
        return server != null && !server.hasLeft();
    }

    /**
     * Returns whether the server left long enough ago to receive nothing any more, and for the data
     * planes to know of its departure.
     */
    boolean hasEnded(DatabaseServer server) {
        return server.hasLeft()
                && now() - server.departureMillis()
                        >= AcknowledgedCommits.DEPARTURE_HEARTBEAT_INTERVALS
                                * heartbeatIntervalMillis();
    }

    CompletableFuture<ServerStatus> queryStatus(DatabaseServer server, long timeoutMillis) {
        return query(server, timeoutMillis, null);
    }

    CompletableFuture<ServerStatus> query(
            DatabaseServer server, long timeoutMillis, Function<ServerStatus, String> command) {
        return ServerQuery.send(environment(), state.lease(), server, timeoutMillis, command);
    }

    /**
     * Handles the end of a pause of this process. The silence of others during the pause is no
     * evidence of their loss.
     */
    void onProcessPaused() {
        resumedMillis = now();
    }

    /**
     * Returns the end of this process's last pause; {@link LeaseManager#NEVER_MILLIS} if it never
     * paused.
     */
    long resumedMillis() {
        return resumedMillis;
    }

    /**
     * Returns whether the server missed at least two heartbeats, not counting time during which
     * this process was paused.
     */
    boolean hasMissedHeartbeats(DatabaseServer server) {
        return now() - Math.max(server.lastContactMillis(), resumedMillis)
                > heartbeatIntervalMillis() * 5 / 2;
    }

    /** Returns whether a heartbeat of the server arrived within this number of intervals. */
    boolean isInContactWithin(DatabaseServer server, int intervals) {
        return now() - server.lastContactMillis() < intervals * heartbeatIntervalMillis();
    }

    /**
     * Returns the only server of a service that reports itself as the primary; null for none or
     * several.
     */
    DatabaseServer reportedPrimary(String service) {
        DatabaseServer primary = null;
        for (DatabaseServer server : state.registry().serversOf(service)) {
            if (server.isPrimary() && isInContactWithin(server, 3)) {
                if (primary != null) {
                    return null;
                }
                primary = server;
            }
        }
        return primary;
    }

    /** Returns the merged observations of all data planes for this primary. */
    PrimaryObservation observation(String service, String primary) {
        PrimaryObservation merged = dataPlanes.observation(service, primary);
        for (PeerState peer : state.cluster().peers()) {
            PrimaryObservation observation = peer.observation(service);
            if (observation != null
                    && observation.primary().equals(primary)
                    && state.cluster().isInContact(peer)) {
                merged = merged.merge(observation);
            }
        }
        return merged;
    }
}
