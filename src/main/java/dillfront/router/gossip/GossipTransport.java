package dillfront.router.gossip;

import java.time.Duration;
import java.util.List;

/**
 * Outgoing side of the gossip protocol. Each call sends at most one datagram, which may be lost.
 */
public interface GossipTransport {

    void ping(int to, int probeNumber, List<GossipUpdate> updates);

    void ack(int to, int probeNumber, List<GossipUpdate> updates);

    /** Asks an instance to ping a third one and to return its ack. */
    void requestProbe(int to, int target, int probeNumber, List<GossipUpdate> updates);

    /**
     * Sends updates alone; with {@code requestTable} set the receiver is asked for its table in
     * return.
     */
    void push(int to, boolean requestTable, List<GossipUpdate> updates);

    /** Signs an update of this instance. */
    GossipUpdate sign(GossipUpdate update);

    /**
     * Returns the size on the wire, including IP and UDP headers, of a datagram with these updates.
     */
    int wireSize(List<GossipUpdate> updates);

    /**
     * Passes on a claim of a peer that is new to this instance.
     *
     * @param age time since the claim was made
     */
    void claimReceived(GossipUpdate claim, Duration age);
}
