package dillfront.controlplane.failover;

import dillfront.common.environment.Environment;
import dillfront.common.protocol.PrimaryRecord;
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
 * What the parts of a failover share: the state of the process, the lease under which it acts, and
 * questions that several of them ask.
 */
final class FailoverContext {

    /** How long a server may take to answer a query. */
    static final long QUERY_TIMEOUT_MS = 500;

    /** A pause before a call or a query is made again. */
    static final long RETRY_MS = 200;

    /** A lease that ends sooner is no ground to begin a call on. */
    private static final long MIN_LEASE_REMAINING_MS = 300;

    private final ControlState state;
    private final DataPlaneObservations dataPlanes;
    private final FencingTokens tokens;
    private final PlatformClient platform;

    /** The number of the lease under which all of this was begun; 0 for none. */
    private long leaseNumber;

    private long leaseStartMillis;
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

    /** This process acts under another lease from now on, or under none (0). */
    void startLease(long number) {
        leaseNumber = number;
        recordsTakenOver = false;
        if (number != 0) {
            leaseStartMillis = now();
            tokens.startLease(number);
        }
    }

    boolean hasTakenOverRecords() {
        return recordsTakenOver;
    }

    void recordsTakenOver() {
        recordsTakenOver = true;
    }

    /** This process holds the lease and knows all that earlier holders recorded. */
    boolean isActing() {
        return recordsTakenOver && state.lease().isHeld() && state.lease().number() == leaseNumber;
    }

    /** And its lease runs for long enough to begin something. */
    boolean mayAct() {
        return isActing() && state.lease().validUntilMillis() - now() > MIN_LEASE_REMAINING_MS;
    }

    long nextFencingToken() {
        return tokens.next();
    }

    /** Records a primary, and tells peers and data planes. */
    void storeRecord(PrimaryRecord record) {
        if (state.records().merge(record)) {
            state.requestUpdates();
        }
    }

    /** Whether this is the newest record of its service. */
    boolean isCurrent(PrimaryRecord record) {
        return state.records().get(record.service()) == record;
    }

    // ---- servers

    DatabaseServer server(String id) {
        return state.registry().get(id);
    }

    /** Whether this server is present, as far as is known. */
    static boolean isPresent(DatabaseServer server) {
        return server != null && !server.hasLeft();
    }

    CompletableFuture<ServerStatus> queryStatus(DatabaseServer server, long timeoutMillis) {
        return query(server, timeoutMillis, null);
    }

    CompletableFuture<ServerStatus> query(
            DatabaseServer server, long timeoutMillis, Function<ServerStatus, String> command) {
        return ServerQuery.send(environment(), state.lease(), server, timeoutMillis, command);
    }

    /** This process was paused until now: the silence of others before says nothing. */
    void onProcessPaused() {
        resumedMillis = now();
    }

    /** When this process went on after its last pause; long ago where it never paused. */
    long resumedMillis() {
        return resumedMillis;
    }

    /** It missed two heartbeats and more, and not because this process was paused. */
    boolean hasMissedHeartbeats(DatabaseServer server) {
        return now() - Math.max(server.lastContactMillis(), resumedMillis)
                > heartbeatIntervalMillis() * 5 / 2;
    }

    /** Whether it was heard within so many heartbeat intervals. */
    boolean isInContactWithin(DatabaseServer server, int intervals) {
        return now() - server.lastContactMillis() < intervals * heartbeatIntervalMillis();
    }

    /**
     * The one server of a service that reports that it is the primary; null for none or several.
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

    /** What all data planes see of this primary. */
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
