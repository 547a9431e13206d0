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
 * Stores the newest primary record of each service and tracks which records are on disk. Record
 * numbers increase within a lease and from one lease holder to the next. A process that reports a
 * number has all records up to that number, or newer ones that replaced them.
 */
public final class PrimaryRecords {

    private static final String STORAGE_PREFIX = "lead:";

    private final ReplicatedRegister.Context context;
    private final TreeMap<String, PrimaryRecord> records = new TreeMap<>();
    private long newestNumber = -1;

    /** The newest number that is on disk together with all records before it. */
    private long durableNumber = -1;

    public PrimaryRecords(ReplicatedRegister.Context context) {
        this.context = context;
    }

    /** Restores the records from disk at startup. */
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

    /** Returns the newest record of each service, ordered by service name. */
    public Iterable<PrimaryRecord> all() {
        return records.values();
    }

    /** Returns the newest record of the service; null for none. */
    public PrimaryRecord get(String service) {
        return records.get(service);
    }

    /** Returns the newest known record number; -1 for none. */
    public long newestNumber() {
        return newestNumber;
    }

    /**
     * Returns the newest number that is on disk together with all records before it; -1 for none.
     */
    public long durableNumber() {
        return durableNumber;
    }

    /** Stores a record if it is newer than the present one. Returns whether it was. */
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

    /**
     * Returns the message for a peer that reported that it has the records up to the given number.
     */
    public RecordsMessage messageTo(long peerNumber) {
        List<PrimaryRecord> missing = new ArrayList<>();
        for (PrimaryRecord record : records.values()) {
            if (record.number() > peerNumber) {
                missing.add(record);
            }
        }
        return new RecordsMessage(durableNumber, missing, missing.isEmpty() ? -1 : peerNumber);
    }

    /** Handles a peer's message. Returns whether any record was newer. */
    public boolean receive(RecordsMessage message) {
        if (message.fromNumber() > newestNumber
                && !context.isDisabled(SafetyRule.RECORDS_WITHOUT_GAP)) {
            // The message was meant for a former process at this address, whose disk was lost: the
            // records before it are missing here.
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
     * Returns whether this process has all records that a peer has.
     *
     * @param answeredSince whether the peer reported its number since the lease began
     */
    public boolean hasAllRecordsOf(boolean answeredSince, long peerNumber) {
        return answeredSince && peerNumber <= newestNumber
                || context.isDisabled(SafetyRule.RECORDS_OF_MAJORITY);
    }

    /** Stores all records again under new numbers of a new lease holder. */
    public List<PrimaryRecord> renumberAll(LongSupplier numbers) {
        List<PrimaryRecord> renumbered = new ArrayList<>();
        for (PrimaryRecord record : records.values()) {
            renumbered.add(record.renumbered(numbers.getAsLong()));
        }
        merge(renumbered);
        return renumbered;
    }
}
