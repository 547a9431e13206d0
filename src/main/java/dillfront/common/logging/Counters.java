package dillfront.common.logging;

import dillfront.routing.api.Result;

/**
 * Counters of one router's requests, connections and results, and gauges of what it holds now; the
 * gauges return to zero when the router is idle, except for the pooled server rows.
 */
public final class Counters {

    public long queries;
    public long outOfForm;

    /** Queries that arrived while this router was stopping and were redirected to other routers. */
    public long turnedAway;

    public long taken;
    public long committed;
    public long declined;
    public long rolledBack;
    public long left;
    public long submitted;
    public long probes;
    public long dialed;
    public long accepted;
    public long lists;
    public long listFaults;
    public long longestTurnMs;
    private final long[] ended = new long[Result.values().length];

    // ---- gauges

    public int txns;

    /** Rows for servers, in use or pooled: the maximum that was in use at once. */
    public int nodes;

    public int clientConnections;
    public int nodeConnections;
    public int timers;

    public void ended(Result result) {
        ended[result.ordinal()]++;
    }

    /** Writes every counter as one log line. */
    public void print(Log log) {
        Object[] line = new Object[2 * (20 + ended.length)];
        int at = 0;
        for (Object o :
                new Object[] {
                    "queries",
                    queries,
                    "out_of_form",
                    outOfForm,
                    "turned_away",
                    turnedAway,
                    "taken",
                    taken,
                    "committed",
                    committed,
                    "declined",
                    declined,
                    "rolled_back",
                    rolledBack,
                    "left",
                    left,
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
                    listFaults,
                    "longest_turn_ms",
                    longestTurnMs,
                    "txns_held",
                    txns,
                    "client_connections",
                    clientConnections,
                    "node_connections",
                    nodeConnections,
                    "timers",
                    timers,
                    "node_rows",
                    nodes
                }) {
            line[at++] = o;
        }
        for (Result result : Result.values()) {
            line[at++] = "ended_" + result.name().toLowerCase(java.util.Locale.ROOT);
            line[at++] = ended[result.ordinal()];
        }
        log.info("counters", line);
        longestTurnMs = 0;
    }
}
