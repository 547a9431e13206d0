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
 * All that one control process says to another, at least every 400 ms and at once where something
 * changed. It is the heartbeat between control processes as well.
 *
 * @param register null where the sender does not know the addressee's id yet
 * @param addresses of the processes that the sender is in contact with; null where the addressee
 *     was told so before
 * @param heartbeats of database servers that came to the sender since its last message
 * @param holder null where the sender does not act as lease holder
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
     * Who speaks, and which message it answers.
     *
     * @param incarnation one that this process has from its start to its end
     * @param clockMillis the sender's clock
     * @param echoClockMillis the addressee's clock in the last message of it that the sender
     *     received
     * @param echoIncarnation and its incarnation
     * @param id of the process: its address, and what tells it from others with other disks
     * @param epoch of the members that it goes by
     * @param firstStart it is at the first start of a new system and belongs to no members
     * @param leaving it ends
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

    /** A heartbeat that came to the sender so long ago. */
    public record ForwardedHeartbeat(String serverId, long ageMillis, long callSequence) {}

    /**
     * What the data planes that poll the sender have and see.
     *
     * @param acknowledgedMoves by service, the record of a move that all of them have
     * @param count how many they are
     */
    public record DataPlaneReport(
            Map<String, Long> acknowledgedMoves,
            List<ServiceObservation> observations,
            int count) {}

    /** What those data planes see of one service. */
    public record ServiceObservation(
            String service, PrimaryObservation observation, AcknowledgedCommits acknowledged) {}

    /**
     * What the lease holder says of its role.
     *
     * @param leaseRemainingMillis for how long from the sending its lease runs
     * @param suspects services whose primary it suspects
     */
    public record LeaseHolderStatus(long leaseRemainingMillis, List<String> suspects) {}

    /**
     * Acknowledged commits that are missing.
     *
     * @param missing what the lease holder's failovers wait for
     * @param accepted what operators gave up at the sender, until the records say so
     */
    public record DataLossReport(List<MissingCommits> missing, List<MissingCommits> accepted) {}
}
