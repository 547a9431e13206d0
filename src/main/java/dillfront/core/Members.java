package dillfront.core;

import dillfront.host.Pack;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** The table of all database servers. Every change has a number, so that others ask only for what they lack. */
final class Members {

    /** Rows of those that left are kept so that a late word does not bring them back; so many at the most. */
    private static final int MOST = 20_000;

    private final TreeMap<String, Member> rows = new TreeMap<>();
    private long changes;

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
        for (Member m : rows.values()) {
            if (m.service.equals(service) && !m.left()) {
                of.add(m);
            }
        }
        return of;
    }

    /** Takes a row in, from a beat or from another control process; whether it changed anything. */
    boolean merge(Pack.Fields row, long heard) {
        String id = row.text("i");
        if (id.isEmpty() || row.text("v").isEmpty()) {
            return false;
        }
        Member is = rows.get(id);
        boolean fresh = is == null;
        if (fresh) {
            if (rows.size() >= MOST) {
                forget();
            }
            is = new Member(id, row.text("v"));
            rows.put(id, is);
        }
        is.heard = Math.max(is.heard, heard);
        if (is.merge(row) || fresh) {
            is.changed = ++changes;
            return true;
        }
        return false;
    }

    boolean left(String id) {
        Member is = rows.get(id);
        if (is == null || is.left()) {
            return false;
        }
        is.state = "left";
        is.changed = ++changes;
        return true;
    }

    private void forget() {
        Member oldest = null;
        for (Member m : rows.values()) {
            if (m.left() && (oldest == null || m.changed < oldest.changed)) {
                oldest = m;
            }
        }
        if (oldest != null) {
            rows.remove(oldest.id);
        }
    }

    /** What changed since. */
    List<Object> since(long change) {
        List<Object> out = new ArrayList<>();
        for (Member m : rows.values()) {
            if (m.changed > change) {
                out.add(m.row());
            }
        }
        return out;
    }
}
