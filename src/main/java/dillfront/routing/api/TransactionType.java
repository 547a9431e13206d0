package dillfront.routing.api;

import java.time.Duration;

/**
 * The settings of one txn type.
 *
 * @param deduplicatedByGroup a referenced txn's repeats are dropped by its own group only, not by
 *     every node
 * @param deduplicationWindow how long repeats of a referenced txn are known
 * @param stalenessBound how old a bounded read's data may be at the send
 * @param totalClientTimeout how long a client waits, over all its tries
 * @param lateValueShare the share of its value that an answer after the SLA time still earns
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
