package dillfront.routing.api;

import java.time.Duration;

/**
 * Settings of one transaction type.
 *
 * @param groupDrops whether only the transaction's own replication group recognizes a repeated
 *     idempotency key, rather than every node
 * @param window how long nodes recognize a repeated idempotency key
 * @param bound how old the data of a bounded read may be when the read is sent
 * @param sla the response time up to which an answer earns its full value
 * @param longest how long a client waits, over all its tries
 * @param value the value of an answer within the SLA time
 * @param lateShare the share of the value that an answer after the SLA time still earns
 */
public record TransactionType(
        Repeatability effect,
        boolean groupDrops,
        Duration window,
        Consistency read,
        Duration bound,
        Duration sla,
        Duration longest,
        double value,
        double lateShare) {}
