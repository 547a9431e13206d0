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
public final class Audit {

    /** One breach: the rule by its number, and what happened where. */
    public record Breach(int rule, String what) {

        @Override
        public String toString() {
            return "rule " + rule + ": " + what;
        }
    }

    /** An answer so late counts as none; and data so much older than it may be counts as stale. */
    private static final long SLACK_MS = 1000;

    /** The last word that closed a node, as one life has heard it. */
    private record Closing(long generation, long startedMs, String standing) {}

    private static final class Life {
        boolean killed;
        boolean over;

        /** Told, and not yet shown to be read. */
        final List<Happening.Told> told = new ArrayList<>();

        final Map<String, Closing> closed;

        Life(Map<String, Closing> closed) {
            this.closed = closed;
        }
    }

    private static final class Txn {
        Happening.Asked asked;
        Happening.Answered answered;
        boolean ran;
        int sends;
    }

    private final List<Breach> breaches = new ArrayList<>();
    private final Map<String, Life> lives = new HashMap<>();
    private final Map<String, Txn> txns = new TreeMap<>();
    private final Map<String, String> ran = new HashMap<>();
    private final Set<String> tipped = new HashSet<>();
    private double peak;
    private int sent;

    /**
     * What closes a node binds a router in all its lives, since it remembers; else in the life that
     * has heard it.
     */
    private final boolean remembers;

    private final Map<String, Map<String, Closing>> closed = new HashMap<>();

    private Audit(boolean remembers) {
        this.remembers = remembers;
    }

    /** All breaches of this record; the run is over, and who has no answer by now gets none. */
    public static Audit of(List<Happening> record) {
        return of(record, false);
    }

    /**
     * @param remembers routers keep over their lives what closes a node
     */
    public static Audit of(List<Happening> record, boolean remembers) {
        Audit audit = new Audit(remembers);
        record.forEach(audit::next);
        audit.end();
        return audit;
    }

    public List<Breach> breaches() {
        return breaches;
    }

    /** How near any cold node came to falling over. */
    public double peak() {
        return peak;
    }

    public int sent() {
        return sent;
    }

    public long ended(String how) {
        return txns.values().stream()
                .filter(t -> t.answered != null && t.answered.how().equals(how))
                .count();
    }

    public int asked() {
        return txns.size();
    }

    private void breach(int rule, String what) {
        breaches.add(new Breach(rule, what));
    }

    private Life life(String name) {
        String who = remembers ? name.replaceAll("#.*", "") : name;
        return lives.computeIfAbsent(
                name, k -> new Life(closed.computeIfAbsent(who, w -> new HashMap<>())));
    }

    private Txn txn(String id) {
        return txns.computeIfAbsent(id, k -> new Txn());
    }

    private void next(Happening what) {
        // Java 17 has no patterns in switch yet.
        if (what instanceof Happening.Ended e) {
            life(e.life()).over = true;
            life(e.life()).killed |= e.killed();
        } else if (what instanceof Happening.Told t) {
            life(t.life().replaceAll("<.*", "")).told.add(t);
        } else if (what instanceof Happening.Heard h) {
            heard(h);
        } else if (what instanceof Happening.Sent s) {
            sent(s);
        } else if (what instanceof Happening.Ran r) {
            ran(r);
        } else if (what instanceof Happening.Read r) {
            read(r);
        } else if (what instanceof Happening.Pressed p) {
            peak = Math.max(peak, p.ofLimit());
            if (p.ofLimit() >= 1 && tipped.add(p.node())) {
                breach(4, "node " + p.node() + " was cold and fell over");
            }
        } else if (what instanceof Happening.Asked a) {
            txn(a.txn()).asked = a;
        } else if (what instanceof Happening.Answered a) {
            answered(a);
        }
    }

    // ---- what closes a node

    private void heard(Happening.Heard h) {
        Life life = life(h.life().replaceAll("<.*", ""));
        for (Happening.Told t : List.copyOf(life.told)) {
            if (t.life().equals(h.life()) && t.generation() <= h.generation()) {
                life.told.remove(t);
                word(life, t, true);
            }
        }
    }

