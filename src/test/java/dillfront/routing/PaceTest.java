package dillfront.routing;

import static dillfront.routing.Scene.ms;

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
    private final LoopLagMonitor pace = new LoopLagMonitor(ms(5));

    private void shows(String what, long at) {
        Duration now = ms(at);
        trace.append(
                String.format(
                        "%4d %-34s late %3d, in all %3d, %s, a limit from 0 is %s\n",
                        at,
                        what,
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
    void anOverdueBeatTellsOfThePauseAtOnce() throws IOException {
        pace.expectTick(ms(20));
        shows("on time", 10);
        shows("within the timer's grain", 24);
        pace.recordTick(ms(24));
        pace.expectTick(ms(44));
        shows("a beat later", 40);
        shows("stopped for 300 ms, reads first", 344);
        pace.recordTick(ms(346));
        pace.expectTick(ms(366));
        shows("the beat has come", 346);
        shows("on time again", 360);
        pace.recordTick(ms(366));
        pace.expectTick(ms(386));
        shows("and a beat later", 386);
        pace.recordTick(ms(386));
        pace.expectTick(ms(700));
        shows("a dial time-out later it is calm", 650);
        trace.append("longest ")
                .append(pace.longestLag().toMillis())
                .append(", then ")
                .append(pace.longestLag().toMillis())
                .append("; a turn of 4 ms takes more: ")
                .append(pace.mayContinueTurn(ms(1), ms(5)))
                .append(", of 5 ms: ")
                .append(pace.mayContinueTurn(ms(1), ms(6)))
                .append('\n');
        Scene.compare("pace", trace);
    }

    /**
     * Guards against a router that takes its own pause for the silence of all nodes, and for their
     * slowness.
     */
    @Test
    void itsOwnPauseIsNoNodesFault() throws IOException {
        for (boolean told : new boolean[] {false, true}) {
            Scene s = new Scene(false).three();
            for (int i = 0; i < 40; i++) {
                s.to(s.ms + 30);
                s.well(s.take(Scene.FRESH), 20);
            }
            int[] out = {s.take(Scene.FRESH), s.take(Scene.FRESH), s.take(Scene.FRESH)};
            s.trace.setLength(0);
            s.note(
                    (told ? "told of" : "not told of")
                            + " a pause of 800 ms, with three txns out to the primary");
            s.ms += 800;
            s.decide.at(ms(s.ms));
            if (told) {
                s.decide.late(ms(780));
            }
            s.note("two more before any answer is read");
            s.take(Scene.FRESH);
            s.take(Scene.FRESH);
            s.note("the answers");
            for (int txn : out) {
                s.well(txn, 800);
            }
            s.note("six more");
            for (int i = 0; i < 6; i++) {
                s.take(Scene.FRESH);
            }
            trace.append(s.trace);
        }
        Scene.compare("own-pause", trace);
    }

    /**
     * Guards against work for a node that nobody waits for any more, since it lay in line at this
     * router.
     */
    @Test
    void whatLayInLineTooLongIsDeclinedWithATimeToComeBack() throws IOException {
        Scene s = new Scene(false).three();
        for (int waited : new int[] {0, 15, 100, 280, 600}) {
            s.note("waited " + waited + " ms of an SLA time of 400");
            s.waited = ms(waited);
            s.take(Scene.FRESH);
            s.to(s.ms + 30);
        }
        Scene.compare("in-line", s.trace);
    }
}
