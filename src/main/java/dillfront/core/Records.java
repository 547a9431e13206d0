package dillfront.core;

import dillfront.host.Pack;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * The records of who leads, and how far they are on the disk. Numbers rise from holder to holder
 * and within one, and a process that says a number has all before it, or what took their place.
 */
public final class Records {

    private static final String KEPT = "lead:";

    private final Register.Ground ground;
    private final TreeMap<String, Lead> leads = new TreeMap<>();

    /** The newest that is known here, and that is on the disk with all before it. */
    private long newest = -1;

    private long durable = -1;

    public Records(Register.Ground ground) {
        this.ground = ground;
    }

    /** What the disk held, at the start. */
    public void load(Map<String, String> kept) {
        kept.forEach(
                (name, text) -> {
                    Lead lead =
                            name.startsWith(KEPT)
                                    ? Lead.kept(name.substring(KEPT.length()), text)
                                    : null;
                    if (lead != null) {
                        leads.put(lead.service(), lead);
                        newest = Math.max(newest, lead.number());
                    }
                });
        durable = newest;
    }

    public Iterable<Lead> all() {
        return leads.values();
    }

    public Lead of(String service) {
        return leads.get(service);
    }

    public long newest() {
        return newest;
    }

    public long durable() {
        return durable;
    }

    /** Takes a record in where it is newer; whether it was. */
    public boolean take(Lead next) {
        return take(List.of(next));
    }

    private boolean take(List<Lead> next) {
        Map<String, String> texts = new TreeMap<>();
        for (Lead lead : next) {
            Lead is = leads.get(lead.service());
            newest = Math.max(newest, lead.number());
            if (is == null
                    || is.number() < lead.number()
                    || is.number() > lead.number() && ground.without(Defence.RECORDS_FORWARD)) {
                leads.put(lead.service(), lead);
                texts.put(KEPT + lead.service(), lead.kept());
            }
        }
        if (texts.isEmpty()) {
            return false;
        }
        long upTo = newest;
        ground.store(texts)
                .thenRun(
                        () -> {
                            durable = Math.max(durable, upTo);
                            ground.tell();
                        });
        return true;
    }

    /** What goes into a word to a process that said so far it has them. */
    public void say(Map<String, Object> out, long has) {
        out.put("k", durable);
        List<Object> rows = new ArrayList<>();
        for (Lead lead : leads.values()) {
            if (lead.number() > has) {
                rows.add(lead.row());
            }
        }
        if (!rows.isEmpty()) {
            out.put("l", rows);
            out.put("lf", has);
        }
    }

    /** A word of another process; whether anything was newer. */
    public boolean hear(Pack.Fields in) {
        if (in.number("lf", -1) > newest && !ground.without(Defence.RECORDS_WITHOUT_GAP)) {
            // Meant for one that had this disk before it was lost: all that comes before is
            // missing.
            return false;
        }
        List<Lead> next = in.list("l").stream().map(Lead::of).toList();
        if (!ground.without(Defence.RECORDS_TOGETHER)) {
            return take(next);
        }
        boolean any = false;
        for (Lead lead : next) {
            any |= take(lead);
        }
        return any;
    }

    /**
     * Whether nothing is lacked here of what that process has, by what it said since a lease began.
     */
    public boolean covers(boolean since, long its) {
        return since && its <= newest || ground.without(Defence.RECORDS_OF_MAJORITY);
    }

    /** Who takes the duty over records all of it anew, under numbers of its own. */
    public List<Lead> anew(LongSupplier number) {
        List<Lead> mine = new ArrayList<>();
        for (Lead lead : leads.values()) {
            mine.add(lead.again(number.getAsLong()));
        }
        take(mine);
        return mine;
    }
}
