package dillfront.router.gossip;

import java.time.Duration;
import java.util.List;

/** Where the decisions of gossip leave: each call is one datagram at the most, and may be lost. */
public interface GossipTransport {

    void ping(int to, int probeNumber, List<GossipUpdate> updates);

    void ack(int to, int probeNumber, List<GossipUpdate> updates);

    /** Asks an instance to ping a third one, and to pass its ack on. */
    void requestProbe(int to, int target, int probeNumber, List<GossipUpdate> updates);

    /** Words alone; an answer with as many is wished where swap is set. */
    void push(int to, boolean requestTable, List<GossipUpdate> updates);

    /** Signs an own word. */
    GossipUpdate sign(GossipUpdate update);

    /** Bytes on the wire, IP and UDP headers included, of a datagram with these words. */
    int wireSize(List<GossipUpdate> updates);

    /**
     * A claim that is new here, of another instance.
     *
     * @param age for how long it has been on its way
     */
    void claimReceived(GossipUpdate claim, Duration age);
}
