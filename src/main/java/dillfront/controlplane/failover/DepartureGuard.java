package dillfront.controlplane.failover;

import dillfront.common.database.LogPosition;
import dillfront.common.protocol.PrimaryRecord;
import dillfront.common.protocol.ServerStatus;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * Keeps the replicas of one service that leave from taking acknowledged commits along, while no
 * move is in progress.
 *
 * <p>A commit is acknowledged once one replica has received it, and a replica that drains counts
 * until it ends. The guard therefore pauses a draining replica in the later part of its drain time,
 * provided that a replica that stays receives, and then waits until such a replica has all that the
 * paused one has. From then on its departure is proven: it takes nothing along. A replica that left
 * without such a proof is proven once a replica that stays has all that the primary had after the
 * departure.
 */
final class DepartureGuard {

    private static final long CHECK_INTERVAL_MS = 500;

    /** Interval of the checks while a paused replica is ahead of those that stay. */
    private static final long CATCH_UP_CHECK_INTERVAL_MS = 60;

    /**
     * Time for a replica that stays to catch up with the paused one. After that the paused replica
     * is resumed, as commits may wait for it.
     */
    private static final long CATCH_UP_TIMEOUT_MS = 1_000;

    private final FailoverContext context;
    private final String service;

    /** When replicas were found paused that no other replica covers yet. */
    private final Map<String, Long> pausedSinceMillis = new HashMap<>();

    private boolean checkPending;
    private long nextCheckMillis = LeaseManager.NEVER_MILLIS;

    DepartureGuard(FailoverContext context, String service) {
        this.context = context;
        this.service = service;
    }

    /** Checks the replicas that leave. Called periodically while no move is in progress. */
    void poll(PrimaryRecord record) {
        DatabaseServer primary = context.server(record.primary());
        // While replicas are resumed after a move, a PAUSE would only be undone.
        if (checkPending
                || context.now() < nextCheckMillis
                || record.replicationPaused()
                || !FailoverContext.isPresent(primary)
                || !context.mayAct()) {
            return;
        }
        nextCheckMillis = context.now() + CHECK_INTERVAL_MS;
        List<DatabaseServer> draining = new ArrayList<>();
        List<DatabaseServer> departed = new ArrayList<>();
        for (DatabaseServer server : context.state().registry().knownServersOf(service)) {
            if (server.id().equals(record.primary())) {
                continue;
            }
            if (context.hasEnded(server) && !context.departures().isProven(server)) {
                departed.add(server);
            } else if (server.isDraining() && mayBePaused(server)) {
                draining.add(server);
            }
        }
        if (draining.isEmpty() && departed.isEmpty()) {
            return;
        }
        checkPending = true;
        check(record, primary, draining, departed).whenComplete((done, error) -> onChecked());
    }

    private void onChecked() {
        checkPending = false;
        if (!pausedSinceMillis.isEmpty()) {
            nextCheckMillis = context.now() + CATCH_UP_CHECK_INTERVAL_MS;
        }
    }

    private boolean mayBePaused(DatabaseServer server) {
        return server.drainAgeMillis(context.now()) >= context.state().settings().drainMillis();
    }

    private CompletableFuture<Void> check(
            PrimaryRecord record,
            DatabaseServer primary,
            List<DatabaseServer> draining,
            List<DatabaseServer> departed) {
        // The primary is queried first: those that stay then have time to receive what it had.
        CompletableFuture<LogPosition> primaryLogEnd =
                departed.isEmpty()
                        ? CompletableFuture.completedFuture(null)
                        : logEnd(primary, ServerStatus::isPrimary);
        return primaryLogEnd.thenCompose(
                primaryEnd -> compare(record, primaryEnd, draining, departed));
    }

    private CompletableFuture<Void> compare(
            PrimaryRecord record,
            LogPosition primaryEnd,
            List<DatabaseServer> draining,
            List<DatabaseServer> departed) {
        return longestStayingLog(record)
                .thenCompose(
                        longest -> {
                            if (primaryEnd != null && covers(longest, primaryEnd)) {
                                departed.forEach(server -> context.departures().add(server.id()));
                            }
                            return pauseAll(record, draining, longest);
                        });
    }

    private static boolean covers(LogPosition log, LogPosition position) {
        return log != null && log.covers(position);
    }

    /** Returns the end of a server's log; null if the server did not answer as expected. */
    private CompletableFuture<LogPosition> logEnd(
            DatabaseServer server, Predicate<ServerStatus> isExpected) {
        return context.queryStatus(server, FailoverContext.QUERY_TIMEOUT_MS)
                .handle(
                        (status, error) ->
                                error == null && isExpected.test(status)
                                        ? status.position()
                                        : null);
    }

    /** Returns the end of the longest log of the replicas that stay; null if there is none. */
    private CompletableFuture<LogPosition> longestStayingLog(PrimaryRecord record) {
        CompletableFuture<LogPosition> longest = CompletableFuture.completedFuture(null);
        for (DatabaseServer server : context.state().registry().serversOf(service)) {
            if (!server.id().equals(record.primary())
                    && !server.isDraining()
                    && context.isInContactWithin(server, 2)) {
                longest =
                        longest.thenCombine(
                                logEnd(server, status -> !status.isPaused()), LogPosition::max);
            }
        }
        return longest;
    }

    private CompletableFuture<Void> pauseAll(
            PrimaryRecord record, List<DatabaseServer> draining, LogPosition longest) {
        List<CompletableFuture<Void>> queries = new ArrayList<>();
        for (DatabaseServer server : draining) {
            queries.add(
                    context.query(
                                    server,
                                    FailoverContext.QUERY_TIMEOUT_MS,
                                    status -> command(record, server, status, longest))
                            .handle((status, error) -> onStatus(server, status, longest)));
        }
        return CompletableFuture.allOf(queries.toArray(CompletableFuture[]::new));
    }

    /** Returns the command for a draining replica with this status; null for none. */
    private String command(
            PrimaryRecord record,
            DatabaseServer server,
            ServerStatus status,
            LogPosition longestStaying) {
        if (!context.mayAct() || !context.isCurrent(record) || status.isPrimary()) {
            return null;
        }
        boolean covered = covers(longestStaying, status.position());
        if (!status.isPaused()) {
            return covered ? "PAUSE " + status.nextTerm() : null;
        }
        long sinceMillis = pausedSinceMillis.getOrDefault(server.id(), context.now());
        return !covered && context.now() - sinceMillis > CATCH_UP_TIMEOUT_MS ? "RESUME" : null;
    }

    private Void onStatus(DatabaseServer server, ServerStatus status, LogPosition longestStaying) {
        if (status == null) {
            // The server may have restarted, which ends the pause, or be gone by now. A proof stays
            // until it is seen to receive.
            pausedSinceMillis.remove(server.id());
        } else if (!status.isPaused()) {
            pausedSinceMillis.remove(server.id());
            context.departures().remove(server.id());
        } else if (covers(longestStaying, status.position())) {
            pausedSinceMillis.remove(server.id());
            context.departures().add(server.id());
        } else {
            pausedSinceMillis.putIfAbsent(server.id(), context.now());
        }
        return null;
    }
}
