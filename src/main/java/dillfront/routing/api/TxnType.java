package dillfront.routing.api;

import java.time.Duration;

/**
 * The settings of one txn type.
 *
 * @param groupDrops a referenced txn's repeats are dropped by its own group only, not by every node
 * @param window how long repeats of a referenced txn are known
 * @param bound how old a bounded read's data may be at the send
 * @param longest how long a client waits, over all its tries
 * @param lateShare the share of its value that an answer after the SLA time still earns
 */
public record TxnType(
        Effect effect,
        boolean groupDrops,
        Duration window,
        Read read,
        Duration bound,
        Duration sla,
        Duration longest,
        double value,
        double lateShare) {}
