package dillfront.controlplane.failover;

import dillfront.controlplane.registry.DatabaseServer;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

/** Queries of one move to its servers: one at a time each, with a pause between them. */
final class MoveQueries {

    private final FailoverContext context;
    private final BooleanSupplier isActive;
    private final Runnable poll;
    private final TreeSet<String> pendingServers = new TreeSet<>();
    private final Map<String, Long> nextQueryMillis = new TreeMap<>();

    /** How often in a row a server gave no answer at all. */
    private final Map<String, Integer> unanswered = new TreeMap<>();

    /**
     * @param isActive whether the move is still under way
     * @param poll runs after each answer
     */
    MoveQueries(FailoverContext context, BooleanSupplier isActive, Runnable poll) {
        this.context = context;
        this.isActive = isActive;
        this.poll = poll;
    }

    /**
     * Asks a server for its status, unless it is asked already or was just now.
     *
     * @param gapMillis after the answer it is not asked again for so long
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

    /** Whether the move is still under way. */
    boolean isActive() {
        return isActive.getAsBoolean();
    }

    /** The pause after its last answer does not hold any more. */
    void cancelPause(DatabaseServer server) {
        nextQueryMillis.remove(server.id());
    }

    int unanswered(String id) {
        return unanswered.getOrDefault(id, 0);
    }
}
