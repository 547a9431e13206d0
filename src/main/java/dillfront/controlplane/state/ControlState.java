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
 * The state of one control process, for the parts that act on it. The parts of the state do not
 * know each other.
 *
 * @param peerUpdates to be requested where there is something new to say to the peers
 * @param dataPlaneUpdates to be requested where there is something new for data planes
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

    /** Milliseconds of the process's steady clock. */
    public long nowMillis() {
        return environment.nowMillis();
    }

    /** There is something new for peers and data planes. */
    public void requestUpdates() {
        dataPlaneUpdates.request();
        peerUpdates.request();
    }
}
