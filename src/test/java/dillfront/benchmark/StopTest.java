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
class StopTest {

    private static final int CLIENTS = 24;
    private static final long GRACE_NANOS = 250_000_000;

    private static List<String> child() {
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
    private static void say(List<StandIns.Client> clients, int from) throws IOException {
        for (int i = from; i < clients.size(); i += 2) {
            clients.get(i).say("history", 100);
        }
    }

    /**
     * Stopped once all that was said is out at nodes and none of it is answered; where answers were
     * faster, once more.
     *
     * @return when it was said
     */
    private static long stopWithWorkOut(StandIns round, Drive router, List<StandIns.Client> clients)
            throws Exception {
        for (long end = System.nanoTime() + 20_000_000_000L; System.nanoTime() < end; ) {
            int before = round.arrived(0);
            long said = System.nanoTime();
            say(clients, 0);
            while (round.arrived(0) < before + CLIENTS / 2) {
                assertTrue(System.nanoTime() < end, "waited in vain until all is out at nodes");
                Thread.sleep(1);
            }
            assertEquals(0, router.signal("STOP"));
            boolean out = true;
            for (int i = 0; i < clients.size(); i += 2) {
                out &= !clients.get(i).answered();
            }
            if (out) {
                return said;
            }
            assertEquals(0, router.signal("CONT"));
            for (int i = 0; i < clients.size(); i += 2) {
                assertTrue(clients.get(i).hear());
            }
        }
        return fail("it never stood still with all its work out");
    }

    @Test
    void standsStill() throws Exception {
        try (StandIns round = new StandIns(20_000);
                Drive router = new Drive(child(), Path.of("."), round, 1.0)) {
            List<StandIns.Client> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                // All of the first group.
                clients.add(round.new Client(router.port, i * StandIns.GROUPS));
            }
            for (int warm = 0; warm < 10; warm++) {
                say(clients, 0);
                say(clients, 1);
                for (StandIns.Client client : clients) {
                    assertTrue(client.hear());
                }
            }
            int drained = 0;
            for (int ms : new int[] {50, 200, 800}) {
                drained++;
                assertTrue(!round.arrivals(drained).isEmpty(), "it was used before");
                round.awaitListRead();
                long said = stopWithWorkOut(round, router, clients);
                say(clients, 1);
                long told = System.nanoTime();
                round.tell(drained, "draining");
                Thread.sleep(ms);
                assertEquals(0, router.signal("CONT"));
                long stood = (System.nanoTime() - said) / 1_000_000;
                int good = 0;
                for (StandIns.Client client : clients) {
                    good += client.hear() ? 1 : 0;
                }
                // Each has its answer: the value, or after a pause beyond the clients' 700 ms
                // perhaps that it is too late.
                assertTrue(
                        good == CLIENTS || stood > 700,
                        good + " of " + CLIENTS + " after " + stood + " ms");
                for (int again = 0; again < 5; again++) {
                    say(clients, 0);
                    say(clients, 1);
                    for (StandIns.Client client : clients) {
                        assertTrue(client.hear(), "no node is blamed for a pause of " + ms + " ms");
                    }
                }
                long last = 0;
                for (long at : round.arrivals(drained)) {
                    last = Math.max(last, at);
                }
                assertTrue(
                        last - told < Math.min(GRACE_NANOS, ms * 1_000_000L),
                        "sent to a node that drains "
                                + (last - told) / 1_000_000
                                + " ms after it was told");
                round.tell(drained, "ready");
            }
            for (StandIns.Client client : clients) {
                client.close();
            }
        }
    }
}
