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
 * The one singleton role of the control plane: which server is the primary of each service. Only
 * the holder of the lease acts.
 *
 * <p>A service whose primary is lost or drains is first recorded as moving, and nothing is done
 * before a majority has that record: the next holder of the lease finds it and goes on. A replica
 * is promoted only when no acknowledged commit can be missing from its log, and no data plane can
 * still take another server for the primary.
 *
 * <p>Called on one thread.
 */
public final class FailoverCoordinator implements PrimaryMonitor.MoveStarter, PrimaryMove.Owner {

    /** What is looked after of a service while no move of it is under way. */
    private final class ServiceMonitors {
        final InitialPrimaryRecorder initialPrimary;
        final PrimaryMonitor monitor = new PrimaryMonitor(context, FailoverCoordinator.this);
        final ReplicaResumer resumer = new ReplicaResumer(context);

        ServiceMonitors(String service) {
            initialPrimary = new InitialPrimaryRecorder(context, service);
        }
    }

    private final ControlState state;
    private final FailoverContext context;
    private final Map<String, ServiceMonitors> serviceMonitors = new TreeMap<>();
    private final Map<String, PrimaryMove> moves = new TreeMap<>();

    /**
     * @param dataPlanes what the data planes that poll this process see
     * @param tokens of this process's leases
     */
    public FailoverCoordinator(
            ControlState state, DataPlaneObservations dataPlanes, FencingTokens tokens) {
        this.state = state;
        context = new FailoverContext(state, dataPlanes, tokens);
    }

    /** Whether this process holds the lease and knows all that earlier holders recorded. */
    public boolean isActing() {
        return context.isActing();
    }

    /** This process was paused until now: it has no ground to call others silent. */
    public void onProcessPaused() {
        context.onProcessPaused();
    }

    /** Advances all that is under way; called often. */
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

    /** Whether the primary of this service is suspected. */
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
        return monitors.monitor.poll(record);
    }

    private ServiceMonitors monitorsOf(String service) {
        return serviceMonitors.computeIfAbsent(service, ServiceMonitors::new);
    }

    private void startLease(long number) {
        context.startLease(number);
        moves.clear();
        serviceMonitors.clear();
    }

    /**
     * Once a majority has answered since the lease began, all that earlier holders recorded is
     * known; it is recorded anew, and their moves go on.
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
        PrimaryRecord moving = record.startMove(context.nextFencingToken());
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
        context.storeRecord(record);
        state.peerUpdates().request();
        if (record.replicationPaused()) {
            monitorsOf(record.service()).resumer.poll(record);
        }
    }

    /** What moves wait for where no log that is left has all that was acknowledged. */
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
     * An operator gives up commits that no log that is left holds. Recorded first, like all that
     * the next holder must go on with; passed over where something else is missing by now.
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
