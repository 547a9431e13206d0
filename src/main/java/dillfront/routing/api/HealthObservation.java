package dillfront.routing.api;

import java.time.Duration;

/**
 * What this router itself knows of a node's health; nothing in it comes from others.
 *
 * @param lastHealthyAt when a submission there last got an answer that was no refusal for want of
 *     room
 * @param evidence how many submissions tell of it now; zero where only what is past does
 */
public record HealthObservation(Health health, Duration lastHealthyAt, int evidence) {

    /** UNKNOWN is neither: too little was sent there of late. */
    public enum Health {
        WELL,
        UNKNOWN,
        SILENT,
        FAILING,
        LOST
    }

    public boolean isFaulty() {
        return health != Health.WELL && health != Health.UNKNOWN;
    }
}
