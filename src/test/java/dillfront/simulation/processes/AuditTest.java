package dillfront.simulation.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillfront.routing.RoutingHarness;
import dillfront.simulation.processes.Happening.Answered;
import dillfront.simulation.processes.Happening.Asked;
import dillfront.simulation.processes.Happening.Ended;
import dillfront.simulation.processes.Happening.Heard;
import dillfront.simulation.processes.Happening.Pressed;
import dillfront.simulation.processes.Happening.Ran;
import dillfront.simulation.processes.Happening.Read;
import dillfront.simulation.processes.Happening.Sent;
import dillfront.simulation.processes.Happening.Told;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each rule catches a breach that was planted, and lets pass what only looks like one. */
class AuditTest {

    private static final long MS = 1_000_000;
    private final StringBuilder trace = new StringBuilder();

    private static Asked asked(String txn, String type, long waitMs) {
        return new Asked(0, txn, type, 0, "k-" + txn, waitMs, 0, "r0#1");
    }

    private static Sent sent(String txn, String type, String node) {
        return new Sent(5 * MS, "r0#1", node, 0, txn, type, "k-" + txn);
    }

    private static Answered answered(String txn, String how) {
        return new Answered(9 * MS, txn, how, "");
    }

    private static Told told(long generation, String standing, long startedMs) {
        return new Told(0, "r0#1<a0", generation, "s-1", standing, startedMs);
    }

    private void scene(String what, Happening... record) {
        trace.append(what).append(": ").append(Audit.of(List.of(record)).breaches()).append('\n');
    }

    @Test
    void plantedBreachesAreCaughtAndOthersPass() throws IOException {
        Asked a = asked("t1", "any", 500);
        scene("all well", a, sent("t1", "any", "s-1"), answered("t1", "committed"));
        scene("no answer", a, sent("t1", "any", "s-1"));
        scene(
                "no answer, and the router was killed",
                a,
                sent("t1", "any", "s-1"),
                new Ended("r0#1", true));
        scene(
                "ended by itself with it out",
                a,
                sent("t1", "any", "s-1"),
                new Ended("r0#1", false),
                answered("t1", "broken"));
        scene("two answers", a, answered("t1", "declined"), answered("t1", "committed"));
        scene("sent after the answer", a, answered("t1", "declined"), sent("t1", "any", "s-1"));
        scene("served from nowhere", a, answered("t1", "committed"));
        scene("answered late", a, new Answered(1600 * MS, "t1", "declined", ""));
        Asked m = asked("t1", "move", 500);
        Ran ran = new Ran("s-1", 0, "t1", "move", "k-t1");
        scene(
                "a key twice",
                m,
                ran,
                new Ran("s-2", 0, "t2", "move", "k-t1"),
                answered("t1", "committed"));
        scene(
                "the same key in two groups",
                m,
                sent("t1", "move", "s-1"),
                ran,
                new Ran("s-5", 1, "t2", "move", "k-t1"),
                answered("t1", "committed"));
        scene("declined after it ran", m, ran, answered("t1", "declined"));
        scene("declined, then it ran", m, answered("t1", "declined"), ran);
        scene(
                "rolled back, and it ran",
                m,
                sent("t1", "move", "s-1"),
                ran,
                answered("t1", "rolled-back"));
        scene(
                "once-only, sent again after it ran",
                asked("t1", "once", 500),
                sent("t1", "once", "s-1"),
                new Ran("s-1", 0, "t1", "once", "k-t1"),
                sent("t1", "once", "s-2"),
                answered("t1", "rolled-back"));
        List<Happening> drained = new ArrayList<>(List.of(a, told(42, "draining", 0)));
        Sent late = sent("t1", "any", "s-1");
        scene("told and not read", a, told(42, "draining", 0), late, answered("t1", "committed"));
        drained.add(new Heard(1, "r0#1<a0", 42));
        scene("read, and sent to", with(drained, late, answered("t1", "committed")));
        scene(
                "opened by an older word",
                with(drained, told(41, "ready", 0), late, answered("t1", "committed")));
        scene(
                "opened by a newer word, not read yet",
                with(drained, told(43, "ready", 0), late, answered("t1", "committed")));
        scene(
                "opened by a new start",
                with(drained, told(41, "ready", 7), late, answered("t1", "committed")));
        scene(
                "heard in another life",
                a,
                new Told(0, "r0#2<a0", 42, "s-1", "gone", 0),
                new Heard(1, "r0#2<a0", 42),
                late,
                answered("t1", "committed"));
        scene(
                "left out of a whole list",
                a,
                told(42, "absent", 0),
                new Heard(1, "r0#1<a0", 42),
                late,
                answered("t1", "committed"));
        scene("pressed", new Pressed("s-1", 0.9), new Pressed("s-1", 1.1), new Pressed("s-1", 1.2));
        scene(
                "old data for a bounded read",
                asked("t1", "view", 500),
                new Read("s-1", "t1", "view", 8_000, 10_000));
        scene(
                "old data for any read",
                a,
                new Read("s-1", "t1", "any", 1_000, 10_000),
                late,
                answered("t1", "committed"));
        scene(
                "a primary of yesterday",
                asked("t1", "fresh", 500),
                new Read("s-1", "t1", "fresh", 1_000, 10_000));
        scene(
                "its own write unseen",
                new Asked(0, "t1", "own", 0, "k", 500, 9_000, "r0#1"),
                new Read("s-1", "t1", "own", 8_999, 10_000));
        RoutingHarness.assertTraceEquals("audit", trace);
    }

    private static Happening[] with(List<Happening> first, Happening... then) {
        List<Happening> all = new ArrayList<>(first);
        all.addAll(List.of(then));
        return all.toArray(new Happening[0]);
    }

    @Test
    void theSameRecordHasTheSameVerdict() {
        List<Happening> record =
                List.of(asked("t1", "any", 500), asked("t2", "any", 500), sent("t1", "any", "s-1"));
        assertEquals(Audit.of(record).breaches(), Audit.of(record).breaches());
        assertEquals(2, Audit.of(record).breaches().size());
    }
}
