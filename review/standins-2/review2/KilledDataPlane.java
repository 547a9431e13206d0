package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A replica is replaced; just before it ends, the other replicas receive nothing for a while, and
 * the primary crashes together with the data plane that acknowledged the last commits. The crashed
 * primary would be back with its log 7 s later.
 */
final class KilledDataPlane {

    private static final long DEAF_MILLIS = 6_500;
    private static final int DOWN_MILLIS = 7_000;
    private static final long DRAIN_MILLIS = 7_000;

    private final Record record;
    private final Fleet fleet;
    private final boolean trouble;
    private final Map<String, Long> acknowledged = new ConcurrentHashMap<>();

    private KilledDataPlane(Record record, Fleet fleet, boolean trouble) {
        this.record = record;
        this.fleet = fleet;
        this.trouble = trouble;
    }

    public static void main(String[] args) {
        Script.run(
                args,
                "acervo-atas",
                (record, fleet, trouble) -> new KilledDataPlane(record, fleet, trouble).run());
    }

    private int run() throws IOException, InterruptedException {
        fleet.addNodes(3, 7);
        Cluster cluster = fleet.cluster;
        Cluster.Server primary = cluster.addServer("i-1", fleet.ip(101), "hall-a", true);
        Cluster.Server leaving = cluster.addServer("i-2", fleet.ip(102), "hall-a", false);
        Cluster.Server third = cluster.addServer("i-3", fleet.ip(103), "hall-a", false);
        fleet.startAll();
        if (!fleet.configure(fleet.configuration(7), 20_000) || !fleet.awaitReady(20_000)) {
            record.show("the system does not start");
            return 2;
        }
        Cluster.sleep(3_000);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            clients.add(new Client(record, "c" + i, fleet.fronts.get(i).front(), "prim"));
        }
        for (int i = 0; i < 30; i++) {
            write(clients.get(i % 3), "warm-" + i);
        }
        Cluster.Server fresh = cluster.addServer("i-4", fleet.ip(104), "hall-a", false);
        Cluster.sleep(2_000);
        if (leaving.drain() == 0) {
            record.show("the drain is not acknowledged");
            return 2;
        }
        record.show("the drain of i-2 is acknowledged");
        long drainNanos = System.nanoTime();
        for (int i = 0; (System.nanoTime() - drainNanos) / 1_000_000 < DRAIN_MILLIS; i++) {
            write(clients.get(i % 3), "drain-" + i);
            Cluster.sleep(50);
        }
        if (trouble) {
            record.show("i-3 and i-4 receive nothing");
            third.deaf = true;
            fresh.deaf = true;
        }
        long deafNanos = System.nanoTime();
        Cluster.sleep(100);
        for (int i = 0; i < 3; i++) {
            write(clients.get(0), "last-" + i);
        }
        if (trouble) {
            fleet.fronts.get(0).signal("KILL");
        }
        leaving.leave();
        if (trouble) {
            Cluster.daemon(
                            () -> {
                                try {
                                    primary.restart(DOWN_MILLIS);
                                } catch (IOException e) {
                                    record.show("the primary does not return: " + e);
                                }
                            })
                    .start();
        }
        Cluster.sleep(DEAF_MILLIS - (System.nanoTime() - deafNanos) / 1_000_000);
        third.deaf = false;
        fresh.deaf = false;
        record.line("all replicas receive");
        Cluster.sleep(8_000);
        clients.forEach(Client::close);
        int lost = 0;
        Cluster.Server leads = cluster.primary();
        for (String data : acknowledged.keySet()) {
            if (!cluster.isKept(leads, data)) {
                lost++;
                record.show("LOST: " + data + " is not in the log of " + leads.id);
            }
        }
        record.show("acknowledged " + acknowledged.size() + ", lost " + lost);
        return lost > 0 ? 1 : 0;
    }

    private void write(Client client, String data) {
        try {
            if (client.ask("WRITE t1 " + data).isComplete()) {
                acknowledged.put(data, System.nanoTime());
            }
        } catch (IOException e) {
            record.line("no answer: " + e.getMessage());
        }
    }
}
