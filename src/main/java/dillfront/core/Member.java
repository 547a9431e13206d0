package dillfront.core;

import dillfront.host.Pack;
import java.util.LinkedHashMap;
import java.util.Map;

/** One database server, as its beats tell of it. */
final class Member {

    final String id;
    final String service;
    String address;
    String zone;

    /** "ready", "draining", "leaving" or "left"; it only goes on in this order. */
    String state = "ready";

    String role = "";

    /** Of its last call that counted. */
    long sequence = -1;

    /** When it was last heard by any control process, on this one's clock. */
    long heard;

    /** And by this one itself. */
    long heardHere = Long.MIN_VALUE / 2;

    /** Since when this process knows that it leaves; -1 where it does not. */
    long leavingFrom = -1;

    /** The change of the table in which it was last changed. */
    long changed;

    Member(String id, String service) {
        this.id = id;
        this.service = service;
    }

    static int rank(String state) {
        return switch (state) {
            case "left" -> 3;
            case "leaving" -> 2;
            case "draining" -> 1;
            default -> 0;
        };
    }

    /** It is gone, and its log with it. */
    boolean left() {
        return state.equals("left");
    }

    /** It said that it will end, by either word, and serves on until then. */
    boolean draining() {
        return state.equals("draining") || leaving();
    }

    /** It said so by its leave, without a word of draining before; no more may be heard of it. */
    boolean leaving() {
        return state.equals("leaving");
    }

    boolean leads() {
        return role.equals("primary");
    }

    Map<String, Object> row() {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("i", id);
        row.put("v", service);
        row.put("a", address);
        row.put("z", zone);
        row.put("st", state);
        row.put("ro", role);
        row.put("q", sequence);
        return row;
    }

    /** As it is kept on the disk. */
    String kept() {
        return String.join("\n", service, address, zone, state, role, Long.toString(sequence));
    }

    static Member kept(String id, String text) {
        String[] part = text.split("\n", -1);
        if (part.length != 6) {
            return null;
        }
        Member m = new Member(id, part[0]);
        m.address = part[1];
        m.zone = part[2];
        m.state = part[3];
        m.role = part[4];
        m.sequence = Long.parseLong(part[5]);
        return m;
    }

    /**
     * @return whether anything changed that others must know
     */
    boolean merge(Pack.Fields row, boolean back) {
        boolean changes = false;
        long from = row.number("q", -1);
        if (from >= sequence || address == null) {
            sequence = Math.max(sequence, from);
            changes = !row.text("a").equals(address) || !row.text("ro").equals(role);
            address = row.text("a");
            zone = row.text("z");
            role = row.text("ro");
        }
        if (rank(row.text("st")) > rank(state) || back && !row.text("st").equals(state)) {
            state = row.text("st");
            changes = true;
        }
        return changes;
    }
}
