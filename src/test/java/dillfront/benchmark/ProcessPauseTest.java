package dillfront.benchmark;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A router as a child that stands still for a while with work out and work in line, and a drain
 * told meanwhile: what it does first when it goes on. All sockets are ready then.
 */
class ProcessPauseTest {

    private static final int CLIENTS = 24;
    private static final long DRAIN_GRACE_NANOS = 250_000_000;

    private static List<String> routerCommand() {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "dillfront.cli.Main",
                "serve");
    }

    /** Reads of one group, of every other client before the stop, of the others during it. */
    private static void sendReads(List<StubBackends.LoadClient> clients, int firstIndex)
            throws IOException {
        for (int i = firstIndex; i < clients.size(); i += 2) {
            clients.get(i).send("history", 100);
        }
    }

    /**
     * Stopped once all that was said is out at nodes and none of it is answered; where answers were
     * faster, once more.
     *
     * @return when it was said
     */
    private static long pauseWithRequestsInFlight(
            StubBackends backends, RouterProcess router, List<StubBackends.LoadClient> clients)
            throws Exception {
        for (long deadline = System.nanoTime() + 20_000_000_000L; System.nanoTime() < deadline; ) {
            int arrivedBefore = backends.arrivalCount(0);
            long sentNanos = System.nanoTime();
            sendReads(clients, 0);
            while (backends.arrivalCount(0) < arrivedBefore + CLIENTS / 2) {
                assertTrue(
                        System.nanoTime() < deadline, "waited in vain until all is out at nodes");
                Thread.sleep(1);
            }
            assertEquals(0, router.signal("STOP"));
            boolean allInFlight = true;
            for (int i = 0; i < clients.size(); i += 2) {
                allInFlight &= !clients.get(i).hasResponse();
            }
            if (allInFlight) {
                return sentNanos;
            }
            assertEquals(0, router.signal("CONT"));
            for (int i = 0; i < clients.size(); i += 2) {
                assertTrue(clients.get(i).receive());
            }
        }
        return fail("it never stood still with all its work out");
    }

    @Test
    void keepsOffDrainingNodeAfterPause() throws Exception {
        try (StubBackends backends = new StubBackends(20_000);
                RouterProcess router =
                        new RouterProcess(routerCommand(), Path.of("."), backends, 1.0)) {
            List<StubBackends.LoadClient> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                // All of the first group.
                clients.add(backends.new LoadClient(router.port, i * StubBackends.GROUPS));
            }
            for (int warmUp = 0; warmUp < 10; warmUp++) {
                sendReads(clients, 0);
                sendReads(clients, 1);
                for (StubBackends.LoadClient client : clients) {
                    assertTrue(client.receive());
                }
            }
            int drainingNode = 0;
            for (int pauseMillis : new int[] {50, 200, 800}) {
                drainingNode++;
                assertTrue(!backends.arrivals(drainingNode).isEmpty(), "it was used before");
                backends.awaitInstanceListRead();
                long sentNanos = pauseWithRequestsInFlight(backends, router, clients);
                sendReads(clients, 1);
                long drainNanos = System.nanoTime();
                backends.setLifecycle(drainingNode, "draining");
                Thread.sleep(pauseMillis);
                assertEquals(0, router.signal("CONT"));
                long elapsedMillis = (System.nanoTime() - sentNanos) / 1_000_000;
                int served = 0;
                for (StubBackends.LoadClient client : clients) {
                    served += client.receive() ? 1 : 0;
                }
                // Each has its answer: the value, or after a pause beyond the clients' 700 ms
                // perhaps that it is too late.
                assertTrue(
                        served == CLIENTS || elapsedMillis > 700,
                        served + " of " + CLIENTS + " after " + elapsedMillis + " ms");
                for (int repeat = 0; repeat < 5; repeat++) {
                    sendReads(clients, 0);
                    sendReads(clients, 1);
                    for (StubBackends.LoadClient client : clients) {
                        assertTrue(
                                client.receive(),
                                "no node is blamed for a pause of " + pauseMillis + " ms");
                    }
                }
                long lastArrivalNanos = 0;
                for (long arrivalNanos : backends.arrivals(drainingNode)) {
                    lastArrivalNanos = Math.max(lastArrivalNanos, arrivalNanos);
                }
                assertTrue(
                        lastArrivalNanos - drainNanos
                                < Math.min(DRAIN_GRACE_NANOS, pauseMillis * 1_000_000L),
                        "sent to a node that drains "
                                + (lastArrivalNanos - drainNanos) / 1_000_000
                                + " ms after it was told");
                backends.setLifecycle(drainingNode, "ready");
            }
            for (StubBackends.LoadClient client : clients) {
                client.close();
            }
        }
    }
}
