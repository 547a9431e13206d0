package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A primary and its replicas, as the pages describe them: every commit that writes gets the next
 * number, replicas receive it and apply it later, and with one synchronous replica it is answered
 * once one replica has received it. Guarded by its own lock.
 */
final class DatabaseService implements AutoCloseable {

    /** One commit. */
    record Entry(long term, long number, String id, Map<String, String> data, double committedMillis) {
        String position() {
            return term + "." + number;
        }
    }

    /** A commit whose answer the client has. */
    record Acknowledged(Entry entry, double answeredMillis) {}

    /** A read that ran, with the end of the log that it ran on. */
    record ReadRun(String id, String server, double runMillis, int applied, List<Entry> log) {}

    final String name;
    final long promoteMillis;
    final Map<String, DatabaseServer> servers = new LinkedHashMap<>();
    final List<ReadRun> reads = new ArrayList<>();
    private final Map<String, Entry> entriesById = new TreeMap<>();

    /** The server that leads; null while there is none. */
    DatabaseServer leader;

    /** The server from which replicas receive: the one that leads or led last. */
    DatabaseServer source;

    long newestTerm = 3;
    int promotions;

    /** The number of calls of the platform that will make another server lead. */
    volatile int promotionCalls;

    private final ScheduledExecutorService clock =
            Executors.newScheduledThreadPool(
                    2,
                    task -> {
                        Thread thread = new Thread(task, "database");
                        thread.setDaemon(true);
                        return thread;
                    });

    DatabaseService(String name, long promoteMillis) {
        this.name = name;
        this.promoteMillis = promoteMillis;
        clock.scheduleAtFixedRate(this::replicate, 1, 1, TimeUnit.MILLISECONDS);
    }

    synchronized void lead(DatabaseServer server) {
        leader = server;
        source = server;
        server.term = newestTerm;
    }

    private synchronized void replicate() {
        double now = Recorder.now();
        if (source == null) {
            return;
        }
        for (DatabaseServer server : servers.values()) {
            if (server != source && server.up) {
                receive(server, now);
                while (server.applied < server.log.size()
                        && server.receivedMillis.get(server.applied) + server.applyLagMillis <= now) {
                    server.applied++;
                }
            }
        }
        source.applied = source == leader ? source.log.size() : source.applied;
        notifyAll();
    }

    private void receive(DatabaseServer replica, double now) {
        if (!source.up || replica.pausedTerm != 0 || replica.deaf || replica == leader) {
            return;
        }
        replica.term = Math.max(replica.term, source.term);
        while (replica.log.size() < source.log.size()) {
            Entry next = source.log.get(replica.log.size());
            if (next.committedMillis() + replica.receiveMillis > now) {
                return;
            }
            replica.log.add(next);
            replica.receivedMillis.add(now);
        }
    }

    /** Returns whether some replica that runs has received this many entries. */
    private boolean isReceived(DatabaseServer primary, int length) {
        return servers.values().stream()
                .anyMatch(server -> server != primary && server.up && server.log.size() >= length);
    }

    /**
     * Commits on the server that leads and waits until a replica has it.
     *
     * @return null if the server ended or lost the lead meanwhile, so that the outcome is not told
     */
    synchronized Entry commit(DatabaseServer primary, String id, Map<String, String> data, int life)
            throws InterruptedException {
        long number = primary.log.isEmpty() ? 1_200 : primary.log.get(primary.log.size() - 1).number() + 1;
        Entry entry = new Entry(primary.term, number, id, data, Recorder.now());
        primary.log.add(entry);
        primary.receivedMillis.add(entry.committedMillis());
        primary.applied = primary.log.size();
        entriesById.put(id, entry);
        int length = primary.log.size();
        Recorder.record("%s commits %s as %s", primary.id, id, entry.position());
        while (primary.up && primary.life == life && leader == primary && !isReceived(primary, length)) {
            wait();
        }
        return primary.up && primary.life == life && leader == primary ? entry : null;
    }

    synchronized Entry entry(String id) {
        return entriesById.get(id);
    }

    /** Called by the platform. Returns false if the server does not run. */
    synchronized boolean promote(String id) {
        DatabaseServer server = servers.get(id);
        if (server == null || !server.up) {
            return false;
        }
        if (server != leader) {
            promotionCalls++;
            clock.schedule(() -> finishPromotion(server), promoteMillis, TimeUnit.MILLISECONDS);
        }
        return true;
    }

    private synchronized void finishPromotion(DatabaseServer server) {
        if (server == leader || !server.up) {
            return;
        }
        newestTerm++;
        promotions++;
        leader = server;
        source = server;
        server.term = newestTerm;
        server.applied = server.log.size();
        for (DatabaseServer other : servers.values()) {
            other.pausedTerm = 0;
            while (other != server && other.log.size() > server.log.size()) {
                other.log.remove(other.log.size() - 1);
                other.receivedMillis.remove(other.receivedMillis.size() - 1);
            }
            other.applied = Math.min(other.applied, other.log.size());
        }
        Recorder.say(
                "%s leads term %d from now on; its log ends at %s", server.id, newestTerm, server.received());
        servers.values().forEach(DatabaseServer::beatNow);
        notifyAll();
    }

    @Override
    public void close() {
        clock.shutdownNow();
        new ArrayList<>(servers.values()).forEach(DatabaseServer::stop);
    }
}
