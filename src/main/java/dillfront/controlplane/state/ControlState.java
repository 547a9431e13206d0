package dillfront.controlplane.state;

import dillfront.common.config.NodeSettings;
import dillfront.common.environment.CoalescingTrigger;
import dillfront.common.environment.Environment;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.peer.ClusterView;
import dillfront.controlplane.primary.AcknowledgedCommitsTable;
import dillfront.controlplane.primary.PrimaryRecords;
import dillfront.controlplane.primary.SuspectedPrimaries;
import dillfront.controlplane.registry.ServerRegistry;

/**
 * The state of one control process, shared by the components that act on it. The components of the
 * state do not depend on each other.
 *
 * @param peerUpdates requested when there is new state for the peers
 * @param dataPlaneUpdates requested when there is new state for the data planes
 */
public record ControlState(
        Environment environment,
        NodeSettings settings,
        ReplicatedRegister register,
        LeaseManager lease,
        ServerRegistry registry,
        PrimaryRecords records,
        AcknowledgedCommitsTable acknowledgedCommits,
        SuspectedPrimaries suspects,
        ClusterView cluster,
        CoalescingTrigger peerUpdates,
        CoalescingTrigger dataPlaneUpdates) {

    /** Returns the process's monotonic clock, in milliseconds. */
    public long nowMillis() {
        return environment.nowMillis();
    }

    /** Requests updates of both peers and data planes. */
    public void requestUpdates() {
        dataPlaneUpdates.request();
        peerUpdates.request();
    }
}
