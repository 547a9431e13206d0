package dillfront.routing;

import static dillfront.routing.RoutingHarness.ms;

import dillfront.router.pace.Pace;
import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Detection of pauses of the router's own thread, and their effect on routing. */
class PaceTest {

    private final StringBuilder trace = new StringBuilder();
    private final Pace pace = new Pace(ms(5));

    private void shows(String what, long at) {
        Duration now = ms(at);
        trace.append(
                String.format(
                        "%4d %-34s late %3d, in all %3d, %s, a limit from 0 is %s\n",
                        at,
                        what,
                        pace.lag(now).toMillis(),
                        pace.behind(now).toMillis(),
                        pace.sure(now) ? "sure" : "not sure",
                        pace.believes(Duration.ZERO, now) ? "believed" : "looked at again"));
    }

    /**
     * Guards against detecting a pause only at the next tick, after the answers that arrived during
     * the pause were already evaluated.
     */
    @Test
    void anOverdueBeatTellsOfThePauseAtOnce() throws IOException {
        pace.expect(ms(20));
        shows("on time", 10);
        shows("within the timer's grain", 24);
        pace.came(ms(24));
        pace.expect(ms(44));
        shows("a beat later", 40);
        shows("stopped for 300 ms, reads first", 344);
        pace.came(ms(346));
        pace.expect(ms(366));
        shows("the beat has come", 346);
        shows("on time again", 360);
        pace.came(ms(366));
        pace.expect(ms(386));
        shows("and a beat later", 386);
        pace.came(ms(386));
        pace.expect(ms(700));
        shows("a dial time-out later it is calm", 650);
        trace.append("longest ")
                .append(pace.longest().toMillis())
                .append(", then ")
                .append(pace.longest().toMillis())
                .append("; a turn of 4 ms takes more: ")
                .append(pace.takesMore(ms(1), ms(5)))
                .append(", of 5 ms: ")
                .append(pace.takesMore(ms(1), ms(6)))
                .append('\n');
        RoutingHarness.compare("pace", trace);
    }

    /** Guards against a router that takes its own pause for silence or slowness of all nodes. */
    @Test
    void itsOwnPauseIsNoNodesFault() throws IOException {
        for (boolean told : new boolean[] {false, true}) {
            RoutingHarness s = new RoutingHarness(false).three();
            for (int i = 0; i < 40; i++) {
                s.to(s.ms + 30);
                s.well(s.take(RoutingHarness.FRESH), 20);
            }
            int[] out = {
                s.take(RoutingHarness.FRESH),
                s.take(RoutingHarness.FRESH),
                s.take(RoutingHarness.FRESH)
            };
            s.trace.setLength(0);
            s.note(
                    (told ? "told of" : "not told of")
                            + " a pause of 800 ms, with three txns out to the primary");
            s.ms += 800;
            s.decide.setTime(ms(s.ms));
            if (told) {
                s.decide.recordPause(ms(780));
            }
            s.note("two more before any answer is read");
            s.take(RoutingHarness.FRESH);
            s.take(RoutingHarness.FRESH);
            s.note("the answers");
            for (int txn : out) {
                s.well(txn, 800);
            }
            s.note("six more");
            for (int i = 0; i < 6; i++) {
                s.take(RoutingHarness.FRESH);
            }
            trace.append(s.trace);
        }
        RoutingHarness.compare("own-pause", trace);
    }

    /**
     * Guards against sending requests to a node after their client's useful time passed in this
     * router's receive queue.
     */
    @Test
    void whatLayInLineTooLongIsDeclinedWithATimeToComeBack() throws IOException {
        RoutingHarness s = new RoutingHarness(false).three();
        for (int waited : new int[] {0, 15, 100, 280, 600}) {
            s.note("waited " + waited + " ms of an SLA time of 400");
            s.waited = ms(waited);
            s.take(RoutingHarness.FRESH);
            s.to(s.ms + 30);
        }
        RoutingHarness.compare("in-line", s.trace);
    }
}
