package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import org.junit.jupiter.api.Test;

class AcknowledgedCommitTrackerTest {

    private static final long DEPARTURE_END_MILLIS = 5_000;

    private final AcknowledgedCommitTracker tracker = new AcknowledgedCommitTracker();

    private static LogPosition position(String text) {
        return LogPosition.parse(text);
    }

    private void acknowledge(
            String server, String requestPosition, String responsePosition, long nowMillis) {
        tracker.onAcknowledged(
                server,
                AcknowledgedCommits.ofResponse(
                        position(requestPosition), position(responsePosition)),
                nowMillis);
    }

    private void assertBounds(String lowerBound, String upperBound) {
        assertEquals(
                new AcknowledgedCommits(position(lowerBound), position(upperBound)),
                tracker.commits());
    }

    /** Guards against a lower bound of the first commit alone (review/1). */
    @Test
    void requiresAllConcurrentCommitsAfterDeparture() {
        acknowledge("p", "1.10", "1.11", 0);
        acknowledge("p", "1.10", "1.13", 0);
        acknowledge("p", "1.10", "1.12", 0);
        assertBounds("1.11", "1.13");
        tracker.onReplicaDeparted("p", position("1.13"), DEPARTURE_END_MILLIS);
        assertBounds("1.13", "1.13");
    }

    /** A server that left may receive commits until its process has ended. */
    @Test
    void requiresCommitsUntilDepartedReplicaHasEnded() {
        tracker.onReplicaDeparted("p", position("1.10"), DEPARTURE_END_MILLIS);
        assertTrue(tracker.hasDeparting(DEPARTURE_END_MILLIS - 1));
        acknowledge("p", "1.10", "1.14", DEPARTURE_END_MILLIS - 1);
        assertBounds("1.14", "1.14");
        assertFalse(tracker.hasDeparting(DEPARTURE_END_MILLIS));
        acknowledge("p", "1.14", "1.17", DEPARTURE_END_MILLIS);
        assertBounds("1.15", "1.17");
    }

    /** A new primary may have a shorter log: commits past its end were not acknowledged. */
    @Test
    void requiresNoMoreThanLogOfNewPrimary() {
        acknowledge("p", "1.10", "1.13", 0);
        tracker.onReplicaDeparted("new", null, DEPARTURE_END_MILLIS);
        assertBounds("1.11", "1.13");
        tracker.onReplicaDeparted("new", position("1.12"), DEPARTURE_END_MILLIS);
        assertBounds("1.12", "1.13");
        tracker.onReplicaDeparted("new", position("2.20"), DEPARTURE_END_MILLIS);
        assertBounds("1.13", "1.13");
    }
}
