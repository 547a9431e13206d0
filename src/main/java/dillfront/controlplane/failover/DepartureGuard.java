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
 * provided that a replica that stays has its log, so that replicas that stay receive what is
 * acknowledged from then on. The pause is no proof: it ends with a restart of the replica. The
 * departure is proven once the replica has ended and a replica that stays has all that the primary
 * had after that.
 */
final class DepartureGuard {

    private static final long CHECK_INTERVAL_MS = 500;

    /**
     * Interval of the checks shortly after a departure, or while a paused replica is ahead of those
     * that stay.
     */
    private static final long CATCH_UP_CHECK_INTERVAL_MS = 60;

    /** Time after a departure in which replicas that stay are expected to catch up. */
    private static final long EXPECTED_PROOF_MS = 3_000;

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
        if (checkPending
                || context.now() < nextCheckMillis
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
            if (server.hasLeft() && !context.departures().isProven(server)) {
                departed.add(server);
            } else if (server.isDraining() && mayBePaused(server, record)) {
                draining.add(server);
            }
        }
        if (draining.isEmpty() && departed.isEmpty()) {
            return;
        }
        checkPending = true;
        CompletableFuture.allOf(
                        proveDepartures(record, primary, departed), pauseAll(record, draining))
                .whenComplete((done, error) -> onChecked(departed));
    }

    private void onChecked(List<DatabaseServer> departed) {
        checkPending = false;
        boolean expectsProof = departed.stream().anyMatch(this::expectsProof);
        if (expectsProof || !pausedSinceMillis.isEmpty()) {
            nextCheckMillis = context.now() + CATCH_UP_CHECK_INTERVAL_MS;
        }
    }

    private boolean expectsProof(DatabaseServer departed) {
        return !context.departures().isProven(departed)
                && context.now() - departed.departureMillis() < EXPECTED_PROOF_MS;
    }

    /** While replicas are resumed after a move, a PAUSE would only be undone. */
    private boolean mayBePaused(DatabaseServer server, PrimaryRecord record) {
        return !record.replicationPaused()
                && server.drainAgeMillis(context.now()) >= context.state().settings().drainMillis();
    }

    // ---- replicas that have left

    /**
     * Proves departures, in this order: the replica has ended, the primary has a log, a replica
     * that stays has that log.
     */
    private CompletableFuture<Void> proveDepartures(
            PrimaryRecord record, DatabaseServer primary, List<DatabaseServer> departed) {
        List<DatabaseServer> ended = new ArrayList<>();
        List<CompletableFuture<Void>> queries = new ArrayList<>();
        for (DatabaseServer server : departed) {
            queries.add(
                    hasEnded(server)
                            .thenAccept(
                                    hasEnded -> {
                                        if (hasEnded) {
                                            ended.add(server);
                                        }
                                    }));
        }
        return CompletableFuture.allOf(queries.toArray(CompletableFuture[]::new))
                .thenCompose(
                        done ->
                                ended.isEmpty()
                                        ? CompletableFuture.completedFuture(null)
                                        : proveEnded(record, primary, ended));
    }

    /** Determines whether a server that left receives nothing any more. */
    private CompletableFuture<Boolean> hasEnded(DatabaseServer server) {
        if (context.hasEnded(server)) {
            return CompletableFuture.completedFuture(true);
        }
        return context.queryStatus(server, FailoverContext.QUERY_TIMEOUT_MS)
                .handle((status, error) -> ServerQueryException.showsServerEnded(error));
    }

    private CompletableFuture<Void> proveEnded(
            PrimaryRecord record, DatabaseServer primary, List<DatabaseServer> ended) {
        return logEnd(primary, ServerStatus::isPrimary)
                .thenCompose(
                        primaryEnd ->
                                longestStayingLog(record)
                                        .thenAccept(
                                                longest -> {
                                                    if (covers(longest, primaryEnd)) {
                                                        context.departures().prove(ended);
                                                    }
                                                }));
    }

    // ---- replicas that drain

    private CompletableFuture<Void> pauseAll(PrimaryRecord record, List<DatabaseServer> draining) {
        if (draining.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        return longestStayingLog(record)
                .thenCompose(longest -> pauseAll(record, draining, longest));
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
        if (status != null && status.isPaused() && !covers(longestStaying, status.position())) {
            pausedSinceMillis.putIfAbsent(server.id(), context.now());
        } else {
            pausedSinceMillis.remove(server.id());
        }
        return null;
    }

    // ---- logs

    private static boolean covers(LogPosition log, LogPosition position) {
        return log != null && position != null && log.covers(position);
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
}
