package dillfront.routing.api;

import java.time.Duration;

/**
 * Health of a node as this router itself observes it; reports from other routers are not included.
 *
 * @param lastHealthyAt when a submission last got an answer other than a rejection for lack of
 *     capacity
 * @param evidence the number of pending submissions that show the fault now; zero if only earlier
 *     submissions did
 */
public record HealthObservation(Health health, Duration lastHealthyAt, int evidence) {

    /** State of a node; UNKNOWN if too few transactions were sent to it recently. */
    public enum Health {
        WELL,
        UNKNOWN,
        SILENT,
        FAILING,
        LOST
    }

    /** Returns whether the node shows a fault; false for UNKNOWN. */
    public boolean isFaulty() {
        return health != Health.WELL && health != Health.UNKNOWN;
    }
}
