package dillfront.controlplane.failover;

import dillfront.common.protocol.ServerStatus;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Queries the servers of one move, one query at a time per server and with a pause between queries.
 */
final class MoveQueries {

    private final FailoverContext context;
    private final BooleanSupplier isActive;
    private final Runnable poll;
    private final TreeSet<String> pendingServers = new TreeSet<>();
    private final Map<String, Long> nextQueryMillis = new TreeMap<>();

    /** The number of consecutive queries that a server did not answer. */
    private final Map<String, Integer> unanswered = new TreeMap<>();

    /**
     * Creates an instance for one move.
     *
     * @param isActive whether the move is in progress
     * @param poll runs after each answer
     */
    MoveQueries(FailoverContext context, BooleanSupplier isActive, Runnable poll) {
        this.context = context;
        this.isActive = isActive;
        this.poll = poll;
    }

    /**
     * Requests a server's status, unless a query is pending or its last answer is too recent.
     *
     * @param gapMillis minimum pause between this answer and the next query
     * @param command as for {@link ServerQuery#send}
     */
    void query(
            DatabaseServer server,
            long gapMillis,
            Function<ServerStatus, String> command,
            Consumer<ServerStatus> onStatus) {
        String id = server.id();
        if (pendingServers.contains(id) || context.now() < nextQueryMillis.getOrDefault(id, 0L)) {
            return;
        }
        pendingServers.add(id);
        context.query(server, FailoverContext.QUERY_TIMEOUT_MS, command)
                .whenComplete(
                        (status, error) -> {
                            pendingServers.remove(id);
                            nextQueryMillis.put(id, context.now() + gapMillis);
                            unanswered.put(
                                    id,
                                    ServerQueryException.showsServerAlive(error)
                                            ? 0
                                            : unanswered(id) + 1);
                            if (error == null && isActive()) {
                                onStatus.accept(status);
                                poll.run();
                            }
                        });
    }

    /** Returns whether the move is in progress. */
    boolean isActive() {
        return isActive.getAsBoolean();
    }

    /** Cancels the pause after the server's last answer. */
    void cancelPause(DatabaseServer server) {
        nextQueryMillis.remove(server.id());
    }

    int unanswered(String id) {
        return unanswered.getOrDefault(id, 0);
    }
}
