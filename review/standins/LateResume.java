package review;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A primary is cut off from the core and from most data planes, is back, and is cut off again. The
 * RESUME that follows the first cut reaches a replica late, after the PAUSE of the second one.
 */
final class LateResume extends Case {

    private static final String CONTROL = "control";


    private final Map<String, Relay> relays = new ConcurrentHashMap<>();
    private volatile boolean reading = true;

    private LateResume() throws Exception {}

    public static void main(String[] arguments) throws Exception {
        main(arguments[0], LateResume::new);
    }

    private DatabaseServer server(String id, String zone) throws Exception {
        String address = deployment.newAddress();
        String told = deployment.newAddress();
        relays.put(id, open(new Relay(told, address)));
        return new DatabaseServer(database, id, zone, address, told, controlAddresses());
    }

    /** Cuts the primary off from the core and from two of three data planes, or joins it again. */
    private void cutPrimary(DatabaseServer primary, boolean cut) {
        primary.cutFromControl = cut;
        if (cut) {
            relays.get(primary.id).cut(CONTROL, "front-2", "front-3");
        } else {
            relays.get(primary.id).cut();
            primary.beatNow();
        }
    }

    @Override
    int ordersTimeoutMillis() {
        return 2_500;
    }

    private void readOn(Client client) {
        Thread thread =
                new Thread(
                        () -> {
                            while (reading) {
                                client.query("READ first");
                                try {
                                    Thread.sleep(100);
                                } catch (InterruptedException e) {
                                    return;
                                }
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static long paused(DatabaseServer server) {
        return server.pausedTerm;
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < 3; i++) {
            deployment.add("core-" + (i + 1), "control-plane", i);
        }
        Deployment.Node[] fronts = new Deployment.Node[3];
        for (int i = 0; i < 3; i++) {
            fronts[i] = deployment.add("front-" + (i + 1), "data-plane", i);
        }
        DatabaseServer primary = server("i-primary", "whk-hall-a");
        database.lead(primary);
        DatabaseServer first = server("i-replica-1", "wvb-hall-a");
        DatabaseServer second = server("i-replica-2", "ktm-hall-a");
        startSystem(fronts);
        Client writer = open(new Client("writer", fronts[0].frontAddress(), "orders"));
        double end = Recorder.now() + 15_000;
        while (!writer.query("WRITE first x").succeeded()) {
            if (Recorder.now() > end) {
                throw new CannotRunException("no write was acknowledged");
            }
            Thread.sleep(200);
        }
        for (Deployment.Node front : fronts) {
            Deployment.await(
                    front.name + " knows the primary",
                    15_000,
                    () -> front.status().matches("(?s).*primary=i-primary servers=3.*"));
        }
        for (Deployment.Node front : fronts) {
            for (int i = 0; i < 2; i++) {
                readOn(open(new Client("reader-" + front.name + "-" + i, front.frontAddress(), "orders")));
            }
        }
        Thread.sleep(4_000);

        // The first cut. Replica 2 is out of the core's reach as well, so the failover does not go on; replica 1 is paused.
        cutPrimary(primary, true);
        second.cutFromControl = true;
        relays.get(second.id).cut(CONTROL);
        Deployment.await("replica 1 is paused", 8_000, () -> paused(first) != 0);
        if (trouble) {
            relays.get(first.id).holdCommand("RESUME");
        }
        cutPrimary(primary, false);
        Deployment.await(
                "the primary leads on",
                5_000,
                () -> fronts[0].status().matches("(?s).*primary=i-primary servers=3.*"));
        second.cutFromControl = false;
        relays.get(second.id).cut();
        second.beatNow();
        double over = Recorder.now();
        Thread.sleep(200);

        // A client is inside a transaction when the primary is cut off again.
        Client.Answer write = writer.query("WRITE second y");
        Client client = open(new Client("client", fronts[0].frontAddress(), "orders"));
        Client.Answer begin = client.query("BEGIN");
        Client.Answer inside = client.query("WRITE order z");
        if (!write.succeeded() || !begin.succeeded() || !inside.succeeded()) {
            throw new CannotRunException("the primary does not serve between the cuts");
        }
        cutPrimary(primary, true);
        long firstPause = paused(first);
        double due = Recorder.now() + 8_000;
        for (int round = 0; paused(first) <= firstPause || paused(second) == 0; round++) {
            if (Recorder.now() > due) {
                throw new CannotRunException("the replicas were not paused for the second time");
            }
            if (round % 50 == 49) {
                client.query("READ first");
            }
            Thread.sleep(10);
        }
        relays.get(first.id).holdCommand(null);
        Recorder.record("RESUME goes on %.0f ms after the first cut was over", Recorder.now() - over);
        // The client commits while the promotion is under way.
        Deployment.await("the promotion is called for", 8_000, () -> database.promotionCalls > 0);
        Client.Answer commit = client.query("COMMIT");
        Deployment.await("a new primary", 8_000, () -> database.promotions > 0);
        Thread.sleep(300);
        reading = false;
        return judge(commit, fronts[0]);
    }

    /** LOST: the log of the router that is promoted lacks an acknowledged commit. */
    private boolean judge(Client.Answer commit, Deployment.Node front) throws Exception {
        boolean lost;
        synchronized (database) {
            DatabaseService.Entry entry = database.entry(commit.id());
            lost = commit.succeeded() && !database.leader.log.contains(entry);
            Recorder.say(
                    "COMMIT %s: %s %s; %s leads, its log ends at %s%s",
                    commit.id(),
                    commit.end(),
                    commit.text(),
                    database.leader.id,
                    database.leader.received(),
                    lost ? " and lacks the acknowledged " + entry.position() : "");
        }
        Client reader = open(new Client("back", front.frontAddress(), "orders"));
        Client.Answer answer = reader.query("READ order");
        Recorder.record("read back: %s %s", answer.end(), answer.rows());
        return lost;
    }
}
