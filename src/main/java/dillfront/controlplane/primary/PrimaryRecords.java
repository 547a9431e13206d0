package dillfront.controlplane.primary;

import dillfront.common.protocol.PrimaryRecord;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.consensus.SafetyRule;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * The newest primary record of each service, and how far they are on the disk. Numbers rise from
 * lease holder to lease holder and within one, and a process that says a number has all records
 * before it, or what replaced them.
 */
public final class PrimaryRecords {

    private static final String STORAGE_PREFIX = "lead:";

    private final ReplicatedRegister.Context context;
    private final TreeMap<String, PrimaryRecord> records = new TreeMap<>();
    private long newestNumber = -1;

    /** The newest number that is on the disk with all before it. */
    private long durableNumber = -1;

    public PrimaryRecords(ReplicatedRegister.Context context) {
        this.context = context;
    }

    /** Takes over what the disk held, at the start. */
    public void restore(Map<String, String> texts) {
        texts.forEach(
                (name, text) -> {
                    PrimaryRecord record =
                            name.startsWith(STORAGE_PREFIX)
                                    ? PrimaryRecord.decode(
                                            name.substring(STORAGE_PREFIX.length()), text)
                                    : null;
                    if (record != null) {
                        records.put(record.service(), record);
                        newestNumber = Math.max(newestNumber, record.number());
                    }
                });
        durableNumber = newestNumber;
    }

    /** The newest record of each service, by the services' names. */
    public Iterable<PrimaryRecord> all() {
        return records.values();
    }

    /** The newest record of this service; null where there is none. */
    public PrimaryRecord get(String service) {
        return records.get(service);
    }

    /** The newest number that is known here; -1 for none. */
    public long newestNumber() {
        return newestNumber;
    }

    /** The newest number that is on the disk with all before it; -1 for none. */
    public long durableNumber() {
        return durableNumber;
    }

    /** Takes a record over where it is newer; whether it was. */
    public boolean merge(PrimaryRecord record) {
        return merge(List.of(record));
    }

    private boolean merge(List<PrimaryRecord> newer) {
        Map<String, String> texts = new TreeMap<>();
        for (PrimaryRecord record : newer) {
            newestNumber = Math.max(newestNumber, record.number());
            if (replaces(record, records.get(record.service()))) {
                records.put(record.service(), record);
                texts.put(STORAGE_PREFIX + record.service(), record.encode());
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

    private boolean replaces(PrimaryRecord record, PrimaryRecord stored) {
        return stored == null
                || stored.number() < record.number()
                || stored.number() > record.number()
                        && context.isDisabled(SafetyRule.RECORDS_FORWARD);
    }

    /** What is said of the records to a peer that said it has them up to this number. */
    public RecordsMessage messageTo(long peerNumber) {
        List<PrimaryRecord> missing = new ArrayList<>();
        for (PrimaryRecord record : records.values()) {
            if (record.number() > peerNumber) {
                missing.add(record);
            }
        }
        return new RecordsMessage(durableNumber, missing, missing.isEmpty() ? -1 : peerNumber);
    }

    /** Takes a peer's message; whether anything was newer. */
    public boolean receive(RecordsMessage message) {
        if (message.fromNumber() > newestNumber
                && !context.isDisabled(SafetyRule.RECORDS_WITHOUT_GAP)) {
            // Meant for a process that had this disk before it was lost: all that comes before is
            // missing.
            return false;
        }
        if (!context.isDisabled(SafetyRule.RECORDS_TOGETHER)) {
            return merge(message.records());
        }
        boolean changed = false;
        for (PrimaryRecord record : message.records()) {
            changed |= merge(record);
        }
        return changed;
    }

    /**
     * Whether this process lacks nothing of what a peer has.
     *
     * @param answeredSince whether the peer said its number since the lease began
     */
    public boolean hasAllRecordsOf(boolean answeredSince, long peerNumber) {
        return answeredSince && peerNumber <= newestNumber
                || context.isDisabled(SafetyRule.RECORDS_OF_MAJORITY);
    }

    /** Records all anew under numbers of a new lease holder. */
    public List<PrimaryRecord> renumberAll(LongSupplier numbers) {
        List<PrimaryRecord> renumbered = new ArrayList<>();
        for (PrimaryRecord record : records.values()) {
            renumbered.add(record.renumbered(numbers.getAsLong()));
        }
        merge(renumbered);
        return renumbered;
    }
}
