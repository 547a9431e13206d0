package dillfront.simulation.system;

import dillfront.common.database.LogPosition;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Judges a day by the rules, from what clients, servers and the operator saw. */
final class ConsistencyChecker implements DatabaseCluster.ExecutionObserver {

    /** One try of a client's operation. */
    static final class Attempt {
        final String id;
        final long startedAtMicros;
        final Map<String, String> sessionSettings;
        final Map<String, String> preparedStatements;
        final String readConsistency;
        final long maxStalenessMillis;

        /** The session's last answered write, as a count of its database's commits. */
        long lastWriteIndex;

        final String database;
        boolean promisedNotExecuted;

        /** Of the transaction that it belongs to. */
        final Attempt transactionStart;

        Attempt(String id, long startedAtMicros, ClientSession session, Attempt transactionStart) {
            this.id = id;
            this.startedAtMicros = startedAtMicros;
            this.transactionStart = transactionStart == null ? this : transactionStart;
            sessionSettings = new TreeMap<>(session.sessionSettings);
            preparedStatements = new HashMap<>(session.preparedStatements);
            readConsistency = session.readConsistency;
            maxStalenessMillis = session.maxStalenessMillis;
            lastWriteIndex = session.lastWriteIndex;
            database = session.database;
        }
    }

    final Map<String, Attempt> attempts = new HashMap<>();
    final Map<String, DatabaseCluster> databases = new HashMap<>();
    final List<String> violations = new ArrayList<>();

    private record Acknowledgement(long atMicros, LogPosition position) {}

    /** Commits that were acknowledged to clients, by database, in the order of time. */
    private final Map<String, List<Acknowledgement>> acknowledged = new HashMap<>();

    /** A person's call to give up what a log that ends here lacks, up to there. */
    record AcceptedLoss(String database, LogPosition logEnd, LogPosition lossEnd) {}

    /** Those that may have been carried out, and may count for the next promotion. */
    private final List<AcceptedLoss> acceptedLosses = new ArrayList<>();

    /** Acknowledged commits that a person gave up. */
    int acceptedLostCommits;

    private final Set<String> seenCommits = new HashSet<>();
    private final Simulator simulator;
    int lostCommits;
    int duplicateCommits;
    int staleReads;

    /** Answers that belong to another call than the one they came to. */
    int reportMisrouted;

    /** Calls that may not be repeated and ran twice. */
    int duplicateExecutions;

    private final Set<String> executedWrites = new HashSet<>();
    int promotions;
    final List<Long> promotionMillis = new ArrayList<>();
    final List<Long> configurationApplyMillis = new ArrayList<>();

    /** By server: when an in-touch machine acknowledged that it drains. */
    final Map<String, Long> drainAcknowledgedMicros = new HashMap<>();

    long maxDrainMillis = 7_000;
    private final Map<String, Long> primaryLost = new HashMap<>();

    ConsistencyChecker(Simulator simulator) {
        this.simulator = simulator;
    }

    void reportViolation(String rule, String description) {
        violations.add(rule + " at " + simulator.millis() + " ms: " + description);
    }

    /** A client had the answer of a write or commit that wrote. */
    long acknowledge(String database, String id) {
        DatabaseCluster cluster = databases.get(database);
        LogPosition position = null;
        for (DatabaseCluster.Server server : cluster.servers) {
            for (int i = server.log.size() - 1; i >= 0 && i > server.log.size() - 400; i--) {
                if (server.log.get(i).attemptId.equals(id)) {
                    position = server.log.get(i).position;
                    break;
                }
            }
        }
        if (position == null) {
            lostCommits++;
            reportViolation("LOST", "the acknowledged write " + id + " is in no log");
            return 0;
        }
        // Somebody leads, so the loss is over; what is lost from now on nobody was shown.
        acceptedLosses.removeIf(loss -> loss.database().equals(database));
        acknowledged
                .computeIfAbsent(database, key -> new ArrayList<>())
                .add(new Acknowledgement(simulator.micros(), position));
        return position.index();
    }

    /** A client's call got the row or the stamp of another. */
    void reportMisrouted(String id, String response) {
        reportMisrouted++;
        reportViolation("MIXED", id + " is answered with " + response);
    }

    private long requiredIndex(String database, long beforeMicros) {
        long highest = 0;
        for (Acknowledgement acknowledgement : acknowledged.getOrDefault(database, List.of())) {
            if (acknowledgement.atMicros() < beforeMicros) {
                highest = Math.max(highest, acknowledgement.position().index());
            }
        }
        return highest;
    }

    @Override
    public void onDuplicateCommit(DatabaseCluster.Server server, String id) {
        duplicateExecutions++;
        reportViolation("TWICE", id + " takes effect a second time, at " + server.id);
    }

