package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.dataplane.StatementRetryPolicy.RetryAction;
import dillfront.dataplane.StatementRetryPolicy.RetryDecision;
import java.util.List;
import org.junit.jupiter.api.Test;

class StatementRetryPolicyTest {

    private static QueryResult failed(String code) {
        return new QueryResult(
                QueryResult.Outcome.FAILED, List.of(), null, code, "", QueryResult.IDLE, null);
    }

    private static RetryDecision evaluate(QueryResult result, boolean writes, int attempts) {
        return StatementRetryPolicy.evaluate(result, writes, attempts, 2, true);
    }

    private static RetryAction actionWithoutWaiting(QueryResult result, boolean writes) {
        return StatementRetryPolicy.evaluate(result, writes, 0, 2, false).action();
    }

    @Test
    void writeThatMayHaveRunIsNeverRetried() {
        QueryResult lost = QueryResult.connectionLost("closed");
        assertEquals(
                new RetryDecision(RetryAction.UNCERTAIN, false, false), evaluate(lost, true, 0));
        assertEquals(
                new RetryDecision(RetryAction.FORWARD_ERROR, false, false),
                evaluate(failed("FAILED"), true, 0));
    }

    @Test
    void readThatMayHaveRunIsRetriedWithinRouteAttempts() {
        QueryResult lost = QueryResult.connectionLost("closed");
        assertEquals(
                new RetryDecision(RetryAction.RETRY_IMMEDIATELY, true, true),
                evaluate(lost, false, 0));
        assertEquals(
                new RetryDecision(RetryAction.RETRY_IMMEDIATELY, true, true),
                evaluate(lost, false, 1));
        assertEquals(new RetryDecision(RetryAction.ABORTED, true, true), evaluate(lost, false, 2));
        assertEquals(RetryAction.FORWARD_ERROR, evaluate(failed("FAILED"), false, 2).action());
        assertEquals(RetryAction.ABORTED, actionWithoutWaiting(lost, false));
    }

    @Test
    void statementThatHasNotRunIsRetriedUntilItsWaitEnds() {
        for (boolean writes : new boolean[] {true, false}) {
            assertEquals(
                    RetryAction.RETRY_AFTER_DELAY, evaluate(failed("BUSY"), writes, 9).action());
            assertEquals(
                    RetryAction.RETRY_IMMEDIATELY, evaluate(failed("LAGGING"), writes, 9).action());
            for (String code : new String[] {"BUSY", "LAGGING", "READONLY", "TOOMANY"}) {
                assertEquals(RetryAction.REFUSE, actionWithoutWaiting(failed(code), writes), code);
            }
            RetryDecision decision = evaluate(failed("READONLY"), writes, 9);
            assertEquals(RetryAction.RETRY_AFTER_DELAY, decision.action());
            assertFalse(decision.excludeServer(), "it may lead by then");
        }
    }

    @Test
    void unsentStatementIsRetriedTwice() {
        assertEquals(
                RetryAction.RETRY_AFTER_DELAY, evaluate(QueryResult.notSent(), true, 1).action());
        assertEquals(RetryAction.REFUSE, evaluate(QueryResult.notSent(), true, 2).action());
        assertTrue(evaluate(failed("WRONGNODE"), true, 0).excludeServer());
    }

    @Test
    void otherErrorsAreForwarded() {
        assertEquals(
                new RetryDecision(RetryAction.FORWARD_ERROR, false, false),
                evaluate(failed("TOOLARGE"), false, 0));
    }
}
