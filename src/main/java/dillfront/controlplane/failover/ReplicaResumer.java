package dillfront.controlplane.failover;

import dillfront.common.protocol.PrimaryRecord;
import dillfront.common.protocol.ServerStatus;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Resumes the replicas of one service after a primary is established. Each replica is resumed
 * immediately, and again until it confirms that it receives at a time when no PAUSE command can
 * still be in flight. Until the completion is recorded, the next lease holder continues the
 * procedure.
 */
final class ReplicaResumer {

    private static final long RETRY_MS = 500;

    /** Time after the end of a move by which every command in flight has arrived or is lost. */
    private static final long MAX_COMMAND_DELAY_MS = 3_500;

    private static final long NONE = -1;

    private final FailoverContext context;

    /** The number of the primary record that the replicas are resumed for. */
    private long recordNumber = NONE;

    private long startedMillis;

    /** The ids of replicas without a confirmation. */
    private final TreeSet<String> unconfirmedReplicas = new TreeSet<>();

    private final TreeSet<String> pendingReplicas = new TreeSet<>();
    private final Map<String, Long> nextQueryMillis = new TreeMap<>();

    ReplicaResumer(FailoverContext context) {
        this.context = context;
    }

    /** Returns the command for a replica with this status; null for none. */
    static String resumeCommand(ServerStatus status) {
        return status.isPaused() ? "RESUME" : null;
    }

    /**
     * Advances the procedure. Called periodically while the record states that replicas may be
     * paused.
     */
    void poll(PrimaryRecord record) {
        if (recordNumber != record.number()) {
            start(record);
        }
        unconfirmedReplicas.removeIf(id -> !FailoverContext.isPresent(context.server(id)));
        if (unconfirmedReplicas.isEmpty()) {
            context.storeRecord(
                    record.finishMove(
                            context.nextFencingToken(),
                            record.primary(),
                            false,
                            record.acceptedLoss()));
            return;
        }
        for (String id : unconfirmedReplicas) {
            DatabaseServer replica = context.server(id);
            if (!pendingReplicas.contains(id)
                    && context.now() >= nextQueryMillis.getOrDefault(id, 0L)
                    && !context.hasMissedHeartbeats(replica)) {
                resume(record, replica);
            }
        }
    }

    private void start(PrimaryRecord record) {
        recordNumber = record.number();
        startedMillis = context.now();
        nextQueryMillis.clear();
        unconfirmedReplicas.clear();
        for (DatabaseServer server : context.state().registry().serversOf(record.service())) {
            unconfirmedReplicas.add(server.id());
        }
        unconfirmedReplicas.remove(record.primary());
    }

    private void resume(PrimaryRecord record, DatabaseServer replica) {
        String id = replica.id();
        pendingReplicas.add(id);
        long sentMillis = context.now();
        long confirmableFromMillis = startedMillis + MAX_COMMAND_DELAY_MS;
        context.query(replica, 2 * FailoverContext.QUERY_TIMEOUT_MS, ReplicaResumer::resumeCommand)
                .whenComplete(
                        (status, error) -> {
                            pendingReplicas.remove(id);
                            boolean receives = error == null && !status.isPaused();
                            nextQueryMillis.put(
                                    id,
                                    receives
                                            ? Math.max(confirmableFromMillis, context.now())
                                            : context.now() + RETRY_MS);
                            if (receives
                                    && sentMillis >= confirmableFromMillis
                                    && recordNumber == record.number()) {
                                unconfirmedReplicas.remove(id);
                            }
                        });
    }
}
