package dillfront.controlplane.failover;

import dillfront.common.protocol.PrimaryRecord;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.peer.PeerState;
import java.util.ArrayList;
import java.util.List;

/**
 * Determines when no data plane can still trust the old primary of a move: each has confirmed the
 * record of the move, or its trust has expired. A data plane acknowledges a commit only while it
 * trusts the primary.
 *
 * <p>The end of the trust is final. A control process that starts or is first heard later learns of
 * the record before it can pass any trust on.
 */
final class OldPrimaryTrust {

    /** Margin added to the trust period of the old primary record. */
    private static final long MARGIN_MS = 100;

    private static final long LOG_DELAY_MS = 1_000;

    private final FailoverContext context;

    /** The record that ends the trust. */
    private PrimaryRecord record;

    private long recordedMillis;
    private boolean ended;
    private long loggedMillis = LeaseManager.NEVER_MILLIS;

    OldPrimaryTrust(FailoverContext context, PrimaryRecord record) {
        this.context = context;
        start(record);
    }

    /** Starts to wait for the end of the trust, which this record is the first to demand. */
    void start(PrimaryRecord newRecord) {
        record = newRecord;
        recordedMillis = context.now();
        ended = false;
    }

    /**
     * Returns whether no data plane trusts the old primary any more.
     *
     * @param newest the newest record of the move
     */
    boolean hasEnded(PrimaryRecord newest) {
        record = newest;
        if (!ended) {
            List<String> awaited = awaited();
            ended = awaited.isEmpty();
            logAwaited(awaited);
        }
        return ended;
    }

    /** Returns what may still trust the old primary: data planes, by what they derive it from. */
    private List<String> awaited() {
        List<String> awaited = new ArrayList<>();
        long latestExpiredMillis = context.now() - PrimaryCertainty.MAX_DURATION_MS - MARGIN_MS;
        if (context.now() < formerTrustEndMillis()) {
            awaited.add("former-lease");
        }
        if (recordedMillis > latestExpiredMillis
                && !context.dataPlanes().allHaveRecord(record.number())) {
            awaited.add("own-data-planes");
        }
        for (PeerState peer : context.state().cluster().peers()) {
            if (mayTrustAtPeer(peer, latestExpiredMillis)) {
                awaited.add(peer.ip());
            }
        }
        return awaited;
    }

    /**
     * Returns the end of the trust that is based on an earlier lease holder's messages: at most
     * this long after that holder's lease.
     */
    private long formerTrustEndMillis() {
        return Math.max(context.leaseStartMillis(), context.formerLeaseEndMillis())
                + PrimaryCertainty.MAX_AFTER_LEASE_MS
                + MARGIN_MS;
    }

    /**
     * Returns whether a data plane of a peer may still trust the old primary. The trust that a peer
     * passes on derives from its last message to this process and expires with it. The same applies
     * to messages of the peer's former incarnation, for whose data planes the peer cannot vouch.
     */
    private boolean mayTrustAtPeer(PeerState peer, long latestExpiredMillis) {
        boolean confirmed = peer.acknowledgedMove(record.service()) >= record.number();
        boolean mayTrust =
                !confirmed
                        && Math.min(peer.lastContactMillis(), recordedMillis) > latestExpiredMillis;
        return mayTrust
                || Math.min(peer.previousIncarnationContactMillis(), recordedMillis)
                        > latestExpiredMillis;
    }

    private void logAwaited(List<String> awaited) {
        if (!awaited.isEmpty()
                && context.now() > recordedMillis + LOG_DELAY_MS
                && context.now() > loggedMillis + LOG_DELAY_MS) {
            loggedMillis = context.now();
            context.environment()
                    .trace("trust-awaited service=" + record.service() + " awaits=" + awaited);
        }
    }
}
