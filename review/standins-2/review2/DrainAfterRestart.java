package review2;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A primary is to be replaced while it is cut off from its replicas, and a data plane is restarted
 * meanwhile. No statement may reach the draining primary later than drain_ms after its
 * acknowledgement, from a data plane that has run for in_touch_ms.
 */
final class DrainAfterRestart {

    private static final long DRAIN_MILLIS = 7_000;
    private static final long IN_TOUCH_MILLIS = 4_000;
    private static final long CUT_MILLIS = 7_000;

    /** From the acknowledgement of the drain to the restart of the data plane. */
    private static final long RESTART_MILLIS = Long.getLong("restart", 2_900);

    private final Record record;
    private final Fleet fleet;
    private final boolean trouble;
    private volatile boolean stopped;

    private DrainAfterRestart(Record record, Fleet fleet, boolean trouble) {
        this.record = record;
        this.fleet = fleet;
        this.trouble = trouble;
    }

    public static void main(String[] args) {
        Script.run(
                args,
                "acervo-atas",
                (record, fleet, trouble) ->
                        new DrainAfterRestart(record, fleet, trouble).run());
    }

    private int run() throws IOException, InterruptedException {
        fleet.addNodes(3, 3);
        Cluster cluster = fleet.cluster;
        Cluster.Server primary = cluster.addServer("i-1", fleet.ip(101), "hall-a", true);
        cluster.addServer("i-2", fleet.ip(102), "hall-a", false);
        cluster.addServer("i-3", fleet.ip(103), "hall-a", false);
        fleet.startAll();
        if (!fleet.configure(fleet.configuration(7), 20_000) || !fleet.awaitReady(20_000)) {
            record.show("the system does not start");
            return 2;
        }
        for (Fleet.Node front : fleet.fronts) {
            for (int i = 0; i < 4; i++) {
                String name = front.name + "-c" + i;
                Cluster.daemon(() -> client(name, front.front())).start();
            }
        }
        Cluster.sleep(5_000);
        cluster.addServer("i-4", fleet.ip(104), "hall-a", false);
        Cluster.sleep(2_000);
        Fleet.Node front = fleet.fronts.get(0);
        if (trouble) {
            front.signal("TERM");
            Cluster.sleep(400);
            record.show("i-1 is cut off from its replicas");
            primary.cutFrom.addAll(Set.of("i-2", "i-3", "i-4"));
        }
        long cutNanos = System.nanoTime();
        long ackNanos = primary.drain();
        if (ackNanos == 0) {
            record.show("the drain is not acknowledged");
            return 2;
        }
        record.show("the drain of i-1 is acknowledged");
        long startNanos = 0;
        if (trouble) {
            sleepUntil(ackNanos, RESTART_MILLIS);
            if (!front.process.waitFor(2, TimeUnit.SECONDS)) {
                record.show("front-1 does not end");
                return 2;
            }
            front.downSeed = fleet.silentAddress(20);
            front.start();
            startNanos = System.nanoTime();
            sleepUntil(cutNanos, CUT_MILLIS);
            record.show("the cut heals");
            primary.cutFrom.clear();
        }
        sleepUntil(ackNanos, DRAIN_MILLIS + 2_500);
        stopped = true;
        long inTouchNanos = startNanos + IN_TOUCH_MILLIS * 1_000_000;
        AtomicInteger late = new AtomicInteger();
        primary.arrivals.forEach(
                arrival -> {
                    boolean inTouch =
                            !arrival.who().equals(front.name) || arrival.nanos() > inTouchNanos;
                    long afterMillis = (arrival.nanos() - ackNanos) / 1_000_000;
                    if (afterMillis > DRAIN_MILLIS && inTouch) {
                        late.incrementAndGet();
                        record.line(
                                "DRAIN: " + arrival.id() + " of " + arrival.who() + " reached i-1 "
                                        + afterMillis + " ms after its acknowledgement, "
                                        + arrival.text());
                    }
                });
        record.show("statements that reached i-1 too late: " + late);
        return late.get() > 0 ? 1 : 0;
    }

    private static void sleepUntil(long fromNanos, long millis) {
        Cluster.sleep(millis - (System.nanoTime() - fromNanos) / 1_000_000);
    }

    /** Reads or writes, one after the other; opens a new session after a failure. */
    private void client(String name, String front) {
        while (!stopped) {
            try (Client client = new Client(record, name, front, "prim")) {
                String text = name.endsWith("c0") ? "WRITE t1 " + name : "READ t1";
                while (!stopped && client.ask(text).isComplete()) {
                    Cluster.sleep(15);
                }
            } catch (IOException e) {
                // The client comes back with another session.
            }
            Cluster.sleep(60);
        }
    }
}
