package dillfront.common.logging;

import dillfront.routing.api.SubmissionResult;

/**
 * Counters of one router's requests, connections and results, and gauges of what it holds now; the
 * gauges return to zero when the router is idle, except for the pooled server rows.
 */
public final class Counters {

    public long queries;
    public long malformedQueries;

    /** Queries declined while this router was stopping, which clients may retry elsewhere. */
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

    // ---- gauges

    public int openTransactions;

    /** Rows for servers, in use or pooled: the maximum that was in use at once. */
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
