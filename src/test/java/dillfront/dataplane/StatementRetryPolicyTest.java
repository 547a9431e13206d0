package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.dataplane.StatementRetryPolicy.Decision;
import dillfront.dataplane.StatementRetryPolicy.Verdict;
import java.util.List;
import org.junit.jupiter.api.Test;

class StatementRetryPolicyTest {

    private static QueryResult failed(String code) {
        return new QueryResult(
                QueryResult.Outcome.FAILED, List.of(), null, code, "", QueryResult.IDLE, null);
    }

    private static Verdict decide(QueryResult result, boolean writes, int attempts) {
        return StatementRetryPolicy.decide(result, writes, attempts, 2, true);
    }

    private static Decision impatient(QueryResult result, boolean writes) {
        return StatementRetryPolicy.decide(result, writes, 0, 2, false).decision();
    }

    @Test
    void writeThatMayHaveRunIsNeverRetried() {
        QueryResult lost = QueryResult.connectionLost("closed");
        assertEquals(new Verdict(Decision.UNCERTAIN, false, false), decide(lost, true, 0));
        assertEquals(
                new Verdict(Decision.PASS_ON, false, false), decide(failed("FAILED"), true, 0));
    }

    @Test
    void readThatMayHaveRunIsRetriedWithinItsRoutesAttempts() {
        QueryResult lost = QueryResult.connectionLost("closed");
        assertEquals(new Verdict(Decision.RETRY_AT_ONCE, true, true), decide(lost, false, 0));
        assertEquals(new Verdict(Decision.RETRY_AT_ONCE, true, true), decide(lost, false, 1));
        assertEquals(new Verdict(Decision.ABORTED, true, true), decide(lost, false, 2));
        assertEquals(Decision.PASS_ON, decide(failed("FAILED"), false, 2).decision());
        assertEquals(Decision.ABORTED, impatient(lost, false));
    }

    @Test
    void whatHasNotRunIsRetriedWhileThereIsPatienceAndThenRefused() {
        for (boolean writes : new boolean[] {true, false}) {
            assertEquals(Decision.RETRY_AFTER_PAUSE, decide(failed("BUSY"), writes, 9).decision());
            assertEquals(Decision.RETRY_AT_ONCE, decide(failed("LAGGING"), writes, 9).decision());
            for (String code : new String[] {"BUSY", "LAGGING", "READONLY", "TOOMANY"}) {
                assertEquals(Decision.REFUSE, impatient(failed(code), writes), code);
            }
            Verdict readOnly = decide(failed("READONLY"), writes, 9);
            assertEquals(Decision.RETRY_AFTER_PAUSE, readOnly.decision());
            assertFalse(readOnly.excludeServer(), "the server may be primary by then");
        }
    }

    @Test
    void whatWasNotSentIsRetriedTwice() {
        assertEquals(Decision.RETRY_AFTER_PAUSE, decide(QueryResult.notSent(), true, 1).decision());
        assertEquals(Decision.REFUSE, decide(QueryResult.notSent(), true, 2).decision());
        assertTrue(decide(failed("WRONGNODE"), true, 0).excludeServer());
    }

    @Test
    void otherErrorsGoToTheClient() {
        assertEquals(
                new Verdict(Decision.PASS_ON, false, false), decide(failed("TOOLARGE"), false, 0));
    }
}
