package dillfront.routing;

import static dillfront.routing.RoutingHarness.millis;

import dillfront.router.pace.LoopLagMonitor;
import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * A router that stands still for a while: what it makes of its own time, and what the module makes
 * of it.
 */
class PaceTest {

    private final StringBuilder trace = new StringBuilder();
    private final LoopLagMonitor pace = new LoopLagMonitor(millis(5));

    private void record(String text, long atMillis) {
        Duration now = millis(atMillis);
        trace.append(
                String.format(
                        "%4d %-34s late %3d, in all %3d, %s, a limit from 0 is %s\n",
                        atMillis,
                        text,
                        pace.lag(now).toMillis(),
                        pace.totalLag(now).toMillis(),
                        pace.isSocketDataRead(now) ? "sure" : "not sure",
                        pace.isTimeLimitValid(Duration.ZERO, now)
                                ? "believed"
                                : "looked at again"));
    }

    /**
     * Guards against pauses that are seen only once the beat has come, after all that lay unread
     * was judged.
     */
    @Test
    void detectsPauseFromOverdueTick() throws IOException {
        pace.expectTick(millis(20));
        record("on time", 10);
        record("within the timer's grain", 24);
        pace.recordTick(millis(24));
        pace.expectTick(millis(44));
        record("a beat later", 40);
        record("stopped for 300 ms, reads first", 344);
        pace.recordTick(millis(346));
        pace.expectTick(millis(366));
        record("the beat has come", 346);
        record("on time again", 360);
        pace.recordTick(millis(366));
        pace.expectTick(millis(386));
        record("and a beat later", 386);
        pace.recordTick(millis(386));
        pace.expectTick(millis(700));
        record("a dial time-out later it is calm", 650);
        trace.append("longest ")
                .append(pace.longestLag().toMillis())
                .append(", then ")
                .append(pace.longestLag().toMillis())
                .append("; a turn of 4 ms takes more: ")
                .append(pace.mayContinueTurn(millis(1), millis(5)))
                .append(", of 5 ms: ")
                .append(pace.mayContinueTurn(millis(1), millis(6)))
                .append('\n');
        RoutingHarness.assertTraceEquals("pace", trace);
    }

    /**
     * Guards against a router that takes its own pause for the silence of all nodes, and for their
     * slowness.
     */
    @Test
    void doesNotBlameNodesForItsOwnPause() throws IOException {
        for (boolean pauseRecorded : new boolean[] {false, true}) {
            RoutingHarness harness = new RoutingHarness(false).withThreeNodes();
            for (int i = 0; i < 40; i++) {
                harness.advanceTo(harness.millis + 30);
                harness.commit(harness.accept(RoutingHarness.STRONG_READ), 20);
            }
            int[] pending = {
                harness.accept(RoutingHarness.STRONG_READ),
                harness.accept(RoutingHarness.STRONG_READ),
                harness.accept(RoutingHarness.STRONG_READ)
            };
            harness.trace.setLength(0);
            harness.comment(
                    (pauseRecorded ? "told of" : "not told of")
                            + " a pause of 800 ms, with three txns out to the primary");
            harness.millis += 800;
            harness.engine.setTime(millis(harness.millis));
            if (pauseRecorded) {
                harness.engine.recordPause(millis(780));
            }
            harness.comment("two more before any answer is read");
            harness.accept(RoutingHarness.STRONG_READ);
            harness.accept(RoutingHarness.STRONG_READ);
            harness.comment("the answers");
            for (int transaction : pending) {
                harness.commit(transaction, 800);
            }
            harness.comment("six more");
            for (int i = 0; i < 6; i++) {
                harness.accept(RoutingHarness.STRONG_READ);
            }
            trace.append(harness.trace);
        }
        RoutingHarness.assertTraceEquals("own-pause", trace);
    }

    /**
     * Guards against work for a node that nobody waits for any more, since it lay in line at this
     * router.
     */
    @Test
    void declinesRequestsThatWaitedTooLongWithRetryDelay() throws IOException {
        RoutingHarness harness = new RoutingHarness(false).withThreeNodes();
        for (int waitedMillis : new int[] {0, 15, 100, 280, 600}) {
            harness.comment("waited " + waitedMillis + " ms of an SLA time of 400");
            harness.queueTime = millis(waitedMillis);
            harness.accept(RoutingHarness.STRONG_READ);
            harness.advanceTo(harness.millis + 30);
        }
        RoutingHarness.assertTraceEquals("in-line", harness.trace);
    }
}
