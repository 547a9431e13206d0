package dillfront.controlplane.peer;

import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.lease.PeerLease;
import dillfront.controlplane.primary.PrimaryObservation;
import dillfront.controlplane.registry.ReplicationProgress;
import java.util.HashMap;
import java.util.Map;

/**
 * Another control process, by its last message. Times are of this process's clock, unless said
 * otherwise; {@link LeaseManager#NEVER_MILLIS} where nothing was heard.
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

    /** Heartbeats that came here before were forwarded to it. */
    private long heartbeatsForwardedMillis;

    /** The addresses that it was told on this connection, as text. */
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

    /** The lease, as the peer sees it. */
    public PeerLease lease() {
        return lease;
    }

    /** The id of the process that was heard there last; empty before. */
    public String id() {
        return lease.id();
    }

    public String zoneName() {
        return zoneName;
    }

    public String incarnation() {
        return incarnation;
    }

    /** The peer's own clock when it sent its last message. */
    public long clockMillis() {
        return clockMillis;
    }

    /** When this process sent the last message that the peer is known to have received. */
    public long lastAcknowledgedSendMillis() {
        return lastAcknowledgedSendMillis;
    }

    public long lastContactMillis() {
        return lease.lastContactMillis();
    }

    /**
     * The last contact with its incarnation before this one: what that told data planes, this one
     * does not know.
     */
    public long previousIncarnationContactMillis() {
        return previousIncarnationContactMillis;
    }

    /** The epoch of the members that it goes by. */
    public long epoch() {
        return lease.epoch();
    }

    /** It is at the first start of a new system and belongs to no members yet. */
    public boolean isFirstStart() {
        return firstStart;
    }

    /** It said that it ends. */
    public boolean isLeaving() {
        return leaving;
    }

    public ReplicationProgress registryProgress() {
        return registryProgress;
    }

    /** The newest primary record that it has on its disk; -1 for none. */
    public long recordNumber() {
        return recordNumber;
    }

    /** The record of this service that all data planes which poll it have; -1 for none. */
    public long acknowledgedMove(String service) {
        return acknowledgedMoves.getOrDefault(service, -1L);
    }

    /** What data planes that poll it see of this service's primary; null for nothing. */
    public PrimaryObservation observation(String service) {
        return observations.get(service);
    }

    /** How many data planes poll it. */
    public int dataPlaneCount() {
        return dataPlaneCount;
    }

    // ---- changes

    /** Another process is there, or another incarnation of the same. */
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
     * Takes over whose message came, and what it answers.
     *
     * @param acknowledgesThisIncarnation it answers a message of this incarnation of this process
     */
    public void onHeader(PeerMessage.Header header, boolean acknowledgesThisIncarnation) {
        zoneName = header.zoneName();
        clockMillis = header.clockMillis();
        if (acknowledgesThisIncarnation) {
            lastAcknowledgedSendMillis =
                    Math.max(lastAcknowledgedSendMillis, header.echoClockMillis());
        }
    }

    /** Takes over by which members the peer goes, and whether it begins or ends. */
    public void onMembership(PeerMessage.Header header) {
        lease.epoch(header.epoch());
        firstStart = header.firstStart();
        leaving = header.leaving();
    }

    public void recordNumber(long number) {
        recordNumber = number;
    }

    /** Takes over what its data planes have and see. */
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

    // ---- what was sent

    /** A new connection: what was sent on the one before may be lost. */
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

    /** Remembers what addresses it is told; whether they are others than before. */
    public boolean updateSentAddresses(String addresses) {
        boolean changed = !addresses.equals(sentAddresses);
        sentAddresses = addresses;
        return changed;
    }
}
