package dillfront.router.peers;

import dillfront.router.discovery.PeerClosureReports;
import dillfront.router.recovery.InDoubtKeys;
import dillfront.router.recovery.KeyDigest;
import dillfront.router.recovery.PeerInDoubtKeys;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Connects the local restrictions, in-doubt keys and closed nodes, with the datagrams that exchange
 * them with peers.
 */
public final class PeerRestrictionSync implements UdpGossipTransport.RestrictionStore {

    /** The member lists, as far as they are exchanged with peers. */
    public interface ClosedNodeLists {
        long closedVersion();

        /** Returns generation and start time by node id, the latest last. */
        Map<String, long[]> closed();

        /** Called when a peer has reported the nodes closed by its lists. */
        void peerReportsChanged(PeerClosureReports witnesses);
    }

    /** Null if in-doubt keys are not tracked. */
    private final InDoubtKeys inDoubtKeys;

    private final PeerInDoubtKeys peerInDoubtKeys;
    private final PeerClosureReports witnesses;
    private final ClosedNodeLists lists;
    private final Supplier<Duration> clock;

    /**
     * @param inDoubtKeys null if in-doubt keys are not tracked
     * @param peerInDoubtKeys null if in-doubt keys are not tracked
     */
    public PeerRestrictionSync(
            InDoubtKeys inDoubtKeys,
            PeerInDoubtKeys peerInDoubtKeys,
            PeerClosureReports witnesses,
            ClosedNodeLists lists,
            Supplier<Duration> clock) {
        this.inDoubtKeys = inDoubtKeys;
        this.peerInDoubtKeys = peerInDoubtKeys;
        this.witnesses = witnesses;
        this.lists = lists;
        this.clock = clock;
    }

    @Override
    public long version() {
        return inDoubtKeys == null ? 0 : inDoubtKeys.version();
    }

    @Override
    public long[] ownInDoubtKeys(int maxParts) {
        return inDoubtKeys == null
                ? new long[0]
                : KeyDigest.of(inDoubtKeys.inDoubt(), maxParts).words();
    }

    @Override
    public long[] previousRunKeys(int peer) {
        return peerInDoubtKeys == null ? null : peerInDoubtKeys.previousRunKeys(peer);
    }

    @Override
    public int lastRun(int peer) {
        return peerInDoubtKeys == null ? 0 : peerInDoubtKeys.lastRun(peer);
    }

    @Override
    public void receiveInDoubtKeys(int peer, int runId, long[] keys) {
        if (peerInDoubtKeys != null) {
            peerInDoubtKeys.receive(peer, runId, keys, clock.get());
        }
    }

    @Override
    public void receiveEcho(int peer, long[] keys) {
        if (peerInDoubtKeys != null) {
            peerInDoubtKeys.receiveEcho(peer, keys, clock.get());
        }
    }

    @Override
    public long closedVersion() {
        return lists.closedVersion();
    }

    @Override
    public long[] closedNodes(int maxParts) {
        List<Map.Entry<String, long[]>> closedNodes = new ArrayList<>(lists.closed().entrySet());
        List<Map.Entry<String, long[]>> included =
                closedNodes.subList(
                        Math.max(
                                0,
                                closedNodes.size() - maxParts / GossipCodec.PARTS_PER_CLOSED_NODE),
                        closedNodes.size());
        long[] parts = new long[included.size() * GossipCodec.PARTS_PER_CLOSED_NODE];
        int index = 0;
        for (Map.Entry<String, long[]> node : included) {
            parts[index++] = PeerRegistry.hash(node.getKey());
            parts[index++] = node.getValue()[0];
            parts[index++] = node.getValue()[1];
        }
        return parts;
    }

    @Override
    public void receiveClosedNodes(int peer, long[] closedNodes) {
        List<PeerClosureReports.Closure> reports = new ArrayList<>();
        for (int i = 0; i + 2 < closedNodes.length; i += GossipCodec.PARTS_PER_CLOSED_NODE) {
            reports.add(
                    new PeerClosureReports.Closure(
                            closedNodes[i], closedNodes[i + 1], closedNodes[i + 2]));
        }
        witnesses.update(peer, reports);
        lists.peerReportsChanged(witnesses);
    }
}
