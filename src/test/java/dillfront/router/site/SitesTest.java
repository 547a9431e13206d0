package dillfront.router.site;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.routing.RoutingHarness;
import dillfront.routing.api.HealthObservation;
import dillfront.routing.api.HealthObservation.Health;
import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** What one router makes of what it sees of nodes at three sites, two nodes each. */
class SitesTest {

    private final StringBuilder trace = new StringBuilder();
    private long now;
    private int changes;
    private final Sites sites =
            new Sites(
                    "a",
                    Duration.ofMillis(250),
                    new Sites.Listener() {
                        @Override
                        public void changed(String site, Sites.State from, Sites.State to) {
                            changes++;
                            trace.append(
                                    String.format("%6d   %s from %s to %s\n", now, site, from, to));
                        }

                        @Override
                        public void changed(Sites.Self from, Sites.Self to) {
                            trace.append(
                                    String.format(
                                            "%6d   this router from %s to %s\n", now, from, to));
                        }
                    });

    private void sees(String what, String site, Health... health) {
        trace.append(String.format("%6d %s\n", now, what));
        for (int i = 0; i < 2; i++) {
            sites.seen(
                    (site.charAt(0) - 'a') * 2 + i,
                    new HealthObservation(health[i % health.length], Duration.ZERO, 0));
        }
    }

    private void to(long then) {
        for (; now <= then; now += 50) {
            sites.beat(Duration.ofMillis(now));
        }
        now = then;
    }

    private void begin() {
        for (int node = 0; node < 6; node++) {
            sites.listed(node, String.valueOf((char) ('a' + node / 2)), true);
        }
        sees("all answer", "a", Health.WELL);
        sees("all answer", "b", Health.WELL);
        sees("all answer", "c", Health.WELL);
        to(100);
    }

    /**
     * Guards against a site that is well again and stays lost, because a router with few txns asks
     * there now and then only.
     */
    @Test
    void oneThatIsAskedNowAndThenComesBack() {
        begin();
        sees("c does not answer", "c", Health.LOST);
        to(1000);
        for (long until = now + 1500; now < until; to(now + 150)) {
            sees("an answer of c", "c", Health.WELL);
            to(now + 50);
            sees("none lately", "c", Health.UNKNOWN);
        }
        assertTrue(sites.states().get("c") == Sites.State.WELL, trace.toString());
    }

    @Test
    void whatIsLostIsToldApart() throws IOException {
        begin();
        sees("one node of c is silent", "c", Health.SILENT, Health.WELL);
        to(1000);
        sees("the other one too", "c", Health.SILENT, Health.LOST);
        to(2000);
        sees("nobody asks there any more", "c", Health.UNKNOWN);
        to(3000);
        sees("one of them answers", "c", Health.SILENT, Health.WELL);
        to(5000);
        sees("both do", "c", Health.WELL);
        to(7000);
        sees("a pause of 200 ms", "b", Health.SILENT);
        to(7200);
        sees("it is over", "b", Health.WELL);
        to(8000);
        sees("b is lost", "b", Health.LOST);
        to(9000);
        sees("and c", "c", Health.LOST);
        to(10_000);
        sees("and its own site", "a", Health.LOST);
        to(11_000);
        sees("which is back", "a", Health.WELL);
        to(13_000);
        sees("and b", "b", Health.WELL);
        to(16_000);
        RoutingHarness.assertTraceEquals("sites", trace);
    }

    /** Guards against load that swings with a site that comes and goes ten times in a minute. */
    @Test
    void oneThatFlapsStaysOutOfUse() throws IOException {
        begin();
        for (int flap = 0; flap < 10; flap++) {
            sees("c is lost", "c", Health.LOST);
            to(now + 3000);
            sees("c is back", "c", Health.WELL);
            to(now + 3000);
        }
        assertTrue(changes < 3 + 10, "it changed " + changes + " times for twenty");
        to(now + 60_000);
        trace.append("a minute later c is ").append(sites.states().get("c")).append('\n');
        RoutingHarness.assertTraceEquals("sites-flap", trace);
    }
}
