package dillfront.controlplane.peer;

import dillfront.common.database.AcknowledgedCommits;
import dillfront.controlplane.consensus.RegisterMessage;
import dillfront.controlplane.lease.LeaseMessage;
import dillfront.controlplane.primary.MissingCommits;
import dillfront.controlplane.primary.PrimaryObservation;
import dillfront.controlplane.primary.RecordsMessage;
import dillfront.controlplane.registry.RegistryMessage;
import java.util.List;
import java.util.Map;

/**
 * The state that one control process sends to another, at least every 400 ms and at once after a
 * change. It also serves as the heartbeat between control processes.
 *
 * @param register null while the sender does not know the receiver's id
 * @param addresses the processes that the sender is in contact with; null if unchanged since the
 *     previous message
 * @param heartbeats the database servers' heartbeats that the sender received since its previous
 *     message
 * @param holder null if the sender does not act as lease holder
 */
public record PeerMessage(
        Header header,
        RegisterMessage register,
        LeaseMessage lease,
        List<String> addresses,
        RegistryMessage registry,
        List<ForwardedHeartbeat> heartbeats,
        RecordsMessage records,
        DataPlaneReport dataPlanes,
        LeaseHolderStatus holder,
        DataLossReport dataLoss) {

    /**
     * Identifies the sender, and the message that this one acknowledges.
     *
     * @param incarnation a value that is new with each start of the sender
     * @param clockMillis the sender's clock
     * @param echoClockMillis the receiver's clock in the last message that the sender received from
     *     it
     * @param echoIncarnation the receiver's incarnation in that message
     * @param id the id of the process: its address, and a suffix that is new with each disk
     * @param epoch the epoch of the membership that the sender has accepted
     * @param firstStart whether the sender is at the first start of a new system and belongs to no
     *     membership
     * @param leaving whether the sender is shutting down
     */
    public record Header(
            String ip,
            String zoneName,
            String incarnation,
            long clockMillis,
            long echoClockMillis,
            String echoIncarnation,
            String id,
            long epoch,
            boolean firstStart,
            boolean leaving) {}

    /** A database server's heartbeat that the sender received this long ago. */
    public record ForwardedHeartbeat(String serverId, long ageMillis, long callSequence) {}

    /**
     * The state and observations of the data planes that poll the sender.
     *
     * @param acknowledgedMoves by service, the number of the move record since which none of these
     *     data planes relies on an older record
     * @param count the number of these data planes
     */
    public record DataPlaneReport(
            Map<String, Long> acknowledgedMoves,
            List<ServiceObservation> observations,
            int count) {}

    /** The observations of these data planes for one service. */
    public record ServiceObservation(
            String service, PrimaryObservation observation, AcknowledgedCommits acknowledged) {}

    /**
     * The status of the lease holder.
     *
     * @param leaseRemainingMillis the remaining lease time when the message was sent
     * @param suspects the services whose primary the lease holder suspects
     */
    public record LeaseHolderStatus(long leaseRemainingMillis, List<String> suspects) {}

    /**
     * Reports acknowledged commits that are missing.
     *
     * @param missing the commits that the lease holder's failovers wait for
     * @param accepted the losses that operators accepted at the sender, until the primary records
     *     contain them
     */
    public record DataLossReport(List<MissingCommits> missing, List<MissingCommits> accepted) {}
}
