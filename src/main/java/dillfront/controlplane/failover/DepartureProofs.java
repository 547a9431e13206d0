package dillfront.controlplane.failover;

import dillfront.controlplane.registry.DatabaseServer;
import java.util.List;

/**
 * Tells whether a replica that has left may have taken the only copy of an acknowledged commit
 * along. A log must not be promoted while a departure is unproven: the only data plane that knew of
 * a commit may be gone as well.
 *
 * <p>A departure is proven once the replica has ended and a replica that stays has all that the
 * primary had after that end. A proof holds for good, so it is part of the server's row, which the
 * control processes replicate and store; the next lease holder needs no proof of its own.
 */
final class DepartureProofs {

    private final FailoverContext context;

    DepartureProofs(FailoverContext context) {
        this.context = context;
    }

    /** Records that the departures of these servers are proven. */
    void prove(List<DatabaseServer> departed) {
        boolean changed = false;
        for (DatabaseServer server : departed) {
            changed |= context.state().registry().proveDeparture(server.id());
        }
        if (changed) {
            context.state().requestUpdates();
        }
    }

    /**
     * Handles the end of a move that replaced the primary. What servers that left before took along
     * is in the log of the new primary, or was given up by an operator.
     */
    void onPrimaryReplaced(String service) {
        prove(
                context.state().registry().knownServersOf(service).stream()
                        .filter(server -> server.hasLeft() && !isProven(server))
                        .toList());
    }

    /**
     * Returns whether the departure of this server cannot take a commit along. No proof is needed
     * of a primary, whose commits are acknowledged once a replica has them, and of a server that is
     * replaced without an announcement: it was lost, or returned with its log.
     */
    boolean isProven(DatabaseServer server) {
        return server.isDepartureProven() || server.isPrimary() || !server.isAnnounced();
    }
}
