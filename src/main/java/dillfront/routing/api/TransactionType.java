package dillfront.routing.api;

import java.time.Duration;

/**
 * Settings of one transaction type.
 *
 * @param deduplicatedByGroup whether only the transaction's own replication group recognizes a
 *     repeated idempotency key, rather than every node
 * @param deduplicationWindow how long nodes recognize a repeated idempotency key
 * @param stalenessBound how old the data of a bounded read may be when the read is sent
 * @param slaTime the response time up to which an answer has its full value
 * @param totalClientTimeout how long a client waits, over all its attempts
 * @param value the value of an answer within the SLA time
 * @param lateValueShare the share of the value that an answer after the SLA time still has
 */
public record TransactionType(
        Repeatability repeatability,
        boolean deduplicatedByGroup,
        Duration deduplicationWindow,
        Consistency consistency,
        Duration stalenessBound,
        Duration slaTime,
        Duration totalClientTimeout,
        double value,
        double lateValueShare) {}
