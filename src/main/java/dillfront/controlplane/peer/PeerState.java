package dillfront.controlplane.peer;

import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.lease.PeerLease;
import dillfront.controlplane.primary.PrimaryObservation;
import dillfront.controlplane.registry.ReplicationProgress;
import java.util.HashMap;
import java.util.Map;

/**
 * The state of another control process, as of its last message. Times refer to this process's clock
 * unless stated otherwise; {@link LeaseManager#NEVER_MILLIS} means that nothing was received.
 */
public final class PeerState {

    private final String ip;
    private final PeerLink link;
    private final PeerLease lease = new PeerLease();
    private String zoneName = "";
    private String incarnation = "";
    private long clockMillis;
    private long lastAcknowledgedSendMillis = LeaseManager.NEVER_MILLIS;
    private long previousIncarnationContactMillis = LeaseManager.NEVER_MILLIS;
    private boolean firstStart;
    private boolean leaving;
    private ReplicationProgress registryProgress = new ReplicationProgress();
    private long recordNumber = -1;
    private final Map<String, Long> acknowledgedMoves = new HashMap<>();
    private final Map<String, PrimaryObservation> observations = new HashMap<>();
    private int dataPlaneCount;

    /** Heartbeats received before this time were forwarded to the peer. */
    private long heartbeatsForwardedMillis;

    /** The addresses that were sent to the peer on this connection, as text. */
    private String sentAddresses = "";

    PeerState(String ip, PeerLink link) {
        this.ip = ip;
        this.link = link;
    }

    // ---- queries

    public String ip() {
        return ip;
    }

    public PeerLink link() {
        return link;
    }

    /** Returns the peer's view of the lease. */
    public PeerLease lease() {
        return lease;
    }

    /** Returns the id in the last message from this address; empty before the first one. */
    public String id() {
        return lease.id();
    }

    public String zoneName() {
        return zoneName;
    }

    public String incarnation() {
        return incarnation;
    }

    /** Returns the peer's own clock when it sent its last message. */
    public long clockMillis() {
        return clockMillis;
    }

    /**
     * Returns when this process sent the newest message that the peer is known to have received.
     */
    public long lastAcknowledgedSendMillis() {
        return lastAcknowledgedSendMillis;
    }

    public long lastContactMillis() {
        return lease.lastContactMillis();
    }

    /**
     * Returns the last contact with the peer's previous incarnation. The current one does not know
     * which updates its predecessor sent to data planes.
     */
    public long previousIncarnationContactMillis() {
        return previousIncarnationContactMillis;
    }

    /** Returns the epoch of the membership that the peer has accepted. */
    public long epoch() {
        return lease.epoch();
    }

    /**
     * Returns whether the peer is at the first start of a new system and belongs to no membership.
     */
    public boolean isFirstStart() {
        return firstStart;
    }

    /** Returns whether the peer has announced its shutdown. */
    public boolean isLeaving() {
        return leaving;
    }

    public ReplicationProgress registryProgress() {
        return registryProgress;
    }

    /** Returns the number of the newest primary record on the peer's disk; -1 for none. */
    public long recordNumber() {
        return recordNumber;
    }

    /**
     * Returns the number of this service's move record if no data plane that polls the peer relies
     * on an older record; -1 otherwise.
     */
    public long acknowledgedMove(String service) {
        return acknowledgedMoves.getOrDefault(service, -1L);
    }

    /**
     * Returns how the data planes that poll the peer observe this service's primary; null if
     * nothing was reported.
     */
    public PrimaryObservation observation(String service) {
        return observations.get(service);
    }

    /** Returns the number of data planes that poll the peer. */
    public int dataPlaneCount() {
        return dataPlaneCount;
    }

    // ---- changes

    /** Resets the state for another process at this address, or another incarnation of the same. */
    public void onNewIncarnation(String newIncarnation, String newId) {
        incarnation = newIncarnation;
        previousIncarnationContactMillis = lastContactMillis();
        lease.reset(newId);
        registryProgress = new ReplicationProgress();
        lastAcknowledgedSendMillis = LeaseManager.NEVER_MILLIS;
        recordNumber = -1;
        acknowledgedMoves.clear();
    }

    /**
     * Applies the sender's zone and clock, and the acknowledgement in the header.
     *
     * @param acknowledgesThisIncarnation whether the message acknowledges one of this process's
     *     current incarnation
     */
    public void onHeader(PeerMessage.Header header, boolean acknowledgesThisIncarnation) {
        zoneName = header.zoneName();
        clockMillis = header.clockMillis();
        if (acknowledgesThisIncarnation) {
            lastAcknowledgedSendMillis =
                    Math.max(lastAcknowledgedSendMillis, header.echoClockMillis());
        }
    }

    /**
     * Applies the peer's membership epoch, and whether it is starting for the first time or
     * leaving.
     */
    public void onMembership(PeerMessage.Header header) {
        lease.epoch(header.epoch());
        firstStart = header.firstStart();
        leaving = header.leaving();
    }

    public void recordNumber(long number) {
        recordNumber = number;
    }

    /** Applies the report on the data planes that poll the peer. */
    public void onDataPlaneReport(PeerMessage.DataPlaneReport report) {
        acknowledgedMoves.clear();
        acknowledgedMoves.putAll(report.acknowledgedMoves());
        observations.clear();
        report.observations()
                .forEach(
                        observation ->
                                observations.put(observation.service(), observation.observation()));
        dataPlaneCount = report.count();
    }

    // ---- progress of sending

    /**
     * Resets the sending progress on a new connection, since messages on the previous one may be
     * lost.
     */
    void onConnected(long heartbeatsFromMillis) {
        heartbeatsForwardedMillis = heartbeatsFromMillis;
        sentAddresses = "";
    }

    public long heartbeatsForwardedMillis() {
        return heartbeatsForwardedMillis;
    }

    public void heartbeatsForwardedMillis(long millis) {
        heartbeatsForwardedMillis = millis;
    }

    /**
     * Records the addresses sent to the peer, and returns whether they differ from the previous
     * ones.
     */
    public boolean updateSentAddresses(String addresses) {
        boolean changed = !addresses.equals(sentAddresses);
        sentAddresses = addresses;
        return changed;
    }
}
