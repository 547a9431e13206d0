package dillfront.simulation.processes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Judges the five rules over a whole rig, from what its stand-ins recorded, across all lives of its
 * routers. Pure: the same record, the same verdict. A rule about lists counts from when the router
 * has shown that it read the word, not from a time, so that a slow machine makes no breach and
 * hides none.
 */
public final class InvariantChecker {

    /** One breach: the rule by its number, and what happened where. */
    public record Violation(int rule, String description) {

        @Override
        public String toString() {
            return "rule " + rule + ": " + description;
        }
    }

    /** An answer so late counts as none; and data so much older than it may be counts as stale. */
    private static final long TOLERANCE_MS = 1000;

    /** The last word that closed a node, as one life has heard it. */
    private record ClosedNode(long generation, long startedMs, String lifecycle) {}

    private static final class Incarnation {
        boolean killed;
        boolean ended;

        /** Told, and not yet shown to be read. */
        final List<Event.ListEntrySent> unacknowledged = new ArrayList<>();

        final Map<String, ClosedNode> closedNodes;

        Incarnation(Map<String, ClosedNode> closed) {
            this.closedNodes = closed;
        }
    }

    private static final class TransactionState {
        Event.QuerySent query;
        Event.QueryEnded result;
        boolean applied;
        int sendCount;
    }

    private final List<Violation> violations = new ArrayList<>();
    private final Map<String, Incarnation> incarnations = new HashMap<>();
    private final Map<String, TransactionState> transactions = new TreeMap<>();
    private final Map<String, String> applied = new HashMap<>();
    private final Set<String> overloadedNodes = new HashSet<>();
    private double peakWarmupLoad;
    private int sent;

    /**
     * What closes a node binds a router in all its lives, since it remembers; else in the life that
     * has heard it.
     */
    private final boolean closuresPersist;

    private final Map<String, Map<String, ClosedNode>> closedNodesByOwner = new HashMap<>();

    private InvariantChecker(boolean remembers) {
        this.closuresPersist = remembers;
    }

    /** All breaches of this record; the run is over, and who has no answer by now gets none. */
    public static InvariantChecker of(List<Event> record) {
        return of(record, false);
    }

    /**
     * @param remembers routers keep over their lives what closes a node
     */
    public static InvariantChecker of(List<Event> record, boolean remembers) {
        InvariantChecker audit = new InvariantChecker(remembers);
        record.forEach(audit::apply);
        audit.checkUnanswered();
        return audit;
    }

    public List<Violation> violations() {
        return violations;
    }

    /** How near any cold node came to falling over. */
    public double peakWarmupLoad() {
        return peakWarmupLoad;
    }

    public int sent() {
        return sent;
    }

    public long countEnded(String how) {
        return transactions.values().stream()
                .filter(t -> t.result != null && t.result.outcome().equals(how))
                .count();
    }

    public int queryCount() {
        return transactions.size();
    }

    private void addViolation(int rule, String what) {
        violations.add(new Violation(rule, what));
    }

    private Incarnation incarnation(String name) {
        String who = closuresPersist ? name.replaceAll("#.*", "") : name;
        return incarnations.computeIfAbsent(
                name, k -> new Incarnation(closedNodesByOwner.computeIfAbsent(who, w -> new HashMap<>())));
    }

    private TransactionState transaction(String id) {
        return transactions.computeIfAbsent(id, k -> new TransactionState());
    }

    private void apply(Event what) {
        // Java 17 has no patterns in switch yet.
        if (what instanceof Event.Ended e) {
            incarnation(e.incarnation()).ended = true;
            incarnation(e.incarnation()).killed |= e.killed();
        } else if (what instanceof Event.ListEntrySent t) {
            incarnation(t.subscription().replaceAll("<.*", "")).unacknowledged.add(t);
        } else if (what instanceof Event.ListAcknowledged h) {
            acknowledge(h);
        } else if (what instanceof Event.StatementReceived s) {
            sent(s);
        } else if (what instanceof Event.WriteApplied r) {
            applied(r);
        } else if (what instanceof Event.ReadServed r) {
            checkRead(r);
        } else if (what instanceof Event.WarmupLoad p) {
            peakWarmupLoad = Math.max(peakWarmupLoad, p.limitRatio());
            if (p.limitRatio() >= 1 && overloadedNodes.add(p.node())) {
                addViolation(4, "node " + p.node() + " was cold and fell over");
            }
        } else if (what instanceof Event.QuerySent a) {
            transaction(a.txn()).query = a;
        } else if (what instanceof Event.QueryEnded a) {
            queryEnded(a);
        }
    }

    // ---- what closes a node

    private void acknowledge(Event.ListAcknowledged h) {
        Incarnation life = incarnation(h.subscription().replaceAll("<.*", ""));
        for (Event.ListEntrySent t : List.copyOf(life.unacknowledged)) {
            if (t.subscription().equals(h.subscription()) && t.generation() <= h.generation()) {
                life.unacknowledged.remove(t);
                applyEntry(life, t, true);
            }
        }
    }

