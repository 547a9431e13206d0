package dillfront.simulation.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillfront.routing.RoutingHarness;
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

/** Each rule catches a breach that was planted, and lets pass what only looks like one. */
class InvariantCheckerTest {

    private static final long MS = 1_000_000;
    private final StringBuilder trace = new StringBuilder();

    private static QuerySent querySent(String txn, String type, long timeoutMs) {
        return new QuerySent(0, txn, type, 0, "k-" + txn, timeoutMs, 0, "r0#1");
    }

    private static StatementReceived received(String txn, String type, String node) {
        return new StatementReceived(5 * MS, "r0#1", node, 0, txn, type, "k-" + txn);
    }

    private static QueryEnded ended(String txn, String outcome) {
        return new QueryEnded(9 * MS, txn, outcome, "");
    }

    private static ListEntrySent entrySent(long generation, String lifecycle, long startedMs) {
        return new ListEntrySent(0, "r0#1<a0", generation, "s-1", lifecycle, startedMs);
    }

    private void check(String description, Event... events) {
        trace.append(description)
                .append(": ")
                .append(InvariantChecker.of(List.of(events)).violations())
                .append('\n');
    }

    @Test
    void detectsPlantedViolationsOnly() throws IOException {
        QuerySent query = querySent("t1", "any", 500);
        check("all well", query, received("t1", "any", "s-1"), ended("t1", "committed"));
        check("no answer", query, received("t1", "any", "s-1"));
        check(
                "no answer, and the router was killed",
                query,
                received("t1", "any", "s-1"),
                new Ended("r0#1", true));
        check(
                "ended by itself with it out",
                query,
                received("t1", "any", "s-1"),
                new Ended("r0#1", false),
                ended("t1", "broken"));
        check("two answers", query, ended("t1", "declined"), ended("t1", "committed"));
        check(
                "sent after the answer",
                query,
                ended("t1", "declined"),
                received("t1", "any", "s-1"));
        check("served from nowhere", query, ended("t1", "committed"));
        check("answered late", query, new QueryEnded(1600 * MS, "t1", "declined", ""));
        QuerySent moveQuery = querySent("t1", "move", 500);
        WriteApplied write = new WriteApplied("s-1", 0, "t1", "move", "k-t1");
        check(
                "a key twice",
                moveQuery,
                write,
                new WriteApplied("s-2", 0, "t2", "move", "k-t1"),
                ended("t1", "committed"));
        check(
                "the same key in two groups",
                moveQuery,
                received("t1", "move", "s-1"),
                write,
                new WriteApplied("s-5", 1, "t2", "move", "k-t1"),
                ended("t1", "committed"));
        check("declined after it ran", moveQuery, write, ended("t1", "declined"));
        check("declined, then it ran", moveQuery, ended("t1", "declined"), write);
        check(
                "rolled back, and it ran",
                moveQuery,
                received("t1", "move", "s-1"),
                write,
                ended("t1", "rolled-back"));
        check(
                "once-only, sent again after it ran",
                querySent("t1", "once", 500),
                received("t1", "once", "s-1"),
                new WriteApplied("s-1", 0, "t1", "once", "k-t1"),
                received("t1", "once", "s-2"),
                ended("t1", "rolled-back"));
        List<Event> drained = new ArrayList<>(List.of(query, entrySent(42, "draining", 0)));
        StatementReceived late = received("t1", "any", "s-1");
        check(
                "told and not read",
                query,
                entrySent(42, "draining", 0),
                late,
                ended("t1", "committed"));
        drained.add(new ListAcknowledged(1, "r0#1<a0", 42));
        check("read, and sent to", with(drained, late, ended("t1", "committed")));
        check(
                "opened by an older word",
                with(drained, entrySent(41, "ready", 0), late, ended("t1", "committed")));
        check(
                "opened by a newer word, not read yet",
                with(drained, entrySent(43, "ready", 0), late, ended("t1", "committed")));
        check(
                "opened by a new start",
                with(drained, entrySent(41, "ready", 7), late, ended("t1", "committed")));
        check(
                "heard in another life",
                query,
                new ListEntrySent(0, "r0#2<a0", 42, "s-1", "gone", 0),
                new ListAcknowledged(1, "r0#2<a0", 42),
                late,
                ended("t1", "committed"));
        check(
                "left out of a whole list",
                query,
                entrySent(42, "absent", 0),
                new ListAcknowledged(1, "r0#1<a0", 42),
                late,
                ended("t1", "committed"));
        check(
                "pressed",
                new WarmupLoad("s-1", 0.9),
                new WarmupLoad("s-1", 1.1),
                new WarmupLoad("s-1", 1.2));
        check(
                "old data for a bounded read",
                querySent("t1", "view", 500),
                new ReadServed("s-1", "t1", "view", 8_000, 10_000));
        check(
                "old data for any read",
                query,
                new ReadServed("s-1", "t1", "any", 1_000, 10_000),
                late,
                ended("t1", "committed"));
        check(
                "a primary of yesterday",
                querySent("t1", "fresh", 500),
                new ReadServed("s-1", "t1", "fresh", 1_000, 10_000));
        check(
                "its own write unseen",
                new QuerySent(0, "t1", "own", 0, "k", 500, 9_000, "r0#1"),
                new ReadServed("s-1", "t1", "own", 8_999, 10_000));
        RoutingHarness.assertTraceEquals("audit", trace);
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
                        received("t1", "any", "s-1"));
        assertEquals(
                InvariantChecker.of(events).violations(), InvariantChecker.of(events).violations());
        assertEquals(2, InvariantChecker.of(events).violations().size());
    }
}
