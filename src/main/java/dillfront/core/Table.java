package dillfront.core;

import dillfront.host.Pack;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The table of servers as processes tell each other of it: what of it goes into a word, how far
 * each has that of the other, and how far it is on the disk. Rows only go forward, so a word that
 * is lost, repeated or old does no harm.
 */
public final class Table {

    private record Heard(Progress from, long known) {}

    private final Register.Ground ground;
    private final Members members;

    /** The change that the disk has. */
    private long durable;

    private boolean keeping;

    Table(Register.Ground ground, Members members) {
        this.ground = ground;
        this.members = members;
    }

    public Table(Register.Ground ground) {
        this(ground, new Members(ground.without(Defence.ROWS_FORWARD)));
    }

    /** What the disk held, at the start. */
    public void load(Map<String, String> kept, long now) {
        members.load(kept, now);
        durable = members.changes();
    }

    public long changes() {
        return members.changes();
    }

    public long durable() {
        return durable;
    }

    /**
     * It goes to the disk behind what happens: a restart then begins with it, and servers tell
     * again anyway.
     */
    public void keep(List<Progress> others, Runnable then) {
        if (keeping) {
            return;
        }
        if (members.changes() == durable) {
            others.forEach(p -> p.stored = p.known);
            return;
        }
        keeping = true;
        long upTo = members.changes();
        List<Heard> heard = new ArrayList<>();
        others.forEach(p -> heard.add(new Heard(p, p.known)));
        ground.store(members.kept(durable))
                .whenComplete(
                        (done, fault) -> {
                            keeping = false;
                            if (fault == null) {
                                durable = upTo;
                                heard.forEach(
                                        h -> h.from.stored = Math.max(h.from.stored, h.known));
                                then.run();
                            }
                        });
    }

    /** What goes into a word to that process. */
    public void say(Map<String, Object> out, Progress to) {
        out.put("r", members.changes());
        out.put("mf", to.knows);
        out.put("a", to.known);
        out.put("ak", to.stored);
        List<Object> rows = members.since(to.knows);
        if (!rows.isEmpty()) {
            out.put("m", rows);
        }
    }

    /**
     * A word of that process.
     *
     * @param ours what it says that it has is of this life
     * @return whether anything changed
     */
    public boolean hear(Pack.Fields in, Progress from, boolean ours) {
        boolean counts = ours || ground.without(Defence.ROWS_OF_THIS_LIFE);
        from.knows = counts ? in.number("a", 0) : 0;
        from.kept = counts ? in.number("ak", 0) : 0;
        boolean changed = false;
        for (Pack.Fields row : in.list("m")) {
            changed |= members.merge(row, 0);
        }
        if (in.number("mf", 0) <= from.known || ground.without(Defence.ROWS_WITHOUT_GAP)) {
            // Else it was meant for a life before this one, which knew more.
            from.known = Math.max(from.known, in.number("r", 0));
        }
        return changed;
    }

    /** How far that process has this table on its disk. */
    public long kept(Progress by) {
        return by.kept;
    }

    /**
     * The same, as far as it counts for an acknowledgement under the set that is gone by here: what
     * it has on its disk while it goes by a newer set may be missing in what that one was settled
     * with.
     */
    public long kept(Progress by, long itsEpoch, long epoch) {
        return itsEpoch <= epoch || ground.without(Defence.ROWS_UNDER_EPOCH) ? by.kept : 0;
    }

    /** A call of a server itself; whether it changed anything. */
    public boolean merge(Pack.Fields row, long now) {
        return members.merge(row, now);
    }

    public void leaves(String server) {
        members.leaves(server);
    }

    /** The change that made this row what it is; -1 where there is none. */
    public long changed(String server) {
        Member is = members.get(server);
        return is == null ? -1 : is.changed;
    }

    /** Empty where there is no such row. */
    public String state(String server) {
        Member is = members.get(server);
        return is == null ? "" : is.state;
    }
}
