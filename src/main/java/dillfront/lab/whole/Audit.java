package dillfront.lab.whole;

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
        final long token;
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
    /** Commits that were acknowledged to clients, as their numbers in the log, by database, in the order of time. */
    private final Map<String, List<long[]>> acknowledged = new HashMap<>();
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
        long number = -1;
        for (Database.Server s : db.servers) {
            for (int i = s.log.size() - 1; i >= 0 && i > s.log.size() - 400; i--) {
                if (s.log.get(i).write.equals(id)) {
                    number = s.log.get(i).at.number();
                    break;
                }
            }
        }
        if (number < 0) {
            lost++;
            breach("LOST", "the acknowledged write " + id + " is in no log");
            return 0;
        }
        acknowledged.computeIfAbsent(database, d -> new ArrayList<>()).add(new long[] {sim.micros(), number});
        return number;
    }

    /** A client's call got the row or the stamp of another. */
    void wrongCaller(String id, String answer) {
        wrongCaller++;
        breach("MIXED", id + " is answered with " + answer);
    }

    private long needed(String database, long before) {
        long most = 0;
        for (long[] one : acknowledged.getOrDefault(database, List.of())) {
            if (one[0] < before) {
                most = Math.max(most, one[1]);
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
    public void runs(Database.Server at, Database.Connection by, String id, String text, boolean begins) {
        Try is = tries.get(id);
        if (is == null) {
            breach("UNASKED", at.id + " runs " + id);
            return;
        }
        // A write inside a transaction takes effect with its COMMIT; one that was rolled back does not count (see again).
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
            // Within a transaction it sees what its first statement saw, and this stand-in shows the newest at each.
            if (at.appliedPosition().number() < need) {
                staleReads++;
                breach("STALE", id + " (" + is.kind + ") runs at " + at.id + " with " + at.appliedPosition() + ", needs " + need);
            }
        }
    }

    @Override
    public void promoted(Database.Server to) {
        promotions++;
        String database = to.id.substring(0, to.id.indexOf('-'));
        long need = needed(database, Long.MAX_VALUE);
        if (to.position().number() < need) {
            lost++;
            breach("LOST", to.id + " is promoted with " + to.position() + ", acknowledged was " + need);
        }
        Long since = leaderless.remove(database);
        if (since != null) {
            promoteMs.add(sim.millis() - since);
        }
    }

    void leaderless(String database) {
        leaderless.put(database, sim.millis());
    }

    /** At the end: what no log may hold, or hold twice. */
    void close() {
        databases.forEach((name, db) -> {
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
                    breach("REFUSED", c.write + " is in the log, and its client was promised that it is not");
                }
            }
        });
    }
}
