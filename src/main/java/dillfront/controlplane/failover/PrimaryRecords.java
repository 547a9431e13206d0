package dillfront.controlplane.failover;

import dillfront.common.message.MessageCodec;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.consensus.SafetyRule;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * The records of who leads, and how far they are on the disk. Numbers rise from holder to holder
 * and within one, and a process that says a number has all before it, or what took their place.
 */
public final class PrimaryRecords {

    private static final String STORAGE_PREFIX = "lead:";

    private final ReplicatedRegister.Context context;
    private final TreeMap<String, PrimaryRecord> records = new TreeMap<>();

    /** The newest that is known here, and that is on the disk with all before it. */
    private long newestNumber = -1;

    private long durableNumber = -1;

    public PrimaryRecords(ReplicatedRegister.Context ground) {
        this.context = ground;
    }

    /** What the disk held, at the start. */
    public void restore(Map<String, String> kept) {
        kept.forEach(
                (name, text) -> {
                    PrimaryRecord lead =
                            name.startsWith(STORAGE_PREFIX)
                                    ? PrimaryRecord.decode(
                                            name.substring(STORAGE_PREFIX.length()), text)
                                    : null;
                    if (lead != null) {
                        records.put(lead.service(), lead);
                        newestNumber = Math.max(newestNumber, lead.number());
                    }
                });
        durableNumber = newestNumber;
    }

    public Iterable<PrimaryRecord> all() {
        return records.values();
    }

    public PrimaryRecord get(String service) {
        return records.get(service);
    }

    public long newestNumber() {
        return newestNumber;
    }

    public long durableNumber() {
        return durableNumber;
    }

    /** Takes a record in where it is newer; whether it was. */
    public boolean merge(PrimaryRecord next) {
        return merge(List.of(next));
    }

    private boolean merge(List<PrimaryRecord> next) {
        Map<String, String> texts = new TreeMap<>();
        for (PrimaryRecord lead : next) {
            PrimaryRecord is = records.get(lead.service());
            newestNumber = Math.max(newestNumber, lead.number());
            if (is == null
                    || is.number() < lead.number()
                    || is.number() > lead.number()
                            && context.isDisabled(SafetyRule.RECORDS_FORWARD)) {
                records.put(lead.service(), lead);
                texts.put(STORAGE_PREFIX + lead.service(), lead.encode());
            }
        }
        if (texts.isEmpty()) {
            return false;
        }
        long upTo = newestNumber;
        context.persist(texts)
                .thenRun(
                        () -> {
                            durableNumber = Math.max(durableNumber, upTo);
                            context.broadcast();
                        });
        return true;
    }

    /** What goes into a word to a process that said so far it has them. */
    public void writeTo(Map<String, Object> out, long has) {
        out.put("k", durableNumber);
        List<Object> rows = new ArrayList<>();
        for (PrimaryRecord lead : records.values()) {
            if (lead.number() > has) {
                rows.add(lead.toRow());
            }
        }
        if (!rows.isEmpty()) {
            out.put("l", rows);
            out.put("lf", has);
        }
    }

    /** A word of another process; whether anything was newer. */
    public boolean receive(MessageCodec.Fields in) {
        if (in.number("lf", -1) > newestNumber
                && !context.isDisabled(SafetyRule.RECORDS_WITHOUT_GAP)) {
            // Meant for one that had this disk before it was lost: all that comes before is
            // missing.
            return false;
        }
        List<PrimaryRecord> next = in.maps("l").stream().map(PrimaryRecord::fromRow).toList();
        if (!context.isDisabled(SafetyRule.RECORDS_TOGETHER)) {
            return merge(next);
        }
        boolean any = false;
        for (PrimaryRecord lead : next) {
            any |= merge(lead);
        }
        return any;
    }

    /**
     * Whether nothing is lacked here of what that process has, by what it said since a lease began.
     */
    public boolean covers(boolean since, long its) {
        return since && its <= newestNumber || context.isDisabled(SafetyRule.RECORDS_OF_MAJORITY);
    }

    /** Who takes the duty over records all of it anew, under numbers of its own. */
    public List<PrimaryRecord> renumberAll(LongSupplier number) {
        List<PrimaryRecord> mine = new ArrayList<>();
        for (PrimaryRecord lead : records.values()) {
            mine.add(lead.renumbered(number.getAsLong()));
        }
        merge(mine);
        return mine;
    }
}
