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

        Incarnation(Map<String, ClosedNode> closedNodes) {
            this.closedNodes = closedNodes;
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

    private InvariantChecker(boolean closuresPersist) {
        this.closuresPersist = closuresPersist;
    }

    /** All breaches of this record; the run is over, and who has no answer by now gets none. */
    public static InvariantChecker of(List<Event> events) {
        return of(events, false);
    }

    /**
     * @param closuresPersist routers keep over their lives what closes a node
     */
    public static InvariantChecker of(List<Event> events, boolean closuresPersist) {
        InvariantChecker checker = new InvariantChecker(closuresPersist);
        events.forEach(checker::apply);
        checker.checkUnanswered();
        return checker;
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

    public long countEnded(String outcome) {
        return transactions.values().stream()
                .filter(
                        transaction ->
                                transaction.result != null
                                        && transaction.result.outcome().equals(outcome))
                .count();
    }

    public int queryCount() {
        return transactions.size();
    }

    private void addViolation(int rule, String description) {
        violations.add(new Violation(rule, description));
    }

    private Incarnation incarnation(String name) {
        String owner = closuresPersist ? name.replaceAll("#.*", "") : name;
        return incarnations.computeIfAbsent(
                name,
                k ->
                        new Incarnation(
                                closedNodesByOwner.computeIfAbsent(owner, w -> new HashMap<>())));
    }

    private TransactionState transaction(String id) {
        return transactions.computeIfAbsent(id, k -> new TransactionState());
    }

    private void apply(Event event) {
        // Java 17 has no patterns in switch yet.
        if (event instanceof Event.Ended ended) {
            incarnation(ended.incarnation()).ended = true;
            incarnation(ended.incarnation()).killed |= ended.killed();
        } else if (event instanceof Event.ListEntrySent entry) {
            incarnation(entry.subscription().replaceAll("<.*", "")).unacknowledged.add(entry);
        } else if (event instanceof Event.ListAcknowledged acknowledgement) {
            acknowledge(acknowledgement);
        } else if (event instanceof Event.StatementReceived statement) {
            sent(statement);
        } else if (event instanceof Event.WriteApplied r) {
            applied(r);
        } else if (event instanceof Event.ReadServed r) {
            checkRead(r);
        } else if (event instanceof Event.WarmupLoad load) {
            peakWarmupLoad = Math.max(peakWarmupLoad, load.limitRatio());
            if (load.limitRatio() >= 1 && overloadedNodes.add(load.node())) {
                addViolation(4, "node " + load.node() + " was cold and fell over");
            }
        } else if (event instanceof Event.QuerySent a) {
            transaction(a.txn()).query = a;
        } else if (event instanceof Event.QueryEnded a) {
            queryEnded(a);
        }
    }

    // ---- what closes a node

    private void acknowledge(Event.ListAcknowledged acknowledgement) {
        Incarnation incarnation = incarnation(acknowledgement.subscription().replaceAll("<.*", ""));
        for (Event.ListEntrySent entry : List.copyOf(incarnation.unacknowledged)) {
            if (entry.subscription().equals(acknowledgement.subscription())
                    && entry.generation() <= acknowledgement.generation()) {
                incarnation.unacknowledged.remove(entry);
                applyEntry(incarnation, entry, true);
            }
        }
    }

    /**
     * A word that opens a node counts once told, one that closes it once read; only a newer word or
     * start opens it again.
     */
    private static void applyEntry(
            Incarnation incarnation, Event.ListEntrySent entry, boolean acknowledged) {
        ClosedNode previous = incarnation.closedNodes.get(entry.node());
        boolean newer =
                previous == null
                        || entry.generation() > previous.generation
                        || entry.startedMs() > previous.startedMs;
        if (entry.lifecycle().equals("ready")) {
            if (newer) {
                incarnation.closedNodes.remove(entry.node());
            }
        } else if (acknowledged && (newer || entry.generation() == previous.generation)) {
            incarnation.closedNodes.put(
                    entry.node(),
                    new ClosedNode(
                            entry.generation(),
                            previous == null
                                    ? entry.startedMs()
                                    : Math.max(entry.startedMs(), previous.startedMs),
                            entry.lifecycle()));
        }
    }

    private void sent(Event.StatementReceived statement) {
        sent++;
        Incarnation incarnation = incarnation(statement.incarnation());
        for (Event.ListEntrySent entry : incarnation.unacknowledged) {
            applyEntry(incarnation, entry, false);
        }
        ClosedNode closed = incarnation.closedNodes.get(statement.node());
        if (closed != null) {
            addViolation(
                    3,
                    statement.incarnation()
                            + " sent "
                            + statement.txn()
                            + " to "
                            + statement.node()
                            + ", which is "
                            + closed.lifecycle
                            + " by generation "
                            + closed.generation);
        }
        TransactionState transaction = transaction(statement.txn());
        transaction.sendCount++;
        if (transaction.result != null && !transaction.result.outcome().equals("broken")) {
            addViolation(
                    1,
                    statement.incarnation()
                            + " sent "
                            + statement.txn()
                            + " to "
                            + statement.node()
                            + " after its final answer");
        }
        if (transaction.applied && statement.type().equals("once")) {
            addViolation(
                    2,
                    statement.incarnation()
                            + " sent "
                            + statement.txn()
                            + " again, once-only, after it had run");
        }
    }

    // ---- effects and answers

    private void applied(Event.WriteApplied write) {
        TransactionMix.TransactionType type = TransactionMix.type(write.type());
        transaction(write.txn()).applied = true;
        if (type.isWrite()) {
            String previousTxn =
                    applied.putIfAbsent(write.group() + " " + write.key(), write.txn());
            if (previousTxn != null) {
                addViolation(
                        2,
                        "key "
                                + write.key()
                                + " had its effect by "
                                + previousTxn
                                + " and by "
                                + write.txn());
            }
        }
        if (transaction(write.txn()).result != null) {
            checkDeclinedNotApplied(write.txn());
        }
    }

    private void checkDeclinedNotApplied(String id) {
        TransactionState transaction = transactions.get(id);
        if (transaction.applied && transaction.result.outcome().equals("declined")) {
            addViolation(2, id + " was declined, and it has run");
        }
    }

    private void queryEnded(Event.QueryEnded ended) {
        TransactionState transaction = transaction(ended.txn());
        if (transaction.result != null) {
            addViolation(
                    1,
                    ended.txn()
                            + " was answered "
                            + transaction.result.outcome()
                            + " and "
                            + ended.outcome());
            return;
        }
        transaction.result = ended;
        if (ended.outcome().equals("committed") && transaction.sendCount == 0) {
            addViolation(1, ended.txn() + " was served what no node made for it");
        }
        checkDeclinedNotApplied(ended.txn());
        long lateMs =
                (ended.atNanos() - transaction.query.atNanos()) / 1_000_000
                        - transaction.query.timeoutMs();
        if (lateMs > TOLERANCE_MS
                && !incarnation(transaction.query.incarnation()).killed
                && !ended.outcome().equals("unreached")) {
            addViolation(
                    1,
                    ended.txn()
                            + " of "
                            + transaction.query.incarnation()
                            + " was answered "
                            + ended.outcome()
                            + " "
                            + lateMs
                            + " ms after its client gave up");
        }
    }

    private void checkRead(Event.ReadServed read) {
        TransactionMix.TransactionType type = TransactionMix.type(read.type());
        Event.QuerySent query = transaction(read.txn()).query;
        long ageMs = read.servedMs() - read.positionMs();
        if (type.readClass().equals("causal")
                && query != null
                && query.sessionWriteMs() > 0
                && read.positionMs() < query.sessionWriteMs()) {
            addViolation(
                    5,
                    read.txn()
                            + " at "
                            + read.node()
                            + " did not see its session's write, "
                            + (query.sessionWriteMs() - read.positionMs())
                            + " ms behind");
        }
        if (type.readClass().equals("lag_bound") && ageMs > type.maxStalenessMs() + TOLERANCE_MS
                || type.readClass().equals("strong") && ageMs > TOLERANCE_MS) {
            addViolation(
                    5,
                    read.txn()
                            + ", "
                            + read.type()
                            + ", at "
                            + read.node()
                            + " was answered from data "
                            + ageMs
                            + " ms old");
        }
    }

    private void checkUnanswered() {
        transactions.forEach(
                (id, transaction) -> {
                    if (transaction.query == null) {
                        return;
                    }
                    Incarnation incarnation = incarnation(transaction.query.incarnation());
                    boolean connectionBroken =
                            transaction.result != null
                                    && transaction.result.outcome().equals("broken");
                    if ((transaction.result == null || connectionBroken) && !incarnation.killed) {
                        addViolation(
                                1,
                                id
                                        + " of "
                                        + transaction.query.incarnation()
                                        + (connectionBroken
                                                ? ": its connection ended with no answer"
                                                : " has no answer"));
                    }
                });
    }
}