    /**
     * A word that opens a node counts once told, one that closes it once read; only a newer word or
     * start opens it again.
     */
    private static void word(Life life, Happening.Told t, boolean read) {
        Closing before = life.closed.get(t.node());
        boolean newer =
                before == null
                        || t.generation() > before.generation
                        || t.startedMs() > before.startedMs;
        if (t.standing().equals("ready")) {
            if (newer) {
                life.closed.remove(t.node());
            }
        } else if (read && (newer || t.generation() == before.generation)) {
            life.closed.put(
                    t.node(),
                    new Closing(
                            t.generation(),
                            before == null
                                    ? t.startedMs()
                                    : Math.max(t.startedMs(), before.startedMs),
                            t.standing()));
        }
    }

    private void sent(Happening.Sent s) {
        sent++;
        Life life = life(s.life());
        for (Happening.Told t : life.told) {
            word(life, t, false);
        }
        Closing closed = life.closed.get(s.node());
        if (closed != null) {
            breach(
                    3,
                    s.life()
                            + " sent "
                            + s.txn()
                            + " to "
                            + s.node()
                            + ", which is "
                            + closed.standing
                            + " by generation "
                            + closed.generation);
        }
        Txn txn = txn(s.txn());
        txn.sends++;
        if (txn.answered != null && !txn.answered.how().equals("broken")) {
            breach(
                    1,
                    s.life() + " sent " + s.txn() + " to " + s.node() + " after its final answer");
        }
        if (txn.ran && s.type().equals("once")) {
            breach(2, s.life() + " sent " + s.txn() + " again, once-only, after it had run");
        }
    }

    // ---- effects and answers

    private void ran(Happening.Ran r) {
        Mix.Type type = Mix.type(r.type());
        txn(r.txn()).ran = true;
        if (type.write()) {
            String before = ran.putIfAbsent(r.group() + " " + r.key(), r.txn());
            if (before != null) {
                breach(2, "key " + r.key() + " had its effect by " + before + " and by " + r.txn());
            }
        }
        if (txn(r.txn()).answered != null) {
            declinedAndRan(r.txn());
        }
    }

    private void declinedAndRan(String id) {
        Txn txn = txns.get(id);
        if (txn.ran && txn.answered.how().equals("declined")) {
            breach(2, id + " was declined, and it has run");
        }
    }

    private void answered(Happening.Answered a) {
        Txn txn = txn(a.txn());
        if (txn.answered != null) {
            breach(1, a.txn() + " was answered " + txn.answered.how() + " and " + a.how());
            return;
        }
        txn.answered = a;
        if (a.how().equals("committed") && txn.sends == 0) {
            breach(1, a.txn() + " was served what no node made for it");
        }
        declinedAndRan(a.txn());
        long lateMs = (a.at() - txn.asked.at()) / 1_000_000 - txn.asked.waitMs();
        if (lateMs > SLACK_MS && !life(txn.asked.life()).killed && !a.how().equals("unreached")) {
            breach(
                    1,
                    a.txn()
                            + " of "
                            + txn.asked.life()
                            + " was answered "
                            + a.how()
                            + " "
                            + lateMs
                            + " ms after its client gave up");
        }
    }

    private void read(Happening.Read r) {
        Mix.Type type = Mix.type(r.type());
        Happening.Asked asked = txn(r.txn()).asked;
        long ageMs = r.unixMs() - r.positionMs();
        if (type.read().equals("causal")
                && asked != null
                && asked.afterMs() > 0
                && r.positionMs() < asked.afterMs()) {
            breach(
                    5,
                    r.txn()
                            + " at "
                            + r.node()
                            + " did not see its session's write, "
                            + (asked.afterMs() - r.positionMs())
                            + " ms behind");
        }
        if (type.read().equals("lag_bound") && ageMs > type.boundMs() + SLACK_MS
                || type.read().equals("strong") && ageMs > SLACK_MS) {
            breach(
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

    private void end() {
        txns.forEach(
                (id, txn) -> {
                    if (txn.asked == null) {
                        return;
                    }
                    Life life = life(txn.asked.life());
                    boolean broken = txn.answered != null && txn.answered.how().equals("broken");
                    if ((txn.answered == null || broken) && !life.killed) {
                        breach(
                                1,
                                id
                                        + " of "
                                        + txn.asked.life()
                                        + (broken
                                                ? ": its connection ended with no answer"
                                                : " has no answer"));
                    }
                });
    }
}
