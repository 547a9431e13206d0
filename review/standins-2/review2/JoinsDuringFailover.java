package review2;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A primary is cut off from the core and from three of five data planes. Once the platform was
 * asked to promote a successor, a new replica starts in place of another, or one crashes and
 * returns. No acknowledged
 * commit may be missing in the log of the server that is promoted.
 */
final class JoinsDuringFailover {

    private static final long CUT_MILLIS = 7_000;

    /** From the platform's receipt of the call to what befalls a replica. */
    private static final int DELAY_MILLIS = 100;

    /** How long the replica that is restarted is down. */
    private static final int DOWN_MILLIS = 100;

    private final Record record;
    private final Fleet fleet;
    private final boolean trouble;

    /** Whether a paused replica is restarted; otherwise a new one starts. */
    private final boolean restarts;

    /** Acknowledged writes, with the time at which the client had the answer. */
    private final Map<String, Long> acknowledged = new ConcurrentHashMap<>();

    private final AtomicInteger numbers = new AtomicInteger();
    private volatile boolean stopped;

    private JoinsDuringFailover(
            Record record, Fleet fleet, boolean trouble, boolean restarts) {
        this.record = record;
        this.fleet = fleet;
        this.trouble = trouble;
        this.restarts = restarts;
    }

    public static void main(String[] args) {
        Script.run(
                args,
                "acervo-atas",
                (record, fleet, trouble) ->
                        new JoinsDuringFailover(
                                        record,
                                        fleet,
                                        trouble,
                                        args.length > 1 && args[1].equals("restart"))
                                .run());
    }

    private int run() throws IOException, InterruptedException {
        fleet.addNodes(3, 5);
        Cluster cluster = fleet.cluster;
        Cluster.Server primary = cluster.addServer("i-1", fleet.ip(101), "hall-a", true);
        cluster.addServer("i-2", fleet.ip(102), "hall-a", false);
        Cluster.Server replica = cluster.addServer("i-3", fleet.ip(103), "hall-a", false);
        fleet.startAll();
        if (!fleet.configure(fleet.configuration(7), 20_000) || !fleet.awaitReady(20_000)) {
            record.show("the system does not start");
            return 2;
        }
        Cluster.sleep(2_000);
        for (int i = 0; i < 40; i++) {
            String name = "c" + i;
            String front = fleet.fronts.get(i % fleet.fronts.size()).front();
            Cluster.daemon(() -> client(name, front)).start();
        }
        Cluster.sleep(4_000);
        CountDownLatch joined = new CountDownLatch(1);
        Runnable join =
                () -> {
                    Cluster.sleep(DELAY_MILLIS);
                    try {
                        if (restarts) {
                            replica.restart(DOWN_MILLIS);
                        } else {
                            cluster.addServer("i-4", fleet.ip(104), "hall-a", false);
                        }
                    } catch (IOException e) {
                        record.show("the replica does not start: " + e);
                    }
                    joined.countDown();
                };
        if (trouble) {
            cluster.onPromotionCall =
                    () -> {
                        cluster.onPromotionCall = () -> {};
                        Cluster.daemon(join).start();
                    };
            record.show("i-1 is cut off from the core and from front-1 to front-3");
            primary.cutFrom.addAll(List.of("control", "front-1", "front-2", "front-3"));
            if (!joined.await(15, TimeUnit.SECONDS)) {
                record.show("the platform was not asked to promote a server");
                return 2;
            }
            Cluster.sleep(CUT_MILLIS - 3_000);
            record.show("the cut heals");
            primary.cutFrom.clear();
        } else {
            join.run();
        }
        Cluster.sleep(8_000);
        stopped = true;
        Cluster.sleep(2_500);
        int lost = 0;
        for (Map.Entry<String, Long> cut : cluster.cutBack.entrySet()) {
            Long at = acknowledged.get(cut.getKey());
            if (at != null) {
                lost++;
                record.line(
                        "LOST: "
                                + cut.getKey()
                                + " was acknowledged "
                                + (cut.getValue() - at) / 1_000_000
                                + " ms before the promotion cut it back");
            }
        }
        record.show(
                "writes acknowledged " + acknowledged.size() + ", acknowledged and lost " + lost);
        return lost > 0 ? 1 : 0;
    }

    /** Writes and runs transactions, one after the other; opens a new session after a failure. */
    private void client(String name, String front) {
        while (!stopped) {
            try (Client client = new Client(record, name, front, "prim")) {
                while (!stopped) {
                    String data = name + "-" + numbers.incrementAndGet();
                    boolean kept;
                    if (numbers.get() % 2 == 0) {
                        kept = client.ask("WRITE t" + name + " " + data).isComplete();
                    } else {
                        kept = transaction(client, "t" + name, data);
                    }
                    if (kept) {
                        acknowledged.put(data, System.nanoTime());
                    } else {
                        break;
                    }
                    Cluster.sleep(60);
                }
            } catch (IOException e) {
                // The client comes back with another session.
            }
            Cluster.sleep(100);
        }
    }

    /** A transaction of five statements with pauses, as an operation of a client may have. */
    private static boolean transaction(Client client, String thing, String data)
            throws IOException {
        for (String text :
                List.of("BEGIN", "READ " + thing, "WRITE " + thing + " " + data, "READ " + thing)) {
            if (!client.ask(text).isComplete()) {
                return false;
            }
            Cluster.sleep(150);
        }
        return client.ask("COMMIT").isComplete();
    }
}