    @Override
    public void onExecute(
            DatabaseCluster.Server server,
            DatabaseCluster.Connection connection,
            String id,
            String text,
            boolean startsTransaction) {
        Attempt attempt = attempts.get(id);
        if (attempt == null) {
            reportViolation("UNASKED", server.id + " runs " + id);
            return;
        }
        // A write inside a transaction takes effect with its COMMIT; one that was rolled back does
        // not count (see again).
        boolean executesOnce =
                text.equals("COMMIT") || text.startsWith("WRITE") && connection.state == 'I';
        if (executesOnce && !executedWrites.add(id)) {
            duplicateExecutions++;
            reportViolation("TWICE", id + " runs a second time, at " + server.id);
        }
        if (startsTransaction) {
            Long boundaryMicros = drainAcknowledgedMicros.get(server.id);
            if (boundaryMicros != null
                    && simulator.micros() > boundaryMicros + maxDrainMillis * 1_000) {
                reportViolation("DRAIN", id + " reaches " + server.id);
            }
        }
        if (!connection.sessionSettings.equals(attempt.sessionSettings)) {
            reportViolation(
                    "PINNED",
                    id
                            + " runs with "
                            + connection.sessionSettings
                            + ", its client has "
                            + attempt.sessionSettings);
        }
        if (text.startsWith("READ ") || text.startsWith("WRITE ")) {
            int executeStart = text.indexOf(" EXECUTE ");
            if (executeStart > 0
                    && !attempt.preparedStatements.containsValue(text.substring(0, executeStart))) {
                reportViolation("PINNED", id + " runs " + text);
            }
        }
        if (text.startsWith("READ")) {
            long boundaryMicros =
                    attempt.transactionStart.startedAtMicros
                            - (attempt.readConsistency.equals("primary")
                                    ? 0
                                    : attempt.maxStalenessMillis * 1_000);
            long required = requiredIndex(attempt.database, boundaryMicros);
            if (attempt.readConsistency.equals("own")) {
                required = Math.max(required, attempt.transactionStart.lastWriteIndex);
            }
            // Within a transaction it sees what its first statement saw, and this stand-in shows
            // the newest at each.
            if (server.appliedPosition().index() < required) {
                staleReads++;
                reportViolation(
                        "STALE",
                        id
                                + " ("
                                + attempt.readConsistency
                                + ") runs at "
                                + server.id
                                + " with "
                                + server.appliedPosition()
                                + ", needs "
                                + required);
            }
        }
    }

    @Override
    public void onPromoted(DatabaseCluster.Server server) {
        promotions++;
        String database = server.id.substring(0, server.id.indexOf('-'));
        applyAcceptedLosses(database, server.position());
        long required = requiredIndex(database, Long.MAX_VALUE);
        if (server.position().index() < required) {
            lostCommits++;
            reportViolation(
                    "LOST",
                    server.id
                            + " is promoted with "
                            + server.position()
                            + ", acknowledged was "
                            + required);
        }
        Long lostAtMillis = primaryLost.remove(database);
        if (lostAtMillis != null) {
            promotionMillis.add(simulator.millis() - lostAtMillis);
        }
    }

    /** A person's call is on its way. */
    AcceptedLoss lossAcceptanceSent(String database, LogPosition logEnd, LogPosition lossEnd) {
        AcceptedLoss acceptance = new AcceptedLoss(database, logEnd, lossEnd);
        acceptedLosses.add(acceptance);
        return acceptance;
    }

    /** It was refused, so nothing may follow from it. */
    void lossAcceptanceRejected(AcceptedLoss acceptance) {
        acceptedLosses.removeIf(loss -> loss == acceptance);
    }

    /**
     * A log that ends here leads: what it lacks, and a person gave up, is counted and missed no
     * more. All else is.
     */
    private void applyAcceptedLosses(String database, LogPosition logEnd) {
        List<Acknowledgement> commits =
                acknowledged.computeIfAbsent(database, key -> new ArrayList<>());
        int countBefore = commits.size();
        commits.removeIf(
                commit ->
                        commit.position().index() > logEnd.index()
                                && acceptedLosses.stream()
                                        .anyMatch(
                                                loss ->
                                                        loss.database().equals(database)
                                                                && logEnd.covers(loss.logEnd())
                                                                && !loss.logEnd()
                                                                        .covers(commit.position())
                                                                && loss.lossEnd()
                                                                        .covers(
                                                                                commit
                                                                                        .position())));
        acceptedLosses.removeIf(loss -> loss.database().equals(database));
        if (commits.size() < countBefore) {
            acceptedLostCommits += countBefore - commits.size();
            attempts.values().stream()
                    .filter(attempt -> attempt.database.equals(database))
                    .forEach(
                            attempt ->
                                    attempt.lastWriteIndex =
                                            Math.min(attempt.lastWriteIndex, logEnd.index()));
            onCommitsAbandoned.accept(database, logEnd.index());
        }
    }

    /** Sessions that wrote what was given up need it no more. */
    java.util.function.BiConsumer<String, Long> onCommitsAbandoned = (database, number) -> {};

    void primaryLost(String database) {
        primaryLost.put(database, simulator.millis());
    }

    /** At the end: what no log may hold, or hold twice. */
    void checkFinalLogs() {
        databases.forEach(
                (name, cluster) -> {
                    DatabaseCluster.Server primary = cluster.primary();
                    if (primary == null) {
                        return;
                    }
                    for (DatabaseCluster.Commit commit : primary.log) {
                        if (!seenCommits.add(name + " " + commit.attemptId)) {
                            duplicateCommits++;
                            reportViolation(
                                    "TWICE",
                                    commit.attemptId + " is twice in the log of " + primary.id);
                        }
                        Attempt attempt = attempts.get(commit.attemptId);
                        if (attempt != null && attempt.transactionStart.promisedNotExecuted) {
                            reportViolation(
                                    "REFUSED",
                                    commit.attemptId
                                            + " is in the log, and its client was promised that it is not");
                        }
                    }
                });
    }
}