    /**
     * A word that opens a node counts once told, one that closes it once read; only a newer word or
     * start opens it again.
     */
    private static void applyEntry(Incarnation life, Event.ListEntrySent t, boolean read) {
        ClosedNode before = life.closedNodes.get(t.node());
        boolean newer =
                before == null
                        || t.generation() > before.generation
                        || t.startedMs() > before.startedMs;
        if (t.lifecycle().equals("ready")) {
            if (newer) {
                life.closedNodes.remove(t.node());
            }
        } else if (read && (newer || t.generation() == before.generation)) {
            life.closedNodes.put(
                    t.node(),
                    new ClosedNode(
                            t.generation(),
                            before == null
                                    ? t.startedMs()
                                    : Math.max(t.startedMs(), before.startedMs),
                            t.lifecycle()));
        }
    }

    private void sent(Event.StatementReceived s) {
        sent++;
        Incarnation life = incarnation(s.incarnation());
        for (Event.ListEntrySent t : life.unacknowledged) {
            applyEntry(life, t, false);
        }
        ClosedNode closed = life.closedNodes.get(s.node());
        if (closed != null) {
            addViolation(
                    3,
                    s.incarnation()
                            + " sent "
                            + s.txn()
                            + " to "
                            + s.node()
                            + ", which is "
                            + closed.lifecycle
                            + " by generation "
                            + closed.generation);
        }
        TransactionState txn = transaction(s.txn());
        txn.sendCount++;
        if (txn.result != null && !txn.result.outcome().equals("broken")) {
            addViolation(
                    1,
                    s.incarnation() + " sent " + s.txn() + " to " + s.node() + " after its final answer");
        }
        if (txn.applied && s.type().equals("once")) {
            addViolation(2, s.incarnation() + " sent " + s.txn() + " again, once-only, after it had run");
        }
    }

    // ---- effects and answers

    private void applied(Event.WriteApplied r) {
        TransactionMix.TransactionType type = TransactionMix.type(r.type());
        transaction(r.txn()).applied = true;
        if (type.isWrite()) {
            String before = applied.putIfAbsent(r.group() + " " + r.key(), r.txn());
            if (before != null) {
                addViolation(2, "key " + r.key() + " had its effect by " + before + " and by " + r.txn());
            }
        }
        if (transaction(r.txn()).result != null) {
            checkDeclinedNotApplied(r.txn());
        }
    }

    private void checkDeclinedNotApplied(String id) {
        TransactionState txn = transactions.get(id);
        if (txn.applied && txn.result.outcome().equals("declined")) {
            addViolation(2, id + " was declined, and it has run");
        }
    }

    private void queryEnded(Event.QueryEnded a) {
        TransactionState txn = transaction(a.txn());
        if (txn.result != null) {
            addViolation(1, a.txn() + " was answered " + txn.result.outcome() + " and " + a.outcome());
            return;
        }
        txn.result = a;
        if (a.outcome().equals("committed") && txn.sendCount == 0) {
            addViolation(1, a.txn() + " was served what no node made for it");
        }
        checkDeclinedNotApplied(a.txn());
        long lateMs = (a.atNanos() - txn.query.atNanos()) / 1_000_000 - txn.query.timeoutMs();
        if (lateMs > TOLERANCE_MS && !incarnation(txn.query.incarnation()).killed && !a.outcome().equals("unreached")) {
            addViolation(
                    1,
                    a.txn()
                            + " of "
                            + txn.query.incarnation()
                            + " was answered "
                            + a.outcome()
                            + " "
                            + lateMs
                            + " ms after its client gave up");
        }
    }

    private void checkRead(Event.ReadServed r) {
        TransactionMix.TransactionType type = TransactionMix.type(r.type());
        Event.QuerySent asked = transaction(r.txn()).query;
        long ageMs = r.servedMs() - r.positionMs();
        if (type.consistency().equals("causal")
                && asked != null
                && asked.sessionWriteMs() > 0
                && r.positionMs() < asked.sessionWriteMs()) {
            addViolation(
                    5,
                    r.txn()
                            + " at "
                            + r.node()
                            + " did not see its session's write, "
                            + (asked.sessionWriteMs() - r.positionMs())
                            + " ms behind");
        }
        if (type.consistency().equals("lag_bound") && ageMs > type.maxStalenessMs() + TOLERANCE_MS
                || type.consistency().equals("strong") && ageMs > TOLERANCE_MS) {
            addViolation(
                    5,
                    r.txn()
                            + ", "
                            + r.type()
                            + ", at "
                            + r.node()
                            + " was answered from data "
                            + ageMs
                            + " ms old");
        }
    }

    private void checkUnanswered() {
        transactions.forEach(
                (id, txn) -> {
                    if (txn.query == null) {
                        return;
                    }
                    Incarnation life = incarnation(txn.query.incarnation());
                    boolean broken = txn.result != null && txn.result.outcome().equals("broken");
                    if ((txn.result == null || broken) && !life.killed) {
                        addViolation(
                                1,
                                id
                                        + " of "
                                        + txn.query.incarnation()
                                        + (broken
                                                ? ": its connection ended with no answer"
                                                : " has no answer"));
                    }
                });
    }
}
