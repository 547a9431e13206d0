package review;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * A replica is replaced while the others receive nothing for a while; meanwhile the primary
 * crashes. The writes of one moment were acknowledged by way of the replica that has left.
 */
final class LostCommits extends Case {

    private static final int SESSIONS = 8;
    private static final long[] WORK_MILLIS = {60, 150, 160, 170, 180, 190, 200, 210};

    /** How long the crashed primary is away; it returns with its log. */
    private static final long AWAY_MILLIS = 7_000;

    private volatile boolean reading = true;

    private LostCommits() throws Exception {}

    public static void main(String[] arguments) throws Exception {
        main(arguments[0], LostCommits::new);
    }

    private DatabaseServer server(String id, String zone) throws Exception {
        String address = deployment.newAddress();
        return new DatabaseServer(database, id, zone, address, address, controlAddresses());
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < 3; i++) {
            deployment.add("core-" + (i + 1), "control-plane", i);
        }
        Deployment.Node front = deployment.add("front-1", "data-plane", 0);
        Deployment.Node other = deployment.add("front-2", "data-plane", 1);
        DatabaseServer primary = server("i-primary", "whk-hall-a");
        database.lead(primary);
        DatabaseServer leaving = server("i-replica-1", "wvb-hall-a");
        DatabaseServer replica = server("i-replica-2", "ktm-hall-a");
        startSystem(front, other);

        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < SESSIONS; i++) {
            clients.add(open(new Client("c" + i, front.frontAddress(), "orders")));
        }
        Client reader = open(new Client("reader", other.frontAddress(), "orders"));
        double end = Recorder.now() + 15_000;
        while (!clients.get(0).query("WRITE first x").succeeded()) {
            if (Recorder.now() > end) {
                throw new CannotRunException("no write was acknowledged");
            }
            Thread.sleep(200);
        }
        for (int round = 0; round < 2; round++) {
            together(clients.stream().map(client -> (Runnable) () -> client.query("READ first")).toList());
        }
        reader.query("READ first");

        // The replica is replaced: the new one starts first, then the old one drains.
        DatabaseServer replacement = server("i-replica-3", "wvb-hall-a");
        replacement.start();
        Thread.sleep(2_000);
        leaving.drain();
        double drained = Recorder.now();
        Thread.sleep(5_000);

        // Several clients write at once. The replicas that stay receive the first write and then nothing.
        int before = primary.log.size();
        List<Client.Answer> answers = new ArrayList<>();
        List<Runnable> writes = new ArrayList<>();
        for (int i = 0; i < SESSIONS; i++) {
            int number = i;
            writes.add(
                    () -> {
                        Client.Answer answer =
                                clients.get(number).query("WRITE order-" + number + " w" + WORK_MILLIS[number]);
                        synchronized (answers) {
                            answers.add(answer);
                        }
                    });
        }
        if (trouble) {
            writes.add(
                    () -> {
                        while (replica.log.size() == before || replacement.log.size() == before) {
                            sleep(1);
                        }
                        replica.deaf = true;
                        replacement.deaf = true;
                        Recorder.record("i-replica-2 and i-replica-3 receive nothing from now on");
                    });
        }
        together(writes);
        long acknowledged = answers.stream().filter(Client.Answer::succeeded).count();
        if (acknowledged < SESSIONS) {
            throw new CannotRunException("only " + acknowledged + " writes were acknowledged");
        }

        // The replica has served its drain time and leaves; then the primary crashes.
        Thread.sleep(Math.max(0, (long) (drained + 7_400 - Recorder.now())));
        leaving.leave();
        Thread.sleep(2_500);
        readOn(reader);
        readOn(open(new Client("reader-1", front.frontAddress(), "orders")));
        Thread.sleep(300);
        primary.stop();
        double crashed = Recorder.now();
        while (Recorder.now() < crashed + AWAY_MILLIS && database.promotions == 0) {
            Thread.sleep(20);
        }
        if (database.promotions == 0) {
            primary.start();
            Recorder.say("i-primary is back after %d ms; nobody was promoted before", AWAY_MILLIS);
            Thread.sleep(3_000);
        }
        reading = false;
        return judge(answers, open(new Client("back", other.frontAddress(), "orders")));
    }

    /** Reads now and then, so that the data planes notice the loss of the primary. */
    private void readOn(Client client) {
        Thread thread =
                new Thread(
                        () -> {
                            while (reading) {
                                client.query("READ first");
                                sleep(200);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** LOST: the log of the router that is promoted lacks an acknowledged commit. */
    private boolean judge(List<Client.Answer> answers, Client reader) throws Exception {
        TreeSet<String> lacking = new TreeSet<>();
        synchronized (database) {
            DatabaseServer leader = database.leader;
            if (leader == null) {
                Recorder.say("no server leads");
                return false;
            }
            Recorder.say("%s leads, its log ends at %s", leader.id, leader.received());
            for (Client.Answer answer : answers) {
                DatabaseService.Entry entry = database.entry(answer.id());
                if (!leader.log.contains(entry)) {
                    lacking.add(entry.position() + " of " + answer.id());
                }
            }
        }
        Recorder.say("acknowledged commits that its log lacks: %d %s", lacking.size(), lacking);
        Thread.sleep(1_500);
        for (int i = 0; i < SESSIONS; i++) {
            Client.Answer answer = reader.query("READ order-" + i);
            Recorder.record("read back order-%d: %s %s", i, answer.end(), answer.rows());
        }
        return !lacking.isEmpty();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
