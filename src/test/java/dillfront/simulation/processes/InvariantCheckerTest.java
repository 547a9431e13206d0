package dillfront.simulation.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillfront.routing.Scene;
import dillfront.simulation.processes.Event.Ended;
import dillfront.simulation.processes.Event.ListAcknowledged;
import dillfront.simulation.processes.Event.ListEntrySent;
import dillfront.simulation.processes.Event.QueryEnded;
import dillfront.simulation.processes.Event.QuerySent;
import dillfront.simulation.processes.Event.ReadServed;
import dillfront.simulation.processes.Event.StatementReceived;
import dillfront.simulation.processes.Event.WarmupLoad;
import dillfront.simulation.processes.Event.WriteApplied;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks that each rule detects a planted violation and accepts similar event sequences that are
 * allowed.
 */
class InvariantCheckerTest {

    private static final long MS = 1_000_000;
    private final StringBuilder trace = new StringBuilder();

    private static QuerySent querySent(String txn, String type, long timeoutMs) {
        return new QuerySent(0, txn, type, 0, "k-" + txn, timeoutMs, 0, "r0#1");
    }

    private static StatementReceived statementReceived(String txn, String type, String node) {
        return new StatementReceived(5 * MS, "r0#1", node, 0, txn, type, "k-" + txn);
    }

    private static QueryEnded queryEnded(String txn, String outcome) {
        return new QueryEnded(9 * MS, txn, outcome, "");
    }

    private static ListEntrySent entrySent(long generation, String lifecycle, long startedMs) {
        return new ListEntrySent(0, "r0#1<a0", generation, "s-1", lifecycle, startedMs);
    }

    private void checkScenario(String description, Event... events) {
        trace.append(description)
                .append(": ")
                .append(InvariantChecker.of(List.of(events)).violations())
                .append('\n');
    }

    @Test
    void detectsPlantedViolationsOnly() throws IOException {
        QuerySent query = querySent("t1", "any", 500);
        checkScenario(
                "all well",
                query,
                statementReceived("t1", "any", "s-1"),
                queryEnded("t1", "committed"));
        checkScenario("no answer", query, statementReceived("t1", "any", "s-1"));
        checkScenario(
                "no answer, and the router was killed",
                query,
                statementReceived("t1", "any", "s-1"),
                new Ended("r0#1", true));
        checkScenario(
                "ended by itself with it out",
                query,
                statementReceived("t1", "any", "s-1"),
                new Ended("r0#1", false),
                queryEnded("t1", "broken"));
        checkScenario(
                "two answers", query, queryEnded("t1", "declined"), queryEnded("t1", "committed"));
        checkScenario(
                "sent after the answer",
                query,
                queryEnded("t1", "declined"),
                statementReceived("t1", "any", "s-1"));
        checkScenario("served from nowhere", query, queryEnded("t1", "committed"));
        checkScenario("answered late", query, new QueryEnded(1600 * MS, "t1", "declined", ""));
        QuerySent moveQuery = querySent("t1", "move", 500);
        WriteApplied write = new WriteApplied("s-1", 0, "t1", "move", "k-t1");
        checkScenario(
                "a key twice",
                moveQuery,
                write,
                new WriteApplied("s-2", 0, "t2", "move", "k-t1"),
                queryEnded("t1", "committed"));
        checkScenario(
                "the same key in two groups",
                moveQuery,
                statementReceived("t1", "move", "s-1"),
                write,
                new WriteApplied("s-5", 1, "t2", "move", "k-t1"),
                queryEnded("t1", "committed"));
        checkScenario("declined after it ran", moveQuery, write, queryEnded("t1", "declined"));
        checkScenario("declined, then it ran", moveQuery, queryEnded("t1", "declined"), write);
        checkScenario(
                "rolled back, and it ran",
                moveQuery,
                statementReceived("t1", "move", "s-1"),
                write,
                queryEnded("t1", "rolled-back"));
        checkScenario(
                "once-only, sent again after it ran",
                querySent("t1", "once", 500),
                statementReceived("t1", "once", "s-1"),
                new WriteApplied("s-1", 0, "t1", "once", "k-t1"),
                statementReceived("t1", "once", "s-2"),
                queryEnded("t1", "rolled-back"));
        List<Event> drained = new ArrayList<>(List.of(query, entrySent(42, "draining", 0)));
        StatementReceived lateStatement = statementReceived("t1", "any", "s-1");
        checkScenario(
                "told and not read",
                query,
                entrySent(42, "draining", 0),
                lateStatement,
                queryEnded("t1", "committed"));
        drained.add(new ListAcknowledged(1, "r0#1<a0", 42));
        checkScenario(
                "read, and sent to", with(drained, lateStatement, queryEnded("t1", "committed")));
        checkScenario(
                "opened by an older word",
                with(
                        drained,
                        entrySent(41, "ready", 0),
                        lateStatement,
                        queryEnded("t1", "committed")));
        checkScenario(
                "opened by a newer word, not read yet",
                with(
                        drained,
                        entrySent(43, "ready", 0),
                        lateStatement,
                        queryEnded("t1", "committed")));
        checkScenario(
                "opened by a new start",
                with(
                        drained,
                        entrySent(41, "ready", 7),
                        lateStatement,
                        queryEnded("t1", "committed")));
        checkScenario(
                "heard in another life",
                query,
                new ListEntrySent(0, "r0#2<a0", 42, "s-1", "gone", 0),
                new ListAcknowledged(1, "r0#2<a0", 42),
                lateStatement,
                queryEnded("t1", "committed"));
        checkScenario(
                "left out of a whole list",
                query,
                entrySent(42, "absent", 0),
                new ListAcknowledged(1, "r0#1<a0", 42),
                lateStatement,
                queryEnded("t1", "committed"));
        checkScenario(
                "pressed",
                new WarmupLoad("s-1", 0.9),
                new WarmupLoad("s-1", 1.1),
                new WarmupLoad("s-1", 1.2));
        checkScenario(
                "old data for a bounded read",
                querySent("t1", "view", 500),
                new ReadServed("s-1", "t1", "view", 8_000, 10_000));
        checkScenario(
                "old data for any read",
                query,
                new ReadServed("s-1", "t1", "any", 1_000, 10_000),
                lateStatement,
                queryEnded("t1", "committed"));
        checkScenario(
                "a primary of yesterday",
                querySent("t1", "fresh", 500),
                new ReadServed("s-1", "t1", "fresh", 1_000, 10_000));
        checkScenario(
                "its own write unseen",
                new QuerySent(0, "t1", "own", 0, "k", 500, 9_000, "r0#1"),
                new ReadServed("s-1", "t1", "own", 8_999, 10_000));
        Scene.compare("audit", trace);
    }

    private static Event[] with(List<Event> events, Event... more) {
        List<Event> combined = new ArrayList<>(events);
        combined.addAll(List.of(more));
        return combined.toArray(new Event[0]);
    }

    @Test
    void isDeterministicForSameEvents() {
        List<Event> events =
                List.of(
                        querySent("t1", "any", 500),
                        querySent("t2", "any", 500),
                        statementReceived("t1", "any", "s-1"));
        assertEquals(
                InvariantChecker.of(events).violations(), InvariantChecker.of(events).violations());
        assertEquals(2, InvariantChecker.of(events).violations().size());
    }
}
