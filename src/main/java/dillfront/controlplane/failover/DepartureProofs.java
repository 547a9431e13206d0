package dillfront.controlplane.failover;

import dillfront.controlplane.registry.DatabaseServer;
import java.util.TreeSet;

/**
 * Remembers which replicas have left, or are leaving, without an acknowledged commit that no other
 * replica has. A log must not be promoted while a departure is unproven: the only data plane that
 * knew of a commit may be gone as well.
 */
final class DepartureProofs {

    /**
     * The age of a drain at the start of a lease from which on the departure counts as proven: the
     * former lease holder has had the time to prove it.
     */
    private static final long MAX_AGE_AT_LEASE_START_MS = 20_000;

    private final FailoverContext context;
    private final TreeSet<String> proven = new TreeSet<>();

    DepartureProofs(FailoverContext context) {
        this.context = context;
    }

    /** Forgets all proofs, because a lease starts. */
    void clear() {
        proven.clear();
    }

    void add(String serverId) {
        proven.add(serverId);
    }

    /** Revokes the proof of a server that receives again before it has left. */
    void remove(String serverId) {
        proven.remove(serverId);
    }

    /**
     * Handles the end of a move. Replicas are resumed, so one that has not left yet may receive
     * again, and its proof is revoked. If the primary changed, what servers that left before took
     * along is in the log of the new one, or was given up by an operator.
     */
    void onMoveCompleted(String service, boolean primaryChanged) {
        for (DatabaseServer server : context.state().registry().knownServersOf(service)) {
            if (!server.hasLeft()) {
                proven.remove(server.id());
            } else if (primaryChanged) {
                proven.add(server.id());
            }
        }
    }

    /**
     * Returns whether the departure of this server cannot take a commit along. No proof is needed
     * of a primary, whose commits are acknowledged once a replica has them, and of a server that is
     * replaced without an announcement: it was lost, or returned with its log.
     */
    boolean isProven(DatabaseServer server) {
        return server.isPrimary() || proven.contains(server.id()) || !isRecentAnnouncement(server);
    }

    private boolean isRecentAnnouncement(DatabaseServer server) {
        long drainAgeMillis = server.drainAgeMillis(context.now());
        return drainAgeMillis >= 0
                && context.now() - drainAgeMillis
                        > context.leaseStartMillis() - MAX_AGE_AT_LEASE_START_MS;
    }
}
