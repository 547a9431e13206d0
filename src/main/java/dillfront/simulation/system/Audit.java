package dillfront.simulation.system;

import dillfront.common.database.LogPosition;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Judges a day by the rules, from what clients, servers and the operator saw. */
final class Audit implements Database.Watch {

    /** One try of a client's operation. */
    static final class Try {
        final String id;
        final long begun;
        final Map<String, String> values;
        final Map<String, String> prepared;
        final String kind;
        final long stale;

        /** The session's last answered write, as a count of its database's commits. */
        long token;

        final String database;
        boolean promised;

        /** Of the transaction that it belongs to. */
        final Try first;

        Try(String id, long begun, Client client, Try first) {
            this.id = id;
            this.begun = begun;
            this.first = first == null ? this : first;
            values = new TreeMap<>(client.values);
            prepared = new HashMap<>(client.prepared);
            kind = client.kind;
            stale = client.stale;
            token = client.token;
            database = client.database;
        }
    }

    final Map<String, Try> tries = new HashMap<>();
    final Map<String, Database> databases = new HashMap<>();
    final List<String> breaches = new ArrayList<>();

    private record Acknowledgement(long at, LogPosition position) {}

    /** Commits that were acknowledged to clients, by database, in the order of time. */
    private final Map<String, List<Acknowledgement>> acknowledged = new HashMap<>();

    /** A person's call to give up what a log that ends here lacks, up to there. */
    record Given(String database, LogPosition log, LogPosition until) {}

    /** Those that may have been carried out, and may count for the next promotion. */
    private final List<Given> given = new ArrayList<>();

    /** Acknowledged commits that a person gave up. */
    int givenUp;

    private final Set<String> committed = new HashSet<>();
    private final Sim sim;
    int lost;
    int twice;
    int staleReads;

    /** Answers that belong to another call than the one they came to. */
    int wrongCaller;

    /** Calls that may not be repeated and ran twice. */
    int sentTwice;

    private final Set<String> onceOnly = new HashSet<>();
    int promotions;
    final List<Long> promoteMs = new ArrayList<>();
    final List<Long> configMs = new ArrayList<>();

    /** By server: when an in-touch machine acknowledged that it drains. */
    final Map<String, Long> drained = new HashMap<>();

    long drainMs = 7_000;
    private final Map<String, Long> leaderless = new HashMap<>();

    Audit(Sim sim) {
        this.sim = sim;
    }

    void breach(String rule, String what) {
        breaches.add(rule + " at " + sim.millis() + " ms: " + what);
    }

    /** A client had the answer of a write or commit that wrote. */
    long acknowledge(String database, String id) {
        Database db = databases.get(database);
        LogPosition at = null;
        for (Database.Server s : db.servers) {
            for (int i = s.log.size() - 1; i >= 0 && i > s.log.size() - 400; i--) {
                if (s.log.get(i).write.equals(id)) {
                    at = s.log.get(i).at;
                    break;
                }
            }
        }
        if (at == null) {
            lost++;
            breach("LOST", "the acknowledged write " + id + " is in no log");
            return 0;
        }
        // Somebody leads, so the loss is over; what is lost from now on nobody was shown.
        given.removeIf(g -> g.database().equals(database));
        acknowledged
                .computeIfAbsent(database, d -> new ArrayList<>())
                .add(new Acknowledgement(sim.micros(), at));
        return at.index();
    }

    /** A client's call got the row or the stamp of another. */
    void wrongCaller(String id, String answer) {
        wrongCaller++;
        breach("MIXED", id + " is answered with " + answer);
    }

    private long needed(String database, long before) {
        long most = 0;
        for (Acknowledgement one : acknowledged.getOrDefault(database, List.of())) {
            if (one.at() < before) {
                most = Math.max(most, one.position().index());
            }
        }
        return most;
    }

    @Override
    public void again(Database.Server at, String id) {
        sentTwice++;
        breach("TWICE", id + " takes effect a second time, at " + at.id);
    }

