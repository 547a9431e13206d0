package dillfront.controlplane.failover;

import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.protocol.PrimaryRecord;
import dillfront.controlplane.lease.FencingTokens;
import dillfront.controlplane.peer.PeerState;
import dillfront.controlplane.primary.DataPlaneObservations;
import dillfront.controlplane.primary.MissingCommits;
import dillfront.controlplane.state.ControlState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides which server is the primary of each service, the singleton role of the control plane.
 * Only the lease holder acts.
 *
 * <p>A service whose primary is lost or draining is first recorded as moving, and no action is
 * taken before a majority has that record, so the next lease holder finds and continues the move. A
 * replica is promoted only if its log cannot lack an acknowledged commit and no data plane can
 * still trust another server as the primary.
 *
 * <p>Not thread-safe: all calls come from one thread.
 */
public final class FailoverCoordinator implements PrimaryMonitor.MoveStarter, PrimaryMove.Owner {

    /** The tasks for a service without a move in progress. */
    private final class ServiceMonitors {
        final InitialPrimaryRecorder initialPrimary;
        final PrimaryMonitor monitor = new PrimaryMonitor(context, FailoverCoordinator.this);
        final ReplicaResumer resumer = new ReplicaResumer(context);
        final DepartureGuard departureGuard;

        ServiceMonitors(String service) {
            initialPrimary = new InitialPrimaryRecorder(context, service);
            departureGuard = new DepartureGuard(context, service);
        }
    }

    private final ControlState state;
    private final FailoverContext context;
    private final Map<String, ServiceMonitors> serviceMonitors = new TreeMap<>();
    private final Map<String, PrimaryMove> moves = new TreeMap<>();

    /**
     * Creates a coordinator.
     *
     * @param dataPlanes the observations of data planes that poll this process
     * @param tokens the tokens of this process's leases
     */
    public FailoverCoordinator(
            ControlState state, DataPlaneObservations dataPlanes, FencingTokens tokens) {
        this.state = state;
        context = new FailoverContext(state, dataPlanes, tokens);
    }

    /** Returns whether this process holds the lease and knows all records of earlier holders. */
    public boolean isActing() {
        return context.isActing();
    }

    /**
     * Handles the end of a pause of this process, after which the silence of others is no evidence
     * of their loss.
     */
    public void onProcessPaused() {
        context.onProcessPaused();
    }

    /** Advances all moves and checks. Called periodically. */
    @Override
    public void poll() {
        if (!state.lease().isHeld()) {
            if (context.leaseNumber() != 0) {
                startLease(0);
            }
            return;
        }
        if (context.leaseNumber() != state.lease().number()) {
            startLease(state.lease().number());
        }
        if (!context.hasTakenOverRecords()) {
            takeOverRecords();
            return;
        }
        TreeSet<String> suspected = new TreeSet<>();
        for (String service : state.registry().services()) {
            if (poll(service)) {
                suspected.add(service);
            }
        }
        state.suspects().replace(suspected);
    }

    /** Advances one service. Returns whether its primary is suspected. */
    private boolean poll(String service) {
        PrimaryMove move = moves.get(service);
        if (move != null) {
            move.poll();
            return false;
        }
        PrimaryRecord record = state.records().get(service);
        ServiceMonitors monitors = monitorsOf(service);
        if (record == null) {
            monitors.initialPrimary.poll();
            return false;
        }
        if (record.replicationPaused()) {
            monitors.resumer.poll(record);
        }
        monitors.departureGuard.poll(record);
        return monitors.monitor.poll(record);
    }

    private ServiceMonitors monitorsOf(String service) {
        return serviceMonitors.computeIfAbsent(service, ServiceMonitors::new);
    }

    private void startLease(long number) {
        context.startLease(number);
        moves.clear();
        serviceMonitors.clear();
        if (number != 0) {
            // The peers answer at once, so that the records of earlier holders are known soon.
            state.peerUpdates().request();
        }
    }

    /**
     * Takes over the records of earlier holders. All of them are known once a majority has answered
     * since the lease began; they are stored under new numbers, and moves in progress continue.
     */
    private void takeOverRecords() {
        if (!state.cluster().isQuorum(true, this::hasNoNewerRecord)) {
            return;
        }
        context.recordsTakenOver();
        List<PrimaryRecord> records = state.records().renumberAll(context::nextFencingToken);
        for (PrimaryRecord record : records) {
            if (record.moving()) {
                moves.put(record.service(), new PrimaryMove(context, this, record, false, true));
            }
        }
        if (!records.isEmpty()) {
            state.dataPlaneUpdates().request();
        }
        state.peerUpdates().request();
    }

    private boolean hasNoNewerRecord(PeerState peer) {
        boolean answered = peer.lastAcknowledgedSendMillis() >= context.leaseStartMillis();
        return state.records().hasAllRecordsOf(answered, peer.recordNumber());
    }

    @Override
    public void startMove(PrimaryRecord record, boolean planned) {
        monitorsOf(record.service()).monitor.onMoveStarted();
        PrimaryRecord moving = record.startMove(context.nextFencingToken(), planned);
        context.storeRecord(moving);
        moves.put(record.service(), new PrimaryMove(context, this, moving, planned, false));
        String event =
                (planned ? "planned-move" : "failover")
                        + " service="
                        + record.service()
                        + " from="
                        + record.primary();
        if (planned) {
            context.environment().trace(event);
        } else {
            context.environment().warn(event);
        }
        state.peerUpdates().request();
    }

    @Override
    public boolean isActive(PrimaryMove move) {
        return moves.get(move.service()) == move;
    }

    @Override
    public void onCompleted(PrimaryMove move, PrimaryRecord record) {
        moves.remove(move.service());
        if (!record.primary().equals(move.record().primary())) {
            context.departures().onPrimaryReplaced(move.service());
        }
        context.storeRecord(record);
        state.peerUpdates().request();
        if (record.replicationPaused()) {
            monitorsOf(record.service()).resumer.poll(record);
        }
    }

    /** Returns the missing commits that moves wait for. */
    public List<MissingCommits> missingCommits() {
        List<MissingCommits> missing = new ArrayList<>();
        for (PrimaryMove move : moves.values()) {
            if (move.missingCommits() != null) {
                missing.add(move.missingCommits());
            }
        }
        return missing;
    }

    /**
     * Accepts, on behalf of an operator, the loss of commits that no available log contains. The
     * acceptance is recorded first, so the next lease holder continues with it. Ignored if other
     * commits are missing by now.
     */
    public void acceptDataLoss(MissingCommits shown) {
        PrimaryMove move = moves.get(shown.service());
        if (!isActing() || move == null) {
            return;
        }
        MissingCommits missing = move.missingCommits();
        if (missing != null && missing.matches(shown)) {
            move.acceptDataLoss(
                    AcceptedDataLoss.accept(
                            shown.moveNumber(),
                            shown.longestLogEnd(),
                            shown.acknowledged(),
                            shown.unreachableServers(),
                            move.record().acceptedLoss()));
        }
    }
}
