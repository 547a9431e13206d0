package dillfront.core;

import dillfront.host.Pack;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The table of all database servers. Every change has a number, so that others ask only for what
 * they lack.
 */
final class Members {

    /**
     * Rows of those that left are kept so that a late word does not bring them back; so many at the
     * most.
     */
    private static final int MOST = 20_000;

    private static final TreeMap<String, Member> NONE = new TreeMap<>();
    private static final String KEPT = "server:";

    private final TreeMap<String, Member> rows = new TreeMap<>();
    private final TreeMap<String, TreeMap<String, Member>> services = new TreeMap<>();

    /** By the change that made them what they are, so that whoever lacks a few is told of a few. */
    private final TreeMap<Long, Member> byChange = new TreeMap<>();

    private final TreeSet<String> forgotten = new TreeSet<>();

    /** Those that said that they leave, and may serve on. */
    private final TreeSet<String> leaving = new TreeSet<>();

    private long changes;

    /** Rows go back too, as only a small world has it. */
    private final boolean back;

    Members() {
        this(false);
    }

    Members(boolean back) {
        this.back = back;
    }

    Member get(String id) {
        return rows.get(id);
    }

    long changes() {
        return changes;
    }

    Iterable<Member> all() {
        return rows.values();
    }

    List<Member> of(String service) {
        List<Member> of = new ArrayList<>();
        for (Member m : services.getOrDefault(service, NONE).values()) {
            if (!m.left()) {
                of.add(m);
            }
        }
        return of;
    }

    Iterable<String> services() {
        return services.keySet();
    }

    private void changed(Member m) {
        byChange.remove(m.changed);
        m.changed = ++changes;
        byChange.put(m.changed, m);
        if (m.leaving()) {
            leaving.add(m.id);
        } else {
            leaving.remove(m.id);
        }
    }

    private void add(Member m) {
        if (!rows.containsKey(m.id) && rows.size() >= MOST) {
            forget();
        }
        rows.put(m.id, m);
        if (!m.service.isEmpty()) {
            services.computeIfAbsent(m.service, s -> new TreeMap<>()).put(m.id, m);
        }
    }

    /** What the disk held, at the start. */
    void load(Map<String, String> kept, long now) {
        kept.forEach(
                (name, text) -> {
                    Member m =
                            name.startsWith(KEPT)
                                    ? Member.kept(name.substring(KEPT.length()), text)
                                    : null;
                    if (m != null) {
                        m.heard = now;
                        add(m);
                        changed(m);
                    }
                });
    }

    /**
     * What has changed since, as it goes to the disk; of those that left too, so that no late
     * message brings one back.
     */
    Map<String, String> kept(long since) {
        Map<String, String> kept = new TreeMap<>();
        for (Member m : byChange.tailMap(since, false).values()) {
            kept.put(KEPT + m.id, m.kept());
        }
        forgotten.forEach(id -> kept.putIfAbsent(KEPT + id, ""));
        forgotten.clear();
        return kept;
    }

    /** Takes a row in, from a beat or from another control process; whether it changed anything. */
    boolean merge(Pack.Fields row, long heard) {
        String id = row.text("i");
        String service = row.text("v");
        if (id.isEmpty()
                || service.isEmpty() && Member.rank(row.text("st")) < Member.rank("leaving")) {
            return false;
        }
        Member is = rows.get(id);
        boolean fresh = is == null || is.service.isEmpty() && !service.isEmpty();
        if (fresh) {
            Member before = is;
            is = new Member(id, service);
            if (before != null) {
                // Its leave was heard before it was: that stands.
                is.state = before.state;
                is.leavingFrom = before.leavingFrom;
                byChange.remove(before.changed);
            }
            add(is);
        }
        is.heard = Math.max(is.heard, heard);
        if (is.merge(row, back) || fresh) {
            changed(is);
            return true;
        }
        return false;
    }

    /**
     * A new server has this one's address: whichever of the same service had it before is gone.
     * That the new one has its log is not said; one that left took it along, and the new one
     * copies. Only a server's own call says so, never hearsay, which may be late.
     */
    boolean succeeds(Member fresh) {
        boolean any = false;
        for (Member m : of(fresh.service)) {
            boolean same = m != fresh && m.address.equals(fresh.address);
            any |= same && left(m.id);
        }
        return any;
    }

    /**
     * It said that it leaves. One that said before that it drains ends now; any other serves on as
     * long as one that drains. That of a server that is not known here, and may be elsewhere, is
     * kept like any other, so that no late beat undoes it.
     */
    Member leaves(String id) {
        Member is = rows.get(id);
        if (is == null) {
            is = new Member(id, "");
            is.address = "";
            is.zone = "";
            add(is);
        }
        if (is.state.equals("draining")) {
            left(id);
        } else if (Member.rank(is.state) < Member.rank("leaving")) {
            is.state = "leaving";
            changed(is);
        }
        return is;
    }

    /**
     * Those that left so long ago that they have surely ended, and were not heard since, are gone.
     */
    boolean expire(long now, long after) {
        boolean any = false;
        for (String id : List.copyOf(leaving)) {
            Member m = rows.get(id);
            if (m.leavingFrom < 0) {
                m.leavingFrom = now;
            } else if (now - Math.max(m.leavingFrom, m.heard) > after) {
                any |= left(id);
            }
        }
        return any;
    }

    boolean left(String id) {
        Member is = rows.get(id);
        if (is == null || is.left()) {
            return false;
        }
        is.state = "left";
        changed(is);
        return true;
    }

    private void forget() {
        Member oldest = null;
        for (Member m : rows.values()) {
            if ((m.left() || m.service.isEmpty())
                    && (oldest == null || m.changed < oldest.changed)) {
                oldest = m;
            }
        }
        if (oldest != null) {
            rows.remove(oldest.id);
            forgotten.add(oldest.id);
            leaving.remove(oldest.id);
            byChange.remove(oldest.changed);
            TreeMap<String, Member> same = services.getOrDefault(oldest.service, NONE);
            same.remove(oldest.id);
            if (same.isEmpty()) {
                services.remove(oldest.service);
            }
        }
    }

    /** What changed since. */
    List<Object> since(long change) {
        List<Object> out = new ArrayList<>();
        for (Member m : byChange.tailMap(change, false).values()) {
            out.add(m.row());
        }
        return out;
    }
}