    @Override
    public void runs(
            Database.Server at, Database.Connection by, String id, String text, boolean begins) {
        Try is = tries.get(id);
        if (is == null) {
            breach("UNASKED", at.id + " runs " + id);
            return;
        }
        // A write inside a transaction takes effect with its COMMIT; one that was rolled back does
        // not count (see again).
        boolean once = text.equals("COMMIT") || text.startsWith("WRITE") && by.state == 'I';
        if (once && !onceOnly.add(id)) {
            sentTwice++;
            breach("TWICE", id + " runs a second time, at " + at.id);
        }
        if (begins) {
            Long from = drained.get(at.id);
            if (from != null && sim.micros() > from + drainMs * 1_000) {
                breach("DRAIN", id + " reaches " + at.id);
            }
        }
        if (!by.values.equals(is.values)) {
            breach("PINNED", id + " runs with " + by.values + ", its client has " + is.values);
        }
        if (text.startsWith("READ ") || text.startsWith("WRITE ")) {
            int gap = text.indexOf(" EXECUTE ");
            if (gap > 0 && !is.prepared.containsValue(text.substring(0, gap))) {
                breach("PINNED", id + " runs " + text);
            }
        }
        if (text.startsWith("READ")) {
            long from = is.first.begun - (is.kind.equals("primary") ? 0 : is.stale * 1_000);
            long need = needed(is.database, from);
            if (is.kind.equals("own")) {
                need = Math.max(need, is.first.token);
            }
            // Within a transaction it sees what its first statement saw, and this stand-in shows
            // the newest at each.
            if (at.appliedPosition().index() < need) {
                staleReads++;
                breach(
                        "STALE",
                        id
                                + " ("
                                + is.kind
                                + ") runs at "
                                + at.id
                                + " with "
                                + at.appliedPosition()
                                + ", needs "
                                + need);
            }
        }
    }

    @Override
    public void promoted(Database.Server to) {
        promotions++;
        String database = to.id.substring(0, to.id.indexOf('-'));
        giveUp(database, to.position());
        long need = needed(database, Long.MAX_VALUE);
        if (to.position().index() < need) {
            lost++;
            breach(
                    "LOST",
                    to.id + " is promoted with " + to.position() + ", acknowledged was " + need);
        }
        Long since = leaderless.remove(database);
        if (since != null) {
            promoteMs.add(sim.millis() - since);
        }
    }

    /** A person's call is on its way. */
    Given gives(String database, LogPosition log, LogPosition until) {
        Given is = new Given(database, log, until);
        given.add(is);
        return is;
    }

    /** It was refused, so nothing may follow from it. */
    void refused(Given is) {
        given.removeIf(g -> g == is);
    }

    /**
     * A log that ends here leads: what it lacks, and a person gave up, is counted and missed no
     * more. All else is.
     */
    private void giveUp(String database, LogPosition end) {
        List<Acknowledgement> all = acknowledged.computeIfAbsent(database, d -> new ArrayList<>());
        int before = all.size();
        all.removeIf(
                a ->
                        a.position().index() > end.index()
                                && given.stream()
                                        .anyMatch(
                                                g ->
                                                        g.database().equals(database)
                                                                && end.covers(g.log())
                                                                && !g.log().covers(a.position())
                                                                && g.until().covers(a.position())));
        given.removeIf(g -> g.database().equals(database));
        if (all.size() < before) {
            givenUp += before - all.size();
            tries.values().stream()
                    .filter(t -> t.database.equals(database))
                    .forEach(t -> t.token = Math.min(t.token, end.index()));
            forgets.accept(database, end.index());
        }
    }

    /** Sessions that wrote what was given up need it no more. */
    java.util.function.BiConsumer<String, Long> forgets = (database, number) -> {};

    void leaderless(String database) {
        leaderless.put(database, sim.millis());
    }

    /** At the end: what no log may hold, or hold twice. */
    void close() {
        databases.forEach(
                (name, db) -> {
                    Database.Server most = db.leader();
                    if (most == null) {
                        return;
                    }
                    for (Database.Commit c : most.log) {
                        if (!committed.add(name + " " + c.write)) {
                            twice++;
                            breach("TWICE", c.write + " is twice in the log of " + most.id);
                        }
                        Try is = tries.get(c.write);
                        if (is != null && is.first.promised) {
                            breach(
                                    "REFUSED",
                                    c.write
                                            + " is in the log, and its client was promised that it is not");
                        }
                    }
                });
    }
}
