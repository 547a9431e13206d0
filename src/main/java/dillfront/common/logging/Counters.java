package dillfront.common.logging;

import dillfront.routing.api.SubmissionResult;

/** What one router took in, sent and answered; and what it holds now, all zero once it is idle. */
public final class Counters {

    public long queries;
    public long malformedQueries;

    /** Came when this router was ending, and was told to go elsewhere. */
    public long declinedWhileStopping;

    public long startedTransactions;
    public long committed;
    public long declined;
    public long rolledBack;
    public long abandonedByClient;
    public long submitted;
    public long probes;
    public long dialed;
    public long accepted;
    public long lists;
    public long failedLists;
    public long longestLoopTurnMillis;
    private final long[] ended = new long[SubmissionResult.values().length];

    // Held now.
    public int openTransactions;

    /** Rows for nodes, in use or to be used again: as many as were needed at once. */
    public int nodeRows;

    public int clientConnections;
    public int nodeConnections;
    public int timers;

    public void ended(SubmissionResult result) {
        ended[result.ordinal()]++;
    }

    /** Writes every counter as one log line. */
    public void print(Log log) {
        Object[] line = new Object[2 * (20 + ended.length)];
        int index = 0;
        for (Object nameOrValue :
                new Object[] {
                    "queries",
                    queries,
                    "out_of_form",
                    malformedQueries,
                    "turned_away",
                    declinedWhileStopping,
                    "taken",
                    startedTransactions,
                    "committed",
                    committed,
                    "declined",
                    declined,
                    "rolled_back",
                    rolledBack,
                    "left",
                    abandonedByClient,
                    "submitted",
                    submitted,
                    "probes",
                    probes,
                    "dialed",
                    dialed,
                    "accepted",
                    accepted,
                    "lists",
                    lists,
                    "list_faults",
                    failedLists,
                    "longest_turn_ms",
                    longestLoopTurnMillis,
                    "txns_held",
                    openTransactions,
                    "client_connections",
                    clientConnections,
                    "node_connections",
                    nodeConnections,
                    "timers",
                    timers,
                    "node_rows",
                    nodeRows
                }) {
            line[index++] = nameOrValue;
        }
        for (SubmissionResult result : SubmissionResult.values()) {
            line[index++] = "ended_" + result.name().toLowerCase(java.util.Locale.ROOT);
            line[index++] = ended[result.ordinal()];
        }
        log.info("counters", line);
        longestLoopTurnMillis = 0;
    }
}
