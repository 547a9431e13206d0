package dillfront.controlplane.failover;

import dillfront.common.protocol.PrimaryRecord;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Has the replicas of one service receive again, once a primary leads it. Each is told at once, and
 * again until it has said that it receives at a moment when no PAUSE can be on its way any more.
 * Until that is recorded, the next lease holder goes on with it.
 */
final class ReplicaResumer {

    private static final long RETRY_MS = 500;

    /** A command that was on its way when a move ended has arrived, or never does, by then. */
    private static final long MAX_COMMAND_DELAY_MS = 3_500;

    private static final long NONE = -1;

    private final FailoverContext context;

    /** The number of the record under which replicas are resumed. */
    private long recordNumber = NONE;

    private long startedMillis;

    /** Ids of replicas that have not confirmed yet. */
    private final TreeSet<String> unconfirmedReplicas = new TreeSet<>();

    private final TreeSet<String> pendingReplicas = new TreeSet<>();
    private final Map<String, Long> nextQueryMillis = new TreeMap<>();

    ReplicaResumer(FailoverContext context) {
        this.context = context;
    }

    /** The command for a replica with this status; null for none. */
    static String resumeCommand(ServerStatus status) {
        return status.isPaused() ? "RESUME" : null;
    }

    /** Goes on with it; called often while the record says that replicas may be paused. */
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
