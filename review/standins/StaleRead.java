package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The primary is replaced while the replicas apply late and some answers of replicas reach a data
 * plane late. A read on a bounded_staleness route then runs on a log that lacks a commit which was
 * acknowledged more than max_staleness_ms before.
 */
final class StaleRead extends Case {

    private static final double MAX_STALENESS_MILLIS = 1_500;
    private static final double APPLY_LAG_MILLIS = 2_600;

    private final Map<String, Relay> relays = new ConcurrentHashMap<>();
    private final List<Client.Answer> answers = new ArrayList<>();

    private StaleRead() throws Exception {}

    public static void main(String[] arguments) throws Exception {
        main(arguments[0], StaleRead::new);
    }

    private DatabaseServer server(String id, String zone) throws Exception {
        String address = deployment.newAddress();
        String told = deployment.newAddress();
        relays.put(id, open(new Relay(told, address)));
        return new DatabaseServer(database, id, zone, address, told, controlAddresses());
    }

    private Client.Answer read(Client client, String thing) {
        Client.Answer answer = client.query("READ " + thing);
        synchronized (answers) {
            answers.add(answer);
        }
        return answer;
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < 3; i++) {
            deployment.add("core-" + (i + 1), "control-plane", i);
        }
        Deployment.Node writing = deployment.add("front-1", "data-plane", 0);
        Deployment.Node reading = deployment.add("front-2", "data-plane", 1);
        DatabaseServer primary = server("i-primary", "whk-hall-a");
        database.lead(primary);
        List<DatabaseServer> replicas = List.of(server("i-replica-1", "wvb-hall-a"), server("i-replica-2", "wvb-hall-a"));
        startSystem(writing, reading);
        Client writer = open(new Client("writer", writing.frontAddress(), "orders"));
        Client fresh = open(new Client("fresh", reading.frontAddress(), "orders"));
        List<Client> lookups = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            lookups.add(open(new Client("lookup-" + i, reading.frontAddress(), "lookups")));
        }
        double end = Recorder.now() + 15_000;
        while (!writer.query("WRITE thing old").succeeded()) {
            if (Recorder.now() > end) {
                throw new CannotRunException("no write was acknowledged");
            }
            Thread.sleep(200);
        }
        Deployment.await(
                "front-2 knows the primary",
                15_000,
                () -> reading.status().matches("(?s).*primary=i-primary servers=3.*"));
        Thread.sleep(3_000);
        // Opens the connections to the replicas.
        for (int round = 0; round < 3; round++) {
            fresh.query("READ thing");
            together(lookups.stream().map(client -> (Runnable) () -> read(client, "thing")).toList());
            Thread.sleep(100);
        }
        Thread.sleep(1_500);

        replicas.forEach(replica -> replica.applyLagMillis = APPLY_LAG_MILLIS);
        Recorder.record("the replicas apply %.0f ms late from now on", APPLY_LAG_MILLIS);
        fresh.query("READ thing");
        Thread.sleep(100);
        Client.Answer write = writer.query("WRITE thing new");
        if (!write.succeeded()) {
            throw new CannotRunException("the write was not acknowledged");
        }
        Thread.sleep(300);
        if (trouble) {
            replicas.forEach(replica -> relays.get(replica.id).hold(reading.name));
        }
        Thread reads =
                new Thread(
                        () -> {
                            try {
                                together(
                                        lookups.stream()
                                                .map(client -> (Runnable) () -> read(client, "thing"))
                                                .toList());
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        int before = database.reads.size();
        reads.start();
        Deployment.await("both reads have run", 1_000, () -> database.reads.size() >= before + lookups.size());
        Thread.sleep(40);
        double drained = Recorder.now();
        primary.drain();
        Deployment.await("a new primary", 3_000, () -> database.promotions > 0);
        String leader = database.leader.id;
        Deployment.await(
                "front-2 knows the new primary",
                2_000,
                () -> reading.status().matches("(?s).*primary=" + leader + " servers.*"));
        Recorder.record("front-2 knows the new primary %.0f ms after the drain", Recorder.now() - drained);
        Thread.sleep(20);
        replicas.forEach(replica -> relays.get(replica.id).release());
        reads.join();

        // Reads from the moment on when the write is older than the route allows.
        double due = write.answeredMillis() + MAX_STALENESS_MILLIS + 60;
        Thread.sleep(Math.max(0, (long) (due - Recorder.now())));
        while (Recorder.now() < due + 600) {
            read(lookups.get(0), "thing");
            Thread.sleep(20);
        }
        return judge(write);
    }

    /** STALE: a read on a bounded_staleness route ran on a log that lacks a commit acknowledged more than max_staleness_ms before. */
    private boolean judge(Client.Answer write) {
        DatabaseService.Entry commit = database.entry(write.id());
        int stale = 0;
        for (Client.Answer answer : answers) {
            double age = answer.sentMillis() - write.answeredMillis();
            if (age <= MAX_STALENESS_MILLIS) {
                continue;
            }
            synchronized (database) {
                for (DatabaseService.ReadRun run : database.reads) {
                    if (run.id().equals(answer.id()) && !run.log().contains(commit)) {
                        stale++;
                        Recorder.say(
                                "read %s, sent %.0f ms after the acknowledgement of %s, ran on %s, whose log lacks it; the"
                                        + " client got %s %s",
                                answer.id(), age, commit.position(), run.server(), answer.end(), answer.rows());
                    }
                }
            }
        }
        Recorder.say("stale reads: %d of %d", stale, answers.size());
        return stale > 0;
    }
}
