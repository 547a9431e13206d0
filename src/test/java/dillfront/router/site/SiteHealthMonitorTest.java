package dillfront.router.site;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.routing.RoutingHarness;
import dillfront.routing.api.HealthObservation;
import dillfront.routing.api.HealthObservation.Health;
import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Checks the verdicts of one router on three sites with two nodes each, from its observations of
 * the nodes.
 */
class SiteHealthMonitorTest {

    private final StringBuilder trace = new StringBuilder();
    private long now;
    private int changes;
    private final SiteHealthMonitor monitor =
            new SiteHealthMonitor(
                    "a",
                    Duration.ofMillis(250),
                    new SiteHealthMonitor.Listener() {
                        @Override
                        public void siteStateChanged(
                                String site,
                                SiteHealthMonitor.State from,
                                SiteHealthMonitor.State to) {
                            changes++;
                            trace.append(
                                    String.format("%6d   %s from %s to %s\n", now, site, from, to));
                        }

                        @Override
                        public void siteStateChanged(
                                SiteHealthMonitor.Reachability from,
                                SiteHealthMonitor.Reachability to) {
                            trace.append(
                                    String.format(
                                            "%6d   this router from %s to %s\n", now, from, to));
                        }
                    });

    private void observe(String event, String site, Health... health) {
        trace.append(String.format("%6d %s\n", now, event));
        for (int i = 0; i < 2; i++) {
            monitor.observe(
                    (site.charAt(0) - 'a') * 2 + i,
                    new HealthObservation(health[i % health.length], Duration.ZERO, 0));
        }
    }

    private void runUntil(long then) {
        for (; now <= then; now += 50) {
            monitor.tick(Duration.ofMillis(now));
        }
        now = then;
    }

    private void startHealthy() {
        for (int node = 0; node < 6; node++) {
            monitor.updateNode(node, String.valueOf((char) ('a' + node / 2)), true);
        }
        observe("all answer", "a", Health.WELL);
        observe("all answer", "b", Health.WELL);
        observe("all answer", "c", Health.WELL);
        runUntil(100);
    }

    /**
     * A recovered site with few transactions must not stay lost because the router gets an answer
     * from it only now and then.
     */
    @Test
    void recoversSiteWithRareAnswers() {
        startHealthy();
        observe("c does not answer", "c", Health.LOST);
        runUntil(1000);
        for (long until = now + 1500; now < until; runUntil(now + 150)) {
            observe("an answer of c", "c", Health.WELL);
            runUntil(now + 50);
            observe("none lately", "c", Health.UNKNOWN);
        }
        assertTrue(monitor.states().get("c") == SiteHealthMonitor.State.WELL, trace.toString());
    }

    @Test
    void distinguishesLostSites() throws IOException {
        startHealthy();
        observe("one node of c is silent", "c", Health.SILENT, Health.WELL);
        runUntil(1000);
        observe("the other one too", "c", Health.SILENT, Health.LOST);
        runUntil(2000);
        observe("nobody asks there any more", "c", Health.UNKNOWN);
        runUntil(3000);
        observe("one of them answers", "c", Health.SILENT, Health.WELL);
        runUntil(5000);
        observe("both do", "c", Health.WELL);
        runUntil(7000);
        observe("a pause of 200 ms", "b", Health.SILENT);
        runUntil(7200);
        observe("it is over", "b", Health.WELL);
        runUntil(8000);
        observe("b is lost", "b", Health.LOST);
        runUntil(9000);
        observe("and c", "c", Health.LOST);
        runUntil(10_000);
        observe("and its own site", "a", Health.LOST);
        runUntil(11_000);
        observe("which is back", "a", Health.WELL);
        runUntil(13_000);
        observe("and b", "b", Health.WELL);
        runUntil(16_000);
        RoutingHarness.assertTraceEquals("sites", trace);
    }

    /** Load must not swing with a site that goes down and recovers ten times in a minute. */
    @Test
    void keepsFlappingSiteOutOfUse() throws IOException {
        startHealthy();
        for (int flap = 0; flap < 10; flap++) {
            observe("c is lost", "c", Health.LOST);
            runUntil(now + 3000);
            observe("c is back", "c", Health.WELL);
            runUntil(now + 3000);
        }
        assertTrue(changes < 3 + 10, "verdict changes: " + changes + " for twenty observations");
        runUntil(now + 60_000);
        trace.append("a minute later c is ").append(monitor.states().get("c")).append('\n');
        RoutingHarness.assertTraceEquals("sites-flap", trace);
    }
}
