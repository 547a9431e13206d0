package dillfront.controlplane.registry;

import dillfront.common.message.MessageCodec;
import java.util.LinkedHashMap;
import java.util.Map;

/** One database server, as its beats tell of it. */
public final class DatabaseServer {

    public final String id;
    public final String service;
    public String address;
    public String zoneName;

    /** "ready", "draining", "leaving" or "left"; it only goes on in this order. */
    public String state = "ready";

    public String role = "";

    /** Of its last call that counted. */
    public long callSequence = -1;

    /** When it was last heard by any control process, on this one's clock. */
    public long lastHeardMillis;

    /** And by this one itself. */
    public long lastDirectHeartbeatMillis = Long.MIN_VALUE / 2;

    /** Since when this process knows that it leaves; -1 where it does not. */
    long leavingSinceMillis = -1;

    /** The change of the table in which it was last changed. */
    public long changeNumber;

    public DatabaseServer(String id, String service) {
        this.id = id;
        this.service = service;
    }

    static int stateRank(String state) {
        return switch (state) {
            case "left" -> 3;
            case "leaving" -> 2;
            case "draining" -> 1;
            default -> 0;
        };
    }

    /** It is gone, and its log with it. */
    public boolean hasLeft() {
        return state.equals("left");
    }

    /** It said that it will end, by either word, and serves on until then. */
    public boolean isDraining() {
        return state.equals("draining") || isLeaving();
    }

    /** It said so by its leave, without a word of draining before; no more may be heard of it. */
    public boolean isLeaving() {
        return state.equals("leaving");
    }

    public boolean isPrimary() {
        return role.equals("primary");
    }

    Map<String, Object> toRow() {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("i", id);
        row.put("v", service);
        row.put("a", address);
        row.put("z", zoneName);
        row.put("st", state);
        row.put("ro", role);
        row.put("q", callSequence);
        return row;
    }

    /** As it is kept on the disk. */
    String encode() {
        return String.join(
                "\n", service, address, zoneName, state, role, Long.toString(callSequence));
    }

    static DatabaseServer decode(String id, String text) {
        String[] part = text.split("\n", -1);
        if (part.length != 6) {
            return null;
        }
        DatabaseServer m = new DatabaseServer(id, part[0]);
        m.address = part[1];
        m.zoneName = part[2];
        m.state = part[3];
        m.role = part[4];
        m.callSequence = Long.parseLong(part[5]);
        return m;
    }

    /**
     * @return whether anything changed that others must know
     */
    boolean merge(MessageCodec.Fields row, boolean back) {
        boolean changes = false;
        long from = row.number("q", -1);
        if (from >= callSequence || address == null) {
            callSequence = Math.max(callSequence, from);
            changes = !row.string("a").equals(address) || !row.string("ro").equals(role);
            address = row.string("a");
            zoneName = row.string("z");
            role = row.string("ro");
        }
        if (stateRank(row.string("st")) > stateRank(state)
                || back && !row.string("st").equals(state)) {
            state = row.string("st");
            changes = true;
        }
        return changes;
    }
}
